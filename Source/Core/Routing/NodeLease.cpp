#include "Routing/Routing.h"

#include <algorithm>

namespace pistachio {

NodeLease::NodeLease(std::string node, std::string dataCentre,
                     NodeLeaseOptions options)
    : Node(std::move(node)), DataCentre(std::move(dataCentre)),
      Options(options) {}

void NodeLease::onGrant(const LeaseGrant &grant, TimePoint sentAt,
                        Revision have) {
  if (grant.CommittedRevision > have || grant.ValidMs == 0)
    return;
  ValidUntil = std::max(
      ValidUntil, sentAt + std::min(Options.Validity, Duration(grant.ValidMs)));
  EverLeased = true;
}

void NodeLease::onPeerAnswer(const PeerLeaseReply &answer,
                             bool isOtherDataCentre, TimePoint sentAt,
                             Revision have) {
  if (answer.AppliedRevision > have || !answer.AppliedRevision)
    return;
  if (answer.RemainingMs > 0) {
    // The peer counted the rest of its lease after the question was sent, so
    // this lease ends no later than the peer's.
    ValidUntil =
        std::max(ValidUntil, sentAt + std::min(Options.Validity,
                                               Duration(answer.RemainingMs)));
    EverLeased = true;
    return;
  }
  if (!isOtherDataCentre)
    return;
  PeerWithoutLeaseAt =
      AnyPeerWithoutLease ? std::max(PeerWithoutLeaseAt, sentAt) : sentAt;
  AnyPeerWithoutLease = true;
}

LeaseMode NodeLease::mode(TimePoint now) const {
  if (!EverLeased)
    return LeaseMode::Starting;
  if (now < ValidUntil)
    return LeaseMode::Leased;
  // An answer from before the last renewal says nothing about the time since.
  const bool isRecent =
      AnyPeerWithoutLease &&
      PeerWithoutLeaseAt + Options.PeerAnswerTime >= ValidUntil &&
      now - PeerWithoutLeaseAt < Options.PeerAnswerValidity;
  return isRecent ? LeaseMode::ControlDown : LeaseMode::Isolated;
}

bool NodeLease::wantsPeers(TimePoint now) const {
  return EverLeased && now + Options.PeerAnswerTime >= ValidUntil;
}

PeerLeaseReply NodeLease::answerPeer(TimePoint now, Revision have) const {
  PeerLeaseReply out;
  out.Node = Node;
  out.AppliedRevision = have;
  if (EverLeased && now < ValidUntil)
    out.RemainingMs = static_cast<std::uint32_t>((ValidUntil - now).count());
  return out;
}

} // namespace pistachio
