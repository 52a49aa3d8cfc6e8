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
/// their flow table are sent the packet itself. A candidate that replied is not
/// asked again, also if the search is resumed later: a flow does not move.
class HolderSearch {
public:
  explicit HolderSearch(TimePoint startedAt) : StartedAt(startedAt) {}

  /// Records that the upstream of \p agent does not hold the flow or, if
  /// \p isCertain is false, that the agent cannot tell.
  void onNotHeld(const Endpoint &agent, bool isCertain);
  /// Records that the query to \p agent has been sent.
  void onQuerySent(const Endpoint &agent, TimePoint now);
  /// Returns whether advance() may return anything but Wait.
  bool canAdvance(TimePoint now) const;
  /// Returns the next step. \p candidates are all agents that may hold the
  /// flow, most likely ones first; it may differ from call to call.
  SearchStep advance(std::span<const HolderCandidate> candidates,
                     std::size_t firstRound, TimePoint now);
  /// Continues a search that ended with Unanswered: candidates that did not
  /// reply are asked again.
  void resume();
  /// Agents that have not replied in time.
  std::vector<Endpoint> unresponsive() const;
  /// Returns the service for which the agent was queried, if it was.
  std::optional<ServiceNameHash> serviceOf(const Endpoint &agent) const;
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
    Unresponsive
  };
  struct Inquiry {
    HolderCandidate Agent;
    State Status = State::Queried;
    std::uint8_t Queries = 0;
    /// Not set while the query waits to be sent.
    std::optional<TimePoint> SentAt;
  };

  bool isDue(const Inquiry &it, TimePoint now) const;
  void expireInquiries(TimePoint now);
  SearchStep probeUnsure(TimePoint now);
  bool hasStatus(State status) const;

  TimePoint StartedAt;
  std::map<Endpoint, Inquiry> Inquiries;
  std::size_t RoundSize = 0;
  bool Finished = false;
  std::optional<Revision> TableWithoutHolder;
  std::optional<TimePoint> AwaitingSince;
};

} // namespace pistachio
