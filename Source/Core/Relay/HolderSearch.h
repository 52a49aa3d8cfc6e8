#pragma once

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace pistachio {

/// An agent that may hold a flow.
struct HolderCandidate {
  Endpoint Agent;
  ServiceNameHash Service;
  /// The agent has replied to a query before. Agents of earlier releases know
  /// no queries; they are sent a packet of the flow instead.
  bool AnswersQueries = false;
  /// The agent has replied to another search lately that it cannot tell, so a
  /// query would bring nothing.
  bool CannotTell = false;
};

/// What the balancer's own link allows a search to do.
struct SearchLimits {
  /// How long a datagram may wait in the balancer after it was sent. Replies
  /// are awaited that much longer.
  Duration SendDelay{0};
  /// The packet itself may be sent to agents.
  bool MaySendPacket = true;
};

/// What a search does next.
struct SearchStep {
  enum class Kind : std::uint8_t {
    /// Replies are outstanding.
    Wait,
    /// Send a FlowQuery to each of Agents.
    Query,
    /// Send the packet itself to each of Agents, all of which have the same
    /// service.
    Probe,
    /// Send the packet along one chain for each MaxChainedAgents of Agents: to
    /// the first agent, which passes it on to the next one, and so on. All have
    /// the same service.
    Chain,
    /// Every candidate has replied that it does not hold the flow.
    NotFound,
    /// Some candidates have not replied, so the flow may still exist.
    Unanswered
  };
  Kind Action = Kind::Wait;
  std::vector<HolderCandidate> Agents{};
};

/// The search for the agent whose upstream holds a flow. Candidates are queried
/// in their order, in rounds that grow. Only candidates that cannot tell from
/// their flow table are sent the packet itself: those that have replied to the
/// query in a chain, one after the other, and the rest directly. A candidate
/// that replied is not asked again, also if the search is resumed later: a flow
/// does not move. The exception is a candidate that a later table has under
/// another service: agents deny every flow for a service that is not theirs.
class HolderSearch {
public:
  /// If \p usesChains is false, the packet is only sent directly.
  explicit HolderSearch(TimePoint startedAt, bool usesChains = true)
      : StartedAt(startedAt), UsesChains(usesChains) {}

  /// Records that the upstream of \p agent does not hold the flow or, if
  /// \p isCertain is false, that the agent cannot tell.
  void onNotHeld(const Endpoint &agent, bool isCertain, TimePoint now);
  /// Records that the agent has returned the packet instead of passing it on.
  /// \p refusedService is set if it did so because it is not of this service.
  void onReturned(const Endpoint &agent,
                  std::optional<ServiceNameHash> refusedService, TimePoint now);
  /// Records that the query to \p agent has been sent.
  void onQuerySent(const Endpoint &agent, TimePoint now);
  /// Returns whether advance() may return anything but Wait.
  bool canAdvance(TimePoint now, const SearchLimits &limits = {}) const;
  /// Returns whether advance() needs SearchLimits::MaySendPacket to return
  /// anything but Wait.
  bool needsPacket() const;
  /// Returns the next step. \p candidates are all agents that may hold the
  /// flow, most likely ones first; it may differ from call to call.
  SearchStep advance(std::span<const HolderCandidate> candidates,
                     std::size_t firstRound, TimePoint now,
                     const SearchLimits &limits = {});
  /// Continues a search that ended with Unanswered: candidates that did not
  /// reply are asked again.
  void resume();
  /// Agents that have replied to nothing in time. An agent that replied to a
  /// query is none of them: its upstream may be at work on the packet.
  std::vector<Endpoint> unresponsive() const;
  /// Returns the service for which the agent was asked, if it was.
  std::optional<ServiceNameHash> serviceOf(const Endpoint &agent) const;
  /// Returns whether the packet was sent to the agent, directly or in a chain.
  bool wasSentPacket(const Endpoint &agent) const;
  bool isFinished() const { return Finished; }
  /// Continues a search that ended with NotFound in a table of \p revision. A
  /// later table may have further candidates.
  void awaitTable(Revision revision, TimePoint now);
  /// The revision of awaitTable(). None unless the search waits for a later
  /// table, or for the confirmation that there is none.
  std::optional<Revision> tableWithoutHolder() const {
    return TableWithoutHolder;
  }
  /// When the first table was found not to name the holder.
  std::optional<TimePoint> awaitingSince() const { return AwaitingSince; }
  TimePoint startedAt() const { return StartedAt; }

private:
  enum class State : std::uint8_t {
    Queried,
    NotHeld,
    /// The agent cannot tell, or may know no queries.
    Unsure,
    Probed,
    /// In a chain, and has not replied yet.
    Chained,
    /// The chain stopped at this agent, which was then sent the packet
    /// directly.
    Retried,
    Unresponsive
  };
  struct Inquiry {
    HolderCandidate Agent;
    /// The service for which the agent was asked last. None if its upstream has
    /// returned a packet unasked, which is valid for any service.
    std::optional<ServiceNameHash> AskedFor;
    State Status = State::Queried;
    std::uint8_t Queries = 0;
    /// The agent has replied to a query, of this search or of another one
    /// lately.
    bool HasReplied = false;
    bool WasSentPacket = false;
    /// Number of the agent's chain. Set for Chained and Retried.
    std::size_t Chain = 0;
    /// Not set while the query waits to be sent.
    std::optional<TimePoint> SentAt;
  };

  /// Updates what is known of the candidates, and forgets the replies that were
  /// for another service.
  void updateCandidates(std::span<const HolderCandidate> candidates);
  bool isDue(const Inquiry &it, TimePoint now, Duration sendDelay) const;
  void expireInquiries(TimePoint now, Duration sendDelay);
  /// Sends the packet to agents that cannot tell.
  SearchStep askUnsure(std::span<const HolderCandidate> candidates,
                       TimePoint now);
  /// Sends the packet to the agents at which the chains have stopped.
  SearchStep retryChains(TimePoint now);
  void recordChainProgress(TimePoint now);
  /// The agents of the chain that have not replied are asked again.
  void releaseChain(std::size_t chain);
  bool hasStatus(State status) const;

  TimePoint StartedAt;
  std::map<Endpoint, Inquiry> Inquiries;
  std::size_t RoundSize = 0;
  bool UsesChains;
  /// The agents of the latest chains, in their order.
  std::vector<Endpoint> ChainedAgents;
  /// When the chains have made no progress for too long.
  TimePoint ChainDueAt{};
  /// Latest time for ChainDueAt.
  TimePoint ChainsEndAt{};
  /// Number of times that chains were due.
  std::uint8_t ChainStops = 0;
  bool Finished = false;
  std::optional<Revision> TableWithoutHolder;
  std::optional<TimePoint> AwaitingSince;
};

} // namespace pistachio
