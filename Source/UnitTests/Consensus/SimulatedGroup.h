#pragma once

#include "Consensus/Consensus.h"
#include "Consensus/MemoryStorage/MemoryLogStorage.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>

namespace pistachio {

/// Thrown by CrashStorage to stop a member in the middle of an operation.
struct Crash {};

enum class CrashPoint : std::uint8_t {
  None,
  BeforeAppend,
  AfterAppend,
  BeforeSync,
  AfterSync,
  BeforeSend
};

/// A storage that loses all unsynced data in a crash.
class CrashStorage final : public LogStorage {
public:
  explicit CrashStorage(MemberId id) : Current(id), Durable(id) {}

  CrashPoint CrashAt = CrashPoint::None;
  bool DiskFull = false;
  /// Disables a mechanism for negative control tests: sync() reports success
  /// without making anything durable.
  bool IgnoresSync = false;

  void crash() {
    Current = Durable;
    CommitIndex = DurableCommitIndex;
  }
  void crashIfAt(CrashPoint point) {
    if (CrashAt == point) {
      CrashAt = CrashPoint::None;
      throw Crash{};
    }
  }

  MemberId identity() const override { return Current.identity(); }
  HardState hardState() const override { return Current.hardState(); }
  std::optional<Snapshot> snapshot() const override {
    return Current.snapshot();
  }
  std::uint64_t firstIndex() const override { return Current.firstIndex(); }
  std::uint64_t lastIndex() const override { return Current.lastIndex(); }
  std::uint64_t term(std::uint64_t i) const override { return Current.term(i); }
  std::vector<LogEntry> entries(std::uint64_t first, std::size_t maxEntries,
                                std::size_t maxBytes) const override {
    return Current.entries(first, maxEntries, maxBytes);
  }
  absl::Status append(std::span<const LogEntry> entries) override {
    crashIfAt(CrashPoint::BeforeAppend);
    if (DiskFull)
      return absl::ResourceExhaustedError("disk full");
    absl::Status status = Current.append(entries);
    crashIfAt(CrashPoint::AfterAppend);
    return status;
  }
  absl::Status truncateFrom(std::uint64_t index) override {
    return Current.truncateFrom(index);
  }
  absl::Status saveHardState(const HardState &state) override {
    return Current.saveHardState(state);
  }
  absl::Status saveSnapshot(const Snapshot &snapshot) override {
    return Current.saveSnapshot(snapshot);
  }
  absl::Status sync() override {
    crashIfAt(CrashPoint::BeforeSync);
    if (!IgnoresSync) {
      Durable = Current;
      DurableCommitIndex = CommitIndex;
    }
    crashIfAt(CrashPoint::AfterSync);
    return absl::OkStatus();
  }

  std::uint64_t savedCommitIndex() const override { return CommitIndex; }
  absl::Status saveCommitIndex(std::uint64_t index) override {
    CommitIndex = index;
    return absl::OkStatus();
  }

private:
  MemoryLogStorage Current;
  MemoryLogStorage Durable;
  std::uint64_t CommitIndex = 0;
  std::uint64_t DurableCommitIndex = 0;
};

/// Message loss, duplication and delay of the simulated network. Delays that
/// are longer than the simulation step reorder messages.
struct NetworkConditions {
  const char *Name = "Clean";
  unsigned LostPerThousand = 0;
  unsigned DuplicatedPerThousand = 0;
  unsigned MaxDelayMs = 1;
};

// Prints the name of the row. The default output contains addresses that differ
// in every run.
inline void
PrintTo(const NetworkConditions &row, // NOLINT(readability-identifier-naming)
        std::ostream *out) {
  *out << row.Name;
}

/// A group of members with a simulated network, simulated disks and simulated
/// time. All checks compare the entries that members emit as committed with the
/// results that proposers and readers have received.
class SimulatedGroup {
public:
  struct Host {
    std::unique_ptr<CrashStorage> Disk;
    std::unique_ptr<ConsensusNode> Node;
    /// The state of the state machine: index and number of each applied
    /// command.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> Applied;
    std::uint64_t LastApplied = 0;
    /// Maps the id of a read to the log index that its result must include.
    std::map<std::uint64_t, std::uint64_t> PendingReads;
  };

  SimulatedGroup(std::size_t n, std::uint64_t seed,
                 NetworkConditions network = {})
      : Network(network), Seed(seed), Random(seed) {
    for (std::size_t i = 0; i < n; ++i) {
      addHost();
      Initial.push_back(member(i));
    }
    for (std::size_t i = 0; i < n; ++i)
      start(i);
  }

  std::size_t addHost() {
    Hosts.emplace_back();
    Hosts.back().Disk = std::make_unique<CrashStorage>(MemberId{NextId++});
    return Hosts.size() - 1;
  }
  Member member(std::size_t i) const {
    return {Hosts[i].Disk->identity(),
            {0x7F000001, static_cast<std::uint16_t>(FirstPort + i)},
            true};
  }
  ConsensusNode &node(std::size_t i) { return *Hosts[i].Node; }

  void start(std::size_t i) { start(i, Initial); }
  void start(std::size_t i, const std::vector<Member> &initial) {
    Host &it = Hosts[i];
    ConsensusOptions options;
    options.Seed = Seed;
    options.InitialMembers = initial;
    it.Applied.clear();
    it.LastApplied = 0;
    it.PendingReads.clear();
    it.Node = makeConsensusNode(options, *it.Disk, Now);
  }
  void startAll() {
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      if (!Hosts[i].Node)
        start(i);
    }
  }
  void crash(std::size_t i) {
    Hosts[i].Node.reset();
    Hosts[i].Disk->crash();
  }
  /// Replaces the disk by an empty one. A wiped folder gets a new identity when
  /// it is next used.
  void wipe(std::size_t i) {
    crash(i);
    Hosts[i].Disk = std::make_unique<CrashStorage>(MemberId{NextId++});
  }
  /// Crashes the member and clears its disk without changing its identity,
  /// which real folders do not allow.
  void clearDiskKeepingIdentity(std::size_t i) {
    const MemberId id = Hosts[i].Disk->identity();
    crash(i);
    Hosts[i].Disk = std::make_unique<CrashStorage>(id);
  }

  void blockLink(std::size_t from, std::size_t to) {
    BlockedLinks.insert({from, to});
  }
  void isolate(std::size_t i, bool incoming, bool outgoing) {
    for (std::size_t j = 0; j < Hosts.size(); ++j) {
      if (incoming)
        blockLink(j, i);
      if (outgoing)
        blockLink(i, j);
    }
  }
  void heal() { BlockedLinks.clear(); }

  void run(Duration time) {
    for (const TimePoint end = Now + time; Now < end;) {
      Now += StepTime;
      deliverDue();
      for (std::size_t i = 0; i < Hosts.size(); ++i)
        runOnNode(i, [&](ConsensusNode &it) { return it.tick(Now); });
      checkLeases();
      checkReads();
    }
  }

  /// Returns the leader with the highest term.
  std::optional<std::size_t> leader() const {
    std::optional<std::size_t> latest;
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      const auto &it = Hosts[i].Node;
      if (it && it->role() == Role::Leader &&
          (!latest || it->term() > Hosts[*latest].Node->term()))
        latest = i;
    }
    return latest;
  }
  std::optional<std::size_t> waitForLeader(Duration limit = Duration(20000)) {
    for (const TimePoint end = Now + limit; !leader() && Now < end;)
      run(StepTime);
    return leader();
  }

  absl::Status propose(std::size_t i, std::size_t payloadBytes = 8) {
    Bytes payload(std::max<std::size_t>(payloadBytes, 8));
    const std::uint64_t number = ++LastCommandNumber;
    for (std::size_t k = 0; k < 8; ++k)
      payload[k] = static_cast<std::byte>(number >> (8 * k));
    absl::Status status;
    runOnNode(i, [&](ConsensusNode &it) {
      ConsensusOutput out;
      const std::uint64_t term = it.term();
      const auto index = it.propose(std::span(&payload, 1), Now, out);
      status = index.status();
      if (index.ok())
        PendingProposals[{i, *index, term}] = number;
      return out;
    });
    return status;
  }
  /// Submits \p n commands to the current leader. Returns false if no leader is
  /// elected in time.
  bool proposeMany(int n, Duration pause = Duration(10)) {
    for (int k = 0; k < n; ++k) {
      const auto i = waitForLeader();
      if (!i)
        return false;
      (void)propose(*i);
      run(pause);
    }
    return true;
  }
  absl::Status
  changeMembership(std::size_t i,
                   absl::Status (ConsensusNode::*call)(MemberId, TimePoint,
                                                       ConsensusOutput &),
                   MemberId id) {
    absl::Status status;
    runOnNode(i, [&](ConsensusNode &it) {
      ConsensusOutput out;
      status = (it.*call)(id, Now, out);
      return out;
    });
    return status;
  }
  absl::Status addLearner(std::size_t i, const Member &member) {
    absl::Status status;
    runOnNode(i, [&](ConsensusNode &it) {
      ConsensusOutput out;
      status = it.addLearner(member, Now, out);
      return out;
    });
    return status;
  }
  /// Delivers a message that no member has sent.
  void inject(std::size_t i, const ConsensusMessage &message) {
    runOnNode(i, [&](ConsensusNode &it) { return it.receive(message, Now); });
  }
  void read(std::size_t i) {
    const std::uint64_t minimumIndex =
        AcceptedCommands.empty() ? 0 : AcceptedCommands.rbegin()->first;
    runOnNode(i, [&](ConsensusNode &it) {
      ConsensusOutput out;
      if (const auto id = it.startRead(Now, out); id.ok())
        Hosts[i].PendingReads[*id] = minimumIndex;
      return out;
    });
  }
  absl::Status compact(std::size_t i) {
    Bytes content;
    for (const auto &[index, number] : Hosts[i].Applied) {
      for (std::size_t k = 0; k < 16; ++k)
        content.push_back(
            static_cast<std::byte>((k < 8 ? index : number) >> (8 * (k % 8))));
    }
    content.resize(content.size() + SnapshotPadding);
    return node(i).compact(content);
  }

  /// Restores all links, restarts all members and waits. The group must then
  /// accept commands, and every member must have applied all commands that were
  /// reported as accepted.
  void healAndVerify() {
    heal();
    Network = {};
    for (Host &it : Hosts)
      it.Disk->CrashAt = CrashPoint::None;
    startAll();
    run(Duration(6000));
    const std::size_t acceptedBefore = AcceptedCommands.size();
    if (!proposeMany(3) ||
        (run(Duration(2000)), AcceptedCommands.size() == acceptedBefore))
      Violations.push_back("the healed group has no leader or has accepted no "
                           "command within 2 s");
    const auto leaderIndex = leader();
    if (!leaderIndex)
      return;
    for (const Member &it : node(*leaderIndex).members())
      checkHasAcceptedCommands(it);
  }

  std::string violations() const {
    std::ostringstream out;
    for (const std::string &it : Violations)
      out << it << "\n";
    return out.str();
  }

  std::vector<Host> Hosts;
  TimePoint Now{Duration(1000)};
  std::vector<std::string> Violations;
  /// Maps the log index to the number of each command that was reported as
  /// accepted to its proposer.
  std::map<std::uint64_t, std::uint64_t> AcceptedCommands;
  std::size_t ReadsServed = 0;
  /// Number of zero bytes that compact() appends, so that a snapshot is sent in
  /// several parts.
  std::size_t SnapshotPadding = 0;
  /// Called with each message before it is delivered.
  std::function<void(ConsensusMessage &)> BeforeDelivery;
  std::mt19937_64 &random() { return Random; }
  NetworkConditions Network;

private:
  static constexpr std::size_t FirstPort = 9000;
  static constexpr Duration StepTime{10};

  struct InFlight {
    std::size_t From;
    std::size_t To;
    ConsensusMessage Message;
  };

  template <typename Call> void runOnNode(std::size_t i, Call call) {
    if (!Hosts[i].Node)
      return;
    try {
      processOutput(i, call(*Hosts[i].Node));
    } catch (const Crash &) {
      crash(i);
    }
  }

  void processOutput(std::size_t i, ConsensusOutput out) {
    if (out.Restored)
      restore(i, *out.Restored);
    for (const LogEntry &it : out.Committed)
      apply(i, it);
    for (OutgoingMessage &it : out.Messages) {
      Hosts[i].Disk->crashIfAt(CrashPoint::BeforeSend);
      sendMessage(i, it);
    }
  }

  std::optional<std::size_t> route(const Member &to) const {
    if (to.Address.Port != 0)
      return to.Address.Port - FirstPort;
    for (std::size_t i = 0; i < Hosts.size(); ++i) {
      if (Hosts[i].Disk->identity() == to.Id)
        return i;
    }
    return std::nullopt;
  }
  void sendMessage(std::size_t from, OutgoingMessage &out) {
    const auto to = route(out.To);
    if (!to || BlockedLinks.contains({from, *to}))
      return;
    const int copies = Random() % 1000 < Network.DuplicatedPerThousand ? 2 : 1;
    for (int k = 0; k < copies; ++k) {
      if (Random() % 1000 < Network.LostPerThousand)
        continue;
      const Duration delay(1 + Random() % Network.MaxDelayMs);
      InFlightMessages.emplace(Now + delay, InFlight{from, *to, out.Message});
    }
  }
  void deliverDue() {
    while (!InFlightMessages.empty() &&
           InFlightMessages.begin()->first <= Now) {
      InFlight it = std::move(InFlightMessages.begin()->second);
      InFlightMessages.erase(InFlightMessages.begin());
      if (BeforeDelivery)
        BeforeDelivery(it.Message);
      runOnNode(it.To,
                [&](ConsensusNode &to) { return to.receive(it.Message, Now); });
    }
  }

  static std::uint64_t load(const Bytes &in, std::size_t at) {
    std::uint64_t value = 0;
    for (std::size_t k = 0; k < 8; ++k)
      value |= std::uint64_t{static_cast<std::uint8_t>(in[at + k])} << (8 * k);
    return value;
  }
  void restore(std::size_t i, const Snapshot &snapshot) {
    Host &it = Hosts[i];
    it.Applied.clear();
    for (std::size_t at = 0; at + 16 <= snapshot.Content.size(); at += 16) {
      if (load(snapshot.Content, at) == 0)
        break;
      it.Applied.emplace_back(load(snapshot.Content, at),
                              load(snapshot.Content, at + 8));
      checkAgreement(i, it.Applied.back().first, it.Applied.back().second);
    }
    it.LastApplied = snapshot.LastIndex;
  }
  void apply(std::size_t i, const LogEntry &entry) {
    Host &it = Hosts[i];
    if (entry.Index != it.LastApplied + 1)
      Violations.push_back("host " + std::to_string(i) + " skips to index " +
                           std::to_string(entry.Index));
    it.LastApplied = entry.Index;
    const bool isCommand = entry.Kind == EntryKind::Command;
    const std::uint64_t number = isCommand ? load(entry.Payload, 0) : 0;
    checkAgreement(i, entry.Index, number);
    if (isCommand)
      it.Applied.emplace_back(entry.Index, number);
    if (PendingProposals.contains({i, entry.Index, entry.Term}))
      AcceptedCommands[entry.Index] = number;
  }
  void checkAgreement(std::size_t i, std::uint64_t index,
                      std::uint64_t number) {
    const auto [it, isNew] = CommittedCommands.emplace(index, number);
    if (!isNew && it->second != number)
      Violations.push_back("host " + std::to_string(i) +
                           " commits another entry at index " +
                           std::to_string(index));
  }
  void checkLeases() {
    std::size_t n = 0;
    for (const Host &it : Hosts)
      n += it.Node && it.Node->hasLeaderLease(Now) ? 1 : 0;
    if (n > 1)
      Violations.push_back("two leaders hold a lease");
  }
  void checkReads() {
    for (Host &it : Hosts) {
      std::erase_if(it.PendingReads, [&](const auto &read) {
        if (!it.Node || !it.Node->isReadConfirmed(read.first))
          return false;
        ++ReadsServed;
        if (it.LastApplied < read.second)
          Violations.push_back("a read misses an accepted change");
        return true;
      });
    }
  }
  void checkHasAcceptedCommands(const Member &member) {
    const Host &it = Hosts[*route(member)];
    std::map<std::uint64_t, std::uint64_t> state(it.Applied.begin(),
                                                 it.Applied.end());
    for (const auto &[index, number] : AcceptedCommands) {
      if (state[index] != number)
        Violations.push_back(
            "the member at port " + std::to_string(member.Address.Port) +
            " lacks the accepted change at index " + std::to_string(index));
    }
  }

  std::uint64_t Seed;
  std::mt19937_64 Random;
  std::uint64_t NextId = 101;
  std::uint64_t LastCommandNumber = 0;
  std::vector<Member> Initial;
  std::multimap<TimePoint, InFlight> InFlightMessages;
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks;
  std::map<std::tuple<std::size_t, std::uint64_t, std::uint64_t>, std::uint64_t>
      PendingProposals;
  std::map<std::uint64_t, std::uint64_t> CommittedCommands;
};

} // namespace pistachio
