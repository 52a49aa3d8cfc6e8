#pragma once

#include "Common/Common.h"
#include "Wire/Wire.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace pistachio {

/// Priority classes of outgoing datagrams, highest priority first.
enum class LinkClass : std::uint8_t {
  /// Resets, queries and first packets.
  Urgent,
  /// Packets of flows that have carried at most 2 KiB of data.
  Small,
  /// Packets of flows that have carried at most 8 KiB.
  Medium,
  /// Packets of flows that have carried more.
  Bulk,
  Max = Bulk
};
inline constexpr std::size_t LinkClassCount =
    static_cast<std::size_t>(LinkClass::Max) + 1;

std::string_view nameOf(LinkClass linkClass);

/// Packets of all classes but Bulk are dropped after they have waited for this
/// long: callers have then retransmitted them.
inline constexpr Duration MaxRequestWait{200};

/// What the scheduler needs to know about a datagram.
struct DatagramInfo {
  enum class Kind : std::uint8_t { Relayed, Query, Reset };
  Kind Content = Kind::Relayed;
  Endpoint To;
  /// Not set for queries, which concern many flows.
  FlowEndpoints Flow;
  std::uint32_t Sequence = 0;
  std::uint16_t DataBytes = 0;
  bool Opens = false;
  bool Ends = false;
};

struct OutgoingPacket {
  DatagramInfo Info;
  Bytes Data;
  /// Time that the packet has waited.
  Duration Waited{0};
};

/// Totals since the start. The arrays are indexed by LinkClass; bytes include
/// the headers of IP and UDP.
struct LinkCounters {
  std::array<std::uint64_t, LinkClassCount> SentBytes{};
  /// Packets that were dropped because they had waited for too long.
  std::array<std::uint64_t, LinkClassCount> Expired{};
  /// Packets that were dropped because the queue was full.
  std::array<std::uint64_t, LinkClassCount> Overflowed{};
  /// Copies of packets that were still waiting.
  std::uint64_t Copies = 0;
  /// Calls of LinkScheduler::admits() that returned false.
  std::uint64_t Refused = 0;
};

/// A change of the state of the link, or its continued congestion.
struct LinkReport {
  bool IsCongested = false;
  /// Bytes sent by class since the previous report.
  std::array<std::uint64_t, LinkClassCount> SentBytes{};
  /// Since the previous report.
  Duration LongestWait{0};
};

/// Decides when a balancer sends each datagram over a narrow link, which ones
/// it drops, and whether a new flow with much data is admitted. It keeps the
/// queue, which would otherwise build up in the link, and sends small packets
/// first. While the link is not congested, every packet is sent at once.
class LinkScheduler {
public:
  virtual ~LinkScheduler() = default;
  /// Returns true if the datagram is to be sent at once. Otherwise it has been
  /// queued, or dropped because a copy of it is still waiting.
  virtual bool add(const DatagramInfo &info, std::span<const std::byte> data,
                   TimePoint now) = 0;
  /// Returns the waiting packets that may be sent now, in order.
  virtual std::vector<OutgoingPacket> take(TimePoint now) = 0;
  /// Returns the time until take() returns a packet, or nullopt if none waits.
  virtual std::optional<Duration> waitTime(TimePoint now) const = 0;
  /// Returns false if a new flow to this address must be refused, because the
  /// link cannot carry its data in time. Must not be called for a flow that has
  /// been forwarded before.
  virtual bool admits(const Endpoint &serviceAddress, TimePoint now) = 0;
  /// Returns whether packets have waited for more than 50 ms lately. The lack
  /// of an answer then says nothing about its sender.
  virtual bool isCongested(TimePoint now) const = 0;
  /// Returns a report when the link becomes congested, then at most once per
  /// second, and when the congestion has ended.
  virtual std::optional<LinkReport> takeReport(TimePoint now) = 0;
  virtual const LinkCounters &counters() const = 0;
  /// Number of waiting packets.
  virtual std::size_t queueLength() const = 0;
  virtual std::size_t flowCount() const = 0;
};

/// \p mbitPerSecond is the rate of the link in both headers and data.
std::unique_ptr<LinkScheduler> makeLinkScheduler(double mbitPerSecond);

} // namespace pistachio
