#pragma once

#include "AgentLoads.h"
#include "FlowEntry.h"
#include "HolderSearch.h"
#include "PlacementPolicy.h"
#include "RankedMembers.h"
#include "SearchBudget.h"

#include "Relay/Relay.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace pistachio {

/// A first packet is dropped after this many agents. Packets carry the count in
/// 8 bits.
inline constexpr std::uint8_t MaxAttempts = 250;

/// The agents that may hold a flow.
struct SearchCandidates {
  std::vector<HolderCandidate> All;
  /// Number of agents that the first round queries.
  std::size_t FirstRound = 0;
};

/// What is known of the upstream to which a first packet of a known flow goes.
enum class HolderState : std::uint8_t {
  /// There is none, or the route sends no new flows to its service.
  None,
  /// It holds the flow, or may still confirm that it does.
  Answering,
  /// It has not confirmed the flow in time.
  Silent
};

/// Its functions are defined in FlowRouter.cpp (packets of known flows, replies
/// of agents), FlowRouterFirstPackets.cpp (placement and waiting),
/// FlowRouterSearch.cpp and FlowRouterExplanation.cpp.
class FlowRouterImpl final : public FlowRouter {
public:
  explicit FlowRouterImpl(FlowRouterOptions options)
      : Options(std::move(options)),
        Policy(makePlacementPolicy(Options.Placement, Options.PlacementSeed)),
        SearchPackets(Options.SearchBytesPerSecond) {}

  RelayDecision onCallerPacket(const FlowPacket &packet,
                               const ServiceTable &table,
                               TimePoint now) override;
  RelayDecision onReturnedPacket(const FlowPacket &packet,
                                 const ReturnedPacket &message,
                                 const Endpoint &agent,
                                 const ServiceTable &table,
                                 TimePoint now) override;
  FlowExplanation explain(const FlowEndpoints &flow, const ServiceTable &table,
                          TimePoint now) const override;
  std::optional<HolderConfirmation> onFlowHeld(const FlowHeld &message,
                                               const Endpoint &agent,
                                               TimePoint now) override;
  RelayDecision onFlowNotHeld(const FlowNotHeld &message,
                              const UpstreamLoad &load, const Endpoint &agent,
                              const ServiceTable &table,
                              TimePoint now) override;
  std::vector<FlowDecision> pollSearches(const ServiceTable &table,
                                         TimePoint now) override;
  bool isSearching() const override;
  WaitingFlows &waiting() override { return Waiting; }
  std::vector<WaitingFlows::Packet> takeWaiting(const ServiceTable &table,
                                                TimePoint now) override;
  bool mayHaveOpened(const FlowPacket &firstPacket) const override;
  void setLinkCongested(bool congested) override {
    IsLinkCongested = congested;
  }
  bool needsConfirmedTable() const override;
  void confirmTable(TimePoint askedAt, Revision committed) override;
  void eraseFoundFlows(std::vector<FlowEndpoints> &flows) const override;
  void onQuerySent(const FlowQuery &query, const Endpoint &agent,
                   TimePoint now) override;
  void tick(TimePoint now) override;
  std::size_t flowCount() const override { return Flows.size(); }

private:
  RelayDecision routeFirstPacket(const FlowPacket &packet,
                                 const RouteRecord &route,
                                 const ServiceTable &table, TimePoint now);
  RelayDecision placeFlow(FlowEntry &entry, const FlowEndpoints &flow,
                          const RouteRecord &route, const ServiceTable &table,
                          TimePoint now);
  RelayDecision deferFirstPacket(FlowEntry &entry, const FlowEndpoints &flow,
                                 const RouteRecord &route, ServiceId service,
                                 std::span<const RankedMember> members,
                                 TimePoint now);
  /// Returns whether the terms of the route decide how its first packets wait.
  bool waitsByTerms(const RouteRecord &route) const;
  Duration maxDeferralOf(const RouteRecord &route) const;
  /// Returns whether a flow of a route with terms may be offered now. It waits
  /// if others do, or if one of \p attempt agents has just declined it.
  bool isNext(WaitTurn turn, std::uint8_t attempt, ServiceId service) const;
  bool hasRoom(const ServiceMember &member, RoomKind kind, TimePoint now) const;
  /// Returns those of the members that may have a free slot or, if there are
  /// none, those that may have a place next in line.
  std::vector<RankedMember> withRoom(std::span<const RankedMember> members,
                                     TimePoint now) const;
  /// Returns the number of waiting flows of the service that may be tried, or
  /// nullopt if the service accepts no flows.
  std::optional<std::size_t>
  countTries(const Service *service, std::size_t allowed, TimePoint now) const;
  HolderState holderStateOf(const FlowEntry &entry, const RouteRecord &route,
                            const ServiceTable &table, TimePoint now) const;
  /// Returns whether a first packet waits if none of \p members can be chosen.
  bool isDeferrable(std::span<const RankedMember> members,
                    TimePoint deferredSince, Duration maxDeferral,
                    TimePoint now) const;
  void explainPlacement(const Service &service, const RouteRecord &route,
                        const ServiceTable &table, const FlowEntry &entry,
                        bool isHolderSilent, TimePoint now,
                        FlowExplanation &out) const;
  ExplainedUpstream explainUpstream(const ServiceMember &member,
                                    const ServiceTable &table,
                                    TimePoint now) const;
  /// Starts or resumes the search for the holder of a flow.
  RelayDecision search(FlowEntry &entry, const FlowEndpoints &flow,
                       const RouteRecord &route, const ServiceTable &table,
                       TimePoint now);
  RelayDecision advanceSearch(FlowEntry &entry, const FlowEndpoints &flow,
                              const RouteRecord &route,
                              const ServiceTable &table, TimePoint now);
  /// Returns the search for the holder of the flow, a new one if there is none.
  HolderSearch &beginSearch(FlowEntry &entry, const FlowEndpoints &flow,
                            TimePoint now);
  void endSearch(FlowEntry &entry, const FlowEndpoints &flow);
  /// What the link allows searches to do, apart from the budget.
  SearchLimits searchLimits() const;
  SearchCandidates candidates(const FlowEndpoints &flow,
                              const RouteRecord &route,
                              const ServiceTable &table, TimePoint now) const;
  static const RouteShare *chooseShare(const FlowEndpoints &flow,
                                       const RouteRecord &route);
  FlowEntry &findOrInsert(const FlowEndpoints &flow, TimePoint now);
  void recordTimeout(const Endpoint &agent, TimePoint now);
  static RelayDecision forwardDecision(const FlowEntry &entry,
                                       RelayReason reason);
  /// Forwards to the current holder a packet that \p visitedAgents agents have
  /// returned.
  static RelayDecision forwardToHolder(const FlowEntry &entry,
                                       std::uint8_t visitedAgents);
  RelayDecision removeFlow(const FlowEndpoints &flow, RelayAction action,
                           RelayReason reason);
  /// Returns whether control has confirmed that the table held all upstreams
  /// and routes at \p since.
  bool isConfirmed(const ServiceTable &table, TimePoint since) const;
  /// Returns whether the search can only go on with another table or a
  /// confirmation.
  bool awaitsTable(const HolderSearch &search, const ServiceTable &table,
                   TimePoint now) const;
  /// Resets a flow whose holder, or whose route, is not in the table, once it
  /// is certain that the table is not older than the flow.
  RelayDecision resetUnlessTableIsOld(const FlowEndpoints &flow,
                                      RelayReason reason,
                                      const ServiceTable &table, TimePoint now);
  /// Resets a flow that no upstream holds.
  RelayDecision resetLostFlow(FlowEntry &entry, const FlowEndpoints &flow,
                              RelayReason reason, TimePoint now);

  FlowRouterOptions Options;
  std::unique_ptr<PlacementPolicy> Policy;
  absl::flat_hash_map<FlowEndpoints, FlowEntry, std::hash<FlowEndpoints>> Flows;
  absl::flat_hash_map<FlowEndpoints, HolderSearch, std::hash<FlowEndpoints>>
      Searches;
  AgentLoads Agents;
  SearchBudget SearchPackets;
  WaitingFlows Waiting;
  /// Arguments of the latest call of confirmTable().
  std::optional<TimePoint> ConfirmedAt;
  Revision ConfirmedRevision;
  TimePoint LastSweep{};
  bool IsLinkCongested = false;
};

} // namespace pistachio
