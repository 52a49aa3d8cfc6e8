#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace pistachio {

/// An integer identifier that does not convert to other identifiers. 0 means
/// "none".
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

/// Chosen by the caller; unique together with the caller's endpoint and the
/// service.
using FlowId = StrongId<struct FlowIdTag, std::uint64_t>;

/// Index of the log entry that last changed the published state.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

/// Distinguishes two runs of a process at the same endpoint: start time and
/// random bits.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// 128 bits chosen by the caller for one request. Repeats of the request carry
/// the same id.
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
    // Ids are random, so folding the halves is enough.
    return static_cast<std::size_t>(id.High ^ (id.Low * 0x9E3779B97F4A7C15ULL));
  }
};
