#pragma once

/// Public header of the Relay library: routing of flows whose packets the
/// system forwards without looking at their data. A balancer uses FlowRouter to
/// find the agent for each packet; an agent uses UpstreamRelay to decide which
/// packets reach the upstream on its machine. The library contains no sockets,
/// threads or clocks: callers pass the time in and send the datagrams.

#include "Common/Common.h"
#include "Relay/LinkScheduler.h"
#include "Relay/WaitingFlows.h"
#include "Routing/Routing.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace pistachio {

/// The header fields of a packet that the decisions need.
struct FlowPacket {
  Endpoint Source;
  Endpoint Destination;
  /// Set in the first packet of a flow and, together with Acknowledges, in the
  /// upstream's answer to it.
  bool Opens = false;
  bool Acknowledges = false;
  bool Ends = false;
  bool Resets = false;
  /// The upstream returns the packet, because it does not hold the flow or does
  /// not accept it.
  bool Returned = false;
  std::uint32_t Sequence = 0;
  /// In a first packet: how often the caller has sent it before.
  std::uint32_t Acknowledgement = 0;
  std::uint16_t DataBytes = 0;
  /// Set by the agent before it delivers the packet. A returned packet still
  /// has it, so the agent can look up which balancer sent the packet.
  std::uint32_t Tag = 0;
};

/// Decodes and edits the headers of opaque packets.
class PacketFormat {
public:
  virtual ~PacketFormat() = default;
  /// Returns nullopt if \p buf is not a packet.
  virtual std::optional<FlowPacket>
  decode(std::span<const std::byte> buf) const = 0;
  virtual void setTag(std::span<std::byte> buf, std::uint32_t tag) const = 0;
  /// Restores a packet that the upstream returned to the form in which the
  /// balancer sent it: clears FlowPacket::Tag and FlowPacket::Returned.
  virtual void clearTagAndReturned(std::span<std::byte> buf) const = 0;
  /// Builds a reset for the sender of \p packet. It works for an open flow and
  /// for one that is about to open.
  virtual Bytes makeReset(const FlowPacket &packet) const = 0;
};

ServiceNameHash hashServiceName(std::string_view name);

/// Every node computes the same hash for a flow. It determines the order in
/// which a search queries the agents.
std::uint64_t hashFlowEndpoints(const FlowEndpoints &flow);

std::string toString(const FlowEndpoints &flow);

enum class RelayAction : std::uint8_t {
  /// Send the packet to agents. With RelayReason::Search it is also kept, as
  /// for Query.
  Forward,
  Reset,
  Drop,
  /// Keep the packet and route it again after a short delay, or add it to
  /// FlowRouter::waiting() if RelayDecision::Wait is set.
  Defer,
  /// Keep the packet, which replaces an earlier one of its flow, and send a
  /// FlowQuery to each of RelayDecision::Queries. A later decision of the
  /// router says what becomes of the packet.
  Query
};

enum class RelayReason : std::uint8_t {
  /// The agent whose upstream holds the flow is known.
  Held,
  /// A first packet was assigned to the least loaded upstream.
  Placed,
  /// The holder of the flow is unknown; agents are queried for it.
  Search,
  NoRoute,
  NoTable,
  /// No upstream of the service accepts new flows.
  NoUpstream,
  /// All upstreams are busy, but at least one should accept the flow soon.
  Busy,
  /// All candidates have answered that they do not hold the flow.
  Unknown,
  /// At least one candidate has not answered, so the flow may still exist.
  Unanswered,
  /// The agent that held the flow has returned a packet of it: the upstream has
  /// lost the flow, and no other one can have it.
  HolderLost,
  /// The table names no holder, but may be older than the flow. Control is
  /// asked for the latest revision.
  AwaitsTable,
  /// Control has not confirmed the table in time.
  Unconfirmed,
  /// The link of the balancer cannot carry the data of another new flow in
  /// time. The first packet has not been forwarded.
  LinkFull,
  Max = LinkFull
};

std::string_view nameOf(RelayAction action);
std::string_view nameOf(RelayReason reason);

/// An agent that is asked whether its upstream holds a flow.
struct QueryTarget {
  Endpoint Agent;
  ServiceNameHash Service;
};

struct RelayDecision {
  RelayAction Action = RelayAction::Drop;
  RelayReason Reason = RelayReason::NoTable;
  /// Set for Forward only.
  Endpoint Agent{};
  /// In a search, further agents that are sent the same packet.
  std::vector<Endpoint> OtherAgents{};
  /// The agents are sent the messages of makeChains() instead.
  bool IsChain = false;
  /// Set for Query only. Empty if the search waits for replies.
  std::vector<QueryTarget> Queries{};
  ServiceNameHash Service{};
  std::uint8_t Attempt = 0;
  /// The holder is not confirmed yet; the agent is asked to confirm it with a
  /// FlowHeld message.
  bool NeedsConfirmation = false;
  /// When the flow was placed on the agent or the agent was found to hold it.
  /// Set for RelayReason::Held and RelayReason::Placed.
  TimePoint HolderSince{};
  /// Same meaning as in RelayedPacket.
  std::uint32_t ColdMilliflowsPerSecond = UnlimitedColdRate;
  /// Set for Defer if the terms of the route decide how long the packet waits.
  std::optional<WaitTerms> Wait{};
};

/// Returns the messages that send a packet along the chains of a decision, each
/// with the agent that is sent it. A chain has at most MaxChainedAgents agents.
std::vector<std::pair<Endpoint, ChainedPacket>>
makeChains(const RelayDecision &decision, std::span<const std::byte> packet);

/// How the upstream of a new flow is chosen.
enum class PlacementKind : std::uint8_t {
  /// The upstream with the lowest known load.
  LeastLoaded,
  /// A random upstream, weighted by its free capacity, among those that may be
  /// the least loaded, given the age of what is known of their loads.
  ExpectedWait,
  /// ExpectedWait while the candidates state clearly different times for a
  /// request, LeastLoaded otherwise.
  Adaptive
};

/// Returns the name of the balancer's setting "placement".
std::string_view nameOf(PlacementKind kind);

struct FlowRouterOptions {
  /// New flows prefer upstreams in the balancer's own data centre.
  std::string DataCentre;
  /// Number of flows kept in memory. One of them is evicted when a further flow
  /// arrives.
  std::size_t MaxFlows = 65536;
  /// A flow is removed after this long without a packet.
  Duration FlowIdleTimeout{60000};
  /// If an agent does not answer a first packet or a query within this time,
  /// another agent is tried. The value is ten round trips between data centres
  /// and lies below the interval at which callers repeat their first packet.
  Duration AnswerTimeout{150};
  /// How long an agent that did not answer gets no new flows.
  Duration UnresponsivePenalty{1000};
  /// Longest time for which the reset of a flow waits for control to confirm
  /// that the table is not older than the flow. Longer than the election of a
  /// leader: a flow that no upstream holds is reset late while control cannot
  /// be reached, but one that is held is not broken by a planned restart.
  Duration ConfirmationTimeout{3000};
  /// Longest time for which a first packet is deferred until an upstream is
  /// free, if its route states no objective. It equals the shortest
  /// response-time goal of the deployments.
  Duration MaxDeferral{100};
  /// First packets of routes that state an objective or an urgency wait in an
  /// order, as WaitingFlows describes.
  bool WaitsByTerms = true;
  /// Bounds this time on routes with an objective: callers give up after 1.4 s.
  Duration MaxDeferralByObjective{1000};
  /// In a search, agents that cannot tell whether they hold the flow pass its
  /// packet on to each other. If false, the balancer sends it to each of them.
  bool UsesChains = true;
  /// Limit on the packets that searches send, for a balancer with a narrow
  /// link. Queries have a limit of their own (QueryBatcherOptions).
  std::optional<std::uint32_t> SearchBytesPerSecond{};
  PlacementKind Placement = PlacementKind::LeastLoaded;
  /// Seed of the random choices of PlacementKind::ExpectedWait. Balancers with
  /// different seeds choose differently if they know the same loads.
  std::uint64_t PlacementSeed = 0;
};

/// Buffer for packets that cannot be forwarded yet, because the balancer has no
/// table or because all upstreams are busy. It keeps the latest packet of each
/// flow, for a limited number of flows, and discards packets that are older
/// than 1200 ms.
class DeferredPackets {
public:
  /// Callers give up on a first packet after 1.4 s; an older packet would only
  /// open flows that nobody waits for.
  static constexpr Duration MaxAge{1200};

  struct Packet {
    Bytes Data;
    TimePoint Arrived{};
    /// See markSent().
    bool WasSent = false;
  };

  void add(const FlowEndpoints &flow, std::span<const std::byte> buf,
           TimePoint arrived);
  /// Records that the packet \p buf was sent in a search. It does nothing if
  /// the packet of the flow is another one.
  void markSent(const FlowEndpoints &flow, std::span<const std::byte> buf);
  /// Removes and returns the packet of a flow, or nullopt if there is none that
  /// has not expired.
  std::optional<Packet> takeOne(const FlowEndpoints &flow, TimePoint now);
  /// Returns the packet of a flow, or nullptr.
  const Packet *find(const FlowEndpoints &flow) const;
  /// Removes expired packets.
  void expire(TimePoint now);
  /// Empties the buffer and returns the packets that have not expired, newest
  /// first.
  std::vector<Packet> take(TimePoint now);
  std::size_t size() const { return Packets.size(); }

private:
  std::map<FlowEndpoints, Packet> Packets;
};

/// Reports that the holder of a flow has been confirmed.
struct HolderConfirmation {
  /// True if a search found the holder, false if the flow was newly placed.
  bool BySearch = false;
  Duration Elapsed{0};
  /// The search has sent the holder the packet that was kept for it.
  bool GotPacket = false;
};

/// A decision on the kept packet of a flow.
struct FlowDecision {
  FlowEndpoints Flow;
  RelayDecision Decision;
};

/// Whether an upstream may be chosen for a new flow, and why not.
enum class OfferState : std::uint8_t {
  Eligible,
  Draining,
  /// Control suspects that the upstream has failed.
  Suspect,
  /// Its agent has not answered in time.
  Silent,
  /// Its agent has declined a flow.
  Declined,
  DataCentreOut,
  /// An upstream of an earlier tier is eligible.
  LaterTier,
  /// The agent is expected to decline. Only on routes whose terms decide how
  /// first packets wait.
  NoRoom,
  Max = NoRoom
};

std::string_view nameOf(OfferState state);

/// What a balancer knows of an upstream when it places a flow.
struct ExplainedUpstream {
  UpstreamId Id;
  Endpoint Agent;
  std::string DataCentre;
  bool IsLocal = false;
  /// Not set for an upstream that takes no part in the ranking because its data
  /// centre is out.
  std::optional<std::uint32_t> Tier;
  OfferState State = OfferState::Eligible;
  /// Remaining time of the states Silent and Declined.
  Duration StateEndsIn{0};
  /// The latest report, and its age. Not set if the agent has sent none.
  std::optional<UpstreamLoad> Report;
  Duration ReportAge{0};
  /// Flows that this balancer has placed on the agent since the report.
  std::uint32_t PlacedSinceReport = 0;
  /// The figure by which the upstreams are compared. Not set for those that are
  /// left out.
  std::optional<double> Load;
};

/// What a first packet of a flow would lead to, and why.
struct FlowExplanation {
  struct ChosenShare {
    std::string Service;
    std::uint64_t Weight = 0;
    std::uint64_t TotalWeight = 0;
  };
  struct KnownHolder {
    Endpoint Agent;
    Duration Age{0};
    bool IsConfirmed = false;
  };

  /// Further upstreams are counted but not listed, so that an explanation is
  /// small at any size of a service.
  static constexpr std::size_t MaxUpstreams = 1000;

  FlowEndpoints Flow;
  Revision TableRevision;
  PlacementKind Placement = PlacementKind::LeastLoaded;
  RelayAction Action = RelayAction::Drop;
  RelayReason Reason = RelayReason::NoTable;
  /// The agent that gets the packet. Set for RelayAction::Forward.
  std::optional<Endpoint> Agent;
  /// The share that the weights of the route choose for this flow.
  std::optional<ChosenShare> Share;
  std::optional<KnownHolder> Holder;
  bool IsSearching = false;
  /// Upstreams of the service in the order in which they are considered, then
  /// those whose data centre is out. Empty if the packet goes to the holder.
  std::vector<ExplainedUpstream> Upstreams;
  std::size_t UpstreamCount = 0;
  /// The agent that is chosen if Agent declines the flow. Not set if none
  /// remains, or if the flow then waits by the terms of its route.
  std::optional<Endpoint> NextAgent;
};

/// Finds the agent for each packet from a caller. The router remembers the
/// holders of flows that it placed or found. For other flows it queries the
/// agents of the route in an order that depends on the hash of the flow and the
/// state of the agents. New flows are placed in the same order, so a search
/// begins with the agents that are most likely to hold the flow. Another
/// balancer may have opened the flow with a later table, so that none of the
/// known agents holds a flow proves its loss only if control has confirmed the
/// table after the search began.
class FlowRouter {
public:
  virtual ~FlowRouter() = default;
  virtual RelayDecision onCallerPacket(const FlowPacket &packet,
                                       const ServiceTable &table,
                                       TimePoint now) = 0;
  virtual RelayDecision onReturnedPacket(const FlowPacket &packet,
                                         const ReturnedPacket &message,
                                         const Endpoint &agent,
                                         const ServiceTable &table,
                                         TimePoint now) = 0;
  /// Returns the decision on a first packet of the flow, with its reasons, and
  /// changes nothing. If the flow is known, the packet counts as a repeat of
  /// its first packet.
  virtual FlowExplanation explain(const FlowEndpoints &flow,
                                  const ServiceTable &table,
                                  TimePoint now) const = 0;
  /// Returns how long the placement or search took, or nullopt if the holder
  /// was already confirmed.
  virtual std::optional<HolderConfirmation>
  onFlowHeld(const FlowHeld &message, const Endpoint &agent, TimePoint now) = 0;
  /// Handles one entry of a FlowsNotHeld. Returns the decision on the kept
  /// packet of the flow.
  virtual RelayDecision onFlowNotHeld(const FlowNotHeld &message,
                                      const UpstreamLoad &load,
                                      const Endpoint &agent,
                                      const ServiceTable &table,
                                      TimePoint now) = 0;
  /// Continues searches whose queries are overdue. Must be called every few
  /// milliseconds while isSearching().
  virtual std::vector<FlowDecision> pollSearches(const ServiceTable &table,
                                                 TimePoint now) = 0;
  virtual bool isSearching() const = 0;
  /// First packets that wait by the terms of their routes. The caller adds
  /// those with RelayDecision::Wait.
  virtual WaitingFlows &waiting() = 0;
  /// Removes from waiting() the packets to try or to refuse now. Each must be
  /// passed to onCallerPacket() at once. Must be called every few milliseconds
  /// while waiting() is not empty.
  virtual std::vector<WaitingFlows::Packet>
  takeWaiting(const ServiceTable &table, TimePoint now) = 0;
  /// Returns whether an agent may have got this first packet, or holds its
  /// flow. Such a flow may have opened.
  virtual bool mayHaveOpened(const FlowPacket &firstPacket) const = 0;
  /// While the balancer's own link is congested, the lack of an answer says
  /// nothing about an agent, so that no agent is put aside for it. The flow
  /// itself is offered to another one.
  virtual void setLinkCongested(bool congested) = 0;
  /// Returns whether a decision waits for confirmTable().
  virtual bool needsConfirmedTable() const = 0;
  /// Control has confirmed that no revision after \p committed had been
  /// committed at \p askedAt.
  virtual void confirmTable(TimePoint askedAt, Revision committed) = 0;
  /// Removes the flows that are not searched for any more.
  virtual void eraseFoundFlows(std::vector<FlowEndpoints> &flows) const = 0;
  /// Must be called when a query is sent: the wait for its reply begins.
  virtual void onQuerySent(const FlowQuery &query, const Endpoint &agent,
                           TimePoint now) = 0;
  virtual void tick(TimePoint now) = 0;
  virtual std::size_t flowCount() const = 0;
};

struct QueryBatcherOptions {
  /// Bytes of datagrams with queries that may be sent in a second, with their
  /// headers; the replies take about as many. This is a third of a link of
  /// 2 Mbit/s, whose rest carries the packets of callers.
  std::uint32_t BytesPerSecond = 80'000;
  /// Bytes that may be sent at once: a search through the agents of a service
  /// of the largest deployment.
  std::uint32_t BurstBytes = 16'000;
};

/// Queries of many searches, combined into few datagrams. As long as few are
/// sent, each query is sent at once. Beyond the rate limit queries wait, and
/// those to the same agent share a datagram.
class QueryBatcher {
public:
  struct Batch {
    Endpoint Agent;
    FlowQuery Query;
  };

  explicit QueryBatcher(QueryBatcherOptions options = {});
  /// Does nothing if the same query is waiting already.
  void add(const FlowEndpoints &flow, const QueryTarget &target);
  /// Returns the datagrams to send now, those that wait longest first.
  std::vector<Batch> take(TimePoint now);
  bool isEmpty() const { return Order.empty(); }

private:
  using Target = std::pair<Endpoint, ServiceNameHash>;

  QueryBatcherOptions Options;
  std::map<Target, std::vector<FlowEndpoints>> Waiting;
  /// Targets in the order in which their first query was added.
  std::deque<Target> Order;
  double Tokens = 0;
  TimePoint TokensAt{};
};

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options);

/// Status report of an upstream to the agent on its machine.
struct UpstreamReport {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// Remaining time of the upstream's cold start.
  Duration ColdStartRemaining{0};
  /// Increases with each report of one lifetime of the upstream.
  std::uint64_t Sequence = 0;
  /// Start of the lifetime of the upstream process, in milliseconds since the
  /// Unix epoch.
  std::uint64_t StartedAtMs = 0;
};

enum class ReportResult : std::uint8_t {
  Accepted,
  /// The report is older than one already received, of this or of a later
  /// lifetime. It is acknowledged but ignored.
  Outdated,
  /// The service or address is not that of the agent's upstream.
  Mismatched
};

/// Receives the reports of upstreams.
class UpstreamReportHandler {
public:
  virtual ~UpstreamReportHandler() = default;
  virtual ReportResult onReport(const UpstreamReport &report) = 0;
  /// Reports that the upstream has ended. Returns false if no upstream with
  /// this id is known.
  virtual bool onUpstreamEnded(std::string_view id) = 0;
};

struct UpstreamRelayOptions {
  std::string Service;
  /// Address at which the upstream receives packets.
  Endpoint Upstream;
  /// Port at which callers receive packets.
  std::uint16_t CallerPort = 0;
  /// Rate limit for first packets during a cold start: in any second the
  /// upstream gets at most its cold rate times the factor ColdOvershoot, plus
  /// ColdSlack first packets.
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  /// Without a report for this long, the upstream gets no new flows.
  Duration ReportTimeout{4000};
  /// A first packet that the upstream does not answer within this time is
  /// returned to the balancer, which tries another upstream.
  Duration OpenTimeout{150};
  Duration FlowIdleTimeout{60000};
  std::size_t MaxFlows = 20000;
  /// States the mean time of a request in UpstreamLoad.
  bool ReportsServiceTime = false;
  /// Start of the agent process, in milliseconds since the Unix epoch.
  std::uint64_t StartedAtMs = 0;
};

/// The datagrams to send (to the upstream, a caller or a balancer) and the
/// response times measured by one call.
struct RelayOutput {
  struct Datagram {
    Endpoint To;
    std::variant<Bytes, DataMessage> Content;
  };
  /// A response time of the upstream.
  struct Timing {
    enum class Kind : std::uint8_t {
      /// Time from a first packet to the answer that accepts the flow.
      Open,
      /// Time from the data of a request to the first data of its answer.
      Answer
    };
    Kind Interval = Kind::Open;
    Duration Elapsed{0};
  };
  std::vector<Datagram> Datagrams;
  std::vector<Timing> Timings;
};

/// Totals since the agent started.
struct RelayCounters {
  /// Packets sent to the upstream.
  std::uint64_t Delivered = 0;
  /// Packets of the upstream sent to callers.
  std::uint64_t Answered = 0;
  /// Packets returned to a balancer, or passed on in a search, because the
  /// upstream does not hold the flow.
  std::uint64_t NotHeld = 0;
  /// First packets returned to a balancer because the upstream does not accept
  /// the flow.
  std::uint64_t Declined = 0;
  /// Dropped packets: those that cannot be decoded, and those that the upstream
  /// returned so late that their balancer is no longer known.
  std::uint64_t Malformed = 0;
};

enum class LocalUpstreamState : std::uint8_t {
  /// No report of the upstream has arrived yet.
  Waiting,
  Accepting,
  /// The upstream reported that it is draining.
  Draining,
  /// No report has arrived within ReportTimeout.
  Silent,
  /// The upstream reported its end.
  Ended
};

std::string_view nameOf(LocalUpstreamState state);

/// Forwards packets between balancers, the upstream on the agent's machine and
/// callers. It admits new flows within the limits of the upstream and returns
/// all other first packets, and packets of flows that the upstream does not
/// hold, to the balancer.
class UpstreamRelay {
public:
  virtual ~UpstreamRelay() = default;
  virtual ReportResult onReport(const UpstreamReport &report,
                                TimePoint now) = 0;
  /// See UpstreamReportHandler::onUpstreamEnded().
  virtual bool onUpstreamEnded(std::string_view id) = 0;
  /// Handles a packet from a balancer.
  virtual void onRelayedPacket(RelayedPacket message, const Endpoint &balancer,
                               TimePoint now, RelayOutput &out) = 0;
  /// Handles a packet of a search that visits several agents. \p sender is the
  /// balancer or the agent before this one.
  virtual void onChainedPacket(ChainedPacket message, const Endpoint &sender,
                               TimePoint now, RelayOutput &out) = 0;
  /// Answers whether the upstream holds flows, without asking the upstream.
  virtual void onFlowQuery(const FlowQuery &message, const Endpoint &balancer,
                           TimePoint now, RelayOutput &out) = 0;
  /// Handles a packet from the upstream, which is either an answer to a caller
  /// or a packet that the upstream returns.
  virtual void onUpstreamPacket(std::span<const std::byte> buf, TimePoint now,
                                RelayOutput &out) = 0;
  virtual void tick(TimePoint now, RelayOutput &out) = 0;
  /// Set while the rules drain the upstream or its data centre is withdrawn.
  /// The upstream then gets no new flows.
  virtual void setUpstreamWithdrawn(bool withdrawn) = 0;

  virtual LocalUpstreamState state(TimePoint now) const = 0;
  /// Start of the upstream's lifetime in milliseconds since the Unix epoch; 0
  /// before the first report.
  virtual std::uint64_t startedAtMs() const = 0;
  virtual UpstreamLoad load() const = 0;
  virtual const RelayCounters &counters() const = 0;
};

std::unique_ptr<UpstreamRelay> makeUpstreamRelay(UpstreamRelayOptions options,
                                                 const PacketFormat &format);

} // namespace pistachio

template <> struct std::hash<pistachio::FlowEndpoints> {
  std::size_t operator()(const pistachio::FlowEndpoints &flow) const noexcept {
    return static_cast<std::size_t>(pistachio::hashFlowEndpoints(flow));
  }
};
