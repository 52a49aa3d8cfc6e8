#pragma once

#include "Relay/Relay.h"
#include "Runtime/Runtime.h"

#include <functional>
#include <string>

namespace pistachio {

/// Returns the JSON document that GET /explain answers with.
std::string toJson(const FlowExplanation &explanation);

/// Explanations that are made in one second. They use the thread that forwards
/// packets, and anyone who reaches the endpoint can ask for them: one takes
/// 1.5 ms for a service of 2,000 upstreams.
inline constexpr int MaxExplanationsPerSecond = 10;

/// Handles "GET /explain?caller=A.B.C.D:PORT&service=A.B.C.D:PORT". Other paths
/// get 404, other methods 405, malformed queries 400 and queries beyond
/// MaxExplanationsPerSecond 503, with an error document as in the
/// administration API. \p explain is called on the thread of the io_context
/// with the time that \p clock returns.
HttpHandler makeExplainHandler(
    std::function<FlowExplanation(const FlowEndpoints &, TimePoint now)>
        explain,
    std::function<TimePoint()> clock);

} // namespace pistachio
