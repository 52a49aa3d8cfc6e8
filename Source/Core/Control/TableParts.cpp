#include "Control/TableParts.h"

namespace pistachio {
namespace {

/// Upper bound of the encoded records in one part. It limits the buffer of a
/// node that reads one part at a time.
constexpr std::size_t MaxPartBytes = 60 * 1024;

// Encoded sizes of the records in bytes, without their variable-length names.
constexpr std::size_t ServiceBytes = 14;
constexpr std::size_t DataCentreBytes = 7;
constexpr std::size_t UpstreamBytes = 25;
constexpr std::size_t BalancerBytes = 12;
constexpr std::size_t RouteBytes = 14;
constexpr std::size_t RouteShareBytes = 12;
/// Largest size of the terms of a route and its index.
constexpr std::size_t RouteTermsBytes = 12;
constexpr std::size_t IdBytes = 4;
constexpr std::size_t EndpointBytes = 6;

} // namespace

TablePartWriter::TablePartWriter(Revision from, Revision to, bool reset) {
  PartTemplate.From = from;
  PartTemplate.To = to;
  PartTemplate.Reset = reset;
  Parts.push_back(PartTemplate);
}

TableUpdate &TablePartWriter::partFor(std::size_t recordBytes) {
  if (RecordsInPart == MaxRecordsInUpdate ||
      BytesInPart + recordBytes > MaxPartBytes) {
    Parts.push_back(PartTemplate);
    RecordsInPart = 0;
    BytesInPart = 0;
  }
  ++RecordsInPart;
  BytesInPart += recordBytes;
  return Parts.back();
}

void TablePartWriter::add(const ServiceRecord &record) {
  partFor(ServiceBytes + record.Name.size()).Services.push_back(record);
}

void TablePartWriter::add(const DataCentreRecord &record) {
  partFor(DataCentreBytes + record.Name.size()).DataCentres.push_back(record);
}

void TablePartWriter::add(const UpstreamRecord &record) {
  partFor(UpstreamBytes).Upstreams.push_back(record);
}

void TablePartWriter::add(const BalancerRecord &record) {
  partFor(BalancerBytes + record.Name.size()).Balancers.push_back(record);
}

void TablePartWriter::add(const RouteRecord &record) {
  partFor(RouteBytes + record.Shares.size() * RouteShareBytes +
          record.FormerServices.size() * IdBytes +
          (record.Terms.isEmpty() ? 0 : RouteTermsBytes))
      .Routes.push_back(record);
}

void TablePartWriter::remove(ServiceId id) {
  partFor(IdBytes).RemovedServices.push_back(id);
}

void TablePartWriter::remove(DataCentreId id) {
  partFor(IdBytes).RemovedDataCentres.push_back(id);
}

void TablePartWriter::remove(UpstreamId id) {
  partFor(IdBytes).RemovedUpstreams.push_back(id);
}

void TablePartWriter::remove(const std::string &balancer) {
  partFor(IdBytes + balancer.size()).RemovedBalancers.push_back(balancer);
}

void TablePartWriter::remove(const Endpoint &route) {
  partFor(EndpointBytes).RemovedRoutes.push_back(route);
}

std::vector<TableUpdate> TablePartWriter::finish() {
  for (std::size_t i = 0; i < Parts.size(); ++i) {
    Parts[i].Part = static_cast<std::uint32_t>(i);
    Parts[i].Parts = static_cast<std::uint32_t>(Parts.size());
  }
  return std::move(Parts);
}

} // namespace pistachio
