#pragma once

#include "Control/Control.h"

#include <map>
#include <string>

namespace pistachio {

/// Computes how many concurrent requests the rules allow one upstream of a
/// service: the smaller of the slots in the service rule and the upstream's
/// equal share of the service's limit. The limit is divided among the upstreams
/// that are neither suspect nor in a data centre that is out of service; the
/// share is rounded down and at least 1.
class SlotBounds {
public:
  /// Returns 0 for a service that is not in the rules.
  std::uint32_t slotsPerUpstream(const std::string &service,
                                 const ControlState &state);

private:
  void recompute(const ControlState &state);

  /// Published revision for which SlotsByService was computed. The bounds
  /// change only with the published state, but every upstream's announcement
  /// reads them once a second, so they are cached.
  Revision ComputedAtRevision;
  /// Concurrent requests allowed to one upstream, by service name.
  std::map<std::string, std::uint32_t, std::less<>> SlotsByService;
};

} // namespace pistachio
