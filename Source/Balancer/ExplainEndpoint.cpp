#include "ExplainEndpoint.h"

#include "absl/strings/str_replace.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string_view>

namespace pistachio {
namespace {

namespace json = boost::json;

constexpr std::string_view Path = "/explain";

json::value toJsonOrNull(const std::optional<Endpoint> &endpoint) {
  return endpoint ? json::value(toString(*endpoint)) : json::value();
}

json::string toJsonText(std::string_view text) {
  return json::string(text.data(), text.size());
}

json::object upstreamToJson(const ExplainedUpstream &upstream) {
  json::object object = {
      {"id", upstream.Id.Value},
      {"agent", toString(upstream.Agent)},
      {"dataCentre", upstream.DataCentre},
      {"isLocal", upstream.IsLocal},
      {"tier", upstream.Tier ? json::value(*upstream.Tier) : json::value()},
      {"state", toJsonText(nameOf(upstream.State))},
      {"stateEndsInMs", upstream.StateEndsIn.count()},
      {"placedSinceReport", upstream.PlacedSinceReport},
      {"load", upstream.Load ? json::value(*upstream.Load) : json::value()},
      {"report", nullptr}};
  if (upstream.Report)
    object["report"] = {{"busyFlows", upstream.Report->BusyFlows},
                        {"flows", upstream.Report->Flows},
                        {"slots", upstream.Report->Slots},
                        {"ageMs", upstream.ReportAge.count()}};
  return object;
}

HttpServerResponse errorResponse(int status, std::string_view code,
                                 std::string_view message) {
  const json::object document = {
      {"error",
       {{"code", toJsonText(code)}, {"message", toJsonText(message)}}}};
  return {status, json::serialize(document)};
}

/// Returns the flow that a query names, or nullopt if the query is not
/// "caller=A.B.C.D:PORT&service=A.B.C.D:PORT", in any order.
std::optional<FlowEndpoints> parseQuery(std::string_view text) {
  // Clients may encode the colon, which is the only character of an endpoint
  // that can be encoded in a query.
  const std::string query =
      absl::StrReplaceAll(absl::string_view(text.data(), text.size()),
                          {{"%3A", ":"}, {"%3a", ":"}});
  std::optional<Endpoint> caller;
  std::optional<Endpoint> service;
  std::string_view rest = query;
  while (!rest.empty()) {
    const std::string_view field = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), field.size() + 1));
    const std::size_t nameBytes = field.find('=');
    if (nameBytes == std::string_view::npos)
      return std::nullopt;
    const std::string_view name = field.substr(0, nameBytes);
    std::optional<Endpoint> *target = name == "caller"    ? &caller
                                      : name == "service" ? &service
                                                          : nullptr;
    const auto endpoint = parseEndpoint(field.substr(nameBytes + 1));
    if (target == nullptr || *target || !endpoint.ok())
      return std::nullopt;
    *target = *endpoint;
  }
  if (!caller || !service)
    return std::nullopt;
  return FlowEndpoints{*caller, *service};
}

} // namespace

std::string toJson(const FlowExplanation &explanation) {
  json::object object = {
      {"flow",
       {{"caller", toString(explanation.Flow.Caller)},
        {"service", toString(explanation.Flow.Service)}}},
      {"revision", explanation.TableRevision.Value},
      {"placement", toJsonText(nameOf(explanation.Placement))},
      {"action", toJsonText(nameOf(explanation.Action))},
      {"reason", toJsonText(nameOf(explanation.Reason))},
      {"agent", toJsonOrNull(explanation.Agent)},
      {"nextAgent", toJsonOrNull(explanation.NextAgent)},
      {"share", nullptr},
      {"holder", nullptr},
      {"isSearching", explanation.IsSearching},
      {"upstreamCount", explanation.UpstreamCount}};
  if (explanation.Share)
    object["share"] = {{"service", explanation.Share->Service},
                       {"weight", explanation.Share->Weight},
                       {"totalWeight", explanation.Share->TotalWeight}};
  if (explanation.Holder)
    object["holder"] = {{"agent", toString(explanation.Holder->Agent)},
                        {"ageMs", explanation.Holder->Age.count()},
                        {"isConfirmed", explanation.Holder->IsConfirmed}};
  json::array upstreams;
  for (const ExplainedUpstream &it : explanation.Upstreams)
    upstreams.push_back(upstreamToJson(it));
  object["upstreams"] = std::move(upstreams);
  return json::serialize(object);
}

HttpHandler makeExplainHandler(
    std::function<FlowExplanation(const FlowEndpoints &, TimePoint now)>
        explain,
    std::function<TimePoint()> clock) {
  return [explain = std::move(explain), clock = std::move(clock),
          secondStart = std::optional<TimePoint>(), made = 0](
             const HttpServerRequest &request,
             const std::function<void(HttpServerResponse)> &reply) mutable {
    const std::string_view target = request.Target;
    const std::string_view path = target.substr(0, target.find('?'));
    if (path != Path)
      return reply(errorResponse(404, "not_found",
                                 "only /metrics and /explain are served"));
    if (request.Method != "GET")
      return reply(errorResponse(405, "not_permitted", "only GET is served"));
    const auto flow =
        parseQuery(target.substr(std::min(target.size(), path.size() + 1)));
    if (!flow)
      return reply(errorResponse(
          400, "findings",
          "the query is not caller=A.B.C.D:PORT&service=A.B.C.D:PORT"));
    const TimePoint now = clock();
    if (!secondStart || now - *secondStart >= std::chrono::seconds(1)) {
      secondStart = now;
      made = 0;
    }
    if (++made > MaxExplanationsPerSecond)
      return reply(
          errorResponse(503, "unavailable",
                        "too many explanations were asked for in this second"));
    reply({200, toJson(explain(*flow, now))});
  };
}

} // namespace pistachio
