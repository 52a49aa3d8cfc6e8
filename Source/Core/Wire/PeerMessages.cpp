#include "Wire/PeerMessages.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstPeerType = 160;
constexpr std::size_t MaxCommandBytes = 800 * 1024;
constexpr std::size_t MaxNodeMessageBytes = 4096;

} // namespace

template <typename Archive> void fields(Archive &archive, ForwardedApply &it) {
  field(archive, it.Call);
  bytes(archive, it.Command, MaxCommandBytes);
}

template <typename Archive>
void fields(Archive &archive, ForwardedApplyReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  field(archive, it.Code);
  field(archive, it.RulesRevision);
  text(archive, it.Text, MaxResultBytes);
  field(archive, it.Repeated);
}

template <typename Archive>
void fields(Archive &archive, ForwardedNodeMessage &it) {
  field(archive, it.Call);
  bytes(archive, it.Message, MaxNodeMessageBytes);
}

template <typename Archive>
void fields(Archive &archive, ForwardedNodeReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  bytes(archive, it.Message, MaxNodeMessageBytes);
}

template <typename Archive> void fields(Archive &archive, LeaderQuery &it) {
  field(archive, it.Call);
}

template <typename Archive> void fields(Archive &archive, LeaderReply &it) {
  field(archive, it.Call);
  field(archive, it.HoldsLease);
  field(archive, it.CommitIndex);
}

template <typename Archive> void fields(Archive &archive, RulesQuery &it) {
  field(archive, it.Call);
}

template <typename Archive> void fields(Archive &archive, RulesReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  field(archive, it.RulesRevision);
  text(archive, it.Rules, MaxRulesBytes);
}

template <typename Archive> void fields(Archive &archive, StatusQuery &it) {
  field(archive, it.Call);
}

template <typename Archive> void fields(Archive &archive, NodeContact &it) {
  text(archive, it.Name, MaxNameBytes);
  field(archive, it.AppliedRevision);
  field(archive, it.SilentMs);
}

template <typename Archive> void fields(Archive &archive, UpstreamFlows &it) {
  field(archive, it.Upstream);
  field(archive, it.Flows);
}

// The last argument of list() is the smallest encoded size of one element.
template <typename Archive> void fields(Archive &archive, StatusReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  list(archive, it.Nodes, MaxStatusItems, 20);
  list(archive, it.Flows, MaxStatusItems, 8);
}

template <typename Archive> void fields(Archive &archive, RoutingQuery &it) {
  field(archive, it.Call);
}

template <typename Archive> void fields(Archive &archive, RoutingReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  field(archive, it.Routing.Version);
  text(archive, it.Routing.Text, MaxRoutingDocumentBytes);
}

template <typename Archive> void fields(Archive &archive, OrderPermit &it) {
  field(archive, it.Term);
  field(archive, it.IssuedAtMs);
}

template <typename Archive>
void fields(Archive &archive, OrderPermitQuery &it) {
  field(archive, it.Call);
}

template <typename Archive>
void fields(Archive &archive, OrderPermitReply &it) {
  field(archive, it.Call);
  field(archive, it.Outcome);
  fields(archive, it.Permit);
}

template <typename Archive> void fields(Archive &archive, ForwardedOrder &it) {
  field(archive, it.Call);
  fields(archive, it.Permit);
  bytes(archive, it.Command, MaxCommandBytes);
}

absl::StatusOr<PeerMessage> decodePeer(std::span<const std::byte> buf) {
  return decodeVariant<PeerMessage>(buf, FirstPeerType, MaxBodyBytes);
}

absl::Status encodePeer(const PeerMessage &message, Bytes &out) {
  return encodeVariant(message, FirstPeerType, MaxBodyBytes, out);
}

} // namespace pistachio
