#pragma once

/// Internal header of the Ctl library: the answer of a balancer to GET /explain
/// as text.

#include <boost/json.hpp>

#include <string>

namespace pistachio {

/// Formats an explanation for a person. Fields that are absent or of another
/// type than expected are shown as "-".
std::string formatExplanation(const boost::json::object &explanation);

} // namespace pistachio
