#pragma once

/// Internal header of the Admin library: conversion between the types of the
/// API and JSON documents.

#include "Admin/Admin.h"

#include <boost/json.hpp>
#include <optional>
#include <string_view>

namespace pistachio {

/// Parses a JSON object that is nested at most 8 levels deep.
absl::StatusOr<boost::json::object> parseObject(std::string_view text);

/// Returns the value of a field, or std::nullopt if the key is absent or the
/// value has another type.
std::optional<std::string> findText(const boost::json::object &object,
                                    std::string_view key);
std::optional<std::uint64_t> findNumber(const boost::json::object &object,
                                        std::string_view key);

boost::json::object statusToJson(const ControlStatus &status);
boost::json::array upstreamsToJson(const std::vector<UpstreamStatus> &items);
absl::StatusOr<ControlStatus> statusFromJson(const boost::json::object &object);

/// Maps a status code to the error name in the API and the HTTP status.
struct ErrorKind {
  absl::StatusCode Code;
  std::string_view Name;
  unsigned HttpStatus;
};

const ErrorKind &errorKind(absl::StatusCode code);

/// Returns {"error": {"code", "message", "findings"}}. If the status is
/// InvalidArgument, the lines "file:line:column: text" of its message become
/// findings.
boost::json::object errorToJson(const absl::Status &status);
boost::json::object errorToJson(std::string_view code, std::string_view message,
                                std::span<const Finding> findings);
/// Inverse of errorToJson(). Returns Internal if the document is not an error
/// document.
absl::Status errorFromJson(const boost::json::object &object);

} // namespace pistachio
