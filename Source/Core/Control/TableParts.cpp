#include "Control/TableParts.h"

namespace pistachio {
namespace {

/// A node that reads one part at a time needs no larger buffer than this.
constexpr std::size_t MaxPartBytes = 60 * 1024;

// Encoded sizes of the records without their names.
constexpr std::size_t ServiceBytes = 14;
constexpr std::size_t DataCentreBytes = 7;
constexpr std::size_t UpstreamBytes = 25;
constexpr std::size_t BalancerBytes = 12;
constexpr std::size_t RouteBytes = 14;
constexpr std::size_t RouteShareBytes = 12;
constexpr std::size_t IdBytes = 4;
constexpr std::size_t EndpointBytes = 6;

} // namespace

TablePartWriter::TablePartWriter(Revision from, Revision to, bool reset) {
  Empty.From = from;
  Empty.To = to;
  Empty.Reset = reset;
  Parts.push_back(Empty);
}

TableUpdate &TablePartWriter::room(std::size_t recordBytes) {
  if (Records == MaxRecordsInUpdate || PartBytes + recordBytes > MaxPartBytes) {
    Parts.push_back(Empty);
    Records = 0;
    PartBytes = 0;
  }
  ++Records;
  PartBytes += recordBytes;
  return Parts.back();
}

void TablePartWriter::add(const ServiceRecord &record) {
  room(ServiceBytes + record.Name.size()).Services.push_back(record);
}

void TablePartWriter::add(const DataCentreRecord &record) {
  room(DataCentreBytes + record.Name.size()).DataCentres.push_back(record);
}

void TablePartWriter::add(const UpstreamRecord &record) {
  room(UpstreamBytes).Upstreams.push_back(record);
}

void TablePartWriter::add(const BalancerRecord &record) {
  room(BalancerBytes + record.Name.size()).Balancers.push_back(record);
}

void TablePartWriter::add(const RouteRecord &record) {
  room(RouteBytes + record.Shares.size() * RouteShareBytes +
       record.FormerServices.size() * IdBytes)
      .Routes.push_back(record);
}

void TablePartWriter::remove(ServiceId id) {
  room(IdBytes).RemovedServices.push_back(id);
}

void TablePartWriter::remove(DataCentreId id) {
  room(IdBytes).RemovedDataCentres.push_back(id);
}

void TablePartWriter::remove(UpstreamId id) {
  room(IdBytes).RemovedUpstreams.push_back(id);
}

void TablePartWriter::remove(const std::string &balancer) {
  room(IdBytes + balancer.size()).RemovedBalancers.push_back(balancer);
}

void TablePartWriter::remove(const Endpoint &route) {
  room(EndpointBytes).RemovedRoutes.push_back(route);
}

std::vector<TableUpdate> TablePartWriter::finish() {
  for (std::size_t i = 0; i < Parts.size(); ++i) {
    Parts[i].Part = static_cast<std::uint32_t>(i);
    Parts[i].Parts = static_cast<std::uint32_t>(Parts.size());
  }
  return std::move(Parts);
}

} // namespace pistachio
