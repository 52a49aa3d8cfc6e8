#include "Ctl/Ctl.h"

#include "Balancer/SampleExplanation.h"
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

/// Uses the real client and server, but a clock that advances only while a
/// command sleeps.
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
  absl::StatusOr<std::string> explain(const Endpoint &balancer,
                                      const FlowEndpoints &flow,
                                      Duration) override {
    Explained = concat(toString(balancer), " ", toString(flow.Caller), ">",
                       toString(flow.Service));
    return Explanation;
  }
  TimePoint now() override { return Now; }
  void sleep(Duration time) override { Now += time; }
  std::string newOperationId() override {
    return "op-" + std::to_string(++LastOperationId);
  }
  bool confirm(std::string_view) override { return ConfirmAnswer; }
  std::string user() override { return "Ada"; }

  std::ostringstream Out;
  std::ostringstream Err;
  absl::StatusOr<std::string> Explanation = std::string(SampleExplanation);
  /// The balancer and the flow of the latest explain().
  std::string Explained;
  bool ConfirmAnswer = false;
  TimePoint Now;
  int LastOperationId = 0;
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
    write("terms", concat(BaseRules, "route r address 10.0.0.9:1 to a weight 1 "
                                     "urgency 2 once # asked by Ada\n"));
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

  /// Runs a command line. A word "@NAME" is replaced by the path of that file
  /// in the test folder.
  CtlExitCode run(std::string_view line, TestEnvironment &environment) const {
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
  CtlExitCode Code;
  /// Texts that standard output and standard error must contain.
  std::string_view Out;
  std::string_view Err;
  /// Changes to the rules after the command, compared with BaseRules.
  std::string_view Changes;
};

void noSetUp(FakeAdminBackend &, TestEnvironment &) {}

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

// Guards against a wrong exit code, a change that was not requested and an
// error without its reason.
TEST_P(CtlCommandTest, PrintsText) { check(false); }

// Guards against output in JSON mode that is not exactly one valid JSON
// document.
TEST_P(CtlCommandTest, PrintsOneDocument) {
  // Without --yes the command asks for confirmation, which --json does not
  // allow.
  std::string_view line = GetParam().Line;
  if (line.starts_with("apply") && line.find("--yes") == std::string::npos) {
    TestEnvironment environment;
    EXPECT_EQ(
        run(concat(line, " --json --credential-file @operators"), environment),
        CtlExitCode::Usage);
    return;
  }
  check(true);
}

constexpr std::string_view OutYAdded = "+ out y # asked by Ada\n";

const CommandCase CommandCases[] = {
    {"Check", "check @next", noSetUp, CtlExitCode::Done, "7 rules, no findings",
     "", ""},
    {"CheckFindings", "check @bad", noSetUp, CtlExitCode::Refused, "",
     "/bad:1:5: unknown data centre 'z'", ""},
    {"CheckMissingFile", "check @none", noSetUp, CtlExitCode::Refused, "",
     "/none: the file cannot be read", ""},
    {"Diff", "diff @next", noSetUp, CtlExitCode::Done,
     "changes against revision 7:\n+ out y # asked by Ada\n", "", ""},
    {"DiffTerms", "diff @terms", noSetUp, CtlExitCode::Done,
     "weight 1 urgency 2 once # asked by Ada\n", "", ""},
    {"DiffNothing", "diff @same", noSetUp, CtlExitCode::Done,
     "no changes against revision 7", "", ""},
    {"Apply", "apply @next --yes", noSetUp, CtlExitCode::Done,
     "+ out y # asked by Ada\noperation id: op-1\naccepted, revision of the "
     "rules: 8",
     "", OutYAdded},
    {"ApplyConfirmed", "apply @next",
     [](FakeAdminBackend &, TestEnvironment &it) { it.ConfirmAnswer = true; },
     CtlExitCode::Done, "accepted", "", OutYAdded},
    {"ApplyNotConfirmed", "apply @next", noSetUp, CtlExitCode::Refused,
     "+ out y # asked by Ada",
     "not applied: the operator did not confirm the changes", ""},
    {"ApplyNothing", "apply @same --yes", noSetUp, CtlExitCode::Done,
     "no changes", "", ""},
    {"ApplyFindings", "apply @bad --yes", noSetUp, CtlExitCode::Refused, "",
     "unknown data centre 'z'", ""},
    {"ApplyConflict", "apply @next --yes --revision 6", noSetUp,
     CtlExitCode::Conflict, "", "the revision is 7", ""},
    {"ApplyOtherTeam", "apply @next --yes --credential-file @team", noSetUp,
     CtlExitCode::Refused, "", "team 'team-a' may not change: out y", ""},
    {"ApplyOwnLine", "apply @own --yes --credential-file @team", noSetUp,
     CtlExitCode::Done, "accepted", "",
     "+ limit a inflight 3 # asked by Ada\n"},
    {"ApplyWrongCredential", "apply @next --yes --credential-file @wrong",
     noSetUp, CtlExitCode::Refused, "", "credential is missing or unknown", ""},
    {"ApplyLostAnswers", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostAnswers = 2; },
     CtlExitCode::Done, "already made, revision of the rules: 8", "",
     OutYAdded},
    {"ApplyLostRequests", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostRequests = 2; },
     CtlExitCode::Done, "accepted, revision of the rules: 8", "", OutYAdded},
    {"ApplyDuringElection", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.UnavailableReplies = 3; },
     CtlExitCode::Done, "accepted", "", OutYAdded},
    {"ApplyWithoutLeader", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.UnavailableReplies = 99;
     },
     CtlExitCode::NotReachable, "", "no leader", ""},
    // After a lost request, an unreachable leader must not be reported as "not
    // made".
    {"ApplyLostThenNoLeader", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.LostRequests = 1;
       it.UnavailableReplies = 99;
     },
     CtlExitCode::OutcomeUnknown, "",
     "the outcome of operation op-1 is not known", ""},
    {"ApplyUnknown", "apply @next --yes",
     [](FakeAdminBackend &it, TestEnvironment &) { it.LostAnswers = 99; },
     CtlExitCode::OutcomeUnknown, "operation id: op-1",
     "--revision 7 --operation-id op-1 --server", OutYAdded},
    {"DcOut", "dc out y --reason power", noSetUp, CtlExitCode::Done,
     "in force at all 2 balancers", "", "+ out y # asked by Ada: power\n"},
    {"DcOutNotInForce", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.BalancersCatchUp = false;
       it.Status.Balancers[0].ConfirmedRevision = {8};
     },
     CtlExitCode::NotReachable, "accepted",
     "the rules are not in force at 1 of 2 balancers:\n  "
     "BALANCER  DATA CENTRE  ADDRESS      IN FORCE  SILENT\n"
     "  b2        y            127.0.0.1:7  7         3 ms",
     OutYAdded},
    {"DcOutWithoutWait", "dc out y --wait 0",
     [](FakeAdminBackend &it, TestEnvironment &) {
       it.BalancersCatchUp = false;
     },
     CtlExitCode::Done, "accepted", "", OutYAdded},
    {"DcOutUnknown", "dc out z", noSetUp, CtlExitCode::Refused, "",
     "unknown data centre 'z'", ""},
    {"DcOutAfterOtherChange", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) { it.ConcurrentChanges = 2; },
     CtlExitCode::Done, "operation id: op-3", "", OutYAdded},
    {"DcOutConflicts", "dc out y",
     [](FakeAdminBackend &it, TestEnvironment &) { it.ConcurrentChanges = 99; },
     CtlExitCode::Conflict, "", "the revision is 10", ""},
    {"DcInNotOut", "dc in x", noSetUp, CtlExitCode::Done,
     "nothing to change: the rule 'out x' is not there", "", ""},
    {"Drain", "drain 9", noSetUp, CtlExitCode::Done, "in force",
     "no upstream has the id 9 now", "+ drain upstream 9 # asked by Ada\n"},
    {"DrainAgain", "drain 4", noSetUp, CtlExitCode::Done, "is there already",
     "", ""},
    {"DrainBadId", "drain x", noSetUp, CtlExitCode::Refused, "",
     "upstream id 'x' is not a number", ""},
    {"Undrain", "undrain 4", noSetUp, CtlExitCode::Done, "accepted", "",
     "- drain upstream 4 # asked by Ada\n"},
    {"Status", "status", noSetUp, CtlExitCode::Done,
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

// Guards against a printed command that makes the change a second time, or that
// fails because the change has already been made.
TEST_P(CtlResumeTest, PrintedCommandGetsFirstResult) {
  Backend.LostAnswers = 6;
  AdminServerOptions options;
  options.BackendTimeout = Duration(50);
  AdminServerThread server(Backend, options);
  TestEnvironment first;
  EXPECT_EQ(run(concat(GetParam(), " --credential-file @operators --server ",
                       toString(server.endpoint())),
                first),
            CtlExitCode::OutcomeUnknown);
  const std::string text = first.Err.str();
  constexpr std::string_view Program = "pistachioctl ";
  const std::size_t at = text.find(Program);
  ASSERT_NE(at, std::string::npos) << text;
  TestEnvironment second;
  EXPECT_EQ(run(text.substr(at + Program.size()), second), CtlExitCode::Done)
      << second.Err.str();
  EXPECT_NE(second.Out.str().find("already made"), std::string::npos);
  server.stop();
  EXPECT_EQ(Backend.CurrentRevision, Revision{8});
}

INSTANTIATE_TEST_SUITE_P(All, CtlResumeTest,
                         testing::Values("apply @next --yes", "dc out y",
                                         "drain 9", "undrain 4"));

// Guards against a command that hangs or reports success although no server is
// reachable.
TEST_F(CtlTestBase, ReportsUnreachableServer) {
  Endpoint unreachable;
  {
    AdminServerThread server(Backend);
    unreachable = server.endpoint();
  }
  for (const char *it :
       {"status", "diff @next", "apply @next --yes", "dc out y", "undrain 4"}) {
    TestEnvironment environment;
    EXPECT_EQ(run(concat(it, " --credential-file @operators --server ",
                         toString(unreachable)),
                  environment),
              CtlExitCode::NotReachable);
    EXPECT_NE(environment.Err.str().find("cannot reach"), std::string::npos);
  }
}

struct ExplainCase {
  std::string_view Name;
  absl::StatusOr<std::string> Answer;
  CtlExitCode Code;
  std::string_view Out;
  std::string_view Err;
};

class CtlExplainTest : public CtlTestBase,
                       public testing::WithParamInterface<ExplainCase> {};

// Guards against an answer that is shown wrongly or stops the command, and
// against a failure that ends with the exit code of success.
TEST_P(CtlExplainTest, PrintsTextAndDocument) {
  for (const bool json : {false, true}) {
    TestEnvironment environment;
    environment.Explanation = GetParam().Answer;
    EXPECT_EQ(run(concat("explain --balancer 9.8.7.6:5 --address 1.2.3.4:1",
                         json ? " --json" : ""),
                  environment),
              GetParam().Code);
    EXPECT_EQ(environment.Explained, "9.8.7.6:5 192.0.2.1:1>1.2.3.4:1");
    if (json) {
      boost::system::error_code ec;
      const auto document = boost::json::parse(environment.Out.str(), ec);
      ASSERT_FALSE(ec) << environment.Out.str();
      EXPECT_TRUE(document.as_object().contains("result"));
      EXPECT_EQ(environment.Err.str(), "");
      continue;
    }
    EXPECT_EQ(environment.Out.str(), GetParam().Out);
    EXPECT_NE(environment.Err.str().find(GetParam().Err), std::string::npos)
        << environment.Err.str();
  }
}

const ExplainCase ExplainCases[] = {
    {"Placed", std::string(SampleExplanation), CtlExitCode::Done,
     "flow 1.2.3.4:5>1.2.3.4:1, table revision 7\n"
     "route: service a, weight 3 of 4\n"
     "holder: none known; a later packet of an open flow starts a search\n"
     "decision: offered to 10.0.0.1:7000 by the placement least-loaded; if it "
     "declines, to 10.0.0.2:7000\n"
     "\n"
     "  UPSTREAM  AGENT          DATA CENTRE  TIER  BUSY  OPEN  SLOTS  PLACED  "
     "REPORT AGE  LOAD  STATE\n"
     "  1         10.0.0.1:7000  x (local)    0     1     9     4      1       "
     "120 ms      0.25  chosen\n"
     "  2         10.0.0.2:7000  y            0     -     -     -      0       "
     "none        1.25  next\n"
     "  3         10.0.0.3:7000  x (local)    -     -     -     -      0       "
     "none        -     silent, 800 ms left\n"
     "  the first 3 of 9 upstreams\n",
     ""},
    {"Held",
     R"({"reason":"held","agent":"A","holder":{"ageMs":5,"agent":"A"}})",
     CtlExitCode::Done,
     "flow ->-, table revision -\nroute: its weights choose no service\n"
     "holder: A, since 5 ms, not confirmed\n"
     "decision: forwarded to the holder A\n",
     ""},
    {"WrongTypes", R"({"reason":"x","upstreams":[1],"flow":[],"holder":1})",
     CtlExitCode::Done,
     "flow ->-, table revision -\nroute: its weights choose no service\n"
     "holder: none known; a later packet of an open flow starts a search\n"
     "decision: -, x\n\n"
     "  UPSTREAM  AGENT  DATA CENTRE  TIER  BUSY  OPEN  SLOTS  PLACED  "
     "REPORT AGE  LOAD  STATE\n",
     ""},
    {"NoRoute", R"({"reason":"no-route"})", CtlExitCode::Refused, "",
     "has no route for the service address 1.2.3.4:1"},
    {"NoTable", R"({"reason":"no-table"})", CtlExitCode::NotReachable, "",
     "has no table"},
    {"NotJson", "{", CtlExitCode::Refused, "", "sent no valid explanation"},
    {"NoReason", "[]", CtlExitCode::Refused, "", "sent no valid explanation"},
    {"Unreachable", absl::UnavailableError("cannot reach it"),
     CtlExitCode::NotReachable, "", "cannot reach it"},
    {"OtherDaemon", absl::NotFoundError("no explanations"),
     CtlExitCode::Refused, "", "no explanations"},
};

INSTANTIATE_TEST_SUITE_P(All, CtlExplainTest, testing::ValuesIn(ExplainCases),
                         [](const auto &info) {
                           return std::string(info.param.Name);
                         });

struct UsageCase {
  const char *Line;
  CtlExitCode Code;
  std::string_view Out;
  std::string_view Err;
};

class CtlUsageTest : public CtlTestBase,
                     public testing::WithParamInterface<UsageCase> {};

// Guards against a command line with an error that is executed anyway.
TEST_P(CtlUsageTest, PrintsHelpOrError) {
  TestEnvironment environment;
  EXPECT_EQ(run(GetParam().Line, environment), GetParam().Code);
  EXPECT_NE(environment.Out.str().find(GetParam().Out), std::string::npos)
      << environment.Out.str();
  EXPECT_NE(environment.Err.str().find(GetParam().Err), std::string::npos)
      << environment.Err.str();
}

const UsageCase UsageCases[] = {
    {"", CtlExitCode::Usage, "", "the command is missing"},
    {"dc", CtlExitCode::Usage, "", "unknown command 'dc'"},
    {"dc off x", CtlExitCode::Usage, "", "unknown command 'dc'"},
    {"apply", CtlExitCode::Usage, "", "Required argument missing: FILE"},
    {"status x", CtlExitCode::Usage, "", "x"},
    {"status --yes", CtlExitCode::Usage, "", "yes"},
    {"status", CtlExitCode::Usage, "", "--credential-file is missing"},
    {"status --credential-file @operators --server localhost:1",
     CtlExitCode::Usage, "", "'localhost:1' is not an IPv4 endpoint"},
    {"apply @next --credential-file @operators --revision -1",
     CtlExitCode::Usage, "", "--revision is not a whole number"},
    {"dc out y --credential-file @operators --wait 1h", CtlExitCode::Usage, "",
     "--timeout and --wait are seconds"},
    {"dc out y --credential-file @operators --operation-id "
     "0123456789012345678901234567890123456789012345678901234567890123456789",
     CtlExitCode::Usage, "", "--operation-id has 1 to 64"},
    {"status --credential-file @none", CtlExitCode::Refused, "",
     "the file cannot be read"},
    {"--help", CtlExitCode::Done, "dc out NAME", ""},
    {"--version", CtlExitCode::Done, "pistachioctl 1.2.3\n", ""},
    {"check --version", CtlExitCode::Done, "pistachioctl 1.2.3\n", ""},
    {"check --help", CtlExitCode::Done, "usage: pistachioctl check FILE", ""},
    {"diff --help", CtlExitCode::Done, "usage: pistachioctl diff FILE", ""},
    {"apply --help", CtlExitCode::Done, "--operation-id <ID>", ""},
    {"status --help", CtlExitCode::Done, "--json", ""},
    {"dc out --help", CtlExitCode::Done, "usage: pistachioctl dc out NAME", ""},
    {"dc in --help", CtlExitCode::Done, "--wait <SECONDS>", ""},
    {"drain --help", CtlExitCode::Done, "usage: pistachioctl drain ID", ""},
    {"explain --balancer 1.2.3.4:5", CtlExitCode::Usage, "",
     "give either --flow or --address"},
    {"explain --balancer 1.2.3.4:5 --flow 1.2.3.4:5,1.2.3.4:1 --address "
     "1.2.3.4:1",
     CtlExitCode::Usage, "", "give either --flow or --address"},
    {"explain --address 1.2.3.4:1", CtlExitCode::Usage, "", "balancer"},
    {"explain --balancer 1.2.3.4 --address 1.2.3.4:1", CtlExitCode::Usage, "",
     "'1.2.3.4' is not an IPv4 endpoint"},
    {"explain --balancer 1.2.3.4:5 --address 1.2.3:1", CtlExitCode::Usage, "",
     "'1.2.3:1' is not an IPv4 endpoint"},
    {"explain --balancer 1.2.3.4:5 --flow 1.2.3.4:5", CtlExitCode::Usage, "",
     "'1.2.3.4:5' is not a flow"},
    {"explain --balancer 1.2.3.4:5 --flow 1.2.3.4:5,x", CtlExitCode::Usage, "",
     "'x' is not an IPv4 endpoint"},
    {"explain --help", CtlExitCode::Done, "--balancer <A.B.C.D:PORT>", ""},
    {"undrain --help", CtlExitCode::Done, "usage: pistachioctl undrain ID", ""},
};

INSTANTIATE_TEST_SUITE_P(All, CtlUsageTest, testing::ValuesIn(UsageCases));

} // namespace
} // namespace pistachio
