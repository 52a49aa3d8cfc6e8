#include "TargetSite.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr std::uint32_t RecordsPerPart = 1000;
constexpr std::uint32_t FirstServiceAddress = 0x0A000000;
constexpr std::uint32_t FirstUpstreamAddress = 0x0B000000;
constexpr std::uint32_t FirstBalancerAddress = 0x0C000000;

ServiceId serviceOf(const SiteSize &size, std::uint32_t upstream) {
  // Each service gets one upstream. The remaining upstreams are assigned with a
  // skew: the rank of the service is proportional to the cube of a uniform
  // random number, so the first services get most of them.
  if (upstream < size.Services)
    return ServiceId{upstream + 1};
  const double share = static_cast<double>(mix64(upstream) >> 11) /
                       static_cast<double>(1ULL << 53);
  const auto rank =
      static_cast<std::uint32_t>(share * share * share * size.Services);
  return ServiceId{std::min(rank, size.Services - 1) + 1};
}

UpstreamRecord makeUpstream(const SiteSize &size, std::uint32_t upstream) {
  UpstreamRecord record;
  record.Id = UpstreamId{upstream + 1};
  record.Service = serviceOf(size, upstream);
  record.DataCentre =
      DataCentreId{static_cast<std::uint16_t>(upstream % DataCentreCount + 1)};
  record.Address = {FirstUpstreamAddress + upstream, 7000};
  record.ProcessIncarnation = Incarnation{mix64(upstream)};
  return record;
}

TableUpdate &partForNextRecord(std::vector<TableUpdate> &parts,
                               std::uint32_t &recordsInPart) {
  if (parts.empty() || recordsInPart == RecordsPerPart) {
    parts.emplace_back();
    recordsInPart = 0;
  }
  ++recordsInPart;
  return parts.back();
}

} // namespace

std::vector<TableUpdate> makeTable(const SiteSize &size) {
  std::vector<TableUpdate> parts;
  std::uint32_t recordsInPart = 0;
  for (std::uint32_t i = 0; i < DataCentreCount; ++i)
    partForNextRecord(parts, recordsInPart)
        .DataCentres.push_back({DataCentreId{static_cast<std::uint16_t>(i + 1)},
                                "data-centre-" + std::to_string(i), false});
  for (std::uint32_t i = 0; i < size.Services; ++i)
    partForNextRecord(parts, recordsInPart)
        .Services.push_back({ServiceId{i + 1},
                             "service-" + std::to_string(i),
                             {FirstServiceAddress + i, 443}});
  for (std::uint32_t i = 0; i < size.Upstreams; ++i)
    partForNextRecord(parts, recordsInPart)
        .Upstreams.push_back(makeUpstream(size, i));
  for (std::uint32_t i = 0; i < size.Balancers; ++i)
    partForNextRecord(parts, recordsInPart)
        .Balancers.push_back(
            {"balancer-" + std::to_string(i),
             DataCentreId{static_cast<std::uint16_t>(i % DataCentreCount + 1)},
             {FirstBalancerAddress + i, 6000}});
  for (std::uint32_t i = 0; i < parts.size(); ++i) {
    parts[i].To = Revision{1};
    parts[i].Reset = true;
    parts[i].Part = i;
    parts[i].Parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

TableUpdate makeDelta(const SiteSize &size, Revision from,
                      std::uint32_t upstream) {
  TableUpdate update;
  update.From = from;
  update.To = Revision{from.Value + 1};
  UpstreamRecord record = makeUpstream(size, upstream);
  record.State =
      from.Value % 2 == 0 ? UpstreamState::Draining : UpstreamState::Active;
  update.Upstreams.push_back(record);
  return update;
}

} // namespace pistachio
