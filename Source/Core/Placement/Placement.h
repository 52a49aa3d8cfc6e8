#pragma once

/// Public header of the Placement library: what an agent decides about flows
/// and admission. No sockets, threads or clocks.

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pistachio {

/// A flow within one agent, which serves one service.
struct FlowKey {
  Endpoint Caller;
  FlowId Flow;
  friend constexpr auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

struct AdmissionOptions {
  /// Slots that the upstream announced: the limit never exceeds them.
  std::uint32_t Slots = 1;
  /// Limit of a new or cold upstream.
  double InitialLimit = 1;
  /// The limit does not grow for this long after the first request or a
  /// restart: trying whether a cold back end bears more would give it more than
  /// it bears. Twice the cold start of 2 s that the deployments state.
  Duration ColdHold{4000};
  /// A latency above this multiple of the recent floor lowers the limit.
  double LatencyTolerance = 2;
  double DecreaseFactor = 0.5;
  /// Window of the latency floor. The floor must be forgotten, or one fast
  /// answer would hold the limit down for good.
  Duration FloorWindow{30000};
  /// Least time between two decreases, so that answers of one overload count
  /// once.
  Duration DecreaseInterval{200};
};

/// Concurrency limit for requests to the back end, measured here: additive
/// increase while requests fill the limit and latency stays near its floor,
/// multiplicative decrease otherwise.
class AdmissionController {
public:
  explicit AdmissionController(AdmissionOptions options);

  /// Takes a slot if one is free.
  bool tryStart(TimePoint now);
  enum class Outcome : std::uint8_t { Served, Shed, Failed, Cancelled };
  /// Gives the slot back. \p latency counts for Served only.
  void finish(Outcome outcome, Duration latency, TimePoint now);
  /// Changes the bound of the limit, as the rules do.
  void setSlots(std::uint32_t slots);
  /// The back end has restarted or refuses connections: back to the initial
  /// limit.
  void restart(TimePoint now);

  /// At least 1 and at most the announced slots.
  std::uint32_t limit() const;
  std::uint32_t inFlight() const { return InFlight; }
  /// Time after which a refused request may find a slot.
  Duration retryAfter() const;

private:
  void decrease(TimePoint now);
  /// Lowest latency of this window and the one before.
  Duration learnFloor(Duration latency, TimePoint now);

  AdmissionOptions Options;
  double Limit;
  std::uint32_t InFlight = 0;
  /// End of the time in which the limit does not grow.
  std::optional<TimePoint> HoldUntil;
  /// Zero while nothing has been measured.
  Duration Floor{0};
  Duration FormerFloor{0};
  std::optional<TimePoint> FloorSince;
  std::optional<TimePoint> LastDecrease;
  Duration RecentLatency{0};
};

struct PlacementOptions {
  /// None until control has answered the first announcement.
  ServiceId Service;
  UpstreamId Upstream;
  Incarnation ProcessIncarnation;
  Endpoint Address;
  /// Flows of this agent beyond which it refuses or hands on new ones.
  std::uint32_t MaxFlows = 4000;
  /// How long a caller repeats a first packet (30 s), and the longest lease of
  /// a balancer (10 s).
  Duration FirstPacketWindow{40000};
  /// Without an answer of control for this long, balancers may take this
  /// upstream for suspect (after 3 s) and let others accept its flows, so it
  /// probes like a new member.
  Duration AnnounceGap{2500};
  /// How long the load that another agent reported counts.
  Duration LoadValidity{5000};
  /// Least time between two reports of the own load to the same agent.
  Duration LoadReportInterval{1000};
  /// A flow without any packet for this long is closed. Callers send a
  /// keep-alive every 5 s.
  Duration IdleTimeout{60000};
  /// A flow whose caller may have been accepted by another agent is closed
  /// after this long without a packet. A caller gives a flow up after three
  /// unanswered keep-alives, 20 s after the last answer.
  Duration DoubtTimeout{20000};
};

enum class Lifecycle : std::uint8_t {
  /// Not yet accepted by control: carries nothing.
  Announcing,
  Active,
  Draining,
  /// The data centre is out: carries nothing, holds no flow.
  Out,
  Stopped
};

/// A datagram to another process.
struct OutgoingDatagram {
  Endpoint To;
  DataMessage Message;
};

/// The payload of a packet of a flow held here, for the session layer.
struct DeliveredPayload {
  FlowKey Flow;
  Bytes Payload;
};

struct PlacementOutput {
  std::vector<OutgoingDatagram> Datagrams;
  std::vector<DeliveredPayload> Delivered;
  /// The session layer forgets these flows: closed by the caller, idle, or
  /// given up with the data centre.
  std::vector<FlowKey> Closed;
};

struct PlacementCounters {
  std::uint64_t Accepted = 0;
  std::uint64_t HandedOn = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Probes = 0;
  std::uint64_t Resets = 0;
  std::uint64_t WrongService = 0;
  std::uint64_t HopLimit = 0;
  std::uint64_t DroppedWhileOut = 0;
  std::uint64_t Unknown = 0;
};

/// The flows of one agent and the hand-over to other agents.
class FlowPlacement {
public:
  virtual ~FlowPlacement() = default;

  virtual void onForwarded(ForwardedPacket packet, TimePoint now,
                           PlacementOutput &output) = 0;
  virtual void onProbeMissed(ForwardedPacket packet, TimePoint now,
                             PlacementOutput &output) = 0;
  virtual void onLoadReport(const LoadReport &report, TimePoint now) = 0;

  /// State that control gives this upstream, for every answer to an
  /// announcement: time without any is evidence too. An upstream id other than
  /// the present one (after a removal) starts a new membership: flows are kept.
  virtual void onAnnounceReply(const AnnounceReply &reply, TimePoint now,
                               PlacementOutput &output) = 0;

  /// Planned stop of this agent: no new flows, the present ones stay until they
  /// end.
  virtual void beginDrain(TimePoint now) = 0;

  /// Closes idle flows and forgets old hand-overs, and ends a planned stop once
  /// no flow is left. Called about once a second.
  virtual void tick(TimePoint now, PlacementOutput &output) = 0;

  /// The answer to the caller of a flow held here: kind Data with this agent's
  /// token.
  virtual OutgoingDatagram makeAnswer(const FlowKey &flow,
                                      Bytes payload) const = 0;

  /// Load that hand-overs carry: flows or requests in permille of what this
  /// agent may hold; set by the carrier from the admission controller.
  virtual void setLoad(std::uint16_t permille) = 0;

  virtual Lifecycle lifecycle() const = 0;
  virtual std::size_t flowCount() const = 0;
  /// Bytes of the flow table and of the hand-over memory, for the capacity
  /// page.
  virtual std::size_t flowTableBytes() const = 0;
  virtual std::size_t handOverBytes() const = 0;
  virtual PlacementCounters counters() const = 0;
};

std::unique_ptr<FlowPlacement> makeFlowPlacement(PlacementOptions options,
                                                 TimePoint now);

} // namespace pistachio
