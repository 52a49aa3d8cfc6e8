#include "Wire/NodeMessages.h"

#include "Wire/Codec.h"

#include <algorithm>

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstNodeType = 64;
/// Type number of a TableUpdate with route terms: the last one of the range, so
/// that alternatives can still be added to NodeMessage.
constexpr std::uint8_t TableUpdateWithTermsType = 95;
static_assert(FirstNodeType + std::variant_size_v<NodeMessage> <=
              TableUpdateWithTermsType);
constexpr std::size_t MaxReasonBytes = 512;

/// The terms of one route of a TableUpdate. Most routes may have none, so that
/// a list of these is shorter than the terms of all routes.
struct IndexedTerms {
  /// Index in TableUpdate::Routes.
  std::uint16_t Route = 0;
  RouteTerms Terms;
};
static_assert(MaxRecordsInUpdate - 1 <= UINT16_MAX);

/// A TableUpdate in which at least one route has terms.
struct TableUpdateWithTerms {
  TableUpdate Update;
};

bool hasRouteTerms(const TableUpdate &update) {
  return std::ranges::any_of(
      update.Routes, [](const RouteRecord &it) { return !it.Terms.isEmpty(); });
}

std::vector<IndexedTerms> termsOf(std::span<const RouteRecord> routes) {
  std::vector<IndexedTerms> terms;
  for (std::size_t i = 0; i < routes.size(); ++i)
    if (!routes[i].Terms.isEmpty())
      terms.push_back({static_cast<std::uint16_t>(i), routes[i].Terms});
  return terms;
}

} // namespace

template <typename Archive> void fields(Archive &archive, ServiceRecord &it) {
  field(archive, it.Id);
  text(archive, it.Name, MaxNameBytes);
  field(archive, it.Address);
}

template <typename Archive>
void fields(Archive &archive, DataCentreRecord &it) {
  field(archive, it.Id);
  text(archive, it.Name, MaxNameBytes);
  field(archive, it.IsTakenOut);
}

template <typename Archive> void fields(Archive &archive, UpstreamRecord &it) {
  field(archive, it.Id);
  field(archive, it.Service);
  field(archive, it.DataCentre);
  field(archive, it.Address);
  field(archive, it.ProcessIncarnation);
  field(archive, it.State);
}

template <typename Archive> void fields(Archive &archive, BalancerRecord &it) {
  text(archive, it.Name, MaxNameBytes);
  field(archive, it.DataCentre);
  field(archive, it.Address);
}

template <typename Archive> void fields(Archive &archive, RouteShare &it) {
  field(archive, it.Service);
  field(archive, it.Weight);
  field(archive, it.ColdMilliflowsPerSecond);
}

// The last argument of list() is the smallest encoded size of one element.
template <typename Archive> void fields(Archive &archive, RouteRecord &it) {
  field(archive, it.Address);
  list(archive, it.Shares, MaxRouteShares, 12);
  list(archive, it.FormerServices, MaxFormerServices, 4);
}

template <typename Archive> void fields(Archive &archive, TableUpdate &it) {
  field(archive, it.From);
  field(archive, it.To);
  field(archive, it.Reset);
  field(archive, it.Part);
  field(archive, it.Parts);
  list(archive, it.Services, MaxRecordsInUpdate, 14);
  list(archive, it.DataCentres, MaxRecordsInUpdate, 7);
  list(archive, it.Upstreams, MaxRecordsInUpdate, 25);
  list(archive, it.Balancers, MaxRecordsInUpdate, 12);
  list(archive, it.Routes, MaxRecordsInUpdate, 14);
  list(archive, it.RemovedServices, MaxRecordsInUpdate, 4);
  list(archive, it.RemovedDataCentres, MaxRecordsInUpdate, 2);
  list(archive, it.RemovedUpstreams, MaxRecordsInUpdate, 4);
  textList(archive, it.RemovedBalancers, MaxRecordsInUpdate, MaxNameBytes);
  list(archive, it.RemovedRoutes, MaxRecordsInUpdate, 6);
}

template <typename Archive> void fields(Archive &archive, IndexedTerms &it) {
  field(archive, it.Route);
  fields(archive, it.Terms);
}

template <typename Archive>
void fields(Archive &archive, TableUpdateWithTerms &it) {
  fields(archive, it.Update);
  // Empty when decoding.
  std::vector<IndexedTerms> terms = termsOf(it.Update.Routes);
  list(archive, terms, MaxRecordsInUpdate, 3);
  for (const IndexedTerms &term : terms) {
    if (term.Route >= it.Update.Routes.size())
      throw cereal::Exception("terms refer to a route that is not there");
    it.Update.Routes[term.Route].Terms = term.Terms;
  }
}

template <typename Archive> void fields(Archive &archive, Subscribe &it) {
  text(archive, it.Node, MaxNameBytes);
  text(archive, it.DataCentre, MaxNameBytes);
  field(archive, it.Address);
  field(archive, it.AppliedRevision);
}

template <typename Archive> void fields(Archive &archive, LeaseRequest &it) {
  text(archive, it.Node, MaxNameBytes);
  field(archive, it.AppliedRevision);
}

template <typename Archive> void fields(Archive &archive, LeaseGrant &it) {
  field(archive, it.ValidMs);
  field(archive, it.CommittedRevision);
}

template <typename Archive> void fields(Archive &archive, Announce &it) {
  text(archive, it.Service, MaxNameBytes);
  text(archive, it.DataCentre, MaxNameBytes);
  text(archive, it.Zone, MaxNameBytes);
  text(archive, it.Machine, MaxNameBytes);
  field(archive, it.Address);
  field(archive, it.ProcessIncarnation);
  field(archive, it.Slots);
  field(archive, it.Flows);
  field(archive, it.Draining);
  field(archive, it.Leaving);
}

template <typename Archive> void fields(Archive &archive, AnnounceReply &it) {
  field(archive, it.Result);
  field(archive, it.Upstream);
  field(archive, it.Service);
  text(archive, it.Reason, MaxReasonBytes);
  field(archive, it.Slots);
}

template <typename Archive>
void fields(Archive &archive, ControlInstances &it) {
  list(archive, it.Addresses, MaxControlInstances, 6);
}

template <typename Archive> void fields(Archive &archive, TableQuery &it) {
  field(archive, it.Query);
}

template <typename Archive>
void fields(Archive &archive, TableConfirmation &it) {
  field(archive, it.Query);
  field(archive, it.CommittedRevision);
}

std::string_view nameOf(AnnounceResult result) {
  switch (result) {
  case AnnounceResult::Accepted:
    return "accepted";
  case AnnounceResult::Draining:
    return "draining";
  case AnnounceResult::DataCentreOut:
    return "data-centre-out";
  case AnnounceResult::Rejected:
    return "rejected";
  case AnnounceResult::Unavailable:
    return "unavailable";
  }
  return "unknown";
}

absl::StatusOr<NodeMessage> decodeNode(std::span<const std::byte> buf) {
  if (messageTypeOf(buf) != TableUpdateWithTermsType)
    return decodeVariant<NodeMessage>(buf, FirstNodeType, MaxBodyBytes);
  auto decoded = decodeVariant<std::variant<TableUpdateWithTerms>>(
      buf, TableUpdateWithTermsType, MaxBodyBytes);
  if (!decoded.ok())
    return decoded.status();
  return std::get<0>(*std::move(decoded)).Update;
}

absl::Status encodeNode(const NodeMessage &message, Bytes &out) {
  const auto *update = std::get_if<TableUpdate>(&message);
  if (update == nullptr || !hasRouteTerms(*update))
    return encodeVariant(message, FirstNodeType, MaxBodyBytes, out);
  const std::variant<TableUpdateWithTerms> withTerms =
      TableUpdateWithTerms{*update};
  return encodeVariant(withTerms, TableUpdateWithTermsType, MaxBodyBytes, out);
}

} // namespace pistachio
