#include "ControlDaemon/GroupMembership.h"

#include "Telemetry/Telemetry.h"

#include <algorithm>
#include <utility>

namespace pistachio {
namespace {

/// A voter that has not answered for this long is down or has been replaced.
/// Longer than an election plus a short restart of its process.
constexpr Duration SilentVoterTimeout{4000};

/// A learner or relay that is removed joins again by itself when it returns.
/// Longer than a restart, which would otherwise change the membership twice.
constexpr Duration SilentLearnerTimeout{30000};

/// With fewer voters, a silent voter is not removed: the smaller group could
/// not tolerate any more failures, and the voter may return with its disk
/// intact.
constexpr std::size_t MinVotersForRemoval = 4;

/// A member that has had no leader for this long sends join requests, in case
/// the group has removed it. Three times the maximum election timeout.
constexpr Duration LeaderlessJoinTimeout{2400};

} // namespace

bool GroupMembership::isLowestSeed() const {
  return !Options.Seeds.empty() &&
         *std::ranges::min_element(Options.Seeds) == Options.Self;
}

bool GroupMembership::isInGroup() const {
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
  // Only the instance at the lowest seed address selects which instance creates
  // the group, so that exactly one group is created.
  if (!Options.BootstrapsGroup || Options.MayVote || !isLowestSeed() ||
      isInGroup())
    return {};
  if (!Bootstrapper && request.MayVote)
    Bootstrapper = request;
  if (!Bootstrapper)
    return {};
  return {false, Bootstrapper->Address, Bootstrapper->From == request.From};
}

void GroupMembership::onJoinReply(const JoinReply &reply, TimePoint now) {
  SuggestedJoinTarget = reply.Leader;
  if (reply.Leader.Port != 0 && AdvertisedInstances.size() < MaxMembers &&
      std::ranges::find(AdvertisedInstances, reply.Leader) ==
          AdvertisedInstances.end())
    AdvertisedInstances.push_back(reply.Leader);
  if (reply.ShouldBootstrap && Options.BootstrapsGroup && Options.MayVote &&
      !isInGroup())
    bootstrapGroup(now);
}

void GroupMembership::bootstrapGroup(TimePoint now) {
  const Member self{Control.identity(), Options.Self, true};
  const absl::Status bootstrapped = Control.changeMembership(
      now, [&](ConsensusNode &node, ConsensusOutput &) {
        return node.bootstrapGroup(std::span(&self, 1), now);
      });
  logEvent(bootstrapped.ok() ? LogLevel::Info : LogLevel::Error,
           "group_founded",
           bootstrapped.ok() ? "this instance has created the group"
                             : messageOf(bootstrapped),
           {{"address", toString(Options.Self)}});
}

void GroupMembership::remove(const Member &member, TimePoint now) {
  const absl::Status removed = Control.changeMembership(
      now, [&](ConsensusNode &node, ConsensusOutput &output) {
        return node.remove(member.Id, now, output);
      });
  logEvent(LogLevel::Warning, "member_removed",
           removed.ok() ? "removing a silent member from the group"
                        : messageOf(removed),
           {{"address", toString(member.Address)},
            {"member", std::to_string(member.Id.Value)}});
}

absl::Status GroupMembership::admit(const JoinRequest &request, TimePoint now) {
  for (const Member &it : Control.node().members()) {
    if (it.Id == request.From)
      return absl::OkStatus();
    // The previous member at this address has lost its data folder and is
    // removed first. Only one membership change can be in progress, so the
    // joining instance is added when it repeats its request.
    if (it.Voter && it.Address == request.Address)
      return Control.changeMembership(now, [&](ConsensusNode &node,
                                               ConsensusOutput &output) {
        absl::Status removed = node.remove(it.Id, now, output);
        return removed.ok()
                   ? absl::UnavailableError(
                         "the former member at this address is being removed; "
                         "retry the join")
                   : removed;
      });
  }
  return Control.changeMembership(now, [&](ConsensusNode &node,
                                           ConsensusOutput &output) {
    return node.addLearner(
        {request.From, request.Address, false, !request.MayVote}, now, output);
  });
}

void GroupMembership::tick(TimePoint now) {
  if (Control.node().leader())
    LeaderLastKnownAt = now;
  if (Options.BootstrapsGroup && Options.MayVote && isLowestSeed() &&
      !isInGroup())
    bootstrapGroup(now);
  if (!Control.isLeader())
    return;
  const std::vector<Member> members = Control.node().members();
  if (!promoteLearner(members, now))
    removeSilentMember(members, now);
}

/// Promotes the first learner that has caught up. A learner that is gone or
/// slow must not delay the promotion of others.
bool GroupMembership::promoteLearner(std::span<const Member> members,
                                     TimePoint now) {
  return std::ranges::any_of(members, [&](const Member &it) {
    return !it.Voter && !it.Relay &&
           Control
               .changeMembership(
                   now,
                   [&](ConsensusNode &node, ConsensusOutput &output) {
                     return node.promote(it.Id, now, output);
                   })
               .ok();
  });
}

void GroupMembership::removeSilentMember(std::span<const Member> members,
                                         TimePoint now) {
  const auto voters =
      static_cast<std::size_t>(std::ranges::count_if(members, &Member::Voter));
  for (const Member &it : members) {
    const std::optional<TimePoint> contact = Control.node().lastContact(it.Id);
    if (!contact)
      continue;
    const Duration silent = now - *contact;
    const bool isExpired =
        it.Voter ? silent >= SilentVoterTimeout && voters >= MinVotersForRemoval
                 : silent >= SilentLearnerTimeout;
    if (isExpired)
      return remove(it, now);
  }
}

bool GroupMembership::needsToJoin(TimePoint now) {
  return !isInGroup() || now - LeaderLastKnownAt >= LeaderlessJoinTimeout;
}

std::vector<Endpoint> GroupMembership::advertiseTargets() const {
  const bool hasLeader = Control.node().leader().has_value();
  const bool isVoterInGroup = Options.MayVote && isInGroup();
  if (hasLeader ? !Control.isLeader() : !isVoterInGroup)
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
  if (!isInGroup())
    return AdvertisedInstances;
  // Nodes are sent to voters. An instance without a disk may be a small one
  // that cannot carry the tables of many nodes; it serves those that find no
  // voter.
  std::vector<Endpoint> voters;
  for (const Member &it : Control.node().members())
    if (it.Voter)
      voters.push_back(it.Address);
  return voters;
}

std::optional<Endpoint> GroupMembership::nextJoinTarget() {
  if (const Endpoint hint = std::exchange(SuggestedJoinTarget, Endpoint{});
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
