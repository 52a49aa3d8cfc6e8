#include "Routing/Routing.h"

#include <algorithm>

namespace pistachio {

NodeLease::NodeLease(std::string node, std::string dataCentre,
                     NodeLeaseOptions options)
    : Node(std::move(node)), DataCentre(std::move(dataCentre)),
      Options(options) {}

void NodeLease::onGrant(const LeaseGrant &grant, TimePoint sentAt,
                        Revision ownRevision) {
  if (grant.CommittedRevision > ownRevision || grant.ValidMs == 0)
    return;
  ValidUntil = std::max(
      ValidUntil, sentAt + std::min(Options.Validity, Duration(grant.ValidMs)));
  EverLeased = true;
}

void NodeLease::onPeerReply(const PeerLeaseReply &reply, bool isOtherDataCentre,
                            TimePoint sentAt, Revision ownRevision) {
  if (reply.AppliedRevision > ownRevision || !reply.AppliedRevision)
    return;
  if (reply.RemainingMs > 0) {
    // The balancer extends its own lease by that of the peer. The peer computed
    // the remaining time after the query was sent, so counted from the query it
    // ends no later than the peer's lease.
    ValidUntil =
        std::max(ValidUntil, sentAt + std::min(Options.Validity,
                                               Duration(reply.RemainingMs)));
    EverLeased = true;
    return;
  }
  if (!isOtherDataCentre)
    return;
  PeerWithoutLeaseAt =
      HasPeerWithoutLease ? std::max(PeerWithoutLeaseAt, sentAt) : sentAt;
  HasPeerWithoutLease = true;
}

LeaseMode NodeLease::mode(TimePoint now) const {
  if (!EverLeased)
    return LeaseMode::Starting;
  if (now < ValidUntil)
    return LeaseMode::Leased;
  // A reply is evidence only if its query was sent after the end of the lease
  // or at most PeerQueryLead before it. A reply to an earlier query may be
  // older than the last renewal and then does not show that control has failed
  // since.
  const bool isRecent =
      HasPeerWithoutLease &&
      PeerWithoutLeaseAt + Options.PeerQueryLead >= ValidUntil &&
      now - PeerWithoutLeaseAt < Options.PeerReplyValidity;
  return isRecent ? LeaseMode::ControlDown : LeaseMode::Isolated;
}

bool NodeLease::needsPeerReplies(TimePoint now) const {
  return EverLeased && now + Options.PeerQueryLead >= ValidUntil;
}

PeerLeaseReply NodeLease::makePeerReply(TimePoint now,
                                        Revision ownRevision) const {
  PeerLeaseReply out;
  out.Node = Node;
  out.AppliedRevision = ownRevision;
  if (EverLeased && now < ValidUntil)
    out.RemainingMs = static_cast<std::uint32_t>((ValidUntil - now).count());
  return out;
}

} // namespace pistachio
