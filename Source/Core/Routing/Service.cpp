#include "Routing/Routing.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pistachio {
namespace {

constexpr std::size_t MaxIndexedMembers =
    std::numeric_limits<std::uint16_t>::max();

/// Index of a member that the previous chains do not hold.
constexpr std::uint16_t Absent = std::numeric_limits<std::uint16_t>::max();

/// An update of the chains costs about four ranks of every bucket for each
/// changed member, a new computation one weight for each member; above this
/// many changes the new computation is the cheaper one for usual sizes.
constexpr std::size_t MaxIncrementalChanges = 4;

/// Trusted members come before suspect ones: the upper half of the weights.
constexpr std::uint64_t TrustedBit = std::uint64_t{1} << 63;

struct Ranked {
  std::uint64_t Weight;
  std::uint16_t Index;
};

bool isAhead(const Ranked &a, const Ranked &b) {
  return a.Weight != b.Weight ? a.Weight > b.Weight : a.Index < b.Index;
}

/// Keeps the heaviest entries sorted, up to the size of \p top.
void insertRanked(std::span<Ranked> top, std::size_t &count, Ranked entry) {
  if (count == top.size()) {
    if (!isAhead(entry, top[count - 1]))
      return;
    --count;
  }
  std::size_t it = count++;
  for (; it > 0 && isAhead(entry, top[it - 1]); --it)
    top[it] = top[it - 1];
  top[it] = entry;
}

} // namespace

Service::Service(ServiceId id, std::string name, Endpoint address,
                 std::vector<ServiceMember> members, Revision changed)
    : Id(id), Address(address), Changed(changed), Members(std::move(members)),
      Name(std::move(name)) {
  std::ranges::sort(Members, {}, &ServiceMember::Id);
  if (Members.size() > MaxIndexedMembers)
    Members.resize(MaxIndexedMembers);
  Trusted = static_cast<std::size_t>(
      std::ranges::count_if(Members, [](const ServiceMember &it) {
        return it.State != CandidateState::Suspect;
      }));
  if (Members.size() <= MaxDirectMembers)
    return;
  Precomputed.resize(BucketCount * MaxChainEntries);
  for (std::size_t n = 0; n < BucketCount; ++n)
    computeChain(
        static_cast<std::uint16_t>(n),
        std::span(Precomputed).subspan(n * MaxChainEntries, MaxChainEntries));
}

Service::Service(const Service &previous, std::string name, Endpoint address,
                 std::vector<ServiceMember> members, Revision changed)
    : Id(previous.Id), Address(address), Changed(changed),
      Members(std::move(members)), Name(std::move(name)) {
  std::ranges::sort(Members, {}, &ServiceMember::Id);
  if (Members.size() <= MaxDirectMembers || !updateChains(previous))
    *this = Service(Id, std::move(Name), address, std::move(Members), changed);
}

std::size_t Service::memoryBytes() const {
  return sizeof(Service) + (Members.capacity() * sizeof(ServiceMember)) +
         (Precomputed.capacity() * sizeof(std::uint16_t)) + Name.capacity();
}

std::uint64_t Service::weight(std::uint16_t bucket, std::size_t index) const {
  const ServiceMember &it = Members[index];
  // One bit is given up for the state, and the lowest one so that no weight is
  // 0. Members whose weights differ only there are told apart by their index,
  // which is in the order of ids on every node.
  const std::uint64_t n = (rendezvousWeight(bucket, it.Id) >> 1) | 1;
  return it.State == CandidateState::Suspect ? n : n | TrustedBit;
}

void Service::computeChain(std::uint16_t bucket,
                           std::span<std::uint16_t> out) const {
  if (Members.size() > MaxDirectMembers) {
    std::array<Ranked, MaxChainEntries> top;
    std::size_t count = 0;
    for (std::size_t n = 0; n < Members.size(); ++n)
      insertRanked(std::span(top).first(out.size()), count,
                   {weight(bucket, n), static_cast<std::uint16_t>(n)});
    for (std::size_t n = 0; n < count; ++n)
      out[n] = top[n].Index;
    return;
  }
  // One pass for each rank: the comparisons become conditional moves, while a
  // sorted insertion mispredicts a branch for most members.
  std::array<std::uint64_t, MaxDirectMembers> weights;
  for (std::size_t n = 0; n < Members.size(); ++n)
    weights[n] = weight(bucket, n);
  for (std::uint16_t &it : out.first(std::min(out.size(), Members.size()))) {
    std::size_t best = 0;
    std::uint64_t heaviest = weights[0];
    for (std::size_t n = 1; n < Members.size(); ++n) {
      const bool isHeavier = weights[n] > heaviest;
      best = isHeavier ? n : best;
      heaviest = isHeavier ? weights[n] : heaviest;
    }
    weights[best] = 0;
    it = static_cast<std::uint16_t>(best);
  }
}

bool Service::updateChains(const Service &previous) {
  if (previous.Precomputed.empty() || Members.size() > MaxIndexedMembers)
    return false;
  std::vector<std::uint16_t> moved(previous.Members.size(), Absent);
  std::vector<std::uint16_t> added;
  std::size_t changes = 0;
  std::size_t old = 0;
  for (std::size_t n = 0; n < Members.size(); ++n) {
    for (; old < moved.size() && previous.Members[old].Id < Members[n].Id;
         ++old)
      ++changes;
    const bool isKnown =
        old < moved.size() && previous.Members[old].Id == Members[n].Id;
    const bool keepsPlace =
        isKnown && (previous.Members[old].State == CandidateState::Suspect) ==
                       (Members[n].State == CandidateState::Suspect);
    if (keepsPlace) {
      moved[old] = static_cast<std::uint16_t>(n);
    } else {
      added.push_back(static_cast<std::uint16_t>(n));
      ++changes;
    }
    old += isKnown ? 1 : 0;
    if (changes > MaxIncrementalChanges)
      return false;
  }
  changes += moved.size() - old;
  if (changes > MaxIncrementalChanges)
    return false;

  Trusted = static_cast<std::size_t>(
      std::ranges::count_if(Members, [](const ServiceMember &it) {
        return it.State != CandidateState::Suspect;
      }));
  Precomputed.resize(BucketCount * MaxChainEntries);
  for (std::size_t n = 0; n < BucketCount; ++n) {
    const auto bucket = static_cast<std::uint16_t>(n);
    const std::span<std::uint16_t> out =
        std::span(Precomputed).subspan(n * MaxChainEntries, MaxChainEntries);
    bool isComplete = true;
    for (std::size_t k = 0; k < MaxChainEntries; ++k) {
      out[k] = moved[previous.Precomputed[(n * MaxChainEntries) + k]];
      isComplete = isComplete && out[k] != Absent;
    }
    if (!isComplete) {
      computeChain(bucket, out);
      continue;
    }
    if (added.empty())
      continue;
    std::array<Ranked, MaxChainEntries> top;
    for (std::size_t k = 0; k < MaxChainEntries; ++k)
      top[k] = {weight(bucket, out[k]), out[k]};
    std::size_t count = MaxChainEntries;
    for (const std::uint16_t it : added)
      insertRanked(top, count, {weight(bucket, it), it});
    for (std::size_t k = 0; k < MaxChainEntries; ++k)
      out[k] = top[k].Index;
  }
  return true;
}

std::size_t Service::rank(std::uint16_t bucket, std::size_t firstRank,
                          std::span<std::uint16_t> out) const {
  if (firstRank >= Members.size() || out.empty())
    return 0;
  const std::size_t count = std::min(out.size(), Members.size() - firstRank);
  if (firstRank + count <= MaxChainEntries) {
    if (Precomputed.empty()) {
      std::array<std::uint16_t, MaxChainEntries> chain;
      computeChain(bucket, std::span(chain).first(firstRank + count));
      std::copy_n(chain.begin() + firstRank, count, out.begin());
    } else {
      std::copy_n(Precomputed.begin() + (bucket * MaxChainEntries) + firstRank,
                  count, out.begin());
    }
    return count;
  }

  std::array<Ranked, MaxDirectMembers> local;
  std::vector<Ranked> heap;
  std::span<Ranked> all(local.data(), std::min(Members.size(), local.size()));
  if (Members.size() > local.size()) {
    heap.resize(Members.size());
    all = heap;
  }
  for (std::size_t n = 0; n < all.size(); ++n)
    all[n] = {weight(bucket, n), static_cast<std::uint16_t>(n)};
  const auto from = all.begin() + static_cast<std::ptrdiff_t>(firstRank);
  const auto to = from + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(all.begin(), to, all.end(), isAhead);
  std::transform(from, to, out.begin(),
                 [](const Ranked &it) { return it.Index; });
  return count;
}

std::optional<std::size_t> Service::find(UpstreamId id) const {
  const auto it = std::ranges::lower_bound(Members, id, {}, &ServiceMember::Id);
  if (it == Members.end() || it->Id != id)
    return std::nullopt;
  return static_cast<std::size_t>(it - Members.begin());
}

} // namespace pistachio
