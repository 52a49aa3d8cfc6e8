#pragma once

#include "Common/Common.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace pistachio {

using ConnectAttemptId = StrongId<struct ConnectAttemptIdTag, std::uint64_t>;

struct ConnectAttempt {
  ConnectAttemptId Id;
  Endpoint Server;
  TimePoint BeganAt;
};

/// Decides when a client without a connection tries which of its servers, and
/// when it gives up an attempt. An attempt that gets no reply does not hold up
/// the next one, and goes on beside it: the first to succeed is used.
class ConnectAttempts {
public:
  ConnectAttempts(std::vector<Endpoint> configured, std::uint32_t randomSeed);

  /// Servers of earlier lists, configured or advertised, are tried between two
  /// rounds through the current ones.
  void setConfigured(std::vector<Endpoint> servers);
  /// Sets the servers that a server has advertised. They are tried in random
  /// order and before the configured ones.
  void setAdvertised(std::vector<Endpoint> servers);
  const std::vector<Endpoint> &advertised() const { return Advertised; }

  /// Returns the attempt that is due, if any.
  std::optional<ConnectAttempt> begin(TimePoint now);
  /// Removes and returns the attempts to give up: those that have taken too
  /// long, and one at a server with too many.
  std::vector<ConnectAttempt> takeExpired(TimePoint now);
  void onFailed(ConnectAttemptId attempt, TimePoint now);
  /// A connection was established. All other attempts are obsolete.
  void onOpen(TimePoint now);
  /// Only a received frame resets the back-off. A server that accepts
  /// connections and closes them at once does not.
  void onFrame();
  void onClose(TimePoint now);
  /// The time at which begin() or takeExpired() may return something.
  std::optional<TimePoint> nextEvent() const;

private:
  void remember(std::vector<Endpoint> former);
  std::vector<Endpoint> currentServers() const;
  Endpoint takeNextServer(const std::vector<Endpoint> &servers);
  Duration jitter(Duration limit);

  std::vector<Endpoint> Configured;
  std::vector<Endpoint> Advertised;
  /// Servers of earlier lists, those of later lists first.
  std::vector<Endpoint> Former;
  /// Servers in the order of their latest attempts.
  std::vector<Endpoint> Tried;
  std::vector<ConnectAttempt> Outstanding;
  /// Empty while there is a connection.
  std::optional<TimePoint> NextAttemptAt{TimePoint{}};
  /// The next attempt begins no earlier, even if the latest one has failed.
  TimePoint EarliestAttemptAt{};
  /// A round is one attempt at each current server and some former ones.
  TimePoint RoundBeganAt{};
  std::size_t RoundAttempts = 0;
  /// Start of the latest connection.
  TimePoint OpenedAt{};
  /// Attempts since the last received frame.
  std::size_t FailedAttempts = 0;
  Duration BackOff;
  ConnectAttemptId LastId;
  std::minstd_rand Random;
};

} // namespace pistachio
