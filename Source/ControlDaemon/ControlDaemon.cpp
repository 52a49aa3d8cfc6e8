#include "ControlDaemon/ControlDaemon.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace pistachio {
namespace {

/// Resolution of all timeouts; well below the heartbeat interval of 100 ms.
constexpr Duration TickInterval{20};
/// Interval between join requests to the seeds and known members.
constexpr Duration JoinRequestInterval{250};
/// Delay before a join request is repeated once the leader is known.
constexpr Duration JoinRetryInterval{40};
constexpr Duration DeclarationInterval{500};
/// Interval at which a leader advertises its address to seeds outside the
/// group.
constexpr Duration AdvertiseInterval{250};
/// Balancers have no table until they know a member that has one, which matters
/// after a power failure. The interval equals the leader's heartbeat interval.
constexpr Duration LeaderlessAdvertiseInterval{100};
/// Short compared to a lease of several seconds, so that leases can be granted
/// even if some of these queries are lost.
constexpr Duration LeaderQueryInterval{250};
/// Limits how long a stopping daemon waits for changes in progress.
constexpr Duration StopTimeout{2000};

std::string roleName(Role role) {
  return role == Role::Leader     ? "leader"
         : role == Role::Follower ? "follower"
                                  : "candidate";
}

std::vector<Endpoint> seedsOf(const ControlSettings &settings) {
  std::vector<Endpoint> seeds = settings.Seeds;
  for (const MemberSettings &it : settings.Members)
    seeds.push_back(it.Address);
  return seeds;
}

bool hasNoState(const LogStorage &storage) {
  return storage.lastIndex() == 0 && !storage.snapshot() &&
         storage.hardState().Term == 0;
}

} // namespace

struct ControlDaemon::Metrics {
  std::unique_ptr<MetricsRegistry> Registry = makeMetricsRegistry();
  Gauge &IsLeader = Registry->gauge("pistachio_control_is_leader",
                                    "1 while this member leads");
  Gauge &Term = Registry->gauge("pistachio_control_term", "Term of the log");
  Gauge &CommitIndex = Registry->gauge("pistachio_control_commit_index",
                                       "Last committed log entry");
  Gauge &Published = Registry->gauge("pistachio_control_published_revision",
                                     "Revision of the published table");
  Gauge &Subscribers = Registry->gauge("pistachio_control_subscribers",
                                       "Balancers connected to this member");
  Gauge &Granted = Registry->gauge("pistachio_control_leases_granted",
                                   "Leases granted since the start");
  Gauge &Refused = Registry->gauge("pistachio_control_leases_refused",
                                   "Leases refused since the start");
  Gauge &Applied = Registry->gauge("pistachio_control_rules_applied",
                                   "Rule changes accepted since the start");
  Gauge &RulesRefused = Registry->gauge("pistachio_control_rules_refused",
                                        "Rule changes refused since the start");
  Gauge &QueuedForNodes =
      Registry->gauge("pistachio_control_node_queued_bytes",
                      "Table updates that wait to be sent to nodes, bytes");
  Gauge &SkippedMessages =
      Registry->gauge("pistachio_control_peer_messages_skipped",
                      "Log entries and snapshots held back because a link to a "
                      "member was congested");
};

ControlDaemon::ControlDaemon(boost::asio::io_context &context,
                             ControlSettings settings)
    : Context(context), Settings(std::move(settings)),
      Leases(Duration(Settings.LeaseMs)),
      DaemonMetrics(std::make_unique<Metrics>()) {}

ControlDaemon::~ControlDaemon() = default;

absl::StatusOr<std::unique_ptr<ControlDaemon>>
ControlDaemon::start(boost::asio::io_context &context, ControlSettings settings,
                     bool initialise, const OperatorApiFactory &operatorApi) {
  std::unique_ptr<ControlDaemon> daemon(
      new ControlDaemon(context, std::move(settings)));
  if (absl::Status opened = daemon->open(initialise); !opened.ok())
    return opened;
  if (absl::Status listening = daemon->listen(operatorApi); !listening.ok())
    return listening;
  daemon->Timer =
      startTimer(context, TickInterval, [it = daemon.get()] { it->tick(); });
  logEvent(LogLevel::Info, "control_started", "control instance started",
           {{"name", daemon->Settings.Name},
            {"member", std::to_string(daemon->Control->identity().Value)}});
  return daemon;
}

absl::Status ControlDaemon::open(bool initialise) {
  if (Settings.DataFolder.empty()) {
    Storage = makeMemoryLogStorage(MemberId{makeIncarnation().Value});
  } else {
    auto storage = openFileLogStorage(Settings.DataFolder);
    if (!storage.ok())
      return storage.status();
    Storage = *std::move(storage);
  }
  if (initialise && !hasNoState(*Storage))
    return absl::FailedPreconditionError(
        "data folder " + Settings.DataFolder +
        " already belongs to a group; start without --init");
  ConsensusOptions options;
  options.Seed = std::random_device{}();
  if (initialise)
    options.InitialMembers = {{Storage->identity(), Settings.Peers, true}};
  Links = std::make_unique<PeerLinks>(Context, peerHandlers());
  Control = std::make_unique<ReplicatedControl>(
      ReplicatedControlOptions{}, std::move(options), AnnouncementOptions{},
      *Storage, hooks(), steadyNow());
  GroupMembershipOptions membership;
  membership.Self = Settings.Peers;
  membership.MayVote = !Settings.DataFolder.empty();
  membership.BootstrapsGroup = Settings.FoundGroup && hasNoState(*Storage);
  membership.Seeds = seedsOf(Settings);
  Membership =
      std::make_unique<GroupMembership>(*Control, std::move(membership));
  Calls = std::make_unique<LeaderCalls>(*Control, *Links);
  Nodes = std::make_unique<NodeChannel>(NodeChannelOptions{}, *Control, *Calls,
                                        Leases);
  Backend = std::make_unique<ControlBackend>(*Control, *Calls);
  return Control->health();
}

absl::Status ControlDaemon::listen(const OperatorApiFactory &operatorApi) {
  if (absl::Status status = Links->listen(Settings.Peers); !status.ok())
    return status;
  if (absl::Status status = Nodes->listen(Context, Settings.Nodes);
      !status.ok())
    return status;
  if (operatorApi && Settings.OperatorApi.Port != 0) {
    auto server =
        listenHttp(Context, Settings.OperatorApi, operatorApi(*Backend));
    if (!server.ok())
      return server.status();
    OperatorServer = *std::move(server);
  }
  if (!Settings.Credentials.empty()) {
    AdminServerOptions options;
    options.Listen = Settings.Admin;
    for (const CredentialSettings &it : Settings.Credentials)
      options.Credentials.push_back({it.Team, it.Secret});
    auto admin = startAdminServer(Context, std::move(options), *Backend);
    if (!admin.ok())
      return admin.status();
    Admin = *std::move(admin);
  }
  if (Settings.Metrics.Port == 0 && Settings.OperatorApi.Port != 0)
    return absl::OkStatus();
  auto served = serveMetrics(Context, Settings.Metrics, [this] {
    return DaemonMetrics->Registry->text();
  });
  if (served.ok())
    MetricsServer = *std::move(served);
  else if (Settings.OperatorApi.Port == 0)
    return served.status();
  else // A missing metrics endpoint must not prevent the daemon from serving.
    logEvent(LogLevel::Error, "metrics_not_served", messageOf(served.status()));
  return absl::OkStatus();
}

ReplicatedControl::Hooks ControlDaemon::hooks() {
  ReplicatedControl::Hooks hooks;
  hooks.Send = [this](const OutgoingMessage &it) {
    Links->send(it.To.Address, it.Message);
  };
  hooks.OnPublished = [this] {
    logRouting();
    if (!Nodes)
      return;
    Nodes->publish();
    Calls->onPublished();
  };
  // The handler runs after all messages that are ready to be read have been
  // processed. Their commands are appended together with one sync.
  hooks.OnQueued = [this] {
    boost::asio::post(Context, [this] { Control->flush(steadyNow()); });
  };
  return hooks;
}

PeerLinks::Handlers ControlDaemon::peerHandlers() {
  PeerLinks::Handlers handlers;
  handlers.OnConsensus = [this](const ConsensusMessage &it) {
    onConsensus(it);
  };
  handlers.OnCall = [this](const PeerMessage &it,
                           const PeerLinks::SendReply &reply) {
    Calls->onCall(it, reply);
  };
  return handlers;
}

void ControlDaemon::onConsensus(const ConsensusMessage &message) {
  const TimePoint now = steadyNow();
  if (const auto *request = std::get_if<JoinRequest>(&message))
    return Links->send(Endpoint{}, Membership->onJoinRequest(*request, now));
  if (const auto *reply = std::get_if<JoinReply>(&message)) {
    Membership->onJoinReply(*reply, now);
    // The leader is known but has not accepted the request; another membership
    // change may be in progress. The next request is sent after
    // JoinRetryInterval.
    if (!reply->Accepted && reply->Leader.Port != 0)
      LastJoinRequest = now - JoinRequestInterval + JoinRetryInterval;
    return;
  }
  Control->receive(message, now);
  // A leader that sends requests to this address still lists it for an instance
  // that has lost its state. This instance may not know any other member, so it
  // sends its join request to this leader. These requests have a rate limit of
  // their own because the requests to the seeds nearly always use up theirs.
  if (std::holds_alternative<AppendRequest>(message) &&
      Membership->needsToJoin(now) &&
      now - LastJoinRequestToLeader >= JoinRetryInterval) {
    LastJoinRequestToLeader = now;
    Links->send(Endpoint{}, Membership->joinRequest());
  }
}

void ControlDaemon::tick() {
  const TimePoint now = steadyNow();
  Control->tick(now);
  Membership->tick(now);
  Links->tick(now);
  Nodes->tick(now);
  Calls->tick(now);
  Backend->tick(now);
  updateMembers();
  if (Membership->needsToJoin(now))
    sendJoinRequest(now);
  declareDataCentres(now);
  advertiseAddress(now);
  updateKnownInstances();
  confirmLeader(now);
  logRoleChange();
  const ConsensusNode &node = Control->node();
  DaemonMetrics->IsLeader.set(Control->isLeader() ? 1 : 0);
  DaemonMetrics->Term.set(static_cast<double>(node.term()));
  DaemonMetrics->CommitIndex.set(static_cast<double>(node.commitIndex()));
  DaemonMetrics->Published.set(
      static_cast<double>(Control->state().publishedRevision().Value));
  DaemonMetrics->Subscribers.set(static_cast<double>(Nodes->subscribers()));
  DaemonMetrics->Granted.set(static_cast<double>(Nodes->leasesGranted()));
  DaemonMetrics->Refused.set(static_cast<double>(Nodes->leasesRefused()));
  DaemonMetrics->Applied.set(static_cast<double>(Backend->appliedCount()));
  DaemonMetrics->RulesRefused.set(static_cast<double>(Backend->refusedCount()));
  DaemonMetrics->QueuedForNodes.set(static_cast<double>(Nodes->queuedBytes()));
  DaemonMetrics->SkippedMessages.set(
      static_cast<double>(Links->skippedMessages()));
  if (absl::Status health = Control->health(); !health.ok())
    fail(std::move(health));
  if (StopDeadline)
    finishStop(now);
}

void ControlDaemon::sendJoinRequest(TimePoint now) {
  if (now - LastJoinRequest < JoinRequestInterval)
    return;
  LastJoinRequest = now;
  if (const auto target = Membership->nextJoinTarget())
    Links->send(*target, Membership->joinRequest());
}

/// Upstreams and balancers of a data centre are accepted only once the rules
/// declare the data centre.
void ControlDaemon::declareDataCentres(TimePoint now) {
  // A new leader may not yet have applied all entries that earlier leaders
  // committed.
  if (!Control->holdsLeaderLease(now) ||
      now - LastDeclaration < DeclarationInterval)
    return;
  LastDeclaration = now;
  for (const std::string &it : Settings.DataCentres) {
    if (!Control->state().findDataCentre(it))
      Backend->setDataCentre(
          it, DataCentreChange::Declare, [] { return false; },
          [it](const absl::Status &status) {
            logEvent(status.ok() ? LogLevel::Info : LogLevel::Warning,
                     "data_centre_declared",
                     status.ok() ? "" : messageOf(status),
                     {{"data_centre", it}});
          });
  }
}

/// Seeds and relays may all have lost their state and know only each other, so
/// the members of the group tell them their address.
void ControlDaemon::advertiseAddress(TimePoint now) {
  const Duration interval = Control->node().leader()
                                ? AdvertiseInterval
                                : LeaderlessAdvertiseInterval;
  if (now - LastAdvertisement < interval)
    return;
  LastAdvertisement = now;
  for (const Endpoint &it : Membership->advertiseTargets())
    Links->send(it, JoinReply{false, Settings.Peers});
}

/// Instances that find each other by seeds all use the same ports.
void ControlDaemon::updateKnownInstances() {
  if (Settings.Seeds.empty())
    return;
  std::vector<Endpoint> instances = Membership->knownInstances();
  for (Endpoint &it : instances)
    it.Port = Settings.Nodes.Port;
  Nodes->setInstances(std::move(instances));
}

void ControlDaemon::reload(const ControlSettings &settings) {
  Settings.Seeds = settings.Seeds;
  Membership->setSeeds(seedsOf(Settings));
}

void ControlDaemon::updateMembers() {
  std::vector<Member> members = Control->node().members();
  if (members == LastMembers)
    return;
  Links->closeAllExcept(members);
  Links->connect(members, Settings.Peers);
  logMembers(members);
  LastMembers = std::move(members);
}

void ControlDaemon::logMembers(std::span<const Member> members) const {
  const auto isListed = [](std::span<const Member> list, const Member &member) {
    return std::ranges::find(list, member.Id, &Member::Id) != list.end();
  };
  const auto isNew = [&](const Member &it) {
    return !isListed(LastMembers, it);
  };
  const auto isGone = [&](const Member &it) { return !isListed(members, it); };
  if (std::ranges::any_of(members, isNew) ||
      std::ranges::any_of(LastMembers, isGone))
    logEvent(LogLevel::Info, "members_changed", "members of the group changed",
             {{"members", std::to_string(members.size())}});
  for (const Member &it : LastMembers) {
    const auto now = std::ranges::find(members, it.Id, &Member::Id);
    if (!it.Voter && now != members.end() && now->Voter)
      logEvent(LogLevel::Info, "member_promoted",
               "a learner has caught up and votes from now on",
               {{"address", toString(it.Address)},
                {"member", std::to_string(it.Id.Value)}});
  }
}

void ControlDaemon::confirmLeader(TimePoint now) {
  if (now - LastLeaderQuery < LeaderQueryInterval)
    return;
  LastLeaderQuery = now;
  Calls->confirmLeader([this, now](std::uint64_t commitIndex) {
    Leases.onConfirmed(now, commitIndex);
  });
}

void ControlDaemon::logRoleChange() {
  const Role role = Control->node().role();
  if (role == LastRole)
    return;
  LastRole = role;
  logEvent(LogLevel::Info, "role_changed",
           "role of this member in the group changed",
           {{"role", roleName(role)},
            {"term", std::to_string(Control->node().term())}});
}

void ControlDaemon::logRouting() {
  const ControlState &state = Control->state();
  if (state.routing().Version == LastRoutingVersion)
    return;
  LastRoutingVersion = state.routing().Version;
  logEvent(LogLevel::Info, "routing_published",
           "this instance has applied another version of the routing",
           {{"version", std::to_string(LastRoutingVersion)},
            {"revision", std::to_string(state.publishedRevision().Value)}});
}

void ControlDaemon::fail(absl::Status reason) {
  if (!ExitStatus.ok())
    return;
  logEvent(LogLevel::Error, "control_failed", messageOf(reason));
  ExitStatus = std::move(reason);
  Context.stop();
}

void ControlDaemon::stop() {
  if (StopDeadline)
    return;
  logEvent(LogLevel::Info, "control_stopping",
           "stop requested; waiting for changes in progress");
  StopDeadline = steadyNow() + StopTimeout;
}

void ControlDaemon::finishStop(TimePoint now) {
  if (Control->hasPendingCommands() && now < *StopDeadline)
    return;
  Timer->stop();
  if (OperatorServer)
    OperatorServer->stop();
  if (Admin)
    Admin->stop();
  if (MetricsServer)
    MetricsServer->stop();
  Nodes->stop();
  Links->stop();
  logEvent(LogLevel::Info, "control_stopped", "control instance stopped");
  Context.stop();
}

} // namespace pistachio
