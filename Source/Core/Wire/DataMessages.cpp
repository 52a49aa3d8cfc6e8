#include "Wire/DataMessages.h"

#include "Wire/Codec.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstDataType = 1;
constexpr std::size_t MaxNodeNameBytes = 64;
/// Encoded size of a Candidate: upstream (4), incarnation (8), address (6) and
/// state (1). The decoder uses it to reject a list that claims more elements
/// than the remaining bytes can hold.
constexpr std::size_t MinCandidateBytes = 19;
/// Encoded size of FlowEndpoints: two addresses of 6 bytes.
constexpr std::size_t FlowEndpointsBytes = 12;
/// Encoded size of an Endpoint.
constexpr std::size_t EndpointBytes = 6;

/// Added to the slots of an UpstreamLoad that states its service time.
constexpr std::uint32_t AddedSlots = 0x4000;
constexpr std::uint32_t MaxSlotsWithTime = 256;
constexpr std::uint32_t MaxTimeCode = 63;
constexpr double TimeCodesPerDoubling = 4;
/// Open flows that readers count as one request.
constexpr std::uint64_t FlowsPerRequest = 20;

/// Returns the value of the busy field that, with AddedSlots more slots, gives
/// the load per slot of the upstream, before the service time is added.
std::uint64_t busyFieldOf(std::uint64_t busyFlows, std::uint64_t flows,
                          std::uint64_t slots) {
  const std::uint64_t divisor = FlowsPerRequest * slots;
  return (FlowsPerRequest * busyFlows * (AddedSlots + slots) +
          flows * AddedSlots + divisor - 1) /
         divisor;
}

UpstreamLoad toWireFields(const UpstreamLoad &it) {
  UpstreamLoad raw{it.BusyFlows, it.Flows, it.Slots};
  if (it.ServiceTimeMs == 0 || it.Slots == 0 || it.Slots > MaxSlotsWithTime)
    return raw;
  const std::uint64_t busy = busyFieldOf(it.BusyFlows, it.Flows, it.Slots);
  if (busy + MaxTimeCode > 0xFFFF)
    return raw;
  const double code = std::round(
      TimeCodesPerDoubling * std::log2(static_cast<double>(it.ServiceTimeMs)));
  raw.BusyFlows = static_cast<std::uint16_t>(
      busy + std::min(static_cast<std::uint32_t>(code), MaxTimeCode));
  raw.Slots = static_cast<std::uint16_t>(AddedSlots + it.Slots);
  return raw;
}

UpstreamLoad fromWireFields(const UpstreamLoad &raw) {
  if (raw.Slots <= AddedSlots || raw.Slots > AddedSlots + MaxSlotsWithTime)
    return raw;
  UpstreamLoad it;
  it.Flows = raw.Flows;
  it.Slots = static_cast<std::uint16_t>(raw.Slots - AddedSlots);
  // The largest number of busy flows whose busyFieldOf() does not exceed the
  // field.
  const std::uint64_t work = FlowsPerRequest * raw.BusyFlows * it.Slots;
  const std::uint64_t idle = std::uint64_t{it.Flows} * AddedSlots;
  if (work > idle)
    it.BusyFlows = static_cast<std::uint16_t>((work - idle) /
                                              (FlowsPerRequest * raw.Slots));
  const std::uint64_t busy = busyFieldOf(it.BusyFlows, it.Flows, it.Slots);
  const std::uint64_t code =
      raw.BusyFlows > busy
          ? std::min<std::uint64_t>(raw.BusyFlows - busy, MaxTimeCode)
          : 0;
  it.ServiceTimeMs = static_cast<std::uint16_t>(
      std::lround(std::exp2(static_cast<double>(code) / TimeCodesPerDoubling)));
  return it;
}

} // namespace

template <typename Archive> void fields(Archive &archive, UpstreamToken &it) {
  field(archive, it.Upstream);
  field(archive, it.ProcessIncarnation);
}

template <typename Archive> void fields(Archive &archive, CallerPacket &it) {
  field(archive, it.ServiceAddress);
  field(archive, it.Caller);
  field(archive, it.Flow);
  field(archive, it.Flags);
  fields(archive, it.Token);
  bytes(archive, it.Payload, MaxPayloadBytes);
}

template <typename Archive> void fields(Archive &archive, Candidate &it) {
  field(archive, it.Upstream);
  field(archive, it.ProcessIncarnation);
  field(archive, it.Address);
  field(archive, it.State);
}

template <typename Archive> void fields(Archive &archive, ForwardedPacket &it) {
  fields(archive, it.Packet);
  field(archive, it.Service);
  field(archive, it.Bucket);
  field(archive, it.Kind);
  field(archive, it.HopCount);
  field(archive, it.FirstRank);
  field(archive, it.ChainIndex);
  field(archive, it.EndsRanking);
  field(archive, it.SkippedSuspect);
  field(archive, it.OriginBalancer);
  field(archive, it.TableRevision);
  list(archive, it.Chain, MaxChainEntries, MinCandidateBytes);
  fields(archive, it.Prober);
  field(archive, it.SenderLoad);
  field(archive, it.Sender);
}

template <typename Archive> void fields(Archive &archive, ChainExhausted &it) {
  fields(archive, it.Forwarded);
}
template <typename Archive> void fields(Archive &archive, ProbeMissed &it) {
  fields(archive, it.Forwarded);
}

template <typename Archive> void fields(Archive &archive, LoadReport &it) {
  field(archive, it.Upstream);
  field(archive, it.Load);
}

template <typename Archive> void fields(Archive &archive, CallerReply &it) {
  field(archive, it.Flow);
  field(archive, it.Kind);
  fields(archive, it.Token);
  field(archive, it.RetryAfterMs);
  bytes(archive, it.Payload, MaxPayloadBytes);
}

template <typename Archive> void fields(Archive &archive, PeerLeaseQuery &it) {
  text(archive, it.Node, MaxNodeNameBytes);
  field(archive, it.Nonce);
  field(archive, it.AppliedRevision);
}

template <typename Archive> void fields(Archive &archive, PeerLeaseReply &it) {
  text(archive, it.Node, MaxNodeNameBytes);
  field(archive, it.Nonce);
  field(archive, it.RemainingMs);
  field(archive, it.AppliedRevision);
}

template <typename Archive> void fields(Archive &archive, RelayedPacket &it) {
  field(archive, it.Service);
  field(archive, it.Attempt);
  field(archive, it.WantsFlowHeld);
  field(archive, it.ColdMilliflowsPerSecond);
  bytes(archive, it.Packet, MaxOpaquePacketBytes);
}

template <typename Archive> void fields(Archive &archive, UpstreamLoad &it) {
  UpstreamLoad raw = toWireFields(it);
  field(archive, raw.BusyFlows);
  field(archive, raw.Flows);
  field(archive, raw.Slots);
  if constexpr (std::is_same_v<Archive, InputArchive>)
    it = fromWireFields(raw);
}

template <typename Archive> void fields(Archive &archive, ReturnedPacket &it) {
  field(archive, it.Reason);
  field(archive, it.Attempt);
  field(archive, it.RetryAfterMs);
  fields(archive, it.Load);
  bytes(archive, it.Packet, MaxOpaquePacketBytes);
}

template <typename Archive> void fields(Archive &archive, FlowHeld &it) {
  field(archive, it.Caller);
  field(archive, it.Service);
  field(archive, it.FirstSequence);
  fields(archive, it.Load);
}

template <typename Archive> void fields(Archive &archive, FlowEndpoints &it) {
  field(archive, it.Caller);
  field(archive, it.Service);
}

template <typename Archive> void fields(Archive &archive, FlowQuery &it) {
  field(archive, it.ServiceName);
  list(archive, it.Flows, MaxFlowsInQuery, FlowEndpointsBytes);
}

template <typename Archive> void fields(Archive &archive, FlowNotHeld &it) {
  fields(archive, it.Flow);
  field(archive, it.IsCertain);
}

template <typename Archive> void fields(Archive &archive, FlowsNotHeld &it) {
  fields(archive, it.Load);
  list(archive, it.Flows, MaxFlowsInQuery, FlowEndpointsBytes + 1);
}

template <typename Archive> void fields(Archive &archive, ChainedPacket &it) {
  field(archive, it.Service);
  field(archive, it.OriginBalancer);
  list(archive, it.NextAgents, MaxChainedAgents - 1, EndpointBytes);
  bytes(archive, it.Packet, MaxOpaquePacketBytes);
}

absl::StatusOr<DataMessage> decodeData(std::span<const std::byte> buf) {
  return decodeVariant<DataMessage>(buf, FirstDataType, MaxDatagramBytes);
}

absl::Status encodeData(const DataMessage &message, Bytes &out) {
  return encodeVariant(message, FirstDataType, MaxDatagramBytes, out);
}

} // namespace pistachio
