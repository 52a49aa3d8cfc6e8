#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace pistachio {

/// An integer identifier that does not convert implicitly to identifiers of
/// other kinds. The value 0 means "none".
template <typename Tag, typename Rep> struct StrongId {
  using RepType = Rep;
  Rep Value = 0;

  constexpr explicit operator bool() const { return Value != 0; }
  friend constexpr auto operator<=>(const StrongId &,
                                    const StrongId &) = default;
};

using ServiceId = StrongId<struct ServiceIdTag, std::uint32_t>;
using UpstreamId = StrongId<struct UpstreamIdTag, std::uint32_t>;
using DataCentreId = StrongId<struct DataCentreIdTag, std::uint16_t>;

/// Assigned by the caller. Unique in combination with the endpoint of the
/// caller and the service.
using FlowId = StrongId<struct FlowIdTag, std::uint64_t>;

/// Version of the published state: the index of the entry in the replicated log
/// that last changed it.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// Identifies one run of a process, to distinguish it from earlier runs at the
/// same endpoint. Consists of the start time and random bits.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// Random 128-bit identifier that the caller assigns to a request. Retries of
/// the request carry the same id.
struct RequestId {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  friend constexpr auto operator<=>(const RequestId &,
                                    const RequestId &) = default;
};

} // namespace pistachio

template <typename Tag, typename Rep>
struct std::hash<pistachio::StrongId<Tag, Rep>> {
  std::size_t
  operator()(const pistachio::StrongId<Tag, Rep> &id) const noexcept {
    return std::hash<Rep>{}(id.Value);
  }
};

template <> struct std::hash<pistachio::RequestId> {
  std::size_t operator()(const pistachio::RequestId &id) const noexcept {
    // Ids are random, so combining the two halves distributes well enough.
    return static_cast<std::size_t>(id.High ^ (id.Low * 0x9E3779B97F4A7C15ULL));
  }
};
