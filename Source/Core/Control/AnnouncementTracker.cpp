#include "Control/Control.h"
#include "Control/SlotBounds.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachio {
namespace {

/// State that the agent announces for its upstream. Suspect is never announced;
/// the tracker derives it from missing announcements.
UpstreamState announcedState(bool draining) {
  return draining ? UpstreamState::Draining : UpstreamState::Active;
}

AnnounceReply rejected(std::string reason) {
  return {AnnounceResult::Rejected, {}, {}, std::move(reason)};
}

/// The last command proposed for one upstream address or balancer name. It is
/// not proposed again while it may still be committed.
struct PendingProposal {
  LogCommand Command;
  TimePoint ProposedAt;
};

class AnnouncementTrackerImpl final : public AnnouncementTracker {
public:
  explicit AnnouncementTrackerImpl(AnnouncementOptions options)
      : Options(options) {}

  void onLeadershipGained(const ControlState &state, TimePoint now) override {
    Upstreams.clear();
    Balancers.clear();
    LeftIncarnations.clear();
    PendingUpstreamProposals.clear();
    PendingBalancerProposals.clear();
    for (const UpstreamInfo &it : state.upstreams())
      Upstreams[it.Record.Id].LastSeen = now;
    for (const BalancerRecord &it : state.balancers())
      Balancers[it.Name].LastSeen = now;
  }

  AnnounceReply onAnnounce(const Announce &announce, const ControlState &state,
                           TimePoint now,
                           std::vector<LogCommand> &proposals) override;

  void onSubscribe(const Subscribe &subscribe, const ControlState &state,
                   TimePoint now, std::vector<LogCommand> &proposals) override {
    Balancers[subscribe.Node] = {now, subscribe.AppliedRevision};
    const auto dataCentre = state.findDataCentre(subscribe.DataCentre);
    if (!dataCentre)
      return;
    const BalancerRecord wanted{subscribe.Node, dataCentre->Id,
                                subscribe.Address};
    if (state.findBalancer(subscribe.Node) != wanted)
      propose(PendingBalancerProposals, subscribe.Node,
              BalancerJoined{subscribe.Node, subscribe.DataCentre,
                             subscribe.Address},
              now, proposals);
  }

  void onLeaseRequest(const LeaseRequest &request, TimePoint now) override {
    Balancers[request.Node] = {now, request.AppliedRevision};
  }

  void tick(const ControlState &state, TimePoint now,
            std::vector<LogCommand> &proposals) override {
    checkUpstreams(state, now, proposals);
    checkBalancers(state, now, proposals);
    std::erase_if(LeftIncarnations, [&](const auto &it) {
      return now - it.second.LeftAt >= Options.LeftIncarnationRetention;
    });
    const auto hasExpired = [&](const auto &it) {
      return now - it.second.ProposedAt >= Options.ProposalRetryInterval;
    };
    std::erase_if(PendingUpstreamProposals, hasExpired);
    std::erase_if(PendingBalancerProposals, hasExpired);
  }

  std::vector<BalancerStatus> balancers(TimePoint now) const override {
    std::vector<BalancerStatus> all;
    for (const auto &[name, it] : Balancers)
      all.push_back({name, it.InForce, now - it.LastSeen});
    return all;
  }

  std::uint32_t flows(UpstreamId id) const override {
    const auto it = Upstreams.find(id);
    return it == Upstreams.end() ? 0 : it->second.Flows;
  }

private:
  struct UpstreamLiveness {
    TimePoint LastSeen{};
    std::uint32_t Flows = 0;
    /// Stays set until the entry is removed or this member becomes leader
    /// again; the next announcement then sets it from its own flag or from the
    /// replicated state. An agent that has begun to drain does not return to
    /// active, so an announcement without the flag is a delayed one.
    bool Draining = false;
  };
  struct BalancerLiveness {
    TimePoint LastSeen{};
    Revision InForce;
  };
  /// The last incarnation at an address that left or was removed.
  struct LeftIncarnation {
    Incarnation ProcessIncarnation;
    TimePoint LeftAt{};
    /// True if the incarnation was removed because its announcements timed
    /// out, false if its agent announced that it leaves. Only in the
    /// first case may the incarnation join again.
    bool RemovedByTimeout = false;
  };

  /// Adds the command to \p proposals unless the same command is pending.
  template <typename Key>
  void propose(std::map<Key, PendingProposal> &pending, const Key &subject,
               LogCommand command, TimePoint now,
               std::vector<LogCommand> &proposals) {
    const auto it = pending.find(subject);
    if (it != pending.end() && it->second.Command == command &&
        now - it->second.ProposedAt < Options.ProposalRetryInterval)
      return;
    pending.insert_or_assign(subject, PendingProposal{command, now});
    proposals.push_back(std::move(command));
  }

  /// Returns the reason for rejecting the announcement, or an empty string.
  std::string
  findRejectionReason(const Announce &announce, const ControlState &state,
                      const std::optional<UpstreamInfo> &known) const;
  void handleRenewal(const Announce &announce, const UpstreamInfo &known,
                     TimePoint now, std::vector<LogCommand> &proposals);
  void handleLeave(const Announce &announce, const UpstreamInfo &known,
                   TimePoint now, std::vector<LogCommand> &proposals);
  void recordTimeout(const UpstreamRecord &upstream, TimePoint now);
  void checkUpstreams(const ControlState &state, TimePoint now,
                      std::vector<LogCommand> &proposals);
  void checkBalancers(const ControlState &state, TimePoint now,
                      std::vector<LogCommand> &proposals);

  AnnouncementOptions Options;
  SlotBounds Bounds;
  std::map<UpstreamId, UpstreamLiveness> Upstreams;
  std::map<std::string, BalancerLiveness> Balancers;
  std::map<Endpoint, LeftIncarnation> LeftIncarnations;
  std::map<Endpoint, PendingProposal> PendingUpstreamProposals;
  std::map<std::string, PendingProposal> PendingBalancerProposals;
};

std::string AnnouncementTrackerImpl::findRejectionReason(
    const Announce &announce, const ControlState &state,
    const std::optional<UpstreamInfo> &known) const {
  const auto service = state.findService(announce.Service);
  if (!service)
    return "service " + announce.Service + " is not in the rules";
  const auto dataCentre = state.findDataCentre(announce.DataCentre);
  if (!dataCentre)
    return "data centre " + announce.DataCentre + " is not in the rules";
  if (!announce.ProcessIncarnation || announce.Slots == 0 ||
      announce.Address.Port == 0)
    return "incarnation, slots and port must all be greater than 0";
  const auto left = LeftIncarnations.find(announce.Address);
  if (left != LeftIncarnations.end() && !announce.Leaving &&
      (announce.ProcessIncarnation < left->second.ProcessIncarnation ||
       (announce.ProcessIncarnation == left->second.ProcessIncarnation &&
        !left->second.RemovedByTimeout)))
    return "this incarnation or a later one at the same address has already "
           "left";
  if (!known || announce.ProcessIncarnation > known->Record.ProcessIncarnation)
    return "";
  if (announce.ProcessIncarnation < known->Record.ProcessIncarnation)
    return "a later incarnation is known at " + toString(announce.Address);
  if (known->Record.Service != service->Id ||
      known->Record.DataCentre != dataCentre->Id)
    return "this incarnation is already registered with another service or "
           "data centre";
  return "";
}

AnnounceReply
AnnouncementTrackerImpl::onAnnounce(const Announce &announce,
                                    const ControlState &state, TimePoint now,
                                    std::vector<LogCommand> &proposals) {
  const std::optional<UpstreamInfo> known =
      state.findUpstream(announce.Address);
  if (std::string reason = findRejectionReason(announce, state, known);
      !reason.empty())
    return rejected(std::move(reason));

  AnnounceReply reply;
  reply.Result = AnnounceResult::Accepted;
  reply.Service = state.findService(announce.Service)->Id;
  reply.Slots = Bounds.slotsPerUpstream(announce.Service, state);
  const bool isKnown =
      known && known->Record.ProcessIncarnation == announce.ProcessIncarnation;
  if (isKnown) {
    reply.Upstream = known->Record.Id;
    announce.Leaving ? handleLeave(announce, *known, now, proposals)
                     : handleRenewal(announce, *known, now, proposals);
  } else if (!announce.Leaving) {
    propose(PendingUpstreamProposals, announce.Address,
            UpstreamJoined{announce.Service, announce.DataCentre, announce.Zone,
                           announce.Machine, announce.Address,
                           announce.ProcessIncarnation, announce.Slots},
            now, proposals);
  }
  if (state.findDataCentre(announce.DataCentre)->IsTakenOut)
    reply.Result = AnnounceResult::DataCentreOut;
  else if (announce.Draining ||
           (isKnown && known->Record.State == UpstreamState::Draining))
    reply.Result = AnnounceResult::Draining;
  return reply;
}

void AnnouncementTrackerImpl::handleRenewal(
    const Announce &announce, const UpstreamInfo &known, TimePoint now,
    std::vector<LogCommand> &proposals) {
  UpstreamLiveness &liveness = Upstreams[known.Record.Id];
  liveness.LastSeen = now;
  liveness.Flows = announce.Flows;
  liveness.Draining = liveness.Draining || announce.Draining ||
                      known.AnnouncedState == UpstreamState::Draining;
  const UpstreamState wanted = announcedState(liveness.Draining);
  if (known.AnnouncedState != wanted)
    propose(PendingUpstreamProposals, known.Record.Address,
            UpstreamChanged{known.Record.Id, known.Record.ProcessIncarnation,
                            wanted},
            now, proposals);
}

void AnnouncementTrackerImpl::handleLeave(const Announce &announce,
                                          const UpstreamInfo &known,
                                          TimePoint now,
                                          std::vector<LogCommand> &proposals) {
  LeftIncarnations[announce.Address] = {announce.ProcessIncarnation, now,
                                        false};
  propose(PendingUpstreamProposals, known.Record.Address,
          UpstreamLeft{known.Record.Id, known.Record.ProcessIncarnation}, now,
          proposals);
}

/// Records that an incarnation is removed because its announcements timed out.
/// One that has left on its own stays so: while its removal cannot be
/// committed, its announcements time out as well.
void AnnouncementTrackerImpl::recordTimeout(const UpstreamRecord &upstream,
                                            TimePoint now) {
  const auto known = LeftIncarnations.find(upstream.Address);
  const bool hasLeft =
      known != LeftIncarnations.end() && !known->second.RemovedByTimeout &&
      known->second.ProcessIncarnation == upstream.ProcessIncarnation;
  LeftIncarnations.insert_or_assign(
      upstream.Address,
      LeftIncarnation{upstream.ProcessIncarnation, now, !hasLeft});
}

void AnnouncementTrackerImpl::checkUpstreams(
    const ControlState &state, TimePoint now,
    std::vector<LogCommand> &proposals) {
  std::map<UpstreamId, UpstreamLiveness> current;
  for (const UpstreamInfo &it : state.upstreams()) {
    const UpstreamId id = it.Record.Id;
    const auto previous = Upstreams.find(id);
    UpstreamLiveness liveness;
    liveness.LastSeen = now;
    if (previous != Upstreams.end())
      liveness = previous->second;
    current.emplace(id, liveness);
    const Duration silentFor = now - liveness.LastSeen;
    if (silentFor < Options.SuspectAfter)
      continue;
    if (silentFor >= Options.RemoveAfter)
      recordTimeout(it.Record, now);
    // The state remembers only upstreams that it removes as suspect. After the
    // whole group has stopped for a while, none of them is yet, although all
    // are overdue.
    if (it.AnnouncedState != UpstreamState::Suspect)
      propose(PendingUpstreamProposals, it.Record.Address,
              UpstreamChanged{id, it.Record.ProcessIncarnation,
                              UpstreamState::Suspect},
              now, proposals);
    else if (silentFor >= Options.RemoveAfter)
      propose(PendingUpstreamProposals, it.Record.Address,
              UpstreamLeft{id, it.Record.ProcessIncarnation}, now, proposals);
  }
  Upstreams = std::move(current);
}

void AnnouncementTrackerImpl::checkBalancers(
    const ControlState &state, TimePoint now,
    std::vector<LogCommand> &proposals) {
  for (const BalancerRecord &it : state.balancers()) {
    const auto liveness =
        Balancers.try_emplace(it.Name, BalancerLiveness{now, {}});
    if (now - liveness.first->second.LastSeen >= Options.BalancerRemoveAfter)
      propose(PendingBalancerProposals, it.Name, BalancerLeft{it.Name}, now,
              proposals);
  }
  // Balancers whose data centre is not in the rules have no record in the
  // state. Their entries are dropped here after a timeout.
  std::erase_if(Balancers, [&](const auto &it) {
    return now - it.second.LastSeen >= 2 * Options.BalancerRemoveAfter;
  });
}

} // namespace

std::unique_ptr<AnnouncementTracker>
makeAnnouncementTracker(AnnouncementOptions options) {
  return std::make_unique<AnnouncementTrackerImpl>(options);
}

} // namespace pistachio
