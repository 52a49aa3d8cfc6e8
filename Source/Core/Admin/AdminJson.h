#pragma once

/// Internal header of the Admin library: JSON documents of the API.

#include "Admin/Admin.h"

#include <boost/json.hpp>
#include <optional>
#include <string_view>

namespace pistachio {

/// The text must be a JSON object, nested at most 8 levels deep.
absl::StatusOr<boost::json::object> parseObject(std::string_view text);

/// Nothing if the key is absent or of another type.
std::optional<std::string> findText(const boost::json::object &object,
                                    std::string_view key);
std::optional<std::uint64_t> findNumber(const boost::json::object &object,
                                        std::string_view key);

boost::json::object statusToJson(const ControlStatus &status);
boost::json::array upstreamsToJson(const std::vector<UpstreamStatus> &items);
absl::StatusOr<ControlStatus> statusFromJson(const boost::json::object &object);

/// Kinds of error: the status code, its name in the API and the HTTP status.
struct ErrorKind {
  absl::StatusCode Code;
  std::string_view Name;
  unsigned HttpStatus;
};

const ErrorKind &errorKind(absl::StatusCode code);

/// {"error": {"code", "message", "findings"}}. Lines "file:line:column: text"
/// of an InvalidArgument become findings.
boost::json::object errorToJson(const absl::Status &status);
boost::json::object errorToJson(std::string_view code, std::string_view message,
                                std::span<const Finding> findings);
/// The other way round; Internal if the document is no error document.
absl::Status errorFromJson(const boost::json::object &object);

} // namespace pistachio
