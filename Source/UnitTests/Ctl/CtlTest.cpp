#include "Ctl/Ctl.h"

#include "Fakes/FakeAdminBackend.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace pistachio {
namespace {

constexpr std::string_view BaseRules =
    "service a address 1.2.3.4:1 slots 1 # asked by Ada\n"
    "service b address 1.2.3.4:2 slots 1 # asked by Ada\n"
    "datacentre x # asked by Ada\n"
    "datacentre y # asked by Ada\n"
    "team team-a services a # asked by Ada\n"
    "drain upstream 4 # asked by Ada\n";

/// Real client and server, but a clock that only moves while a command sleeps.
class TestEnvironment final : public CtlEnvironment {
public:
  std::ostream &out() override { return Out; }
  std::ostream &err() override { return Err; }
  std::unique_ptr<AdminClient> makeClient(std::vector<Endpoint> servers,
                                          std::string secret,
                                          Duration) override {
    return makeAdminClient(std::move(servers), std::move(secret),
                           Duration(20'000));
  }
  TimePoint now() override { return Now; }
  void sleep(Duration time) override { Now += time; }
  std::string newOperationId() override {
    return "op-" + std::to_string(++Ids);
  }
  bool confirm(std::string_view) override { return Agrees; }
  std::string user() override { return "Ada"; }

  std::ostringstream Out;
  std::ostringstream Err;
  bool Agrees = false;
  TimePoint Now;
  int Ids = 0;
};

class CtlTestBase : public testing::Test {
protected:
  CtlTestBase() : Backend(std::string(BaseRules)) {
    std::string name =
        testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ranges::replace(name, '/', '-');
    Folder = concat(testing::TempDir(), "/ctl-", name, "-",
                    std::to_string(::getpid()), "/");
    std::filesystem::create_directories(Folder);
    write("operators", "operators-secret\n");
    write("team", "team-a-secret-01\n");
    write("wrong", "operators-secreT\n");
    write("same", BaseRules);
    write("next", concat(BaseRules, "out y # asked by Ada\n"));
    write("bad", "out z # asked by Ada\nx\n");
    write("own", concat(BaseRules, "limit a inflight 3 # asked by Ada\n"));
    Backend.Status = {
        "leader",
        3,
        9,
        {},
        {},
        {{{1}, {0x7F000001, 5}, true}},
        {{"b1", "x", {0x7F000001, 6}, {7}, 12},
         {"b2", "y", {0x7F000001, 7}, {7}, 3}},
        {{{4}, "a", "x", "z1", "m1", {0x7F000001, 8}, "draining", 5, 8}}};
  }
  ~CtlTestBase() override { std::filesystem::remove_all(Folder); }

  void write(std::string_view name, std::string_view text) const {
    std::ofstream(concat(Folder, name)) << text;
  }

  /// "@NAME" stands for a file of the test.
  CtlExit run(std::string_view line, TestEnvironment &environment) const {
    std::vector<std::string> args;
    std::istringstream words{std::string(line)};
    for (std::string it; words >> it;)
      args.push_back(it[0] == '@' ? Folder + it.substr(1) : it);
    return runCtl(args, "1.2.3", environment);
  }

  std::string Folder;
  FakeAdminBackend Backend;
};

struct CommandCase {
  std::string_view Name;
  std::string_view Line;
  void (*SetUp)(FakeAdminBackend &backend, TestEnvironment &environment);
  CtlExit Code;
  /// Parts of the output and of the messages.
  std::string_view Out;
  std::string_view Err;
  /// Changes to the rules that the command leaves.
  std::string_view Changes;
};

void nothing(FakeAdminBackend &, TestEnvironment &) {}

class CtlCommandTest : public CtlTestBase,
                       public testing::WithParamInterface<CommandCase> {
protected:
  void check(bool json) {
    TestEnvironment environment;
    GetParam().SetUp(Backend, environment);
    AdminServerOptions options;
    options.BackendTimeout = Duration(50);
    AdminServerThread server(Backend, options);
    std::string line(GetParam().Line);
    if (line.find("--credential-file") == std::string::npos)
      line += " --credential-file @operators";
    line += concat(" --server ", toString(server.endpoint()));
    if (json)
      line += " --json";
    EXPECT_EQ(run(line, environment), GetParam().Code);
    server.stop();
    Findings findings;
    const auto before = RuleSet::parse(BaseRules, "r", findings);
    const auto after = RuleSet::parse(Backend.Rules, "r", findings);
    ASSERT_TRUE(before && after) << findings.format();
    EXPECT_EQ(formatChanges(diffRules(*before, *after)), GetParam().Changes);
    if (json) {
      EXPECT_EQ(environment.Err.str(), "");
      boost::system::error_code ec;
      const auto document = boost::json::parse(environment.Out.str(), ec);
      ASSERT_FALSE(ec) << environment.Out.str();
      EXPECT_TRUE(document.as_object().contains("result"));
      return;
    }
    EXPECT_NE(environment.Out.str().find(GetParam().Out), std::string::npos)
        << environment.Out.str();
    EXPECT_NE(environment.Err.str().find(GetParam().Err), std::string::npos)
        << environment.Err.str();
    EXPECT_EQ(environment.Err.str().empty(), GetParam().Err.empty())
        << environment.Err.str();
  }
};

// Guards against a wrong exit code, a change that was not asked for and a
// refusal without its reason.
TEST_P(CtlCommandTest, PrintsText) { check(false); }

// Guards against output that a program cannot read.
TEST_P(CtlCommandTest, PrintsOneDocument) {
  // The case without --yes asks, which --json excludes.
  std::string_view line = GetParam().Line;
  if (line.starts_with("apply") && line.find("--yes") == std::string::npos) {
    TestEnvironment environment;
    EXPECT_EQ(
        run(concat(line, " --json --credential-file @operators"), environment),
        CtlExit::Usage);
    return;
  }
  check(true);
}

constexpr std::string_view OutY = "+ out y # asked by Ada\n";

const CommandCase CommandCases[] = {
    {"Check", "check @next", nothing, CtlExit::Done, "7 rules, no findings", "",
     ""},
    {"CheckFindings", "check @bad", nothing, CtlExit::Refused, "",
     "/bad:1:5: unknown data centre 'z'", ""},
    {"CheckMissingFile", "check @none", nothing, CtlExit::Refused, "",
     "/none: the file cannot be read", ""},
    {"Diff", "diff @next", nothing, CtlExit::Done,
     "changes against revision 7:\n+ out y # asked by Ada\n", "", ""},
    {"DiffNothing", "diff @same", nothing, CtlExit::Done,
     "no changes against revision 7", "", ""},
    {"Apply", "apply @next --yes", nothing, CtlExit::Done,
     "+ out y # asked by Ada\noperation id: op-1\naccepted, revision of the "
     "rules: 8",
     "", OutY},
    {"ApplyAgreed", "apply @next",
     [](FakeAdminBackend &, TestEnvironment &it) { it.Agrees = true; },
     CtlExit::Done, "accepted", "", OutY},
    {"ApplyNotAgreed", "apply @next", nothing, CtlExit::Refused,
     "+ out y # asked by Ada", "not applied", ""},
    {"ApplyNothing", "apply @same --yes", nothing, CtlExit::Done, "no changes",
     "", ""},
    {"ApplyFindings", "apply @bad --yes", nothing, CtlExit::Refused, "",
     "unknown data centre 'z'", ""},
    {"ApplyConflict", "apply @next --yes --revision 6", nothing,
     CtlExit::Conflict, "", "the revision is 7", ""},
    {"ApplyOtherTeam", "apply @next --yes --credential-file @team", nothing,
     CtlExit::Refused, "", "team 'team-a' may not change: out y", ""},
    {"ApplyOwnLine", "apply @own --yes --credential-file @team", nothing,
     CtlExit::Done, "accepted", "", "+ limit a inflight 3 # asked by Ada\n"},
    {"ApplyWrongCredential", "apply @next --yes --credential-file @wrong",
     nothing, CtlExit::Refused, "", "credential is missing or unknown", ""},
    {"ApplyLostAnswers", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostAnswers = 2; },
     CtlExit::Done, "already made, revision of the rules: 8", "", OutY},
    {"ApplyLostRequests", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostRequests = 2; },
     CtlExit::Done, "accepted, revision of the rules: 8", "", OutY},
    {"ApplyDuringElection", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.Refusals = 3; },
     CtlExit::Done, "accepted", "", OutY},
    {"ApplyWithoutLeader", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.Refusals = 99; },
     CtlExit::NotReachable, "", "no leader", ""},
    // An unreachable leader after a lost request must not look like "not done".
    {"ApplyLostThenNoLeader", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.LostRequests = 1;
       it.Refusals = 99;
     },
     CtlExit::OutcomeUnknown, "", "the outcome of operation op-1 is not known",
     ""},
    {"ApplyUnknown", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostAnswers = 99; },
     CtlExit::OutcomeUnknown, "operation id: op-1",
     "--revision 7 --operation-id op-1 --server", OutY},
    {"DcOut", "dc out y --reason power", nothing, CtlExit::Done,
     "in force at all 2 balancers", "", "+ out y # asked by Ada: power\n"},
    {"DcOutNotInForce", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.CatchUp = false;
       it.Status.Balancers[0].InForce = {8};
     },
     CtlExit::NotReachable, "accepted",
     "not in force at 1 of 2 balancers:\n  "
     "BALANCER  DATA CENTRE  ADDRESS      IN FORCE  SILENT\n"
     "  b2        y            127.0.0.1:7  7         3 ms",
     OutY},
    {"DcOutWithoutWait", "dc out y --wait 0",
     [](FakeAdminBackend &it, TestEnvironment &) { it.CatchUp = false; },
     CtlExit::Done, "accepted", "", OutY},
    {"DcOutUnknown", "dc out z", nothing, CtlExit::Refused, "",
     "unknown data centre 'z'", ""},
    {"DcOutAfterOtherChange", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) { it.ForeignChanges = 2; },
     CtlExit::Done, "operation id: op-3", "", OutY},
    {"DcOutConflicts", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) { it.ForeignChanges = 99; },
     CtlExit::Conflict, "", "the revision is 10", ""},
    {"DcInNotOut", "dc in x", nothing, CtlExit::Done,
     "nothing to change: the rule 'out x' is not there", "", ""},
    {"Drain", "drain 9", nothing, CtlExit::Done, "in force",
     "no upstream has the id 9 now", "+ drain upstream 9 # asked by Ada\n"},
    {"DrainAgain", "drain 4", nothing, CtlExit::Done, "is there already", "",
     ""},
    {"DrainBadId", "drain x", nothing, CtlExit::Refused, "",
     "upstream id 'x' is not a number", ""},
    {"Undrain", "undrain 4", nothing, CtlExit::Done, "accepted", "",
     "- drain upstream 4 # asked by Ada\n"},
    {"Status", "status", nothing, CtlExit::Done,
     "control: leader, term 3, commit index 9\n"
     "published revision: 7\n"
     "rules revision: 7\n"
     "\n"
     "  DATA CENTRE  STATE\n"
     "  x            in\n"
     "  y            in\n"
     "\n"
     "  MEMBER  ADDRESS      VOTE\n"
     "  1       127.0.0.1:5  yes\n"
     "\n"
     "  BALANCER  DATA CENTRE  ADDRESS      IN FORCE  SILENT\n"
     "  b1        x            127.0.0.1:6  7         12 ms\n"
     "  b2        y            127.0.0.1:7  7         3 ms\n"
     "\n"
     "  UPSTREAM  SERVICE  DATA CENTRE  ZONE  MACHINE  ADDRESS      STATE     "
     "SLOTS  FLOWS\n"
     "  4         a        x            z1    m1       127.0.0.1:8  draining  "
     "5      8\n",
     "", ""},
};

INSTANTIATE_TEST_SUITE_P(All, CtlCommandTest, testing::ValuesIn(CommandCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

class CtlResumeTest : public CtlTestBase,
                      public testing::WithParamInterface<const char *> {};

// Guards against a printed command that makes the change a second time, or
// fails because the change is there already.
TEST_P(CtlResumeTest, PrintedCommandGetsFirstResult) {
  Backend.LostAnswers = 6;
  AdminServerOptions options;
  options.BackendTimeout = Duration(50);
  AdminServerThread server(Backend, options);
  TestEnvironment first;
  EXPECT_EQ(run(concat(GetParam(), " --credential-file @operators --server ",
                       toString(server.endpoint())),
                first),
            CtlExit::OutcomeUnknown);
  const std::string text = first.Err.str();
  constexpr std::string_view Program = "pistachioctl ";
  const std::size_t at = text.find(Program);
  ASSERT_NE(at, std::string::npos) << text;
  TestEnvironment second;
  EXPECT_EQ(run(text.substr(at + Program.size()), second), CtlExit::Done)
      << second.Err.str();
  EXPECT_NE(second.Out.str().find("already made"), std::string::npos);
  server.stop();
  EXPECT_EQ(Backend.Current, Revision{8});
}

INSTANTIATE_TEST_SUITE_P(All, CtlResumeTest,
                         testing::Values("apply @next --yes", "dc out y",
                                         "drain 9", "undrain 4"));

// Guards against a command that hangs or reports success without a server.
TEST_F(CtlTestBase, ReportsMissingServer) {
  Endpoint gone;
  {
    AdminServerThread server(Backend);
    gone = server.endpoint();
  }
  for (const char *it :
       {"status", "diff @next", "apply @next --yes", "dc out y", "undrain 4"}) {
    TestEnvironment environment;
    EXPECT_EQ(run(concat(it, " --credential-file @operators --server ",
                         toString(gone)),
                  environment),
              CtlExit::NotReachable);
    EXPECT_NE(environment.Err.str().find("cannot reach"), std::string::npos);
  }
}

struct UsageCase {
  const char *Line;
  CtlExit Code;
  std::string_view Out;
  std::string_view Err;
};

class CtlUsageTest : public CtlTestBase,
                     public testing::WithParamInterface<UsageCase> {};

// Guards against a mistyped command that does something.
TEST_P(CtlUsageTest, PrintsHelpOrError) {
  TestEnvironment environment;
  EXPECT_EQ(run(GetParam().Line, environment), GetParam().Code);
  EXPECT_NE(environment.Out.str().find(GetParam().Out), std::string::npos)
      << environment.Out.str();
  EXPECT_NE(environment.Err.str().find(GetParam().Err), std::string::npos)
      << environment.Err.str();
}

const UsageCase UsageCases[] = {
    {"", CtlExit::Usage, "", "a command is missing"},
    {"dc", CtlExit::Usage, "", "unknown command 'dc'"},
    {"dc off x", CtlExit::Usage, "", "unknown command 'dc'"},
    {"apply", CtlExit::Usage, "", "Required argument missing: FILE"},
    {"status x", CtlExit::Usage, "", "x"},
    {"status --yes", CtlExit::Usage, "", "yes"},
    {"status", CtlExit::Usage, "", "--credential-file is missing"},
    {"status --credential-file @operators --server localhost:1", CtlExit::Usage,
     "", "'localhost:1' is not an IPv4 endpoint"},
    {"apply @next --credential-file @operators --revision -1", CtlExit::Usage,
     "", "--revision is not a whole number"},
    {"dc out y --credential-file @operators --wait 1h", CtlExit::Usage, "",
     "--timeout and --wait are seconds"},
    {"dc out y --credential-file @operators --operation-id "
     "0123456789012345678901234567890123456789012345678901234567890123456789",
     CtlExit::Usage, "", "--operation-id has 1 to 64"},
    {"status --credential-file @none", CtlExit::Refused, "",
     "the file cannot be read"},
    {"--help", CtlExit::Done, "dc out NAME", ""},
    {"--version", CtlExit::Done, "pistachioctl 1.2.3\n", ""},
    {"check --version", CtlExit::Done, "pistachioctl 1.2.3\n", ""},
    {"check --help", CtlExit::Done, "usage: pistachioctl check FILE", ""},
    {"diff --help", CtlExit::Done, "usage: pistachioctl diff FILE", ""},
    {"apply --help", CtlExit::Done, "--operation-id <ID>", ""},
    {"status --help", CtlExit::Done, "--json", ""},
    {"dc out --help", CtlExit::Done, "usage: pistachioctl dc out NAME", ""},
    {"dc in --help", CtlExit::Done, "--wait <SECONDS>", ""},
    {"drain --help", CtlExit::Done, "usage: pistachioctl drain ID", ""},
    {"undrain --help", CtlExit::Done, "usage: pistachioctl undrain ID", ""},
};

INSTANTIATE_TEST_SUITE_P(All, CtlUsageTest, testing::ValuesIn(UsageCases));

} // namespace
} // namespace pistachio
