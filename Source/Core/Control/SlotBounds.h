#pragma once

#include "Control/Control.h"

#include <map>
#include <string>

namespace pistachio {

/// Requests that the rules let one upstream of a service run at the same time:
/// the slots of the service rule, and an equal share of the service's limit for
/// each upstream that is neither suspect nor in a data centre that is out. The
/// share is rounded down and at least 1.
class SlotBounds {
public:
  std::uint32_t slotsPerUpstream(const std::string &service,
                                 const ControlState &state);

private:
  void recompute(const ControlState &state);

  /// The bounds change with the published state only, and an announcement of
  /// each upstream asks for them every second.
  Revision ComputedAtRevision;
  std::map<std::string, std::uint32_t, std::less<>> BoundByService;
};

} // namespace pistachio
