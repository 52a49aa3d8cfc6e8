#include "Routing/Routing.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace pistachio {
namespace {

constexpr std::size_t MaxIndexableMembers =
    std::numeric_limits<std::uint16_t>::max();

/// Index of a previous member that was removed or changed its state.
constexpr std::uint16_t RemovedMember =
    std::numeric_limits<std::uint16_t>::max();

/// An update of the chains costs about four ranks of every bucket for each
/// changed member; a new computation costs one weight for each member and
/// bucket. With more changed members than this, a new computation is cheaper
/// for the usual numbers of members.
constexpr std::size_t MaxIncrementalChanges = 4;

/// Set in the weight of members that are not suspect, which ranks them before
/// all suspect members.
constexpr std::uint64_t NonSuspectBit = std::uint64_t{1} << 63;

struct RankedMember {
  std::uint64_t Weight;
  std::uint16_t Index;
};

bool ranksBefore(const RankedMember &a, const RankedMember &b) {
  return a.Weight != b.Weight ? a.Weight > b.Weight : a.Index < b.Index;
}

/// Inserts an entry into \p top, which keeps the entries of highest weight in
/// sorted order.
void insertRanked(std::span<RankedMember> top, std::size_t &count,
                  RankedMember entry) {
  if (count == top.size()) {
    if (!ranksBefore(entry, top[count - 1]))
      return;
    --count;
  }
  std::size_t it = count++;
  for (; it > 0 && ranksBefore(entry, top[it - 1]); --it)
    top[it] = top[it - 1];
  top[it] = entry;
}

} // namespace

Service::Service(ServiceId id, std::string name, Endpoint address,
                 std::vector<ServiceMember> members, Revision membersRevision)
    : Id(id), Address(address), MembersRevision(membersRevision),
      Members(std::move(members)), Name(std::move(name)) {
  std::ranges::sort(Members, {}, &ServiceMember::Id);
  if (Members.size() > MaxIndexableMembers)
    Members.resize(MaxIndexableMembers);
  NonSuspect = static_cast<std::size_t>(
      std::ranges::count_if(Members, [](const ServiceMember &it) {
        return it.State != CandidateState::Suspect;
      }));
  if (Members.size() <= MaxOnDemandMembers)
    return;
  PrecomputedChains.resize(BucketCount * MaxChainEntries);
  for (std::size_t n = 0; n < BucketCount; ++n)
    computeChain(static_cast<std::uint16_t>(n),
                 std::span(PrecomputedChains)
                     .subspan(n * MaxChainEntries, MaxChainEntries));
}

Service::Service(const Service &previous, std::string name, Endpoint address,
                 std::vector<ServiceMember> members, Revision membersRevision)
    : Id(previous.Id), Address(address), MembersRevision(membersRevision),
      Members(std::move(members)), Name(std::move(name)) {
  std::ranges::sort(Members, {}, &ServiceMember::Id);
  if (Members.size() <= MaxOnDemandMembers || !updateChains(previous))
    *this = Service(Id, std::move(Name), address, std::move(Members),
                    membersRevision);
}

std::size_t Service::memoryBytes() const {
  return sizeof(Service) + (Members.capacity() * sizeof(ServiceMember)) +
         (PrecomputedChains.capacity() * sizeof(std::uint16_t)) +
         Name.capacity();
}

std::uint64_t Service::weight(std::uint16_t bucket, std::size_t index) const {
  const ServiceMember &it = Members[index];
  // The highest bit of the weight is used for the state, and the lowest bit is
  // set so that no weight is 0. Members whose weights differ only in these bits
  // are ordered by index, which follows the ids and is therefore the same on
  // every node.
  const std::uint64_t n = (rendezvousWeight(bucket, it.Id) >> 1) | 1;
  return it.State == CandidateState::Suspect ? n : n | NonSuspectBit;
}

void Service::computeChain(std::uint16_t bucket,
                           std::span<std::uint16_t> out) const {
  if (Members.size() > MaxOnDemandMembers) {
    std::array<RankedMember, MaxChainEntries> top;
    std::size_t count = 0;
    for (std::size_t n = 0; n < Members.size(); ++n)
      insertRanked(std::span(top).first(out.size()), count,
                   {weight(bucket, n), static_cast<std::uint16_t>(n)});
    for (std::size_t n = 0; n < count; ++n)
      out[n] = top[n].Index;
    return;
  }
  // Select the maximum once for each rank: its comparisons compile to
  // conditional moves, while a sorted insertion mispredicts a branch for most
  // members.
  std::array<std::uint64_t, MaxOnDemandMembers> weights;
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
  if (previous.PrecomputedChains.empty() ||
      Members.size() > MaxIndexableMembers)
    return false;
  std::vector<std::uint16_t> newIndices(previous.Members.size(), RemovedMember);
  std::vector<std::uint16_t> added;
  std::size_t changes = 0;
  std::size_t previousIndex = 0;
  for (std::size_t n = 0; n < Members.size(); ++n) {
    for (; previousIndex < newIndices.size() &&
           previous.Members[previousIndex].Id < Members[n].Id;
         ++previousIndex)
      ++changes;
    const bool isKnown = previousIndex < newIndices.size() &&
                         previous.Members[previousIndex].Id == Members[n].Id;
    const bool keepsRank =
        isKnown &&
        (previous.Members[previousIndex].State == CandidateState::Suspect) ==
            (Members[n].State == CandidateState::Suspect);
    if (keepsRank) {
      newIndices[previousIndex] = static_cast<std::uint16_t>(n);
    } else {
      added.push_back(static_cast<std::uint16_t>(n));
      ++changes;
    }
    previousIndex += isKnown ? 1 : 0;
    if (changes > MaxIncrementalChanges)
      return false;
  }
  changes += newIndices.size() - previousIndex;
  if (changes > MaxIncrementalChanges)
    return false;

  NonSuspect = static_cast<std::size_t>(
      std::ranges::count_if(Members, [](const ServiceMember &it) {
        return it.State != CandidateState::Suspect;
      }));
  PrecomputedChains.resize(BucketCount * MaxChainEntries);
  for (std::size_t n = 0; n < BucketCount; ++n) {
    const auto bucket = static_cast<std::uint16_t>(n);
    const std::span<std::uint16_t> out =
        std::span(PrecomputedChains)
            .subspan(n * MaxChainEntries, MaxChainEntries);
    bool isComplete = true;
    for (std::size_t k = 0; k < MaxChainEntries; ++k) {
      out[k] =
          newIndices[previous.PrecomputedChains[(n * MaxChainEntries) + k]];
      isComplete = isComplete && out[k] != RemovedMember;
    }
    if (!isComplete) {
      computeChain(bucket, out);
      continue;
    }
    if (added.empty())
      continue;
    std::array<RankedMember, MaxChainEntries> top;
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

std::size_t Service::readRanking(std::uint16_t bucket, std::size_t firstRank,
                                 std::span<std::uint16_t> out) const {
  if (firstRank >= Members.size() || out.empty())
    return 0;
  const std::size_t count = std::min(out.size(), Members.size() - firstRank);
  if (firstRank + count <= MaxChainEntries) {
    if (PrecomputedChains.empty()) {
      std::array<std::uint16_t, MaxChainEntries> chain;
      computeChain(bucket, std::span(chain).first(firstRank + count));
      std::copy_n(chain.begin() + firstRank, count, out.begin());
    } else {
      std::copy_n(PrecomputedChains.begin() + (bucket * MaxChainEntries) +
                      firstRank,
                  count, out.begin());
    }
    return count;
  }

  std::array<RankedMember, MaxOnDemandMembers> local;
  std::vector<RankedMember> allocated;
  std::span<RankedMember> all(local.data(),
                              std::min(Members.size(), local.size()));
  if (Members.size() > local.size()) {
    allocated.resize(Members.size());
    all = allocated;
  }
  for (std::size_t n = 0; n < all.size(); ++n)
    all[n] = {weight(bucket, n), static_cast<std::uint16_t>(n)};
  const auto from = all.begin() + static_cast<std::ptrdiff_t>(firstRank);
  const auto to = from + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(all.begin(), to, all.end(), ranksBefore);
  std::transform(from, to, out.begin(),
                 [](const RankedMember &it) { return it.Index; });
  return count;
}

std::optional<std::size_t> Service::find(UpstreamId id) const {
  const auto it = std::ranges::lower_bound(Members, id, {}, &ServiceMember::Id);
  if (it == Members.end() || it->Id != id)
    return std::nullopt;
  return static_cast<std::size_t>(it - Members.begin());
}

} // namespace pistachio
