#include "Routing/Routing.h"

#include <algorithm>

namespace pistachio {

NodeLease::NodeLease(std::string node, std::string dataCentre,
                     NodeLeaseOptions options)
    : Node(std::move(node)), DataCentre(std::move(dataCentre)),
      Options(options) {}

void NodeLease::onGrant(const LeaseGrant &grant, TimePoint sentAt,
                        Revision ownRevision) {
  if (grant.Committed > ownRevision || grant.ValidMs == 0)
    return;
  ValidUntil = std::max(
      ValidUntil, sentAt + std::min(Options.Validity, Duration(grant.ValidMs)));
  EverLeased = true;
}

void NodeLease::onPeerReply(const PeerLeaseAnswer &reply,
                            bool isOtherDataCentre, TimePoint sentAt,
                            Revision ownRevision) {
  if (reply.Have > ownRevision || !reply.Have)
    return;
  if (reply.RemainingMs > 0) {
    // The peer computed the remaining time of its lease after the query was
    // sent, so this lease ends no later than the peer's.
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
  // An answer to a query from before the last renewal says nothing about the
  // time after it.
  const bool isRecent =
      HasPeerWithoutLease &&
      PeerWithoutLeaseAt + Options.PeerQueryLead >= ValidUntil &&
      now - PeerWithoutLeaseAt < Options.PeerReplyValidity;
  return isRecent ? LeaseMode::ControlDown : LeaseMode::Isolated;
}

bool NodeLease::needsPeerReplies(TimePoint now) const {
  return EverLeased && now + Options.PeerQueryLead >= ValidUntil;
}

PeerLeaseAnswer NodeLease::makePeerReply(TimePoint now,
                                         Revision ownRevision) const {
  PeerLeaseAnswer out;
  out.Node = Node;
  out.Have = ownRevision;
  if (EverLeased && now < ValidUntil)
    out.RemainingMs = static_cast<std::uint32_t>((ValidUntil - now).count());
  return out;
}

} // namespace pistachio
