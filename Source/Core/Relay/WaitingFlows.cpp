#include "Relay/WaitingFlows.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace pistachio {
namespace {

/// As many packets as DeferredPackets keeps, about 3 MB.
constexpr std::size_t MaxWaitingPackets = 2000;

/// One of this many tries goes to the least urgent flows.
constexpr std::uint64_t LeastUrgentInterval = 10;

/// Declined offers that each accepted flow allows. At most 1.5 offers may be
/// made for each placed flow; the rest is left for ProbeInterval.
constexpr double DeclinesPerAccept = 0.3;

/// Bounds the declined offers that are allowed at once. With more, balancers
/// fill the agents in turns, and urgent flows of the others are refused
/// meanwhile.
constexpr double MaxBudget = 1.5;

/// While the budget is used up, one flow is tried in this time, so that free
/// upstreams are noticed. It is the time after which an agent whose slots were
/// busy may be offered flows again. With less, several balancers together make
/// more than 1.5 offers for each placed flow.
constexpr Duration ProbeInterval{20};

/// A service without tries and declined offers for this long is forgotten.
constexpr Duration ServiceRetention{10000};

/// Bounds ServiceState::LastTries.
constexpr std::size_t MaxCallers = 2 * MaxWaitingPackets;

} // namespace

WaitingFlows::ServiceState::ServiceState() : Budget(MaxBudget) {}

bool WaitingFlows::canAdd(const FlowEndpoints &flow) const {
  return Packets.size() < MaxWaitingPackets ||
         std::ranges::find(Packets, flow, &Packet::Flow) != Packets.end();
}

void WaitingFlows::add(const FlowEndpoints &flow,
                       std::span<const std::byte> buf, const WaitTerms &terms) {
  erase(flow);
  Packets.push_back({flow, Bytes(buf.begin(), buf.end()), terms});
  ++Services[terms.Service].Waiting;
}

WaitingFlows::Packet WaitingFlows::remove(std::size_t index) {
  std::swap(Packets[index], Packets.back());
  Packet it = std::move(Packets.back());
  Packets.pop_back();
  --Services[it.Terms.Service].Waiting;
  return it;
}

void WaitingFlows::erase(const FlowEndpoints &flow) {
  const auto it = std::ranges::find(Packets, flow, &Packet::Flow);
  if (it != Packets.end())
    remove(static_cast<std::size_t>(it - Packets.begin()));
}

bool WaitingFlows::hasWaiting(ServiceId service) const {
  const auto it = Services.find(service);
  return it != Services.end() && it->second.Waiting > 0;
}

std::vector<ServiceId> WaitingFlows::services() const {
  std::vector<ServiceId> all;
  for (const auto &[id, state] : Services)
    if (state.Waiting > 0)
      all.push_back(id);
  return all;
}

template <typename Match>
std::vector<WaitingFlows::Packet> WaitingFlows::extract(Match matches) {
  std::vector<Packet> taken;
  for (std::size_t i = Packets.size(); i-- > 0;)
    if (matches(Packets[i].Terms))
      taken.push_back(remove(i));
  return taken;
}

std::vector<WaitingFlows::Packet> WaitingFlows::takeExpired(TimePoint now) {
  std::erase_if(Services, [&](const auto &it) {
    return it.second.Waiting == 0 &&
           now - it.second.LastUsedAt >= ServiceRetention;
  });
  return extract([&](const WaitTerms &it) { return now >= it.Until; });
}

std::vector<WaitingFlows::Packet> WaitingFlows::takeAll(ServiceId service) {
  return extract([&](const WaitTerms &it) { return it.Service == service; });
}

std::size_t WaitingFlows::nextOf(ServiceId service, const ServiceState &state,
                                 TimePoint now) const {
  const bool isForLeastUrgent = (state.Tries + 1) % LeastUrgentInterval == 0;
  const auto groupOf = [&](const WaitTerms &it) {
    const bool isLate = now >= it.OnTimeUntil;
    return isForLeastUrgent ? std::pair(-it.Urgency, int{isLate})
                            : std::pair(int{isLate}, int{it.Urgency});
  };
  const auto placeInGroup = [&](const Packet &it) {
    const auto last = state.LastTries.find(it.Flow.Caller.Address);
    return std::pair(last == state.LastTries.end() ? 0 : last->second,
                     it.Terms.Arrived);
  };
  std::size_t best = Packets.size();
  for (std::size_t i = 0; i < Packets.size(); ++i) {
    const Packet &it = Packets[i];
    if (it.Terms.Service != service)
      continue;
    if (best == Packets.size()) {
      best = i;
      continue;
    }
    const auto group = groupOf(it.Terms);
    const auto bestGroup = groupOf(Packets[best].Terms);
    if (group < bestGroup ||
        (group == bestGroup && placeInGroup(it) < placeInGroup(Packets[best])))
      best = i;
  }
  return best;
}

std::vector<WaitingFlows::Packet>
WaitingFlows::take(ServiceId service, std::size_t count, TimePoint now) {
  std::vector<Packet> taken;
  ServiceState &state = Services[service];
  while (taken.size() < count && state.Waiting > 0) {
    taken.push_back(remove(nextOf(service, state, now)));
    state.LastTries[taken.back().Flow.Caller.Address] = ++state.Tries;
    state.LastTryAt = state.LastUsedAt = now;
    state.AcceptsSinceTry = 0;
    ++Counts.Tries;
  }
  if (state.LastTries.size() > MaxCallers)
    std::erase_if(state.LastTries, [&](const auto &it) {
      return it.second + MaxCallers / 2 < state.Tries;
    });
  return taken;
}

std::size_t WaitingFlows::allowedTries(ServiceId service, TimePoint now) const {
  const auto it = Services.find(service);
  if (it == Services.end())
    return 0;
  const ServiceState &state = it->second;
  // This follows the rate at which upstreams become free. More tries at once
  // would fill the queues of the agents, where flows of all urgencies wait.
  if (state.Budget >= 1)
    return 1 + state.AcceptsSinceTry;
  return now - state.LastTryAt >= ProbeInterval ? 1 : 0;
}

bool WaitingFlows::isWithinBudget(ServiceId service) const {
  const auto it = Services.find(service);
  return it == Services.end() || it->second.Budget >= 1;
}

void WaitingFlows::recordDecline(ServiceId service, TimePoint now) {
  ServiceState &state = Services[service];
  state.Budget = std::max(state.Budget - 1, 0.0);
  state.LastUsedAt = now;
}

void WaitingFlows::recordAccept(ServiceId service) {
  const auto it = Services.find(service);
  if (it == Services.end())
    return;
  ServiceState &state = it->second;
  state.Budget = std::min(state.Budget + DeclinesPerAccept, MaxBudget);
  ++state.AcceptsSinceTry;
}

} // namespace pistachio
