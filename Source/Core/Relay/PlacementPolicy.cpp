#include "PlacementPolicy.h"

#include "absl/container/inlined_vector.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace pistachio {
namespace {

/// Average load of one open flow, in requests. Long-lived flows are idle most
/// of the time.
constexpr double LoadPerOpenFlow = 0.05;

/// Added to the load per slot of upstreams in other data centres: such an
/// upstream is chosen only if its load is lower by more than this share of its
/// slots.
constexpr double RemoteLoadPenalty = 0.2;

/// A first packet may go to any member of a service of up to this many: the
/// choice by load then spreads flows better than one among a few, and a search
/// is short all the same.
constexpr std::size_t MaxMembersOfOneChoice = 16;

/// A candidate may be chosen although its expected load exceeds the lowest one
/// by up to this many requests if its report is fresh, and by up to this many
/// requests per slot if the report says nothing any more. Balancers that know
/// the same loads would otherwise choose the same upstream.
constexpr double Reach = 0.5;

/// Expected load, in requests per slot, that a candidate loses in the mean time
/// between two flows that this balancer places on one candidate. Each balancer
/// thereby spreads its own flows evenly also when its reports are too old to
/// say anything. Values from 0.2 to 0.5 give about the same results in
/// PlacementPolicyTest.
constexpr double CreditPerInterval = 0.5;

/// Bounds the credit of a candidate that has got no flow for long, so that its
/// load still counts.
constexpr double MaxCreditIntervals = 3;

/// How long the number of idle flows in a report says something, in
/// milliseconds. Flows with many requests stay open for tens of seconds.
constexpr double IdleFlowsTrustMs = 10'000;

/// Upstreams count as unevenly fast if their stated times for a request have a
/// relative standard deviation above this. The times are moving averages and
/// scatter also among equal upstreams; speeds of 0.7, 0.7 and 1.7 alone give
/// 0.35.
constexpr double UnevenTimeDeviation = 0.25;

/// Number of stated times that this takes.
constexpr int MinStatedTimes = 3;

/// Calls \p visit for each eligible candidate of the first tiers that have one.
template <typename Visit>
void visitEligible(std::span<const RankedMember> candidates,
                   const AgentLoads &agents, TimePoint now, Visit visit) {
  const bool isOneChoice = candidates.size() <= MaxMembersOfOneChoice;
  // Tiers are taken in groups of 1, 2, 4 and so on.
  std::uint32_t lastTier = 0;
  bool found = false;
  for (const RankedMember &it : candidates) {
    if (!isOneChoice && it.Tier > lastTier) {
      if (found)
        return;
      lastTier = 2 * lastTier + 2;
    }
    const AgentStatus *status = agents.find(it.Member->Address);
    if (offerStateOf(*it.Member, status, now) != OfferState::Eligible)
      continue;
    found = true;
    visit(it, status);
  }
}

/// Chooses the least loaded eligible member of the first tiers that have one.
class LeastLoadedPolicy final : public PlacementPolicy {
public:
  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId localDataCentre,
                              const AgentLoads &agents,
                              TimePoint now) const override;
  std::vector<std::optional<double>>
  comparedLoads(std::span<const RankedMember> candidates,
                DataCentreId localDataCentre, const AgentLoads &agents,
                TimePoint now) const override;

private:
  static double loadOf(const AgentStatus *status, bool isRemote);
};

double LeastLoadedPolicy::loadOf(const AgentStatus *status, bool isRemote) {
  const double remote = isRemote ? RemoteLoadPenalty : 0;
  if (status == nullptr)
    return remote;
  const double work = status->Load.BusyFlows +
                      status->PlacedSinceReport * (LoadPerOpenFlow + 0.5) +
                      status->Load.Flows * LoadPerOpenFlow;
  return remote + work / std::max<double>(status->Load.Slots, 1);
}

const ServiceMember *
LeastLoadedPolicy::choose(const FlowEndpoints & /*flow*/,
                          std::span<const RankedMember> candidates,
                          DataCentreId localDataCentre,
                          const AgentLoads &agents, TimePoint now) const {
  const ServiceMember *best = nullptr;
  double bestLoad = 0;
  visitEligible(candidates, agents, now,
                [&](const RankedMember &it, const AgentStatus *status) {
                  const double load =
                      loadOf(status, it.Member->DataCentre != localDataCentre);
                  if (best == nullptr || load < bestLoad) {
                    best = it.Member;
                    bestLoad = load;
                  }
                });
  return best;
}

std::vector<std::optional<double>> LeastLoadedPolicy::comparedLoads(
    std::span<const RankedMember> candidates, DataCentreId localDataCentre,
    const AgentLoads &agents, TimePoint now) const {
  std::vector<std::optional<double>> loads(candidates.size());
  visitEligible(candidates, agents, now,
                [&](const RankedMember &it, const AgentStatus *status) {
                  loads[static_cast<std::size_t>(&it - candidates.data())] =
                      loadOf(status, it.Member->DataCentre != localDataCentre);
                });
  return loads;
}

/// What is expected of one candidate.
struct Estimate {
  const ServiceMember *Member = nullptr;
  bool IsRemote = false;
  bool HasReport = false;
  double Slots = 1;
  /// 0 if the agent has not stated it.
  double ServiceTimeMs = 0;
  double AgeMs = 0;
  /// Weight of the reported requests in progress: 1 when the report arrives, 0
  /// if there is none.
  double Trust = 0;
  /// Requests, first as reported in progress, then as expected per slot.
  double Load = 0;
  /// Reported flows without a request as requests, then per slot of mean speed.
  double IdleFlowLoad = 0;
  /// Requests that this balancer added since the report.
  double OwnRequests = 0;
  /// Time since this balancer placed a flow on the candidate, if it did.
  std::optional<double> IdleMs;
  /// Requests per millisecond that the candidate can work on.
  double Capacity = 1;
  /// IdleMs in requests that the candidate could have worked on.
  double IdleRequests = 0;
};

double milliseconds(Duration value) {
  return std::max(0.0, static_cast<double>(value.count()));
}

/// Approximates exp(-x) for x >= 0 as (1 - x / 16)^16, which takes less
/// time.
double decay(double x) {
  double value = std::max(0.0, 1 - x / 16);
  for (int i = 0; i < 4; ++i)
    value *= value;
  return value;
}

/// Expects the load of each candidate from its report, the age of the report
/// and the balancer's own flows, and picks one of the least loaded at random.
class ExpectedWaitPolicy final : public PlacementPolicy {
public:
  explicit ExpectedWaitPolicy(std::uint64_t seed) : Seed(mix64(seed + 1)) {}

  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId localDataCentre,
                              const AgentLoads &agents,
                              TimePoint now) const override;
  std::vector<std::optional<double>>
  comparedLoads(std::span<const RankedMember> candidates,
                DataCentreId localDataCentre, const AgentLoads &agents,
                TimePoint now) const override;

private:
  using Estimates = absl::InlinedVector<Estimate, MaxMembersOfOneChoice>;

  /// Adds the estimates for the eligible candidates, in their order.
  static void estimate(std::span<const RankedMember> candidates,
                       DataCentreId localDataCentre, const AgentLoads &agents,
                       TimePoint now, Estimates &estimates);
  static void readStatus(const AgentStatus &status, TimePoint now,
                         Estimate &it);
  /// Sets slots and service times that are not known to the mean of the others.
  static void completeCapacities(Estimates &estimates);
  /// Moves the reported loads towards their mean as the reports age, and adds
  /// the balancer's own flows.
  static void expectLoads(Estimates &estimates);
  static void addRemotePenalty(Estimates &estimates);
  static void subtractCredit(Estimates &estimates);
  const ServiceMember *pick(const Estimates &estimates,
                            const FlowEndpoints &flow) const;

  std::uint64_t Seed;
};

void ExpectedWaitPolicy::readStatus(const AgentStatus &status, TimePoint now,
                                    Estimate &it) {
  if (status.ReportedAt) {
    it.HasReport = true;
    it.Slots = std::max<double>(status.Load.Slots, 1);
    it.Load = status.Load.BusyFlows;
    it.IdleFlowLoad = std::max(status.Load.Flows - status.Load.BusyFlows, 0) *
                      LoadPerOpenFlow;
    it.AgeMs = milliseconds(now - *status.ReportedAt);
    it.ServiceTimeMs = status.Load.ServiceTimeMs;
  }
  if (status.PlacedAt) {
    it.IdleMs = milliseconds(now - *status.PlacedAt);
    it.OwnRequests = status.PlacedSinceReport;
  }
}

void ExpectedWaitPolicy::completeCapacities(Estimates &estimates) {
  double slots = 0;
  double reports = 0;
  double times = 0;
  double stated = 0;
  for (const Estimate &it : estimates) {
    slots += it.HasReport ? it.Slots : 0;
    reports += it.HasReport ? 1 : 0;
    times += it.ServiceTimeMs;
    stated += it.ServiceTimeMs > 0 ? 1 : 0;
  }
  for (Estimate &it : estimates) {
    if (!it.HasReport && reports > 0)
      it.Slots = slots / reports;
    if (it.ServiceTimeMs <= 0)
      it.ServiceTimeMs = stated > 0 ? times / stated : DefaultServiceTimeMs;
    it.Capacity = it.Slots / it.ServiceTimeMs;
    if (it.IdleMs)
      it.IdleRequests = *it.IdleMs * it.Capacity;
  }
}

void ExpectedWaitPolicy::expectLoads(Estimates &estimates) {
  double times = 0;
  for (const Estimate &it : estimates)
    times += it.ServiceTimeMs;
  const double meanTime =
      times / static_cast<double>(std::max<std::size_t>(estimates.size(), 1));
  double loads = 0;
  double idleFlowLoads = 0;
  double reports = 0;
  for (Estimate &it : estimates) {
    if (!it.HasReport)
      continue;
    it.Load /= it.Slots;
    // The requests that idle flows will bring take a slow upstream longer.
    it.IdleFlowLoad *= it.ServiceTimeMs / meanTime / it.Slots;
    loads += it.Load;
    idleFlowLoads += it.IdleFlowLoad;
    reports += 1;
    // The requests that a report counts end, and others begin, within about one
    // service time.
    it.Trust = decay(it.AgeMs / it.ServiceTimeMs);
  }
  const double mean = reports > 0 ? loads / reports : 0;
  const double idleFlowMean = reports > 0 ? idleFlowLoads / reports : 0;
  const auto weighted = [](double value, double other, double weight) {
    return weight * value + (1 - weight) * other;
  };
  for (Estimate &it : estimates) {
    const double idleFlowsTrust =
        it.HasReport ? decay(it.AgeMs / IdleFlowsTrustMs) : 0;
    it.Load = weighted(it.Load, mean, it.Trust) +
              weighted(it.IdleFlowLoad, idleFlowMean, idleFlowsTrust);
    // Own flows that no report counts yet, for example because the upstream
    // takes long to accept them, end after one to two service times.
    if (it.OwnRequests > 0 && *it.IdleMs < 2 * it.ServiceTimeMs)
      it.Load +=
          it.OwnRequests / it.Slots * (1 - *it.IdleMs / (2 * it.ServiceTimeMs));
  }
}

/// The penalty decreases as the wait in the local data centre grows.
void ExpectedWaitPolicy::addRemotePenalty(Estimates &estimates) {
  double bestLocal = 1;
  for (const Estimate &it : estimates)
    if (!it.IsRemote)
      bestLocal = std::min(bestLocal, it.Load);
  for (Estimate &it : estimates)
    if (it.IsRemote)
      it.Load += RemoteLoadPenalty * (1 - bestLocal);
}

/// If the best candidate is in another data centre, none gets credit: those of
/// the local one would get flows however loaded they are.
void ExpectedWaitPolicy::subtractCredit(Estimates &estimates) {
  const auto best =
      std::ranges::min_element(estimates, std::less{}, &Estimate::Load);
  if (best == estimates.end() || best->IsRemote)
    return;
  double sum = 0;
  double count = 0;
  for (const Estimate &it : estimates) {
    if (it.IsRemote || !it.IdleMs)
      continue;
    sum += it.IdleRequests;
    count += 1;
  }
  const double perRequest = sum > 0 ? count / sum : 0;
  for (Estimate &it : estimates) {
    double intervals = 1;
    if (!it.IsRemote && it.IdleMs && sum > 0)
      intervals = std::min(MaxCreditIntervals, it.IdleRequests * perRequest);
    it.Load -= CreditPerInterval * intervals;
  }
}

const ServiceMember *ExpectedWaitPolicy::pick(const Estimates &estimates,
                                              const FlowEndpoints &flow) const {
  const Estimate &best = *std::ranges::min_element(
      estimates, std::less{}, [](const Estimate &it) { return it.Load; });
  absl::InlinedVector<double, MaxMembersOfOneChoice> weights;
  weights.reserve(estimates.size());
  double total = 0;
  for (const Estimate &it : estimates) {
    const double excess = it.Load - best.Load;
    double weight = 0;
    if (excess < Reach && (best.IsRemote || !it.IsRemote)) {
      const double reach = Reach * (it.Trust / it.Slots + 1 - it.Trust);
      weight = std::max(0.0, 1 - excess / reach) * it.Capacity;
    }
    weights.push_back(weight);
    total += weights.back();
  }
  // The upper 53 bits of the hash are a number in [0, 1).
  const std::uint64_t hash = mix64(hashFlowEndpoints(flow) ^ Seed);
  double at = total * static_cast<double>(hash >> 11) * 0x1p-53;
  for (std::size_t i = 0; i < estimates.size(); ++i) {
    if (at < weights[i])
      return estimates[i].Member;
    at -= weights[i];
  }
  // Reached only by rounding.
  return best.Member;
}

void ExpectedWaitPolicy::estimate(std::span<const RankedMember> candidates,
                                  DataCentreId localDataCentre,
                                  const AgentLoads &agents, TimePoint now,
                                  Estimates &estimates) {
  visitEligible(candidates, agents, now,
                [&](const RankedMember &member, const AgentStatus *status) {
                  Estimate &it = estimates.emplace_back();
                  it.Member = member.Member;
                  it.IsRemote = member.Member->DataCentre != localDataCentre;
                  if (status != nullptr)
                    readStatus(*status, now, it);
                });
  completeCapacities(estimates);
  expectLoads(estimates);
  addRemotePenalty(estimates);
  subtractCredit(estimates);
}

const ServiceMember *
ExpectedWaitPolicy::choose(const FlowEndpoints &flow,
                           std::span<const RankedMember> candidates,
                           DataCentreId localDataCentre,
                           const AgentLoads &agents, TimePoint now) const {
  Estimates estimates;
  estimate(candidates, localDataCentre, agents, now, estimates);
  return estimates.empty() ? nullptr : pick(estimates, flow);
}

std::vector<std::optional<double>> ExpectedWaitPolicy::comparedLoads(
    std::span<const RankedMember> candidates, DataCentreId localDataCentre,
    const AgentLoads &agents, TimePoint now) const {
  Estimates estimates;
  estimate(candidates, localDataCentre, agents, now, estimates);
  std::vector<std::optional<double>> loads;
  const Estimate *next = estimates.begin();
  for (const RankedMember &it : candidates) {
    const bool isEstimated =
        next != estimates.end() && next->Member == it.Member;
    loads.push_back(isEstimated ? std::optional(next->Load) : std::nullopt);
    next += isEstimated ? 1 : 0;
  }
  return loads;
}

/// Expects loads where upstreams are unevenly fast, and takes the least loaded
/// one elsewhere, which spreads flows over equal upstreams more evenly.
class AdaptivePolicy final : public PlacementPolicy {
public:
  explicit AdaptivePolicy(std::uint64_t seed) : ForUneven(seed) {}

  const ServiceMember *choose(const FlowEndpoints &flow,
                              std::span<const RankedMember> candidates,
                              DataCentreId localDataCentre,
                              const AgentLoads &agents,
                              TimePoint now) const override {
    return policyFor(candidates, agents, now)
        .choose(flow, candidates, localDataCentre, agents, now);
  }
  std::vector<std::optional<double>>
  comparedLoads(std::span<const RankedMember> candidates,
                DataCentreId localDataCentre, const AgentLoads &agents,
                TimePoint now) const override {
    return policyFor(candidates, agents, now)
        .comparedLoads(candidates, localDataCentre, agents, now);
  }

private:
  const PlacementPolicy &policyFor(std::span<const RankedMember> candidates,
                                   const AgentLoads &agents,
                                   TimePoint now) const;

  LeastLoadedPolicy ForEven;
  ExpectedWaitPolicy ForUneven;
};

const PlacementPolicy &
AdaptivePolicy::policyFor(std::span<const RankedMember> candidates,
                          const AgentLoads &agents, TimePoint now) const {
  int n = 0;
  double sum = 0;
  double squares = 0;
  visitEligible(candidates, agents, now,
                [&](const RankedMember & /*member*/, const AgentStatus *it) {
                  if (it == nullptr || it->Load.ServiceTimeMs == 0)
                    return;
                  const double time = it->Load.ServiceTimeMs;
                  ++n;
                  sum += time;
                  squares += time * time;
                });
  if (n < MinStatedTimes)
    return ForEven;
  const double mean = sum / n;
  const double variance = (squares - sum * mean) / (n - 1);
  const double limit = UnevenTimeDeviation * mean;
  if (variance > limit * limit)
    return ForUneven;
  return ForEven;
}

} // namespace

std::vector<std::optional<double>> PlacementPolicy::comparedLoads(
    std::span<const RankedMember> candidates, DataCentreId /*localDataCentre*/,
    const AgentLoads & /*agents*/, TimePoint /*now*/) const {
  return std::vector<std::optional<double>>(candidates.size());
}

OfferState offerStateOf(const ServiceMember &member, const AgentStatus *status,
                        TimePoint now) {
  if (member.State != CandidateState::Accepting)
    return member.State == CandidateState::Draining ? OfferState::Draining
                                                    : OfferState::Suspect;
  if (status == nullptr ||
      (now >= status->AvoidUntil && now >= status->SilentUntil))
    return OfferState::Eligible;
  return status->SilentUntil >= status->AvoidUntil ? OfferState::Silent
                                                   : OfferState::Declined;
}

std::unique_ptr<PlacementPolicy> makePlacementPolicy(PlacementKind kind,
                                                     std::uint64_t seed) {
  if (kind == PlacementKind::ExpectedWait)
    return std::make_unique<ExpectedWaitPolicy>(seed);
  if (kind == PlacementKind::Adaptive)
    return std::make_unique<AdaptivePolicy>(seed);
  return std::make_unique<LeastLoadedPolicy>();
}

} // namespace pistachio
