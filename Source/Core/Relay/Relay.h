#pragma once

/// Public header of the Relay library: decisions for flows whose packets are
/// opaque to the system. A balancer finds the agent of each packet, an agent
/// decides what reaches its upstream. No sockets, threads or clocks.

#include "Common/Common.h"
#include "Routing/Routing.h"
#include "Wire/Wire.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pistachio {

/// What the header of a packet says of its flow.
struct FlowPacket {
  Endpoint Source;
  Endpoint Destination;
  /// First packet of a flow, or with Acknowledges the answer to it.
  bool Opens = false;
  bool Acknowledges = false;
  bool Ends = false;
  bool Resets = false;
  /// The upstream gives the packet back: it does not hold or take the flow.
  bool Returned = false;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint16_t DataBytes = 0;
  /// Set by an agent, unchanged in a returned packet.
  std::uint32_t Tag = 0;
};

/// Reads and edits the header of opaque packets.
class PacketFormat {
public:
  virtual ~PacketFormat() = default;
  /// Nothing if \p buf is no packet.
  virtual std::optional<FlowPacket>
  decode(std::span<const std::byte> buf) const = 0;
  virtual void setTag(std::span<std::byte> buf, std::uint32_t tag) const = 0;
  /// Takes back what setTag() and the upstream altered.
  virtual void clearReturn(std::span<std::byte> buf) const = 0;
  /// Answers a packet of a caller; valid for an open and for a new flow.
  virtual Bytes makeReset(const FlowPacket &packet) const = 0;
};

ServiceNameHash tagOfService(std::string_view name);

/// The ends of a flow.
struct FlowEnds {
  Endpoint Caller;
  Endpoint Service;
  friend auto operator<=>(const FlowEnds &, const FlowEnds &) = default;
};

/// The same on every node: it decides where searches begin.
std::uint64_t hashOf(const FlowEnds &flow);

std::string toString(const FlowEnds &flow);

enum class RelayAction : std::uint8_t {
  Forward,
  Reset,
  Drop,
  /// The same packet should be decided again in a moment.
  Hold
};

enum class RelayReason : std::uint8_t {
  /// The agent that holds the flow is known.
  Held,
  /// A first packet was placed by load.
  Placed,
  /// Agents are asked in turn.
  Search,
  NoRoute,
  NoTable,
  /// No upstream of the service takes new flows.
  NoUpstream,
  /// All upstreams are busy, and one should take the flow soon.
  Busy,
  /// All candidates answered that they do not hold the flow.
  Unknown,
  /// A candidate has not answered, so the flow may exist.
  Unanswered,
  Max = Unanswered
};

std::string_view nameOf(RelayReason reason);

struct RelayDecision {
  RelayAction Action = RelayAction::Drop;
  RelayReason Reason = RelayReason::NoTable;
  /// Forward only.
  Endpoint Agent{};
  /// Further agents that get the same packet, in a search.
  std::vector<Endpoint> Others{};
  ServiceNameHash Service{};
  std::uint8_t Attempt = 0;
  /// The holder is not known for sure and has to say so.
  bool Asks = false;
  /// As in RelayedPacket.
  std::uint32_t ColdMilliPerSecond = UnlimitedColdRate;
};

struct FlowRouterOptions {
  /// Upstreams of the balancer's own data centre are preferred.
  std::string DataCentre;
  /// Flows remembered.
  std::size_t MaxFlows = 65536;
  /// A flow without a packet for this long is forgotten.
  Duration FlowIdle{60000};
  /// An agent that does not answer a placement or question for this long is
  /// passed over. Ten round trips between data centres, below the interval at
  /// which callers repeat their first packet.
  Duration AnswerTimeout{150};
  /// How long an agent that did not answer gets no new flow.
  Duration SilentPenalty{1000};
  /// A first packet is held this long for an upstream to become free: the
  /// shortest response-time goal of the deployments.
  Duration MaxHold{100};
};

/// Packets that cannot be carried now, because there is no table yet or all
/// upstreams are busy. Of each flow the latest packet is kept.
class HeldPackets {
public:
  struct Packet {
    Bytes Data;
    TimePoint Arrived{};
  };

  void add(const FlowEnds &flow, std::span<const std::byte> buf,
           TimePoint arrived);
  /// Removes all packets and returns those that are not too old, the newest
  /// first.
  std::vector<Packet> take(TimePoint now);
  std::size_t size() const { return Packets.size(); }

private:
  std::map<FlowEnds, Packet> Packets;
};

/// The holder of a flow has become known.
struct HolderFound {
  /// By a search; otherwise the flow was placed.
  bool BySearch = false;
  Duration Time{0};
};

/// Finds the agent for each packet of a caller. Knows the holder of the flows
/// that it placed or found; asks the agents of the route in a fixed order
/// otherwise.
class FlowRouter {
public:
  virtual ~FlowRouter() = default;
  virtual RelayDecision onCallerPacket(const FlowPacket &packet,
                                       const ServiceTable &table,
                                       TimePoint now) = 0;
  virtual RelayDecision onReturned(const FlowPacket &packet,
                                   const ReturnedPacket &message,
                                   const Endpoint &agent,
                                   const ServiceTable &table,
                                   TimePoint now) = 0;
  /// How long it took to place or find the flow, if that was not known before.
  virtual std::optional<HolderFound>
  onHeld(const FlowHeld &message, const Endpoint &agent, TimePoint now) = 0;
  virtual void tick(TimePoint now) = 0;
  virtual std::size_t flowCount() const = 0;
};

std::unique_ptr<FlowRouter> makeFlowRouter(FlowRouterOptions options);

/// What an upstream says of itself.
struct UpstreamReport {
  std::string Id;
  std::string Service;
  Endpoint Address;
  std::uint32_t Slots = 1;
  bool Draining = false;
  /// How much longer the upstream is in its cold start.
  Duration ColdLeft{0};
  /// Grows with each report of one lifetime.
  std::uint64_t Sequence = 0;
  /// Start of the lifetime, in milliseconds since the Unix epoch.
  std::uint64_t BornMs = 0;
};

enum class ReportResult : std::uint8_t {
  Accepted,
  /// An earlier lifetime or an earlier report: acknowledged, without effect.
  Outdated,
  /// Another service or address than that beside the agent.
  Foreign
};

/// Takes the reports of upstreams.
class UpstreamReports {
public:
  virtual ~UpstreamReports() = default;
  virtual ReportResult onReport(const UpstreamReport &report) = 0;
  /// The upstream has ended. False if no such upstream is known.
  virtual bool onLeft(std::string_view id) = 0;
};

struct UpstreamGateOptions {
  std::string Service;
  /// Where the upstream takes packets.
  Endpoint Upstream;
  /// Port at which callers take packets.
  std::uint16_t CallerPort = 0;
  /// First packets that a cold upstream may get in one second are at most
  /// ColdOvershoot times its cold rate plus ColdSlack.
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  /// Without a report for this long the upstream takes no new flow.
  Duration ReportTimeout{4000};
  /// A first packet that the upstream has not answered for this long goes to
  /// another one.
  Duration OpenTimeout{150};
  Duration FlowIdle{60000};
  std::size_t MaxFlows = 20000;
};

/// A datagram that the carrier sends: to the upstream, a caller or a balancer.
struct GateOutput {
  struct Datagram {
    Endpoint To;
    std::variant<Bytes, DataMessage> Content;
  };
  /// How long the upstream took.
  struct Timing {
    enum class Kind : std::uint8_t {
      /// From a first packet to its answer.
      Open,
      /// From the data of a request to the first data of its answer.
      Answer
    };
    Kind Measured = Kind::Open;
    Duration Time{0};
  };
  std::vector<Datagram> Datagrams;
  std::vector<Timing> Timings;
};

/// Counts since the start.
struct GateCounters {
  std::uint64_t Delivered = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotHeld = 0;
  std::uint64_t Declined = 0;
  std::uint64_t Bad = 0;
};

enum class GateState : std::uint8_t {
  /// No report of the upstream has arrived.
  Waiting,
  Accepting,
  /// The upstream said that it drains.
  Draining,
  /// Reports have stopped.
  Silent,
  /// The upstream has ended.
  Ended
};

std::string_view nameOf(GateState state);

/// The agent's decisions: which packets reach the upstream beside it, and where
/// the others go.
class UpstreamGate {
public:
  virtual ~UpstreamGate() = default;
  virtual ReportResult onReport(const UpstreamReport &report,
                                TimePoint now) = 0;
  /// As UpstreamReports::onLeft().
  virtual bool onLeft(std::string_view id) = 0;
  /// A packet from a balancer.
  virtual void onRelayed(RelayedPacket message, const Endpoint &balancer,
                         TimePoint now, GateOutput &out) = 0;
  /// A packet from the upstream: to a caller, or one that it gives back.
  virtual void onUpstreamPacket(std::span<const std::byte> buf, TimePoint now,
                                GateOutput &out) = 0;
  virtual void tick(TimePoint now, GateOutput &out) = 0;
  /// The rules drain the upstream or have taken its data centre out.
  virtual void setWithdrawn(bool withdrawn) = 0;

  virtual GateState state(TimePoint now) const = 0;
  /// Start of the upstream's lifetime; 0 before the first report.
  virtual std::uint64_t bornMs() const = 0;
  virtual UpstreamLoad load() const = 0;
  virtual const GateCounters &counters() const = 0;
};

std::unique_ptr<UpstreamGate> makeUpstreamGate(UpstreamGateOptions options,
                                               const PacketFormat &format);

} // namespace pistachio

template <> struct std::hash<pistachio::FlowEnds> {
  std::size_t operator()(const pistachio::FlowEnds &flow) const noexcept {
    return static_cast<std::size_t>(pistachio::hashOf(flow));
  }
};
