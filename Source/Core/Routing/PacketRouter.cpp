#include "Routing/Routing.h"

#include <algorithm>

namespace pistachio {
namespace {

constexpr int FlowHashBucketShift = 52;

/// Retry delay for first packets while a service has no member that is not
/// suspect. An upstream that renews or joins ends this state, which takes about
/// a second.
constexpr std::uint32_t NoMemberRetryMs = 1000;

Candidate toCandidate(const ServiceMember &member) {
  return {member.Id, member.ProcessIncarnation, member.Address, member.State};
}

RouteDecision drop(DropReason reason) {
  RouteDecision out;
  out.Reason = reason;
  return out;
}

DropReason dropReasonFor(LeaseMode mode) {
  switch (mode) {
  case LeaseMode::Starting:
    return DropReason::NotServing;
  case LeaseMode::Isolated:
    return DropReason::Isolated;
  case LeaseMode::Leased:
  case LeaseMode::ControlDown:
    break;
  }
  return DropReason::None;
}

/// Fills the chain with the members from rank \p firstRank on.
void fillChain(RouteDecision &out, std::size_t firstRank, std::uint8_t flags) {
  const Service &service = *out.Target;
  const bool isFirst = (flags & PacketFlag::First) != 0;
  const std::size_t limit =
      isFirst ? service.nonSuspectCount() : service.members().size();
  if (firstRank >= limit) {
    out.Reason = DropReason::NoMember;
    if (isFirst) {
      out.Action = RouteAction::Refuse;
      out.RetryAfterMs = NoMemberRetryMs;
    } else if ((flags & PacketFlag::Established) != 0) {
      out.Action = RouteAction::Reset;
    }
    return;
  }
  std::array<std::uint16_t, MaxChainEntries> indices;
  const std::size_t count = service.readRanking(
      out.Bucket, firstRank,
      std::span(indices).first(std::min(MaxChainEntries, limit - firstRank)));
  for (std::size_t n = 0; n < count; ++n)
    out.Chain[n] = toCandidate(service.members()[indices[n]]);
  out.Action = RouteAction::Forward;
  out.FirstRank = static_cast<std::uint16_t>(firstRank);
  out.ChainLength = static_cast<std::uint8_t>(count);
  out.EndsRanking = firstRank + count >= limit;
  out.SkippedSuspect = limit < service.members().size();
}

} // namespace

RouteDecision routePacket(const ServiceTable &table, LeaseMode mode,
                          const RoutingHeader &header) {
  if (const DropReason reason = dropReasonFor(mode); reason != DropReason::None)
    return drop(reason);
  RouteDecision out;
  out.Target = table.findByAddress(header.ServiceAddress);
  if (out.Target == nullptr)
    return drop(DropReason::UnknownService);
  out.Bucket = static_cast<std::uint16_t>(
      hashFlow(out.Target->id(), header.Caller, header.Flow) >>
      FlowHashBucketShift);

  // The token of a first packet belongs to another flow and is ignored.
  if (header.Token.Upstream && (header.Flags & PacketFlag::First) == 0) {
    const auto it = out.Target->find(header.Token.Upstream);
    if (it && out.Target->members()[*it].ProcessIncarnation ==
                  header.Token.ProcessIncarnation) {
      out.Action = RouteAction::Forward;
      out.Kind = ForwardKind::Token;
      out.Chain[0] = toCandidate(out.Target->members()[*it]);
      out.ChainLength = 1;
      return out;
    }
  }
  fillChain(out, 0, header.Flags);
  return out;
}

RouteDecision continueRoute(const ServiceTable &table, LeaseMode mode,
                            const ForwardedPacket &packet) {
  if (const DropReason reason = dropReasonFor(mode); reason != DropReason::None)
    return drop(reason);
  if (packet.HopCount >= MaxHops)
    return drop(DropReason::HopLimit);
  RouteDecision out;
  out.Target = table.find(packet.Service);
  if (out.Target == nullptr)
    return drop(DropReason::UnknownService);
  out.Bucket = packet.Bucket % BucketCount;
  const std::uint8_t flags = packet.Packet.Flags;
  const bool isRankingUnchanged =
      out.Target->membersRevision() <= packet.TableRevision &&
      packet.TableRevision <= table.revision();

  if (packet.Kind == ForwardKind::Probe) {
    // The caller will repeat its first packet, and the probe then starts again
    // with the current ranking.
    const std::size_t next = packet.FirstRank + packet.Chain.size();
    if (!isRankingUnchanged || next >= out.Target->nonSuspectCount())
      return drop(DropReason::NoMember);
    out.Kind = ForwardKind::Probe;
    out.Prober = packet.Prober;
    fillChain(out, next, flags | PacketFlag::First);
  } else if (packet.Kind == ForwardKind::Token || !isRankingUnchanged) {
    out.HopCount = packet.HopCount + 1;
    fillChain(out, 0, flags);
    return out;
  } else {
    fillChain(out, packet.FirstRank + packet.Chain.size(), flags);
    if (out.Action == RouteAction::Reset && packet.SkippedSuspect)
      return drop(DropReason::NoMember);
  }
  // Extending the chain to higher ranks ends by itself, so these hops do not
  // count. Otherwise rankings longer than MaxHops could not be tried to their
  // end.
  const auto extendedRanks = static_cast<std::uint8_t>(packet.Chain.size());
  const auto hops = static_cast<std::uint8_t>(packet.HopCount + 1);
  out.HopCount =
      static_cast<std::uint8_t>(hops - std::min(hops, extendedRanks));
  return out;
}

ForwardedPacket makeForwardedPacket(const RouteDecision &decision,
                                    CallerPacket packet, const Endpoint &origin,
                                    Revision tableRevision) {
  ForwardedPacket out;
  out.Packet = std::move(packet);
  out.Service =
      decision.Target != nullptr ? decision.Target->id() : ServiceId{};
  out.Bucket = decision.Bucket;
  out.Kind = decision.Kind;
  out.HopCount = decision.HopCount;
  out.FirstRank = decision.FirstRank;
  out.ChainIndex = decision.ChainIndex;
  out.EndsRanking = decision.EndsRanking;
  out.SkippedSuspect = decision.SkippedSuspect;
  out.OriginBalancer = origin;
  out.TableRevision = tableRevision;
  out.Chain.assign(decision.Chain.begin(),
                   decision.Chain.begin() + decision.ChainLength);
  out.Prober = decision.Prober;
  return out;
}

} // namespace pistachio
