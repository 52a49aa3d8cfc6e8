#pragma once

/// Public header of the Placement library. It decides for one agent which flows
/// the agent accepts, hands over to another agent or refuses, and how many
/// requests may run at the back end at the same time. The library uses no
/// sockets, threads or clocks; the caller passes datagrams and the current
/// time.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pistachio {

/// Identifies a flow within an agent. An agent serves a single service, so the
/// key does not contain the service.
struct FlowKey {
  Endpoint Caller;
  FlowId Flow;
  friend constexpr auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

struct AdmissionOptions {
  /// Number of slots that the upstream announced, which is the upper bound of
  /// the limit.
  std::uint32_t Slots = 1;
  /// Limit of an upstream that has just started or restarted.
  double InitialLimit = 1;
  /// Time after the first request or a restart during which the limit does not
  /// grow. A larger limit would offer a cold back end more requests than it can
  /// serve. The value is twice the cold start time of 2 s that the deployments
  /// state.
  Duration ColdStartHold{4000};
  /// A latency above this multiple of the recent minimum latency lowers the
  /// limit.
  double LatencyTolerance = 2;
  double DecreaseFactor = 0.5;
  /// Length of the window over which the minimum latency is taken. The minimum
  /// has to expire; otherwise a single fast response would keep the limit low
  /// permanently.
  Duration MinLatencyWindow{30000};
  /// Minimum time between two decreases, so that several responses of the same
  /// overload lower the limit only once.
  Duration DecreaseInterval{200};
};

/// Limits the number of concurrent requests to the back end by additive
/// increase and multiplicative decrease (AIMD). The limit grows while requests
/// use it up and their latency stays near the recent minimum. It shrinks when
/// the back end sheds or fails requests or when the latency rises.
class AdmissionController {
public:
  explicit AdmissionController(AdmissionOptions options);

  /// Takes a slot for a request. Returns false if no slot is free.
  bool tryStart(TimePoint now);
  enum class Outcome : std::uint8_t { Served, Shed, Failed, Cancelled };
  /// Releases the slot of a request. \p latency is used for the outcome Served
  /// only.
  void finish(Outcome outcome, Duration latency, TimePoint now);
  /// Changes the upper bound of the limit, for example because a rule sets
  /// another number of slots.
  void setSlots(std::uint32_t slots);
  /// Returns to the initial limit, because the back end has restarted or
  /// refuses connections.
  void restart(TimePoint now);

  /// The current limit: at least 1 and at most the number of slots.
  std::uint32_t limit() const;
  std::uint32_t inFlight() const { return InFlight; }
  /// Estimated time after which a refused request finds a free slot.
  Duration retryAfter() const;

private:
  void decrease(TimePoint now);
  /// Updates the minimum with \p latency and returns the lowest latency of the
  /// current window and the previous one.
  Duration updateMinLatency(Duration latency, TimePoint now);

  AdmissionOptions Options;
  double Limit;
  std::uint32_t InFlight = 0;
  /// Time until which the limit does not grow. Unset before the first request.
  std::optional<TimePoint> NoGrowthUntil;
  /// Lowest latency of the current window.
  Duration MinLatency{0};
  Duration PreviousMinLatency{0};
  std::optional<TimePoint> MinLatencyWindowStart;
  std::optional<TimePoint> LastDecreaseAt;
  /// Exponential moving average of the latency; zero before the first response.
  Duration SmoothedLatency{0};
};

struct PlacementOptions {
  /// Unset until control has answered the first announcement.
  ServiceId Service;
  UpstreamId Upstream;
  /// Incarnation of this process.
  Incarnation ProcessIncarnation;
  Endpoint Address;
  /// Number of flows at which the agent refuses new flows or hands them over to
  /// another agent.
  std::uint32_t MaxFlows = 4000;
  /// Time during which another agent may still receive the first packet of a
  /// flow: callers repeat a first packet for up to 30 s, and a balancer uses
  /// its table for a lease of up to 10 s.
  Duration FirstPacketWindow{40000};
  /// Time without an announce reply after which the agent probes other agents
  /// before it accepts a flow, as a new member does. Balancers treat an
  /// upstream as suspect after 3 s without a renewal and may let other agents
  /// accept its flows.
  Duration AnnounceReplyTimeout{2500};
  /// Time after which a load reported by another agent is ignored.
  Duration LoadReportLifetime{5000};
  /// Minimum time between two unsolicited load reports to the same agent.
  Duration LoadReportInterval{1000};
  /// A flow is closed after this time without a packet. Callers send a
  /// keep-alive every 5 s.
  Duration IdleTimeout{60000};
  /// Idle timeout of a flow that another agent may have accepted as well. A
  /// caller gives up a flow after three unanswered keep-alives, which is 20 s
  /// after the last reply.
  Duration PossibleDuplicateTimeout{20000};
};

/// Membership state of the agent.
enum class Lifecycle : std::uint8_t {
  /// Control has not yet accepted the announcement; the agent carries no flows.
  Announcing,
  Active,
  Draining,
  /// The data centre is out of service; the agent carries and holds no flows.
  OutOfService,
  Stopped
};

/// A datagram to a balancer, another agent or a caller.
struct OutgoingDatagram {
  Endpoint To;
  DataMessage Message;
};

/// Payload of a packet whose flow this agent holds. It is passed to the session
/// layer.
struct DeliveredPayload {
  FlowKey Flow;
  Bytes Payload;
};

/// Datagrams and events that a call produces for its caller to carry out.
struct PlacementOutput {
  std::vector<OutgoingDatagram> Datagrams;
  std::vector<DeliveredPayload> Delivered;
  /// Flows that the session layer has to discard, because the caller closed
  /// them, they were idle or the data centre was taken out of service.
  std::vector<FlowKey> Closed;
};

/// Counters of events since the process started.
struct PlacementCounters {
  std::uint64_t Accepted = 0;
  /// First packets handed over because this agent was full or more loaded than
  /// the other one.
  std::uint64_t HandedOverForLoad = 0;
  /// First packets refused because this agent is full or no agent accepted
  /// them.
  std::uint64_t Refused = 0;
  std::uint64_t Probes = 0;
  /// Flows answered with a reset.
  std::uint64_t Resets = 0;
  /// Packets dropped because they were meant for another service.
  std::uint64_t WrongService = 0;
  /// Packets dropped because forwarding them would exceed MaxHops.
  std::uint64_t HopLimitExceeded = 0;
  /// Packets dropped because the data centre is out of service.
  std::uint64_t DroppedOutOfService = 0;
  /// Packets whose flow this agent does not hold.
  std::uint64_t UnknownFlow = 0;
};

/// Table of the flows that an agent holds, and the protocol by which agents
/// hand first packets over to each other and look for the holder of a flow.
class FlowPlacement {
public:
  virtual ~FlowPlacement() = default;

  /// Handles a packet from a balancer or another agent.
  virtual void onForwarded(ForwardedPacket packet, TimePoint now,
                           PlacementOutput &output) = 0;
  /// Handles the return of a probe that this agent sent and that found no
  /// holder.
  virtual void onProbeMissed(ForwardedPacket packet, TimePoint now,
                             PlacementOutput &output) = 0;
  virtual void onLoadReport(const LoadReport &report, TimePoint now) = 0;

  /// Handles the reply of control to an announcement. It has to be called for
  /// every reply, because the time without replies also decides whether other
  /// agents have to be probed. An upstream id that differs from the current one
  /// starts a new membership, after control had removed the former one; the
  /// flows are kept.
  virtual void onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                               PlacementOutput &output) = 0;

  /// Starts the planned stop of the process: the agent accepts no new flows and
  /// keeps the current ones until they end.
  virtual void beginShutdown(TimePoint now) = 0;

  /// Closes idle flows, drops old hand-overs and completes a planned stop when
  /// no flow is left. Has to be called about once a second.
  virtual void tick(TimePoint now, PlacementOutput &output) = 0;

  /// Builds a reply to the caller of a flow that this agent holds. The
  /// reply has the kind Data and carries the token of this agent.
  virtual OutgoingDatagram makeReply(const FlowKey &flow,
                                     Bytes payload) const = 0;

  /// Sets the load caused by requests, in permille of what the back end can
  /// take. The owner derives it from the admission controller. Load reports and
  /// hand-overs carry the higher of this value and the load caused by flows.
  virtual void setRequestLoad(std::uint16_t permille) = 0;

  virtual Lifecycle lifecycle() const = 0;
  virtual std::size_t flowCount() const = 0;
  /// Memory of the flow table and of the hand-over table, in bytes.
  virtual std::size_t flowTableBytes() const = 0;
  virtual std::size_t handOverTableBytes() const = 0;
  virtual PlacementCounters counters() const = 0;
};

std::unique_ptr<FlowPlacement> makeFlowPlacement(PlacementOptions options,
                                                 TimePoint now);

} // namespace pistachio
