#include "Ctl/ExplanationText.h"

#include "Ctl/Output.h"

#include <array>
#include <cstdio>

namespace pistachio {
namespace {

namespace json = boost::json;

const json::object *findObject(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

/// Returns the text of a field; "-" if \p object is nullptr or the field is
/// absent.
std::string textOf(const json::object *object, const char *key) {
  const json::value *value =
      object == nullptr ? nullptr : object->if_contains(key);
  if (value == nullptr)
    return "-";
  if (const json::string *text = value->if_string())
    return {text->data(), text->size()};
  if (const double *number = value->if_double()) {
    std::array<char, 32> buf{};
    std::snprintf(buf.data(), buf.size(), "%.3g", *number);
    return buf.data();
  }
  if (value->is_int64() || value->is_uint64())
    return json::serialize(*value);
  return "-";
}

bool isTrue(const json::object &object, const char *key) {
  const json::value *value = object.if_contains(key);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::string routeText(const json::object *share) {
  if (share == nullptr)
    return "route: its weights choose no service\n";
  return concat("route: service ", textOf(share, "service"), ", weight ",
                textOf(share, "weight"), " of ", textOf(share, "totalWeight"),
                "\n");
}

std::string holderText(const json::object &explanation) {
  const json::object *holder = findObject(explanation, "holder");
  if (holder == nullptr)
    return isTrue(explanation, "isSearching")
               ? "holder: searched for\n"
               : "holder: none known; a later packet of an open flow starts a "
                 "search\n";
  return concat("holder: ", textOf(holder, "agent"), ", since ",
                textOf(holder, "ageMs"), " ms, ",
                isTrue(*holder, "isConfirmed") ? "confirmed" : "not confirmed",
                "\n");
}

std::string decisionText(const json::object &explanation) {
  const std::string reason = textOf(&explanation, "reason");
  const std::string agent = textOf(&explanation, "agent");
  const std::string next = textOf(&explanation, "nextAgent");
  if (reason == "held")
    return concat("decision: forwarded to the holder ", agent, "\n");
  if (reason == "placed")
    return concat("decision: offered to ", agent, " by the placement ",
                  textOf(&explanation, "placement"),
                  next == "-" ? "; no other upstream is eligible"
                              : concat("; if it declines, to ", next),
                  "\n");
  if (reason == "busy")
    return "decision: the packet waits, because an upstream should accept the "
           "flow soon\n";
  if (reason == "no-upstream")
    return "decision: reset, because no upstream accepts new flows\n";
  return concat("decision: ", textOf(&explanation, "action"), ", ", reason,
                "\n");
}

std::string stateText(const json::object &upstream,
                      const json::object &explanation) {
  std::string state = textOf(&upstream, "state");
  const std::string agent = textOf(&upstream, "agent");
  if (state == "silent" || state == "declined")
    return concat(state, ", ", textOf(&upstream, "stateEndsInMs"), " ms left");
  if (agent == textOf(&explanation, "agent"))
    return "chosen";
  if (agent == textOf(&explanation, "nextAgent"))
    return "next";
  return state;
}

std::string upstreamsText(const json::object &explanation) {
  const json::value *value = explanation.if_contains("upstreams");
  const json::array *upstreams = value == nullptr ? nullptr : value->if_array();
  if (upstreams == nullptr || upstreams->empty())
    return "";
  std::vector<std::vector<std::string>> rows = {
      {"UPSTREAM", "AGENT", "DATA CENTRE", "TIER", "BUSY", "OPEN", "SLOTS",
       "PLACED", "REPORT AGE", "LOAD", "STATE"}};
  for (const json::value &item : *upstreams) {
    const json::object *it = item.if_object();
    if (it == nullptr)
      continue;
    const json::object *report = findObject(*it, "report");
    const std::string dataCentre = textOf(it, "dataCentre");
    rows.push_back(
        {textOf(it, "id"), textOf(it, "agent"),
         isTrue(*it, "isLocal") ? concat(dataCentre, " (local)") : dataCentre,
         textOf(it, "tier"), textOf(report, "busyFlows"),
         textOf(report, "flows"), textOf(report, "slots"),
         textOf(it, "placedSinceReport"),
         report == nullptr ? "none" : concat(textOf(report, "ageMs"), " ms"),
         textOf(it, "load"), stateText(*it, explanation)});
  }
  std::string text = concat("\n", formatTable(rows));
  if (const std::string count = textOf(&explanation, "upstreamCount");
      count != "-" && count != std::to_string(rows.size() - 1))
    text += concat("  the first ", std::to_string(rows.size() - 1), " of ",
                   count, " upstreams\n");
  return text;
}

} // namespace

std::string formatExplanation(const json::object &explanation) {
  const json::object *flow = findObject(explanation, "flow");
  return concat("flow ", textOf(flow, "caller"), ">", textOf(flow, "service"),
                ", table revision ", textOf(&explanation, "revision"), "\n",
                routeText(findObject(explanation, "share")),
                holderText(explanation), decisionText(explanation),
                upstreamsText(explanation));
}

} // namespace pistachio
