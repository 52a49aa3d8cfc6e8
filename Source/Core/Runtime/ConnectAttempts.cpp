#include "Runtime/ConnectAttempts.h"

#include "Wire/Wire.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pistachio {
namespace {

/// Several round trips between regions. A server that is powered off does not
/// reply at all, so the client has to try another one.
constexpr Duration AttemptInterval{200};
/// An attempt without a reply goes on this long beside later ones. On a
/// congested link of 2 Mbit/s a handshake waits behind hundreds of kilobytes:
/// at 200 ms every attempt was given up before its reply arrived. It includes
/// the system's first retransmission, after 1 s.
constexpr Duration ConnectTimeout{3000};

/// Limits the sockets of a control instance that is cut off from all members of
/// a large group: without the limit it would use 15 for each of them.
constexpr std::size_t MaxAttemptsPerServer = 4;

constexpr Duration InitialBackOff{50};
/// Upper limit of the back-off for the first InitialAttempts attempts. It is
/// low so that nodes that start at the same time as the control instances
/// connect soon after those are ready. Later attempts are limited by
/// MaxBackOff.
constexpr Duration InitialMaxBackOff{200};
constexpr std::size_t InitialAttempts = 15;
/// The back-off is the time between two rounds, so each server is tried about
/// once in this time. Between two attempts it would delay the one server of a
/// long list that can be reached by a second for each of the others.
constexpr Duration MaxBackOff{1000};

/// A connection of this duration worked: balancers and agents leave a server
/// that is cut off from its group earlier.
constexpr Duration MinUsefulConnection{3000};

constexpr std::size_t MaxFormerServers = 16;
/// Former servers tried in each round. They are mostly gone, and 16 of them
/// without a reply would hold up the other servers by 3 s.
constexpr std::size_t FormerServersPerRound = 2;
/// Number of servers whose latest attempt is remembered. If it were below the
/// number of servers, the last ones of the list would never be tried.
constexpr std::size_t MaxTriedServers =
    2 * MaxControlInstances + MaxFormerServers;

bool contains(const std::vector<Endpoint> &servers, const Endpoint &server) {
  return std::ranges::find(servers, server) != servers.end();
}

void appendMissing(std::vector<Endpoint> &to,
                   const std::vector<Endpoint> &from) {
  std::ranges::copy_if(from, std::back_inserter(to),
                       [&](const Endpoint &it) { return !contains(to, it); });
}

} // namespace

ConnectAttempts::ConnectAttempts(std::vector<Endpoint> configured,
                                 std::uint32_t randomSeed)
    : Configured(std::move(configured)), BackOff(InitialBackOff),
      Random(randomSeed) {}

void ConnectAttempts::setConfigured(std::vector<Endpoint> servers) {
  remember(std::exchange(Configured, std::move(servers)));
}

void ConnectAttempts::setAdvertised(std::vector<Endpoint> servers) {
  std::vector<Endpoint> former = std::exchange(Advertised, std::move(servers));
  std::ranges::shuffle(Advertised, Random);
  remember(std::move(former));
}

void ConnectAttempts::remember(std::vector<Endpoint> former) {
  appendMissing(former, Former);
  std::erase_if(former, [&](const Endpoint &it) {
    return contains(Advertised, it) || contains(Configured, it);
  });
  former.resize(std::min(former.size(), MaxFormerServers));
  Former = std::move(former);
}

std::vector<Endpoint> ConnectAttempts::currentServers() const {
  std::vector<Endpoint> servers = Advertised;
  appendMissing(servers, Configured);
  return servers;
}

/// Returns the server that was tried least recently. Servers advertise their
/// list on every connection, and those that are cut off may advertise different
/// ones, so a position in the list would not tell which servers have been
/// tried.
Endpoint ConnectAttempts::takeNextServer(const std::vector<Endpoint> &servers) {
  const auto lastTried = [&](const Endpoint &it) {
    const auto found = std::ranges::find(Tried, it);
    return found == Tried.end() ? 0 : found - Tried.begin() + 1;
  };
  const Endpoint next = *std::ranges::min_element(servers, {}, lastTried);
  std::erase(Tried, next);
  Tried.push_back(next);
  if (Tried.size() > MaxTriedServers)
    Tried.erase(Tried.begin());
  return next;
}

/// Jitter prevents thousands of nodes from reconnecting to a control instance
/// at the same time.
Duration ConnectAttempts::jitter(Duration limit) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      limit.count() / 2, limit.count())(Random));
}

std::optional<ConnectAttempt> ConnectAttempts::begin(TimePoint now) {
  if (!NextAttemptAt || now < *NextAttemptAt)
    return std::nullopt;
  const std::vector<Endpoint> current = currentServers();
  // An instance that is cut off, or has just been restarted, may advertise
  // servers that are gone, and the settings may name such servers as well.
  const std::size_t roundSize =
      current.size() + std::min(Former.size(), FormerServersPerRound);
  if (roundSize == 0) {
    NextAttemptAt = now + MaxBackOff;
    return std::nullopt;
  }
  // The list may have become shorter.
  if (RoundAttempts >= roundSize)
    RoundAttempts = 0;
  const Endpoint server =
      takeNextServer(RoundAttempts < current.size() ? current : Former);
  if (RoundAttempts++ == 0)
    RoundBeganAt = now;
  ++FailedAttempts;
  if (RoundAttempts < roundSize) {
    EarliestAttemptAt = now + jitter(InitialBackOff);
  } else {
    EarliestAttemptAt = RoundBeganAt + jitter(BackOff);
    BackOff = std::min(BackOff * 2, FailedAttempts < InitialAttempts
                                        ? InitialMaxBackOff
                                        : MaxBackOff);
    RoundAttempts = 0;
  }
  NextAttemptAt = std::max(now + AttemptInterval, EarliestAttemptAt);
  Outstanding.push_back({{++LastId.Value}, server, now});
  return Outstanding.back();
}

std::vector<ConnectAttempt> ConnectAttempts::takeExpired(TimePoint now) {
  // Attempts are in the order in which they began.
  const auto end = std::ranges::find_if(Outstanding, [&](const auto &it) {
    return now - it.BeganAt < ConnectTimeout;
  });
  std::vector<ConnectAttempt> expired(Outstanding.begin(), end);
  Outstanding.erase(Outstanding.begin(), end);
  if (Outstanding.empty())
    return expired;
  // The oldest attempt stays, because it is the next to succeed on a slow link,
  // and so do the latest ones, because the packet of an older one may be lost.
  const Endpoint latest = Outstanding.back().Server;
  const auto isAtLatest = [&](const auto &it) { return it.Server == latest; };
  if (static_cast<std::size_t>(std::ranges::count_if(Outstanding, isAtLatest)) <
      MaxAttemptsPerServer)
    return expired;
  const auto oldest = std::ranges::find_if(Outstanding, isAtLatest);
  const auto second = std::find_if(oldest + 1, Outstanding.end(), isAtLatest);
  expired.push_back(*second);
  Outstanding.erase(second);
  return expired;
}

void ConnectAttempts::onFailed(ConnectAttemptId attempt, TimePoint now) {
  std::erase_if(Outstanding, [&](const auto &it) { return it.Id == attempt; });
  if (NextAttemptAt && attempt == LastId)
    NextAttemptAt = std::max(now, EarliestAttemptAt);
}

void ConnectAttempts::onOpen(TimePoint now) {
  OpenedAt = now;
  NextAttemptAt.reset();
  Outstanding.clear();
}

void ConnectAttempts::onFrame() {
  BackOff = InitialBackOff;
  FailedAttempts = 0;
  EarliestAttemptAt = TimePoint{};
}

void ConnectAttempts::onClose(TimePoint now) {
  // After a shorter connection the round goes on. Otherwise an instance that is
  // cut off, answers and is left again would keep the former servers from being
  // tried.
  if (now - OpenedAt >= MinUsefulConnection)
    RoundAttempts = 0;
  NextAttemptAt = std::max(now + jitter(InitialBackOff), EarliestAttemptAt);
}

std::optional<TimePoint> ConnectAttempts::nextEvent() const {
  if (Outstanding.empty())
    return NextAttemptAt;
  const TimePoint expiry = Outstanding.front().BeganAt + ConnectTimeout;
  return NextAttemptAt ? std::min(*NextAttemptAt, expiry) : expiry;
}

} // namespace pistachio
