#pragma once

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace pistachio {

/// Urgency of flows whose route states none: after every stated one.
inline constexpr std::uint8_t UrgencyNotStated = 10;

/// Decides when a waiting first packet is tried and when it is refused.
struct WaitTerms {
  ServiceId Service;
  /// From 0, the most urgent, to UrgencyNotStated.
  std::uint8_t Urgency = UrgencyNotStated;
  TimePoint Arrived{};
  /// From then on the response can no longer be on time.
  TimePoint OnTimeUntil{};
  /// The flow is refused then.
  TimePoint Until{};
};

/// Totals of first packets that waited by the terms of their route.
struct WaitingCounters {
  std::uint64_t Tries = 0;
  std::uint64_t RefusedFull = 0;
  std::uint64_t RefusedLate = 0;
};

/// First packets that wait for an upstream of their service, on routes that
/// state an objective or an urgency. The order in which they are tried is:
/// those that can be on time, lower urgency number, equal shares of the caller
/// addresses, oldest first. It also limits the tries of each service, so that
/// agents decline few offers for each flow that they accept.
class WaitingFlows {
public:
  struct Packet {
    FlowEndpoints Flow;
    Bytes Data;
    WaitTerms Terms;
  };

  /// Returns false if the queue is full and does not contain the flow.
  bool canAdd(const FlowEndpoints &flow) const;
  /// Replaces an earlier packet of the flow. Requires canAdd().
  void add(const FlowEndpoints &flow, std::span<const std::byte> buf,
           const WaitTerms &terms);
  void erase(const FlowEndpoints &flow);
  bool hasWaiting(ServiceId service) const;
  /// The services for which flows wait.
  std::vector<ServiceId> services() const;
  std::size_t size() const { return Packets.size(); }

  /// Removes and returns the flows whose wait has ended.
  std::vector<Packet> takeExpired(TimePoint now);
  std::vector<Packet> takeAll(ServiceId service);
  /// Removes and returns up to \p count flows of the service, those to be tried
  /// first at the front.
  std::vector<Packet> take(ServiceId service, std::size_t count, TimePoint now);

  /// Returns how many flows of the service may be tried now.
  std::size_t allowedTries(ServiceId service, TimePoint now) const;
  /// Returns whether the flows that agents have accepted make up for those that
  /// they declined.
  bool isWithinBudget(ServiceId service) const;
  /// Must be called when an agent declines or accepts a flow of the service
  /// that was offered by the terms of its route.
  void recordDecline(ServiceId service, TimePoint now);
  void recordAccept(ServiceId service);

  void recordRefusal(bool isFull) {
    ++(isFull ? Counts.RefusedFull : Counts.RefusedLate);
  }
  const WaitingCounters &counters() const { return Counts; }

private:
  struct ServiceState {
    ServiceState();

    std::size_t Waiting = 0;
    /// How many further declined offers are within the budget.
    double Budget;
    std::uint64_t Tries = 0;
    TimePoint LastTryAt{};
    std::size_t AcceptsSinceTry = 0;
    /// When a flow was last tried or declined.
    TimePoint LastUsedAt{};
    /// The number of the latest try for each caller address.
    std::map<std::uint32_t, std::uint64_t> LastTries;
  };

  template <typename Match> std::vector<Packet> extract(Match matches);
  std::size_t nextOf(ServiceId service, const ServiceState &state,
                     TimePoint now) const;
  Packet remove(std::size_t index);

  std::vector<Packet> Packets;
  std::map<ServiceId, ServiceState> Services;
  WaitingCounters Counts;
};

} // namespace pistachio
