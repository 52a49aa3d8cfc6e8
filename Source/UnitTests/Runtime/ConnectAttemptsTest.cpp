#include "Runtime/ConnectAttempts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace pistachio {
namespace {

constexpr Duration Never{Duration::max()};

Endpoint server(std::size_t n) {
  return {0x7F000001, static_cast<std::uint16_t>(n)};
}

std::vector<Endpoint> serversFrom(std::size_t first, std::size_t end) {
  std::vector<Endpoint> servers;
  for (std::size_t i = first; i < end; ++i)
    servers.push_back(server(i));
  return servers;
}

struct ConnectCase {
  const char *Name;
  /// The client has received these lists, the latest one last.
  std::vector<std::vector<Endpoint>> Advertised;
  std::vector<Endpoint> Configured;
  /// Only this server can be reached, from ReachableAt on.
  std::size_t Reachable;
  Duration ReachableAt;
  /// Duration of a handshake with it.
  Duration Handshake;
  /// When an attempt at any other server fails.
  Duration Failure;
  Duration MaxDelay;
  /// The settings named these servers before.
  std::vector<Endpoint> FormerlyConfigured{};
};

class ReachableServerTest : public testing::TestWithParam<ConnectCase> {};

// Guards against the CONFIG incident of 6 December 2026: a balancer had no
// connection to control for 25 s although several instances could be reached.
TEST_P(ReachableServerTest, IsConnected) {
  const ConnectCase &row = GetParam();
  constexpr std::uint32_t Seeds = 20;
  // Guards against a client that uses up the sockets of its process.
  constexpr std::size_t MaxOutstanding = 15;
  constexpr std::ptrdiff_t MaxOutstandingPerServer = 4;
  for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
    ConnectAttempts attempts(row.FormerlyConfigured, seed);
    for (const auto &it : row.Advertised)
      attempts.setAdvertised(it);
    std::map<ConnectAttemptId, ConnectAttempt> outstanding;
    bool connected = false;
    TimePoint now{};
    const TimePoint end = now + row.ReachableAt + row.MaxDelay;
    for (; !connected && now <= end; now += Duration(5)) {
      if (now == TimePoint{} + row.ReachableAt / 2)
        attempts.setConfigured(row.Configured);
      for (auto it = outstanding.begin(); it != outstanding.end();) {
        const ConnectAttempt attempt = (it++)->second;
        const bool works = attempt.Server == server(row.Reachable) &&
                           attempt.BeganAt >= TimePoint{} + row.ReachableAt;
        const Duration elapsed = now - attempt.BeganAt;
        connected |= works && elapsed >= row.Handshake;
        if (!works && elapsed >= row.Failure) {
          outstanding.erase(attempt.Id);
          attempts.onFailed(attempt.Id, now);
        }
      }
      for (const ConnectAttempt &it : attempts.takeExpired(now))
        outstanding.erase(it.Id);
      if (const auto begun = attempts.begin(now)) {
        outstanding.emplace(begun->Id, *begun);
        EXPECT_LE(
            std::ranges::count(outstanding, begun->Server,
                               [](const auto &it) { return it.second.Server; }),
            MaxOutstandingPerServer);
      }
      ASSERT_TRUE(attempts.nextEvent());
      EXPECT_GT(*attempts.nextEvent(), now);
      EXPECT_LE(outstanding.size(), MaxOutstanding);
    }
    EXPECT_TRUE(connected) << "random seed " << seed;
  }
}

// Guards against a client that goes round the list of an instance that is cut
// off: it answers and is left again, and all others on its list are gone.
TEST(ConnectAttemptsTest, InstanceThatIsLeftDoesNotBeginANewRound) {
  constexpr Duration TimeUntilLeft{1000};
  constexpr Duration MaxDelay{5000};
  ConnectAttempts attempts({}, 1);
  attempts.setAdvertised(serversFrom(9, 10));
  bool isOpen = false;
  TimePoint openedAt{};
  bool found = false;
  for (TimePoint now{}; !found && now < TimePoint{MaxDelay};
       now += Duration(5)) {
    if (isOpen && now - openedAt >= TimeUntilLeft) {
      isOpen = false;
      attempts.onClose(now);
    }
    attempts.takeExpired(now);
    const auto begun = attempts.begin(now);
    found = begun && begun->Server == server(9) && now > TimePoint{};
    if (begun && begun->Server == server(1)) {
      attempts.onOpen(now);
      attempts.onFrame();
      isOpen = true;
      openedAt = now;
    }
    attempts.setAdvertised(serversFrom(1, 4));
  }
  EXPECT_TRUE(found);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, ReachableServerTest,
    testing::Values(
        // Guards against attempts that are given up before the reply has
        // passed a congested link, so that none of them ever succeeds.
        ConnectCase{"HandshakeOnACongestedLink",
                    {},
                    serversFrom(1, 2),
                    1,
                    Duration(0),
                    Duration(600),
                    Never,
                    Duration(700)},
        ConnectCase{"HandshakeAfterARetransmission",
                    {},
                    serversFrom(1, 4),
                    3,
                    Duration(0),
                    Duration(1500),
                    Never,
                    Duration(2200)},
        // Guards against a back-off of a second for each server of a list after
        // an outage.
        ConnectCase{"LastOfEightAfterAnOutage",
                    {serversFrom(1, 9)},
                    {},
                    8,
                    Duration(20000),
                    Duration(5),
                    Never,
                    Duration(2000)},
        ConnectCase{"LastOfEightWhileTheOthersRefuse",
                    {serversFrom(1, 9)},
                    {},
                    8,
                    Duration(20000),
                    Duration(5),
                    Duration(5),
                    Duration(1500)},
        // Guards against a list of an instance that is cut off, whose entries
        // are all gone, taking the place of the list that works.
        ConnectCase{"ServerOfAnEarlierList",
                    {serversFrom(1, 4), serversFrom(4, 6)},
                    serversFrom(6, 8),
                    2,
                    Duration(0),
                    Duration(5),
                    Never,
                    Duration(3000)},
        // Guards against a connection to a seed that moves to an advertised
        // server after the settings have been read again: if neither list
        // works, the seed that did must not be forgotten.
        ConnectCase{"ServerOfEarlierSettings",
                    {serversFrom(4, 6)},
                    serversFrom(6, 8),
                    1,
                    Duration(0),
                    Duration(5),
                    Never,
                    Duration(2000),
                    serversFrom(1, 3)},
        // Guards against many servers that are gone holding up the attempts
        // at the current ones.
        ConnectCase{"CurrentServerBesideManyFormerOnes",
                    {serversFrom(10, 26), serversFrom(1, 4)},
                    {},
                    3,
                    Duration(20000),
                    Duration(5),
                    Never,
                    Duration(1500)},
        // Guards against a list that is longer than the memory of attempts:
        // its last servers were never tried.
        ConnectCase{"LastOfALongList",
                    {serversFrom(1, 65)},
                    serversFrom(65, 129),
                    128,
                    Duration(0),
                    Duration(5),
                    Duration(5),
                    Duration(10000)},
        // Guards against a client without servers that never looks for one
        // again.
        ConnectCase{"ServersKnownLater",
                    {},
                    serversFrom(1, 2),
                    1,
                    Duration(3000),
                    Duration(5),
                    Never,
                    Duration(1500)}),
    [](const auto &info) { return std::string(info.param.Name); });

} // namespace
} // namespace pistachio
