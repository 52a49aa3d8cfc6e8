#include "Admin/AdminJson.h"

#include <algorithm>
#include <charconv>

namespace pistachio {
namespace {

namespace json = boost::json;

constexpr std::size_t MaxDepth = 8;

json::string_view toJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

/// Reads the fields of an object. A field that is absent or has another type
/// marks the whole document as invalid.
class FieldReader {
public:
  FieldReader(const json::value &value, bool &valid)
      : Object(value.if_object()), Valid(valid) {
    if (Object == nullptr)
      Valid = false;
  }
  FieldReader(const json::object &object, bool &valid)
      : Object(&object), Valid(valid) {}

  std::string text(std::string_view key) {
    return valueOrInvalidate(Object == nullptr ? std::nullopt
                                               : findText(*Object, key));
  }
  template <typename Number> Number number(std::string_view key) {
    const std::uint64_t value = valueOrInvalidate(
        Object == nullptr ? std::nullopt : findNumber(*Object, key));
    if (value > std::numeric_limits<Number>::max())
      Valid = false;
    return static_cast<Number>(value);
  }
  bool boolean(std::string_view key) {
    const json::value *value = find(key);
    if (value == nullptr || !value->is_bool()) {
      Valid = false;
      return false;
    }
    return value->get_bool();
  }
  Endpoint endpoint(std::string_view key) {
    const auto value = parseEndpoint(text(key), true);
    if (!value.ok())
      Valid = false;
    return value.ok() ? *value : Endpoint{};
  }
  template <typename Visit> void forEach(std::string_view key, Visit visit) {
    const json::value *value = find(key);
    if (value == nullptr || !value->is_array()) {
      Valid = false;
      return;
    }
    for (const json::value &it : value->get_array())
      visit(FieldReader(it, Valid));
  }

private:
  const json::value *find(std::string_view key) const {
    return Object == nullptr ? nullptr : Object->if_contains(toJsonView(key));
  }
  template <typename T> T valueOrInvalidate(std::optional<T> value) {
    if (!value)
      Valid = false;
    return std::move(value).value_or(T{});
  }

  const json::object *Object;
  bool &Valid;
};

constexpr ErrorKind ErrorKinds[] = {
    {absl::StatusCode::kAborted, "conflict", 409},
    {absl::StatusCode::kUnavailable, "unavailable", 503},
    {absl::StatusCode::kInvalidArgument, "findings", 422},
    {absl::StatusCode::kPermissionDenied, "not_permitted", 403},
    {absl::StatusCode::kUnauthenticated, "unauthenticated", 401},
    {absl::StatusCode::kNotFound, "not_found", 404},
    {absl::StatusCode::kDeadlineExceeded, "outcome_unknown", 504},
    {absl::StatusCode::kResourceExhausted, "no_space", 507},
    {absl::StatusCode::kInternal, "internal", 500},
};

/// Removes a leading "NUMBER:" and returns the number. Returns 0 and leaves the
/// text unchanged if it does not start that way.
std::uint32_t consumeNumber(std::string_view &text) {
  std::uint32_t value = 0;
  const char *end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (result.ec != std::errc() || result.ptr == end || *result.ptr != ':')
    return 0;
  text.remove_prefix(static_cast<std::size_t>(result.ptr - text.data()) + 1);
  return value;
}

/// Inverse of toString(Finding). A line in another format becomes a finding
/// that has only a message.
Finding parseFinding(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return {"", 0, 0, std::string(line)};
  std::string_view rest = line.substr(colon + 1);
  Finding finding;
  finding.Line = consumeNumber(rest);
  if (finding.Line == 0)
    return {"", 0, 0, std::string(line)};
  finding.Column = consumeNumber(rest);
  finding.File = line.substr(0, colon);
  finding.Message = rest.substr(rest.starts_with(' ') ? 1 : 0);
  return finding;
}

} // namespace

absl::StatusOr<json::object> parseObject(std::string_view text) {
  json::parse_options options;
  options.max_depth = MaxDepth;
  boost::system::error_code ec;
  json::value value = json::parse(toJsonView(text), ec, {}, options);
  if (ec)
    return absl::InvalidArgumentError(
        concat("the body is not valid JSON: ", ec.message()));
  if (!value.is_object())
    return absl::InvalidArgumentError("the body is not a JSON object");
  return std::move(value.get_object());
}

std::optional<std::string> findText(const json::object &object,
                                    std::string_view key) {
  const json::value *value = object.if_contains(toJsonView(key));
  if (value == nullptr || !value->is_string())
    return std::nullopt;
  const json::string &text = value->get_string();
  return std::string(text.data(), text.size());
}

std::optional<std::uint64_t> findNumber(const json::object &object,
                                        std::string_view key) {
  const json::value *value = object.if_contains(toJsonView(key));
  if (value == nullptr)
    return std::nullopt;
  boost::system::error_code ec;
  const auto number = value->to_number<std::uint64_t>(ec);
  if (ec)
    return std::nullopt;
  return number;
}

json::array upstreamsToJson(const std::vector<UpstreamStatus> &items) {
  json::array array;
  for (const UpstreamStatus &it : items)
    array.push_back({{"id", it.Id.Value},
                     {"service", it.Service},
                     {"dataCentre", it.DataCentre},
                     {"zone", it.Zone},
                     {"machine", it.Machine},
                     {"address", toString(it.Address)},
                     {"state", it.State},
                     {"slots", it.Slots},
                     {"flows", it.Flows}});
  return array;
}

json::object statusToJson(const ControlStatus &status) {
  json::array members;
  for (const MemberStatus &it : status.Members)
    members.push_back({{"id", it.Id.Value},
                       {"address", toString(it.Address)},
                       {"voter", it.Voter}});
  json::array balancers;
  for (const BalancerStatus &it : status.Balancers)
    balancers.push_back({{"name", it.Name},
                         {"dataCentre", it.DataCentre},
                         {"address", toString(it.Address)},
                         {"inForce", it.ConfirmedRevision.Value},
                         {"silentMs", it.LastLeaseRequestAgeMs}});
  return {{"role", status.Role},
          {"term", status.Term},
          {"commitIndex", status.CommitIndex},
          {"published", status.Published.Value},
          {"rulesRevision", status.RulesRevision.Value},
          {"members", std::move(members)},
          {"balancers", std::move(balancers)},
          {"upstreams", upstreamsToJson(status.Upstreams)}};
}

absl::StatusOr<ControlStatus> statusFromJson(const json::object &object) {
  bool valid = true;
  FieldReader reader(object, valid);
  ControlStatus status;
  status.Role = reader.text("role");
  status.Term = reader.number<std::uint64_t>("term");
  status.CommitIndex = reader.number<std::uint64_t>("commitIndex");
  status.Published = {reader.number<std::uint64_t>("published")};
  status.RulesRevision = {reader.number<std::uint64_t>("rulesRevision")};
  reader.forEach("members", [&](FieldReader it) {
    status.Members.push_back({{it.number<MemberId::RepType>("id")},
                              it.endpoint("address"),
                              it.boolean("voter")});
  });
  reader.forEach("balancers", [&](FieldReader it) {
    status.Balancers.push_back({it.text("name"),
                                it.text("dataCentre"),
                                it.endpoint("address"),
                                {it.number<std::uint64_t>("inForce")},
                                it.number<std::uint64_t>("silentMs")});
  });
  reader.forEach("upstreams", [&](FieldReader it) {
    status.Upstreams.push_back({{it.number<std::uint32_t>("id")},
                                it.text("service"),
                                it.text("dataCentre"),
                                it.text("zone"),
                                it.text("machine"),
                                it.endpoint("address"),
                                it.text("state"),
                                it.number<std::uint32_t>("slots"),
                                it.number<std::uint32_t>("flows")});
  });
  if (!valid)
    return absl::InternalError(
        "the status document lacks a field or has one of the wrong type");
  return status;
}

const ErrorKind &errorKind(absl::StatusCode code) {
  const auto *it = std::ranges::find(ErrorKinds, code, &ErrorKind::Code);
  return it == std::end(ErrorKinds) ? *std::prev(it) : *it;
}

json::object errorToJson(std::string_view code, std::string_view message,
                         std::span<const Finding> findings) {
  json::array array;
  for (const Finding &it : findings)
    array.push_back({{"file", it.File},
                     {"line", it.Line},
                     {"column", it.Column},
                     {"message", it.Message}});
  return {{"error",
           {{"code", toJsonView(code)},
            {"message", toJsonView(message)},
            {"findings", std::move(array)}}}};
}

json::object errorToJson(const absl::Status &status) {
  const std::string message = messageOf(status);
  const ErrorKind &kind = errorKind(status.code());
  if (status.code() != absl::StatusCode::kInvalidArgument)
    return errorToJson(kind.Name, message, {});
  std::vector<Finding> findings;
  std::string_view rest = message;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    findings.push_back(parseFinding(rest.substr(0, end)));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return errorToJson(kind.Name, "the rules have findings", findings);
}

absl::Status errorFromJson(const json::object &object) {
  const json::value *value = object.if_contains("error");
  const json::object *error = value == nullptr ? nullptr : value->if_object();
  const auto code = error ? findText(*error, "code") : std::nullopt;
  const auto message = error ? findText(*error, "message") : std::nullopt;
  if (!code || !message)
    return absl::InternalError("the answer is not a valid error document");
  Findings findings;
  bool valid = true;
  if (error->contains("findings"))
    FieldReader(*error, valid).forEach("findings", [&](FieldReader it) {
      findings.add({it.text("file"), it.number<std::uint32_t>("line"),
                    it.number<std::uint32_t>("column"), it.text("message")});
    });
  const auto *kind = std::ranges::find(ErrorKinds, *code, &ErrorKind::Name);
  if (kind == std::end(ErrorKinds))
    return absl::InternalError(concat(*code, ": ", *message));
  return {kind->Code,
          valid && !findings.empty() ? findings.format() : *message};
}

std::string toJson(const ControlStatus &status) {
  return json::serialize(statusToJson(status));
}

} // namespace pistachio
