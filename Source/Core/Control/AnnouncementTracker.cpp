#include "Control/Control.h"
#include "Control/SlotBounds.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pistachio {
namespace {

/// The agent's own wish; suspicion comes from silence only.
UpstreamState wantedState(bool draining) {
  return draining ? UpstreamState::Draining : UpstreamState::Active;
}

AnnounceReply rejected(std::string reason) {
  return {AnnounceResult::Rejected, {}, {}, std::move(reason)};
}

/// The last command proposed for one subject (an address or a name). While it
/// may still take effect it is not proposed again.
struct PendingProposal {
  LogCommand Command;
  TimePoint At;
};

class AnnouncementTrackerImpl final : public AnnouncementTracker {
public:
  explicit AnnouncementTrackerImpl(AnnouncementOptions options)
      : Options(options) {}

  void onLeadershipGained(const ControlState &state, TimePoint now) override {
    Upstreams.clear();
    Balancers.clear();
    Left.clear();
    PendingUpstreams.clear();
    PendingBalancers.clear();
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
      propose(PendingBalancers, subscribe.Node,
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
    std::erase_if(Left, [&](const auto &it) {
      return now - it.second.At >= Options.RememberLeftFor;
    });
    const auto isOld = [&](const auto &it) {
      return now - it.second.At >= Options.ProposeAgainAfter;
    };
    std::erase_if(PendingUpstreams, isOld);
    std::erase_if(PendingBalancers, isOld);
  }

  std::vector<NodeView> nodes(TimePoint now) const override {
    std::vector<NodeView> all;
    for (const auto &[name, it] : Balancers)
      all.push_back({name, it.InForce, now - it.LastSeen});
    return all;
  }

  std::uint32_t flows(UpstreamId id) const override {
    const auto it = Upstreams.find(id);
    return it == Upstreams.end() ? 0 : it->second.Flows;
  }

private:
  struct UpstreamContact {
    TimePoint LastSeen{};
    std::uint32_t Flows = 0;
    /// Stays set: an agent that was told to stop does not take it back within
    /// the same incarnation, so an announcement without it is a delayed one.
    bool Draining = false;
  };
  struct BalancerContact {
    TimePoint LastSeen{};
    Revision InForce;
  };
  struct LeftIncarnation {
    Incarnation ProcessIncarnation;
    TimePoint At{};
    /// Removed because of silence: the same incarnation may come back.
    bool Silent = false;
  };

  template <typename Key>
  void propose(std::map<Key, PendingProposal> &pending, const Key &subject,
               LogCommand command, TimePoint now,
               std::vector<LogCommand> &proposals) {
    const auto it = pending.find(subject);
    if (it != pending.end() && it->second.Command == command &&
        now - it->second.At < Options.ProposeAgainAfter)
      return;
    pending.insert_or_assign(subject, PendingProposal{command, now});
    proposals.push_back(std::move(command));
  }

  std::string findFault(const Announce &announce, const ControlState &state,
                        const std::optional<UpstreamInfo> &known) const;
  void renew(const Announce &announce, const UpstreamInfo &known, TimePoint now,
             std::vector<LogCommand> &proposals);
  void leave(const Announce &announce, const UpstreamInfo &known, TimePoint now,
             std::vector<LogCommand> &proposals);
  void checkUpstreams(const ControlState &state, TimePoint now,
                      std::vector<LogCommand> &proposals);
  void checkBalancers(const ControlState &state, TimePoint now,
                      std::vector<LogCommand> &proposals);

  AnnouncementOptions Options;
  SlotBounds Bounds;
  std::map<UpstreamId, UpstreamContact> Upstreams;
  std::map<std::string, BalancerContact> Balancers;
  std::map<Endpoint, LeftIncarnation> Left;
  std::map<Endpoint, PendingProposal> PendingUpstreams;
  std::map<std::string, PendingProposal> PendingBalancers;
};

std::string AnnouncementTrackerImpl::findFault(
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
    return "incarnation, slots and port must not be 0";
  const auto left = Left.find(announce.Address);
  if (left != Left.end() && !announce.Leaving &&
      (announce.ProcessIncarnation < left->second.ProcessIncarnation ||
       (announce.ProcessIncarnation == left->second.ProcessIncarnation &&
        !left->second.Silent)))
    return "this incarnation has left";
  if (!known || announce.ProcessIncarnation > known->Record.ProcessIncarnation)
    return "";
  if (announce.ProcessIncarnation < known->Record.ProcessIncarnation)
    return "a later incarnation is known at " + toString(announce.Address);
  if (known->Record.Service != service->Id ||
      known->Record.DataCentre != dataCentre->Id)
    return "this incarnation is known with another service or data centre";
  return "";
}

AnnounceReply
AnnouncementTrackerImpl::onAnnounce(const Announce &announce,
                                    const ControlState &state, TimePoint now,
                                    std::vector<LogCommand> &proposals) {
  const std::optional<UpstreamInfo> known =
      state.findUpstream(announce.Address);
  if (std::string fault = findFault(announce, state, known); !fault.empty())
    return rejected(std::move(fault));

  AnnounceReply reply;
  reply.Result = AnnounceResult::Accepted;
  reply.Service = state.findService(announce.Service)->Id;
  reply.Slots = Bounds.find(announce.Service, state);
  const bool isKnown =
      known && known->Record.ProcessIncarnation == announce.ProcessIncarnation;
  if (isKnown) {
    reply.Upstream = known->Record.Id;
    announce.Leaving ? leave(announce, *known, now, proposals)
                     : renew(announce, *known, now, proposals);
  } else if (!announce.Leaving) {
    propose(PendingUpstreams, announce.Address,
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

void AnnouncementTrackerImpl::renew(const Announce &announce,
                                    const UpstreamInfo &known, TimePoint now,
                                    std::vector<LogCommand> &proposals) {
  UpstreamContact &contact = Upstreams[known.Record.Id];
  contact.LastSeen = now;
  contact.Flows = announce.Flows;
  contact.Draining = contact.Draining || announce.Draining ||
                     known.Announced == UpstreamState::Draining;
  const UpstreamState wanted = wantedState(contact.Draining);
  if (known.Announced != wanted)
    propose(PendingUpstreams, known.Record.Address,
            UpstreamChanged{known.Record.Id, known.Record.ProcessIncarnation,
                            wanted},
            now, proposals);
}

void AnnouncementTrackerImpl::leave(const Announce &announce,
                                    const UpstreamInfo &known, TimePoint now,
                                    std::vector<LogCommand> &proposals) {
  Left[announce.Address] = {announce.ProcessIncarnation, now, false};
  propose(PendingUpstreams, known.Record.Address,
          UpstreamLeft{known.Record.Id, known.Record.ProcessIncarnation}, now,
          proposals);
}

void AnnouncementTrackerImpl::checkUpstreams(
    const ControlState &state, TimePoint now,
    std::vector<LogCommand> &proposals) {
  std::map<UpstreamId, UpstreamContact> present;
  for (const UpstreamInfo &it : state.upstreams()) {
    const UpstreamId id = it.Record.Id;
    const auto old = Upstreams.find(id);
    UpstreamContact contact;
    contact.LastSeen = now;
    if (old != Upstreams.end())
      contact = old->second;
    present.emplace(id, contact);
    const Duration silent = now - contact.LastSeen;
    if (silent >= Options.RemoveAfter) {
      Left.insert_or_assign(
          it.Record.Address,
          LeftIncarnation{it.Record.ProcessIncarnation, now, true});
      propose(PendingUpstreams, it.Record.Address,
              UpstreamLeft{id, it.Record.ProcessIncarnation}, now, proposals);
    } else if (silent >= Options.SuspectAfter &&
               it.Announced != UpstreamState::Suspect) {
      propose(PendingUpstreams, it.Record.Address,
              UpstreamChanged{id, it.Record.ProcessIncarnation,
                              UpstreamState::Suspect},
              now, proposals);
    }
  }
  Upstreams = std::move(present);
}

void AnnouncementTrackerImpl::checkBalancers(
    const ControlState &state, TimePoint now,
    std::vector<LogCommand> &proposals) {
  for (const BalancerRecord &it : state.balancers()) {
    const auto contact =
        Balancers.try_emplace(it.Name, BalancerContact{now, {}});
    if (now - contact.first->second.LastSeen >= Options.BalancerRemoveAfter)
      propose(PendingBalancers, it.Name, BalancerLeft{it.Name}, now, proposals);
  }
  // Nodes without a record (their data centre is not in the rules) are dropped
  // here once they are silent.
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
