#include "ControlDaemon/GroupMembership.h"

#include "Telemetry/Telemetry.h"

#include <algorithm>
#include <utility>

namespace pistachio {
namespace {

/// A voter that has not answered for this long has been replaced or is down.
/// Longer than an election and a short stop of its process.
constexpr Duration SilentVoter{4000};

/// A relay that comes back joins again by itself.
constexpr Duration SilentRelay{30000};

/// Below this a silent voter stays: without it the group would bear no more
/// losses, and it may come back with its disk.
constexpr std::size_t MinVotersToShrink = 4;

/// A member without a leader for this long asks whether it still belongs to the
/// group. Three times the longest election timeout.
constexpr Duration LeaderlessBeforeJoin{2400};

} // namespace

bool GroupMembership::isLowestSeed() const {
  return !Options.Seeds.empty() &&
         *std::ranges::min_element(Options.Seeds) == Options.Self;
}

bool GroupMembership::isListed() const {
  const std::vector<Member> members = Control.node().members();
  return std::ranges::any_of(
      members, [&](const Member &it) { return it.Id == Control.identity(); });
}

JoinReply GroupMembership::onJoinRequest(const JoinRequest &request,
                                         TimePoint now) {
  if (Control.isLeader())
    return {admit(request, now).ok(), Options.Self};
  const std::optional<Member> leader = Control.node().leader();
  if (leader)
    return {false, leader->Address};
  // The lowest seed decides alone who makes the group, so that there is one.
  if (!Options.FoundsGroup || Options.MayVote || !isLowestSeed() || isListed())
    return {};
  if (!Founder && request.MayVote)
    Founder = request;
  if (!Founder)
    return {};
  return {false, Founder->Address, Founder->From == request.From};
}

void GroupMembership::onJoinReply(const JoinReply &reply, TimePoint now) {
  JoinHint = reply.Leader;
  if (reply.Leader.Port != 0 && Greeters.size() < MaxMembers &&
      std::ranges::find(Greeters, reply.Leader) == Greeters.end())
    Greeters.push_back(reply.Leader);
  if (reply.ShouldBootstrap && Options.FoundsGroup && Options.MayVote &&
      !isListed())
    found(now);
}

void GroupMembership::found(TimePoint now) {
  const Member self{Control.identity(), Options.Self, true};
  const absl::Status founded =
      Control.change(now, [&](ConsensusNode &node, ConsensusOutput &) {
        return node.found(std::span(&self, 1), now);
      });
  logEvent(founded.ok() ? LogLevel::Info : LogLevel::Error, "group_founded",
           founded.ok() ? "this instance makes the group" : messageOf(founded),
           {{"address", toString(Options.Self)}});
}

void GroupMembership::remove(const Member &member, TimePoint now) {
  const absl::Status removed =
      Control.change(now, [&](ConsensusNode &node, ConsensusOutput &output) {
        return node.remove(member.Id, now, output);
      });
  logEvent(LogLevel::Warning, "member_removed",
           removed.ok() ? "a silent member leaves the group"
                        : messageOf(removed),
           {{"address", toString(member.Address)},
            {"member", std::to_string(member.Id.Value)}});
}

absl::Status GroupMembership::admit(const JoinRequest &request, TimePoint now) {
  for (const Member &it : Control.node().members()) {
    if (it.Id == request.From)
      return absl::OkStatus();
    // The former member at this address lost its data folder. One change at a
    // time: the joiner asks again and is added then.
    if (it.Voter && it.Address == request.Address)
      return Control.change(
          now, [&](ConsensusNode &node, ConsensusOutput &output) {
            absl::Status removed = node.remove(it.Id, now, output);
            return removed.ok() ? absl::UnavailableError("being replaced")
                                : removed;
          });
  }
  return Control.change(now, [&](ConsensusNode &node, ConsensusOutput &output) {
    return node.addLearner(
        {request.From, request.Address, false, !request.MayVote}, now, output);
  });
}

void GroupMembership::tick(TimePoint now) {
  if (Control.node().leader())
    LeaderSeenAt = now;
  if (Options.FoundsGroup && Options.MayVote && isLowestSeed() && !isListed())
    found(now);
  if (!Control.isLeader())
    return;
  const std::vector<Member> members = Control.node().members();
  const auto learner = std::ranges::find_if(
      members, [](const Member &it) { return !it.Voter && !it.Relay; });
  if (learner != members.end()) {
    // Refused until the learner has caught up; the next tick asks again.
    (void)Control.change(now,
                         [&](ConsensusNode &node, ConsensusOutput &output) {
                           return node.promote(learner->Id, now, output);
                         });
    return;
  }
  removeSilent(members, now);
}

void GroupMembership::removeSilent(std::span<const Member> members,
                                   TimePoint now) {
  const auto voters =
      static_cast<std::size_t>(std::ranges::count_if(members, &Member::Voter));
  for (const Member &it : members) {
    const std::optional<TimePoint> contact = Control.node().lastContact(it.Id);
    if (!contact)
      continue;
    const Duration silent = now - *contact;
    const bool isGone =
        it.Voter ? silent >= SilentVoter && voters >= MinVotersToShrink
                 : silent >= SilentRelay;
    if (isGone)
      return remove(it, now);
  }
}

bool GroupMembership::needsToJoin(TimePoint now) {
  return !isListed() || now - LeaderSeenAt >= LeaderlessBeforeJoin;
}

std::vector<Endpoint> GroupMembership::toGreet() const {
  const bool hasLeader = Control.node().leader().has_value();
  const bool isListedVoter = Options.MayVote && isListed();
  if (hasLeader ? !Control.isLeader() : !isListedVoter)
    return {};
  std::vector<Endpoint> receivers = Options.Seeds;
  std::erase(receivers, Options.Self);
  for (const Member &it : Control.node().members()) {
    std::erase(receivers, it.Address);
    if (!hasLeader && it.Address != Options.Self)
      receivers.push_back(it.Address);
  }
  return receivers;
}

std::vector<Endpoint> GroupMembership::knownInstances() const {
  if (!isListed())
    return Greeters;
  std::vector<Endpoint> known;
  for (const Member &it : Control.node().members())
    known.push_back(it.Address);
  return known;
}

std::optional<Endpoint> GroupMembership::nextJoinTarget() {
  if (const Endpoint hint = std::exchange(JoinHint, Endpoint{});
      hint.Port != 0 && hint != Options.Self)
    return hint;
  std::vector<Endpoint> targets = Options.Seeds;
  for (const Member &it : Control.node().members())
    targets.push_back(it.Address);
  std::erase(targets, Options.Self);
  if (targets.empty())
    return std::nullopt;
  return targets[NextTarget++ % targets.size()];
}

} // namespace pistachio
