#include "Samples.h"

#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <optional>

namespace pistachio::platform {
namespace {

/// Records the operations and completes them with a given status.
class FakeAdmin final : public RoutingAdmin {
public:
  void applyRouting(RoutingPlan plan,
                    std::function<void(absl::Status)> done) override {
    ForwardedOperations.push_back("routing " + std::to_string(plan.Version));
    HasTerms = !plan.Routes[0].Terms.isEmpty();
    done(StatusToReturn);
  }
  void readRouting(
      std::function<void(absl::StatusOr<RoutingDocument>)> done) override {
    if (!StatusToReturn.ok())
      return done(StatusToReturn);
    done(RoutingDocument{12, RoutingBody});
  }
  void setDataCentre(std::string name, DataCentreChange change,
                     std::function<bool()> isAbandoned,
                     std::function<void(absl::Status)> done) override {
    if (isAbandoned())
      return done(absl::UnavailableError("the caller has gone"));
    ForwardedOperations.push_back(
        (change == DataCentreChange::TakeOut ? "out " : "in ") + name);
    done(StatusToReturn);
  }

  absl::Status StatusToReturn;
  std::vector<std::string> ForwardedOperations;
  bool HasTerms = false;
};

/// Records the calls and returns a given result.
class FakeReports final : public UpstreamReportHandler {
public:
  ReportResult onReport(const UpstreamReport &report) override {
    ReceivedCalls.push_back("report " + report.Id);
    return ResultToReturn;
  }
  bool onUpstreamEnded(std::string_view id) override {
    ReceivedCalls.push_back("left " + std::string(id));
    return false;
  }

  ReportResult ResultToReturn = ReportResult::Accepted;
  std::vector<std::string> ReceivedCalls;
};

/// Calls the handler, which must reply before it returns.
HttpServerResponse call(const HttpHandler &handler,
                        const HttpServerRequest &request) {
  std::optional<HttpServerResponse> reply;
  handler(request, [&](HttpServerResponse it) { reply = std::move(it); });
  EXPECT_TRUE(reply.has_value()) << request.Target;
  return reply.value_or(HttpServerResponse{});
}

struct OperatorCase {
  const char *Name;
  HttpServerRequest Call;
  absl::Status StatusToReturn;
  int Status;
  /// The operation that is passed to RoutingAdmin; empty if there is none.
  std::string ExpectedOperation;
};

class OperatorCallsTest : public testing::TestWithParam<OperatorCase> {};

// Guards against operations that are lost or changed, against a final status
// for a call that another instance could perform, and against invalid calls
// that are acknowledged.
TEST_P(OperatorCallsTest, ReturnsExpectedStatus) {
  const OperatorCase &it = GetParam();
  FakeAdmin admin;
  admin.StatusToReturn = it.StatusToReturn;
  EXPECT_EQ(call(makeOperatorHandler(admin), it.Call).Status, it.Status);
  const std::vector<std::string> expected =
      it.ExpectedOperation.empty()
          ? std::vector<std::string>{}
          : std::vector<std::string>{it.ExpectedOperation};
  EXPECT_EQ(admin.ForwardedOperations, expected);
  // Guards against terms in a deployment that has not enabled them.
  EXPECT_FALSE(admin.HasTerms);
  call(makeOperatorHandler(admin, {true}), it.Call);
  EXPECT_EQ(admin.HasTerms, it.ExpectedOperation.starts_with("routing"));
}

INSTANTIATE_TEST_SUITE_P(
    Table, OperatorCallsTest,
    testing::Values(
        OperatorCase{"Config",
                     {"PUT", "/-/config", RoutingBody},
                     absl::OkStatus(),
                     200,
                     "routing 12"},
        OperatorCase{"InvalidConfig",
                     {"PUT", "/-/config", "{\"version\":"},
                     absl::OkStatus(),
                     400,
                     ""},
        OperatorCase{"RefusedConfig",
                     {"PUT", "/-/config", RoutingBody},
                     absl::InvalidArgumentError("unknown service"),
                     400,
                     "routing 12"},
        OperatorCase{"NoLeader",
                     {"PUT", "/-/config", RoutingBody},
                     absl::UnavailableError("no leader"),
                     503,
                     "routing 12"},
        OperatorCase{"OutcomeUnknown",
                     {"PUT", "/-/config", RoutingBody},
                     absl::DeadlineExceededError("unknown"),
                     503,
                     "routing 12"},
        OperatorCase{"DiskFull",
                     {"PUT", "/-/config", RoutingBody},
                     absl::ResourceExhaustedError("full"),
                     503,
                     "routing 12"},
        OperatorCase{
            "Read", {"GET", "/-/config", ""}, absl::OkStatus(), 200, ""},
        OperatorCase{"ReadUnsure",
                     {"GET", "/-/config", ""},
                     absl::UnavailableError("no leader"),
                     503,
                     ""},
        OperatorCase{"ReadNothing",
                     {"GET", "/-/config", ""},
                     absl::NotFoundError("none"),
                     404,
                     ""},
        OperatorCase{"Out",
                     {"POST", "/-/evacuation/z-a", ""},
                     absl::OkStatus(),
                     200,
                     "out z-a"},
        OperatorCase{"In",
                     {"DELETE", "/-/evacuation/z-a", ""},
                     absl::OkStatus(),
                     200,
                     "in z-a"},
        OperatorCase{"OtherMethod",
                     {"GET", "/-/evacuation/z-a", ""},
                     absl::OkStatus(),
                     404,
                     ""},
        OperatorCase{"OtherPath",
                     {"PUT", "/-/configs", RoutingBody},
                     absl::OkStatus(),
                     404,
                     ""}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a routing document that is changed between write and read.
TEST(OperatorCallsTest, ReadsTheDocumentUnchanged) {
  FakeAdmin admin;
  EXPECT_EQ(call(makeOperatorHandler(admin), {"GET", "/-/config", ""}).Body,
            RoutingBody);
}

struct ReportCase {
  const char *Name;
  HttpServerRequest Call;
  ReportResult ResultToReturn;
  int Status;
  std::string Expected;
};

class ReportCallsTest : public testing::TestWithParam<ReportCase> {};

// Guards against reports that are acknowledged without effect, and against the
// rejection of valid reports that are merely outdated.
TEST_P(ReportCallsTest, ReturnsExpectedStatus) {
  const ReportCase &it = GetParam();
  FakeReports reports;
  reports.ResultToReturn = it.ResultToReturn;
  EXPECT_EQ(call(makeReportHandler(reports), it.Call).Status, it.Status);
  const std::vector<std::string> expected =
      it.Expected.empty() ? std::vector<std::string>{}
                          : std::vector<std::string>{it.Expected};
  EXPECT_EQ(reports.ReceivedCalls, expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ReportCallsTest,
    testing::Values(ReportCase{"Report",
                               {"PUT", "/-/instances/i-1", ReportBody},
                               ReportResult::Accepted,
                               200,
                               "report i-1"},
                    ReportCase{"Old",
                               {"PUT", "/-/instances/i-1", ReportBody},
                               ReportResult::Outdated,
                               200,
                               "report i-1"},
                    ReportCase{"Foreign",
                               {"PUT", "/-/instances/i-1", ReportBody},
                               ReportResult::Mismatched,
                               409,
                               "report i-1"},
                    ReportCase{"InvalidReport",
                               {"PUT", "/-/instances/i-1", "\xFF"},
                               ReportResult::Accepted,
                               400,
                               ""},
                    ReportCase{"Left",
                               {"DELETE", "/-/instances/i-1", ""},
                               ReportResult::Accepted,
                               200,
                               "left i-1"},
                    ReportCase{"OtherMethod",
                               {"GET", "/-/instances/i-1", ""},
                               ReportResult::Accepted,
                               404,
                               ""},
                    ReportCase{"OtherPath",
                               {"PUT", "/instances/i-1", ReportBody},
                               ReportResult::Accepted,
                               404,
                               ""}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against traffic to a balancer that is not ready to serve.
TEST(ReadinessTest, ReflectsBalancerState) {
  bool ready = false;
  const HttpHandler handler = makeReadinessHandler([&] { return ready; });
  EXPECT_EQ(call(handler, {"GET", "/-/ready", ""}).Status, 503);
  ready = true;
  EXPECT_EQ(call(handler, {"GET", "/-/ready", ""}).Status, 200);
  EXPECT_EQ(call(handler, {"GET", "/ready", ""}).Status, 404);
}

} // namespace
} // namespace pistachio::platform
