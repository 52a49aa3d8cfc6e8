#include "Settings/Settings.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <string_view>
#include <toml++/toml.h>
#include <tuple>

namespace pistachio {
namespace {

constexpr std::size_t MaxFileBytes = 1024 * 1024;
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 256;
/// Messages between the processes carry names of at most this size.
constexpr std::size_t MaxHostNameBytes = 64;
constexpr std::size_t MaxControlEndpoints = 64;
/// A group has three or five members. Replacement members are listed in
/// addition to them.
constexpr std::size_t MaxMembers = 9;
constexpr std::string_view LogLevels[] = {"debug", "info", "warning", "error"};

std::optional<std::string> readFile(const std::string &path,
                                    Findings &findings) {
  std::ifstream file(path, std::ios::binary);
  std::string text(MaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad() || (file.fail() && !file.eof())) {
    findings.add({path, 0, 0, "the file cannot be read"});
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > MaxFileBytes) {
    findings.add({path, 0, 0,
                  concat("the file is longer than ",
                         std::to_string(MaxFileBytes), " bytes")});
    return std::nullopt;
  }
  return text;
}

/// Returns whether \p text satisfies secretRequirement().
bool isSecret(std::string_view text) {
  return text.size() >= MinSecretBytes && text.size() <= MaxSecretBytes &&
         std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7F; });
}

std::string secretRequirement() {
  return concat("the secret of a credential must consist of ",
                std::to_string(MinSecretBytes), " to ",
                std::to_string(MaxSecretBytes),
                " printable ASCII characters without spaces");
}

/// Returns whether \p text consists of 1 to 64 letters, digits and the
/// characters '-', '.' and '_', as host names do.
bool isHostName(std::string_view text) {
  return !text.empty() && text.size() <= MaxHostNameBytes &&
         std::ranges::all_of(text, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
         });
}

/// Findings of one file, collected in the order in which they are detected.
struct FileReport {
  std::string File;
  std::vector<Finding> Collected;

  void add(const toml::source_region &region, std::string message) {
    Collected.push_back(
        {File, region.begin.line, region.begin.column, std::move(message)});
  }
};

/// Parts of a listening endpoint that may be 0, so that the system selects the
/// port or all addresses.
enum class EndpointWildcard { None, AnyPort, AnyAddressOrPort };

/// Reads and validates the values of one TOML table. The functions take the key
/// of a value, which is required unless stated otherwise. They report errors as
/// findings and then return an empty value.
class TableReader {
public:
  TableReader(const toml::table &table, std::string path, FileReport &report)
      : Table(table), Path(std::move(path)), Report(report) {}

  std::string name(std::string_view key) {
    std::string text = string(key);
    if (!text.empty() && !isName(text))
      fail(key, concat("'", text,
                       "' is not a name; use at most 63 lower-case letters, "
                       "digits and hyphens, starting with a letter"));
    return text;
  }

  std::string hostName(std::string_view key) {
    std::string text = string(key);
    if (!text.empty() && !isHostName(text))
      fail(key, concat("'", text,
                       "' is not a host name; use at most 64 letters, digits, "
                       "'-', '.' and '_'"));
    return text;
  }

  std::string string(std::string_view key) {
    const toml::node *node = required(key);
    if (node == nullptr)
      return {};
    const auto *text = node->as_string();
    if (text == nullptr) {
      fail(key, "the value must be a string");
      return {};
    }
    if (text->get().empty())
      fail(key, "the string must not be empty");
    return text->get();
  }

  Endpoint endpoint(std::string_view key, EndpointWildcard wildcard) {
    const toml::node *node = required(key);
    return node == nullptr ? Endpoint{}
                           : parseEndpointNode(*node, key, wildcard);
  }

  std::vector<Endpoint> endpoints(std::string_view key) {
    std::vector<Endpoint> items;
    const toml::node *node = required(key);
    if (node == nullptr)
      return items;
    const auto *array = node->as_array();
    if (array == nullptr || array->empty() ||
        array->size() > MaxControlEndpoints) {
      fail(key, concat("the value must be an array of 1 to ",
                       std::to_string(MaxControlEndpoints), " endpoints"));
      return items;
    }
    for (const toml::node &it : *array) {
      const Endpoint endpoint =
          parseEndpointNode(it, key, EndpointWildcard::None);
      if (endpoint != Endpoint{} && std::ranges::count(items, endpoint) > 0)
        fail(it, key,
             concat("'", toString(endpoint), "' is listed more than once"));
      items.push_back(endpoint);
    }
    return items;
  }

  /// Optional key: leaves \p value unchanged if it is absent.
  void number(std::string_view key, std::uint32_t min, std::uint32_t max,
              std::uint32_t &value) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const auto *number = node->as_integer();
    if (number == nullptr || number->get() < min || number->get() > max) {
      fail(key,
           concat("the value must be an integer from ", std::to_string(min),
                  " to ", std::to_string(max), " inclusive"));
      return;
    }
    value = static_cast<std::uint32_t>(number->get());
  }

  /// Reads the optional table "log".
  LogSettings logSettings() {
    LogSettings settings;
    const toml::node *node = find("log");
    if (node == nullptr)
      return settings;
    const toml::table *table = node->as_table();
    if (table == nullptr) {
      fail("log", "the value must be a table");
      return settings;
    }
    TableReader reader(*table, "log.", Report);
    if (reader.has("level")) {
      settings.Level = reader.string("level");
      if (std::ranges::find(LogLevels, settings.Level) == std::end(LogLevels))
        reader.fail("level",
                    "the value must be one of debug, info, warning, error");
    }
    reader.reportUnknownKeys();
    return settings;
  }

  /// Calls \p visit with a reader for each table in an array of at most \p max
  /// tables. The key is optional.
  template <typename Visit>
  void tables(std::string_view key, std::size_t max, Visit visit) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const toml::array *array = node->as_array();
    if (array == nullptr || array->size() > max) {
      fail(key, concat("the value must be an array of at most ",
                       std::to_string(max), " tables"));
      return;
    }
    for (const toml::node &it : *array) {
      const toml::table *table = it.as_table();
      if (table == nullptr) {
        fail(it, key, "each element must be a table");
        continue;
      }
      TableReader reader(*table, concat(Path, key, "."), Report);
      visit(reader);
      reader.reportUnknownKeys();
    }
  }

  /// Optional key: leaves \p value unchanged if it is absent.
  void decimal(std::string_view key, double max, double &value) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const auto number = node->value<double>();
    if (!number || !(*number >= 0 && *number <= max)) {
      fail(key, concat("the value must be a number from 0 to ",
                       std::to_string(static_cast<std::uint64_t>(max)),
                       " inclusive"));
      return;
    }
    value = *number;
  }

  /// Optional key: returns nullopt if it is absent.
  std::optional<double> positiveNumber(std::string_view key, double max) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return std::nullopt;
    const auto number = node->value<double>();
    if (number && *number > 0 && *number <= max)
      return number;
    fail(key, concat("the value must be a number above 0 and at most ",
                     std::to_string(static_cast<std::uint64_t>(max))));
    return std::nullopt;
  }

  /// Optional key: returns false if it is absent.
  bool flag(std::string_view key) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return false;
    const auto *value = node->as_boolean();
    if (value == nullptr)
      fail(key, "the value must be true or false");
    return value != nullptr && value->get();
  }

  /// Optional key: returns an empty list if it is absent.
  std::vector<std::string> names(std::string_view key, std::size_t max) {
    std::vector<std::string> items;
    const toml::node *node = find(key);
    if (node == nullptr)
      return items;
    const auto *array = node->as_array();
    if (array == nullptr || array->size() > max) {
      fail(key, concat("the value must be an array of at most ",
                       std::to_string(max), " names"));
      return items;
    }
    for (const toml::node &it : *array) {
      const auto *text = it.as_string();
      if (text == nullptr || !isName(text->get()))
        fail(it, key,
             "each element must be a name of at most 63 lower-case letters, "
             "digits and '-', starting with a letter");
      else
        items.push_back(text->get());
    }
    return items;
  }

  /// Reads the optional key "mode"; the default is "requests".
  FlowMode flowMode() {
    if (!has("mode"))
      return FlowMode::Requests;
    const std::string text = string("mode");
    if (text != "requests" && text != "relay")
      fail("mode", "the value must be one of requests, relay");
    return text == "relay" ? FlowMode::Relay : FlowMode::Requests;
  }

  /// Reads the optional key "placement"; the default is "least-loaded".
  PlacementMode placement() {
    if (!has("placement"))
      return PlacementMode::LeastLoaded;
    const std::string text = string("placement");
    if (text == "expected-wait")
      return PlacementMode::ExpectedWait;
    if (text == "adaptive")
      return PlacementMode::Adaptive;
    if (text != "least-loaded")
      fail("placement", "the value must be one of least-loaded, expected-wait, "
                        "adaptive");
    return PlacementMode::LeastLoaded;
  }

  /// Reads the key "ports" and returns the first port of the range, or 0 if the
  /// value is invalid.
  std::uint16_t firstPortOfRange() {
    const toml::node *node = required("ports");
    if (node == nullptr)
      return 0;
    const auto *array = node->as_array();
    const auto portAt = [&](std::size_t i) {
      return array->get(i)->value<std::int64_t>().value_or(0);
    };
    if (array == nullptr || array->size() != 2 || portAt(0) < 1 ||
        portAt(1) > 0xFFFF || portAt(0) + PortOffset::Last > portAt(1)) {
      fail(
          "ports",
          concat("the value must be an array of the first and the last port of "
                 "a range of at least ",
                 std::to_string(PortOffset::Last + 1), " ports"));
      return 0;
    }
    return static_cast<std::uint16_t>(portAt(0));
  }

  /// Reads the key "seeds" and returns the distinct addresses, each with \p
  /// port instead of its own port.
  std::vector<Endpoint> seeds(std::uint16_t port) {
    std::vector<Endpoint> items;
    for (Endpoint it : endpoints("seeds")) {
      it.Port = port;
      if (std::ranges::count(items, it) == 0)
        items.push_back(it);
    }
    return items;
  }

  bool has(std::string_view key) const { return Table.contains(key); }

  /// Reports an error at the value of the key, or at the table if the key is
  /// absent.
  void fail(std::string_view key, std::string_view message) {
    const toml::node *node = Table.get(key);
    fail(node == nullptr ? Table : *node, key, message);
  }

  /// Reports the keys that no other function has asked for.
  void reportUnknownKeys() {
    for (const auto &[key, node] : Table)
      if (!KnownKeys.contains(key.str()))
        Report.add(key.source(), concat("unknown key '", Path, key.str(), "'"));
  }

private:
  void fail(const toml::node &node, std::string_view key,
            std::string_view message) {
    Report.add(node.source(), concat(Path, key, ": ", message));
  }

  const toml::node *find(std::string_view key) {
    KnownKeys.insert(std::string(key));
    return Table.get(key);
  }

  const toml::node *required(std::string_view key) {
    const toml::node *node = find(key);
    if (node == nullptr)
      fail(key, "the key is missing");
    return node;
  }

  Endpoint parseEndpointNode(const toml::node &node, std::string_view key,
                             EndpointWildcard wildcard) {
    const auto *text = node.as_string();
    if (text == nullptr) {
      fail(node, key, "the value must be a string A.B.C.D:PORT");
      return {};
    }
    const auto value =
        parseEndpoint(text->get(), wildcard != EndpointWildcard::None);
    if (!value.ok()) {
      fail(node, key, messageOf(value.status()));
      return {};
    }
    // The address is passed on to other processes, which must be able to send
    // to it.
    if (value->Address == 0 && wildcard != EndpointWildcard::AnyAddressOrPort)
      fail(node, key, "0.0.0.0 is not an address that others can reach");
    return *value;
  }

  const toml::table &Table;
  std::string Path;
  FileReport &Report;
  std::set<std::string, std::less<>> KnownKeys;
};

/// Parses a TOML file and lets \p read fill the settings from its root table.
/// Returns nothing if there are findings.
template <typename Settings, typename Read>
std::optional<Settings> load(const std::string &path, Findings &findings,
                             Read read) {
  const auto text = readFile(path, findings);
  if (!text)
    return std::nullopt;
  FileReport report{path, {}};
  Settings settings;
  try {
    const toml::table table = toml::parse(*text, path);
    TableReader reader(table, "", report);
    read(reader, settings);
    reader.reportUnknownKeys();
  } catch (const toml::parse_error &error) {
    report.add(error.source(), std::string(error.description()));
  }
  std::ranges::stable_sort(report.Collected, {}, [](const Finding &it) {
    return std::tuple(it.Line, it.Column);
  });
  for (Finding &it : report.Collected)
    findings.add(std::move(it));
  if (!report.Collected.empty())
    return std::nullopt;
  return settings;
}

void readMembers(TableReader &reader, ControlSettings &settings) {
  reader.tables("members", MaxMembers, [&](TableReader &member) {
    MemberSettings it{member.hostName("name"),
                      member.endpoint("address", EndpointWildcard::None)};
    if (it.Name.empty() || it.Address == Endpoint{})
      return;
    if (std::ranges::count(settings.Members, it.Name, &MemberSettings::Name) >
        0)
      member.fail("name", concat("duplicate member '", it.Name, "'"));
    if (std::ranges::count(settings.Members, it.Address,
                           &MemberSettings::Address) > 0)
      member.fail("address",
                  concat("duplicate address '", toString(it.Address), "'"));
    if (it.Name == settings.Name && it.Address != settings.Peers)
      member.fail("address", "this member's address differs from 'peers'");
    settings.Members.push_back(std::move(it));
  });
  if (!reader.has("members")) {
    settings.Members.push_back({settings.Name, settings.Peers});
    return;
  }
  if (!settings.Name.empty() &&
      std::ranges::count(settings.Members, settings.Name,
                         &MemberSettings::Name) == 0)
    reader.fail("members",
                concat("'", settings.Name, "', this instance, is not listed"));
}

/// Reads the settings of an instance that derives its ports from a port range
/// and finds its group through seeds.
void readControlWithSeeds(TableReader &reader, ControlSettings &settings) {
  constexpr std::size_t MaxDataCentres = 1024;
  // A node leaves a control instance that is cut off from the group only when
  // its lease expires, and changes must be in force at all nodes within 3 s.
  constexpr std::uint32_t LeaseMsWithSeeds = 800;
  settings.OperatorApi =
      reader.endpoint("operator_api", EndpointWildcard::None);
  const std::uint16_t port = reader.firstPortOfRange();
  settings.Nodes = settings.Peers = settings.OperatorApi;
  settings.Nodes.Port =
      static_cast<std::uint16_t>(port + PortOffset::ControlNodes);
  settings.Peers.Port =
      static_cast<std::uint16_t>(port + PortOffset::ControlPeers);
  settings.Seeds = reader.seeds(settings.Peers.Port);
  settings.LeaseMs = LeaseMsWithSeeds;
  settings.FoundGroup = reader.flag("found_group");
  settings.FillsRouteTerms = reader.flag("route_terms");
  settings.DataCentres = reader.names("data_centres", MaxDataCentres);
  if (reader.has("metrics"))
    settings.Metrics =
        reader.endpoint("metrics", EndpointWildcard::AnyAddressOrPort);
  settings.Log = reader.logSettings();
}

std::string readSecret(TableReader &reader,
                       const std::filesystem::path &folder) {
  if (reader.has("secret") && reader.has("secret_file")) {
    reader.fail("secret_file", "'secret' is set too; set only one of them");
    reader.string("secret");
    reader.string("secret_file");
    return {};
  }
  if (!reader.has("secret_file")) {
    std::string secret = reader.string("secret");
    if (!secret.empty() && !isSecret(secret))
      reader.fail("secret", secretRequirement());
    return secret;
  }
  const std::string file = reader.string("secret_file");
  Findings findings;
  const auto secret = loadCredential((folder / file).string(), findings);
  for (const Finding &it : findings.items())
    reader.fail("secret_file", toString(it));
  return secret.value_or("");
}

void readCredentials(TableReader &reader, const std::string &path,
                     ControlSettings &settings) {
  constexpr std::size_t MaxCredentials = 10'000;
  const auto folder = std::filesystem::path(path).parent_path();
  reader.tables("credentials", MaxCredentials, [&](TableReader &credential) {
    CredentialSettings it{credential.name("team"),
                          readSecret(credential, folder)};
    if (it.Team.empty() || it.Secret.empty())
      return;
    if (std::ranges::count(settings.Credentials, it.Team,
                           &CredentialSettings::Team) > 0)
      credential.fail("team", concat("duplicate team '", it.Team, "'"));
    // A team is identified by its secret alone.
    if (std::ranges::count(settings.Credentials, it.Secret,
                           &CredentialSettings::Secret) > 0)
      credential.fail("team", concat("team '", it.Team,
                                     "' has the same secret as another team"));
    settings.Credentials.push_back(std::move(it));
  });
  if (!reader.has("credentials"))
    reader.fail("credentials", "the key is missing");
}

/// Reads the endpoint for metrics, which is optional in mode Relay.
void readMetrics(TableReader &reader, FlowMode mode, Endpoint &metrics) {
  if (mode == FlowMode::Requests || reader.has("metrics"))
    metrics = reader.endpoint("metrics", EndpointWildcard::AnyAddressOrPort);
}

} // namespace

std::optional<BalancerSettings> loadBalancerSettings(const std::string &path,
                                                     Findings &findings) {
  constexpr std::uint32_t MaxWorkers = 64;
  constexpr double MaxLinkMbitPerSecond = 100'000;
  return load<BalancerSettings>(
      path, findings, [](TableReader &reader, BalancerSettings &settings) {
        settings.Name = reader.hostName("name");
        settings.DataCentre = reader.name("data_centre");
        settings.Mode = reader.flowMode();
        settings.Listen = reader.endpoint("listen", EndpointWildcard::AnyPort);
        readMetrics(reader, settings.Mode, settings.Metrics);
        if (reader.has("health"))
          settings.Health = reader.endpoint("health", EndpointWildcard::None);
        if (settings.Mode == FlowMode::Relay) {
          const std::uint16_t port = reader.firstPortOfRange();
          settings.InternalListen = settings.Listen;
          settings.InternalListen.Port =
              static_cast<std::uint16_t>(port + PortOffset::BalancerData);
          settings.Control = reader.seeds(
              static_cast<std::uint16_t>(port + PortOffset::ControlNodes));
          settings.Ready = reader.endpoint("ready", EndpointWildcard::None);
          settings.LinkMbitPerSecond = reader.positiveNumber(
              "link_mbit_per_second", MaxLinkMbitPerSecond);
          settings.Placement = reader.placement();
        } else {
          settings.Control = reader.endpoints("control");
        }
        reader.number("workers", 1, MaxWorkers, settings.Workers);
        settings.Log = reader.logSettings();
      });
}

std::optional<AgentSettings> loadAgentSettings(const std::string &path,
                                               Findings &findings) {
  constexpr std::uint32_t MaxSlots = 10'000;
  constexpr std::uint32_t MaxFlows = 1'000'000;
  // Upper bound of cold_overshoot and of cold_slack.
  constexpr double MaxColdLimit = 1e6;
  constexpr std::uint32_t MaxReportMs = 60'000;
  constexpr std::uint32_t MaxDrainSeconds = 7 * 24 * 3600;
  return load<AgentSettings>(
      path, findings, [](TableReader &reader, AgentSettings &settings) {
        settings.Service = reader.name("service");
        settings.DataCentre = reader.name("data_centre");
        settings.Zone = reader.name("zone");
        settings.Machine = reader.hostName("machine");
        settings.Mode = reader.flowMode();
        settings.Listen = reader.endpoint("listen", EndpointWildcard::AnyPort);
        readMetrics(reader, settings.Mode, settings.Metrics);
        if (settings.Mode == FlowMode::Relay) {
          settings.Control = reader.seeds(static_cast<std::uint16_t>(
              reader.firstPortOfRange() + PortOffset::ControlNodes));
          settings.Outbound =
              reader.endpoint("outbound", EndpointWildcard::None);
          settings.Reports = reader.endpoint("reports", EndpointWildcard::None);
          reader.decimal("cold_overshoot", MaxColdLimit,
                         settings.ColdOvershoot);
          reader.decimal("cold_slack", MaxColdLimit, settings.ColdSlack);
          reader.number("report_ms", 1, MaxReportMs, settings.ReportMs);
          settings.ReportsServiceTime = reader.flag("report_service_time");
        } else {
          settings.Control = reader.endpoints("control");
        }
        settings.BackEnd = reader.endpoint("back_end", EndpointWildcard::None);
        reader.number("slots", 1, MaxSlots, settings.Slots);
        reader.number("max_flows", 1, MaxFlows, settings.MaxFlows);
        reader.number("drain_seconds", 0, MaxDrainSeconds,
                      settings.DrainSeconds);
        settings.Log = reader.logSettings();
      });
}

std::optional<ControlSettings> loadControlSettings(const std::string &path,
                                                   Findings &findings) {
  constexpr std::uint32_t MinLeaseMs = 500;
  // For 40 s after joining, agents probe for an existing flow before they
  // accept a first packet. This covers the 30 s during which callers retry
  // first packets and a lease of at most 10 s.
  constexpr std::uint32_t MaxLeaseMs = 10'000;
  return load<ControlSettings>(
      path, findings, [&path](TableReader &reader, ControlSettings &settings) {
        settings.Name = reader.hostName("name");
        settings.DataCentre = reader.name("data_centre");
        // An instance that finds its group through seeds may be a learner,
        // which needs no data folder.
        const bool hasSeeds = reader.has("seeds");
        if (!hasSeeds || reader.has("data_folder"))
          settings.DataFolder = reader.string("data_folder");
        if (hasSeeds)
          return readControlWithSeeds(reader, settings);
        settings.Nodes =
            reader.endpoint("nodes", EndpointWildcard::AnyAddressOrPort);
        settings.Peers = reader.endpoint("peers", EndpointWildcard::None);
        settings.Admin = DefaultAdminEndpoint;
        if (reader.has("admin"))
          settings.Admin =
              reader.endpoint("admin", EndpointWildcard::AnyAddressOrPort);
        settings.Metrics =
            reader.endpoint("metrics", EndpointWildcard::AnyAddressOrPort);
        std::vector<Endpoint> seen;
        const std::pair<std::string_view, Endpoint> listeners[] = {
            {"nodes", settings.Nodes},
            {"peers", settings.Peers},
            {"admin", settings.Admin},
            {"metrics", settings.Metrics}};
        for (const auto &[key, endpoint] : listeners) {
          if (endpoint.Port != 0 && std::ranges::count(seen, endpoint) > 0)
            reader.fail(key, concat("'", toString(endpoint),
                                    "' is used by another key"));
          seen.push_back(endpoint);
        }
        readMembers(reader, settings);
        readCredentials(reader, path, settings);
        reader.number("lease_ms", MinLeaseMs, MaxLeaseMs, settings.LeaseMs);
        settings.Log = reader.logSettings();
      });
}

std::optional<std::string> loadCredential(const std::string &path,
                                          Findings &findings) {
  auto text = readFile(path, findings);
  if (!text)
    return std::nullopt;
  text->resize(std::min(text->find('\n'), text->size()));
  if (text->ends_with('\r'))
    text->pop_back();
  if (isSecret(*text))
    return text;
  findings.add({path, 1, 1, secretRequirement()});
  return std::nullopt;
}

} // namespace pistachio
