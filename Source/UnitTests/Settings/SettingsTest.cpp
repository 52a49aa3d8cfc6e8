#include "Settings/Settings.h"

#include "Rules/Rules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace pistachio {
namespace {

std::string readFile(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  EXPECT_TRUE(file.good()) << path;
  return text.str();
}

/// A temporary folder whose name is unique to the test and process. It is
/// removed at the end of the test.
class TestFolder {
public:
  TestFolder() {
    std::string name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ranges::replace(name, '/', '-');
    Path = concat(testing::TempDir(), "/settings-", name, "-",
                  std::to_string(::getpid()));
    std::filesystem::create_directories(Path);
  }
  ~TestFolder() { std::filesystem::remove_all(Path); }
  TestFolder(const TestFolder &) = delete;
  TestFolder &operator=(const TestFolder &) = delete;

  std::string Path;
};

class ExampleTest : public testing::TestWithParam<const char *> {};

// Guards against example files that the daemons do not accept or that are not
// consistent with each other.
TEST_P(ExampleTest, Loads) {
  const std::string folder = concat(PISTACHIO_EXAMPLES, "/", GetParam(), "/");
  Findings findings;
  const auto control = loadControlSettings(folder + "control.toml", findings);
  const auto balancer =
      loadBalancerSettings(folder + "balancer.toml", findings);
  const auto rules =
      RuleSet::parse(readFile(folder + "rules.txt"), "rules.txt", findings);
  ASSERT_TRUE(control && balancer && rules) << findings.format();
  EXPECT_EQ(rules->services().size(), 2U);
  for (const ServiceRule &it : rules->services()) {
    const auto agent =
        loadAgentSettings(concat(folder, "agent-", it.Name, ".toml"), findings);
    ASSERT_TRUE(agent) << findings.format();
    EXPECT_EQ(agent->Service, it.Name);
    EXPECT_EQ(agent->Slots, it.Slots);
    EXPECT_EQ(agent->Control[0], control->Nodes);
  }
  EXPECT_EQ(balancer->Control[0], control->Nodes);
  ASSERT_EQ(control->Members.size(), 1U);
  EXPECT_EQ(control->Members[0].Address, control->Peers);
  EXPECT_EQ(control->Credentials.size(), 2U);
  EXPECT_EQ(control->Admin.Address, DefaultAdminEndpoint.Address);
}

INSTANTIATE_TEST_SUITE_P(All, ExampleTest,
                         testing::Values("valukoda", "salasonora"));

constexpr std::string_view Balancer = R"(name = "b1"
data_centre = "dc-a"
listen = "127.0.0.1:5000"
metrics = "127.0.0.1:5001"
control = ["127.0.0.1:5002"]
)";
constexpr std::string_view Agent = R"(service = "a"
data_centre = "dc-a"
zone = "z1"
machine = "M1.example"
listen = "127.0.0.1:5000"
metrics = "0.0.0.0:0"
control = ["127.0.0.1:5002", "127.0.0.1:5003"]
back_end = "127.0.0.1:8080"
)";
constexpr std::string_view Control = R"(name = "c1"
data_centre = "dc-a"
data_folder = "data"
nodes = "127.0.0.1:5002"
peers = "127.0.0.1:5003"
metrics = "127.0.0.1:5004"
[[members]]
name = "c1"
address = "127.0.0.1:5003"
[[credentials]]
team = "operators"
secret = "0123456789abcdef"
)";

constexpr std::string_view RelayBalancer = R"(mode = "relay"
name = "b1"
data_centre = "dc-a"
listen = "10.0.0.1:5000"
ready = "10.0.0.1:5001"
ports = [7000, 7015]
seeds = ["10.0.0.2:9000", "10.0.0.3:9000"]
)";
constexpr std::string_view RelayAgent = R"(mode = "relay"
service = "a"
data_centre = "dc-a"
zone = "z1"
machine = "m1"
listen = "10.0.0.1:5000"
outbound = "10.0.0.1:5002"
reports = "10.0.0.1:5003"
back_end = "10.0.0.1:8080"
report_ms = 1200
cold_overshoot = 1.5
cold_slack = 5
ports = [7000, 7015]
seeds = ["10.0.0.2:9000"]
)";
constexpr std::string_view ControlWithSeeds = R"(name = "c1"
data_centre = "dc-a"
operator_api = "10.0.0.1:5004"
ports = [7000, 7015]
seeds = ["10.0.0.2:9000"]
data_folder = "data"
found_group = true
data_centres = ["dc-a", "dc-b"]
)";

struct SettingsCase {
  std::string_view Name;
  std::string_view Base;
  /// Text in Base that NewText replaces; if it is empty, NewText is appended.
  std::string_view OldText;
  std::string_view NewText;
  /// The expected findings, each as "line:column: start of the message",
  /// separated by '|'. Empty if the file is valid.
  std::string_view Expected;
};

class SettingsTest : public testing::TestWithParam<SettingsCase> {};

// Guards against errors in a settings file that are accepted, reported at a
// wrong location or hidden by other errors.
TEST_P(SettingsTest, ReportsErrorsWithLocation) {
  const SettingsCase &it = GetParam();
  std::string text(it.Base);
  const std::size_t at =
      it.OldText.empty() ? text.size() : text.find(it.OldText);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, it.OldText.size(), it.NewText);
  const TestFolder folder;
  const std::string path = folder.Path + "/s.toml";
  std::ofstream(path) << text;
  Findings findings;
  bool loaded = false;
  if (it.Base == Balancer || it.Base == RelayBalancer)
    loaded = loadBalancerSettings(path, findings).has_value();
  else if (it.Base == Agent || it.Base == RelayAgent)
    loaded = loadAgentSettings(path, findings).has_value();
  else
    loaded = loadControlSettings(path, findings).has_value();
  EXPECT_EQ(loaded, it.Expected.empty());
  std::string_view expected = it.Expected;
  for (const Finding &finding : findings.items()) {
    const std::string_view one = expected.substr(0, expected.find('|'));
    EXPECT_EQ(toString(finding).substr(0, path.size() + 1 + one.size()),
              concat(path, ":", one));
    expected.remove_prefix(std::min(expected.size(), one.size() + 1));
  }
  EXPECT_EQ(expected, "") << "not reported";
}

const SettingsCase SettingsCases[] = {
    {"Balancer", Balancer, "", "", ""},
    {"Agent", Agent, "", "", ""},
    {"Control", Control, "", "", ""},
    {"Syntax", Balancer, "\"b1\"", "b1", "1:"},
    {"UnknownKey", Balancer, "", "worker = 3\n", "6:1: unknown key 'worker'"},
    {"UnknownLogKey", Balancer, "", "[log]\nlvl = 3\n",
     "7:1: unknown key 'log.lvl'"},
    {"MissingKey", Balancer, "name = \"b1\"\n", "",
     "1:1: name: the key is missing"},
    {"WrongType", Balancer, "\"b1\"", "1",
     "1:8: name: the value must be a string"},
    {"EmptyString", Balancer, "b1", "",
     "1:8: name: the string must not be empty"},
    {"BadHostName", Balancer, "b1", "b 1",
     "1:8: name: 'b 1' is not a host name"},
    {"HostNameTooLongForMessages", Balancer, "b1",
     "b2345678901234567890123456789012345678901234567890123456789012345",
     "1:8: name: "
     "'b2345678901234567890123456789012345678901234567890123456789012345' is "
     "not a host name; use at most 64"},
    {"BadName", Balancer, "dc-a", "DC", "2:15: data_centre: 'DC' is not"},
    {"BadEndpoint", Balancer, "127.0.0.1:5000", "localhost:5000",
     "3:10: listen: 'localhost:5000' is not an IPv4 endpoint"},
    {"WildcardListen", Balancer, "127.0.0.1:5000", "0.0.0.0:5000",
     "3:10: listen: 0.0.0.0 is not an address"},
    {"ListenAnyPort", Balancer, "127.0.0.1:5000", "127.0.0.1:0", ""},
    {"ControlPortZero", Balancer, "127.0.0.1:5002", "127.0.0.1:0",
     "5:12: control: '127.0.0.1:0'"},
    {"ControlEmpty", Balancer, "\"127.0.0.1:5002\"", "",
     "5:11: control: the value must be an array of 1 to 64"},
    {"ControlListedTwice", Balancer, "[\"127.0.0.1:5002\"",
     "[\"127.0.0.1:5002\", \"127.0.0.1:5002\"",
     "5:30: control: '127.0.0.1:5002' is listed more"},
    {"WorkersRange", Balancer, "", "workers = 0\n",
     "6:11: workers: the value must be an integer from 1 to 64"},
    {"WorkersType", Balancer, "", "workers = 1.5\n",
     "6:11: workers: the value must be an integer"},
    {"LogLevel", Balancer, "", "[log]\nlevel = \"loud\"\n",
     "7:9: log.level: the value must be one of debug"},
    {"LogType", Balancer, "", "log = 3\n",
     "6:7: log: the value must be a table"},
    {"AllFindings", Balancer, "data_centre = \"dc-a\"\n",
     "workers = 99\nx = 1\n",
     "1:1: data_centre: the key is missing|2:11: workers: the value must be an "
     "integer|"
     "3:1: unknown key 'x'"},
    {"SlotsRange", Agent, "", "slots = 10001\n",
     "9:9: slots: the value must be an integer"},
    {"FlowsRange", Agent, "", "max_flows = 0\n",
     "9:13: max_flows: the value must be an integer"},
    {"DrainRange", Agent, "", "drain_seconds = -1\n",
     "9:17: drain_seconds: the value must be an integer"},
    {"LeaseRange", Control, "[[members]]", "lease_ms = 10\n[[members]]",
     "7:12: lease_ms: the value must be an integer from 500"},
    {"SameEndpoint", Control, "127.0.0.1:5004", "127.0.0.1:5002",
     "6:11: metrics: '127.0.0.1:5002' is used by another key"},
    {"MemberAddressDiffersFromPeers", Control, "peers = \"127.0.0.1:5003",
     "peers = \"127.0.0.1:5005",
     "9:11: members.address: this member's address differs"},
    {"InstanceNotListed", Control, "name = \"c1\"\naddress",
     "name = \"c2\"\naddress",
     "7:1: members: 'c1', this instance, is not listed"},
    {"DuplicateMember", Control, "[[credentials]]",
     "[[members]]\nname = \"c1\"\naddress = \"127.0.0.1:5003\"\n"
     "[[credentials]]",
     "11:8: members.name: duplicate member 'c1'|"
     "12:11: members.address: duplicate address"},
    {"MemberWithoutAddress", Control, "address = \"127.0.0.1:5003\"\n", "",
     "7:1: members.address: the key is missing|7:1: members: 'c1', this"},
    {"RelayBalancer", RelayBalancer, "", "", ""},
    {"RelayAgent", RelayAgent, "", "", ""},
    {"ControlWithSeeds", ControlWithSeeds, "", "", ""},
    {"LearnerWithoutDataFolder", ControlWithSeeds, "data_folder = \"data\"\n",
     "", ""},
    {"UnknownMode", RelayBalancer, "\"relay\"", "\"proxy\"",
     "1:1: metrics: the key is missing|1:1: control: the key is missing"
     "|1:8: mode: the value must be one of requests, relay|5:1: unknown key "
     "'ready'"
     "|6:1: unknown key 'ports'|7:1: unknown key 'seeds'"},
    {"Placement", RelayBalancer, "", "placement = \"expected-wait\"\n", ""},
    {"UnknownPlacement", RelayBalancer, "", "placement = \"random\"\n",
     "8:13: placement: the value must be one of least-loaded, expected-wait, "
     "adaptive"},
    {"AdaptivePlacement", RelayBalancer, "", "placement = \"adaptive\"\n", ""},
    {"PlacementIsNumber", RelayBalancer, "", "placement = 1\n",
     "8:13: placement: the value must be a string"},
    {"PlacementWithoutRelay", Balancer, "", "placement = \"least-loaded\"\n",
     "6:1: unknown key 'placement'"},
    {"PortsReversed", RelayBalancer, "[7000, 7015]", "[7015, 7000]",
     "6:9: ports: the value must be an array of the first and the last port"},
    {"PortsAreText", RelayBalancer, "[7000, 7015]", "\"7000\"",
     "6:9: ports: the value must be an array of the first and the last port"},
    {"SeedWithoutPort", RelayAgent, "10.0.0.2:9000", "10.0.0.2",
     "14:10: seeds: '10.0.0.2' is not an IPv4 endpoint"},
    {"SlackNegative", RelayAgent, "cold_slack = 5", "cold_slack = -5",
     "12:14: cold_slack: the value must be a number from 0"},
    {"LinkRate", RelayBalancer, "", "link_mbit_per_second = 2\n", ""},
    {"LinkRateFraction", RelayBalancer, "", "link_mbit_per_second = 0.5\n", ""},
    {"LinkRateZero", RelayBalancer, "", "link_mbit_per_second = 0\n",
     "8:24: link_mbit_per_second: the value must be a number above 0 and at "
     "most 100000"},
    {"LinkRateTooHigh", RelayBalancer, "", "link_mbit_per_second = 100001.0\n",
     "8:24: link_mbit_per_second: the value must be a number above 0"},
    {"LinkRateIsText", RelayBalancer, "", "link_mbit_per_second = \"2\"\n",
     "8:24: link_mbit_per_second: the value must be a number above 0"},
    {"LinkRateNotANumber", RelayBalancer, "", "link_mbit_per_second = nan\n",
     "8:24: link_mbit_per_second: the value must be a number above 0"},
    {"LinkRateInModeRequests", Balancer, "", "link_mbit_per_second = 2\n",
     "6:1: unknown key 'link_mbit_per_second'"},
    {"ReportServiceTime", RelayAgent, "", "report_service_time = true\n", ""},
    {"ReportServiceTimeIsNumber", RelayAgent, "", "report_service_time = 1\n",
     "15:23: report_service_time: the value must be true or false"},
    {"RouteTermsIsText", ControlWithSeeds, "", "route_terms = \"yes\"\n",
     "9:15: route_terms: the value must be true or false"},
    {"FoundGroupIsText", ControlWithSeeds, "true", "\"yes\"",
     "7:15: found_group: the value must be true or false"},
    {"DataCentreName", ControlWithSeeds, "dc-b", "DC b",
     "8:25: data_centres: each element must be a name"},
    {"NoCredentials", Control, "[[credentials]]\nteam = \"operators\"\nsecret",
     "x", "1:1: credentials: the key|10:1: unknown key 'members.x'"},
    {"ShortSecret", Control, "0123456789abcdef", "short",
     "12:10: credentials.secret: the secret of a credential must consist of 16 "
     "to 256"},
    {"MissingSecretFile", Control, "secret = \"0123456789abcdef\"",
     "secret_file = \"none\"", "12:15: credentials.secret_file: "},
    {"TwoSecrets", Control, "", "secret_file = \"none\"\n",
     "13:15: credentials.secret_file: 'secret' is set too"},
    {"DuplicateTeam", Control, "",
     "[[credentials]]\nteam = \"operators\"\nsecret = \"fedcba9876543210\"\n",
     "14:8: credentials.team: duplicate team 'operators'"},
    {"SharedSecret", Control, "",
     "[[credentials]]\nteam = \"t\"\nsecret = \"0123456789abcdef\"\n",
     "14:8: credentials.team: team 't' has the same secret as another team"},
};

INSTANTIATE_TEST_SUITE_P(All, SettingsTest, testing::ValuesIn(SettingsCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

// Guards against daemons of one deployment that derive different ports from the
// same port range.
TEST(SettingsFileTest, RelayModeSettingsShareAPortRange) {
  const TestFolder folder;
  const auto write = [&](std::string_view text) {
    std::ofstream(folder.Path + "/s.toml") << text;
    return folder.Path + "/s.toml";
  };
  Findings findings;
  const auto balancer = loadBalancerSettings(write(RelayBalancer), findings);
  const auto agent = loadAgentSettings(write(RelayAgent), findings);
  const auto control = loadControlSettings(write(ControlWithSeeds), findings);
  ASSERT_TRUE(balancer && agent && control) << findings.format();
  EXPECT_EQ(toString(balancer->InternalListen), "10.0.0.1:7000");
  EXPECT_FALSE(balancer->LinkMbitPerSecond);
  EXPECT_FALSE(agent->ReportsServiceTime);
  EXPECT_EQ(balancer->Placement, PlacementMode::LeastLoaded);
  EXPECT_LE(control->LeaseMs, 800U);
  EXPECT_EQ(balancer->Control[0].Port, control->Nodes.Port);
  EXPECT_EQ(agent->Control[0].Port, control->Nodes.Port);
  EXPECT_EQ(control->Seeds[0].Port, control->Peers.Port);
  EXPECT_NE(control->Nodes.Port, control->Peers.Port);
  EXPECT_TRUE(control->FoundGroup);
  EXPECT_FALSE(control->FillsRouteTerms);
  const auto withTerms = loadControlSettings(
      write(concat(ControlWithSeeds, "route_terms = true\n")), findings);
  EXPECT_TRUE(withTerms && withTerms->FillsRouteTerms);
  EXPECT_EQ(control->DataCentres.size(), 2U);
}

// Guards against a file that cannot be read being treated as empty.
TEST(SettingsFileTest, ReportsUnreadableAndOverlongFiles) {
  const TestFolder testFolder;
  const std::string &folder = testFolder.Path;
  Findings findings;
  EXPECT_FALSE(loadAgentSettings(folder + "/none.toml", findings));
  EXPECT_FALSE(loadAgentSettings(folder, findings));
  std::ofstream(folder + "/long.toml") << std::string(1024 * 1024 + 1, '\n');
  EXPECT_FALSE(loadAgentSettings(folder + "/long.toml", findings));
  ASSERT_EQ(findings.items().size(), 3U);
  EXPECT_EQ(findings.items()[0].Message, "the file cannot be read");
  EXPECT_EQ(findings.items()[1].Message, "the file cannot be read");
  EXPECT_EQ(findings.items()[2].Message,
            "the file is longer than 1048576 bytes");
}

} // namespace
} // namespace pistachio
