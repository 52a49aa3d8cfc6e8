#include "Samples.h"

#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <optional>

namespace pistachio::platform {
namespace {

/// Notes the orders and answers them as told.
class FakeAdmin final : public RoutingAdmin {
public:
  void applyRouting(RoutingPlan plan,
                    std::function<void(absl::Status)> done) override {
    Orders.push_back("routing " + std::to_string(plan.Version));
    done(Answer);
  }
  void readRouting(
      std::function<void(absl::StatusOr<RoutingDocument>)> done) override {
    if (!Answer.ok())
      return done(Answer);
    done(RoutingDocument{12, RoutingBody});
  }
  void setDataCentre(std::string name, DataCentreChange change,
                     std::function<void(absl::Status)> done) override {
    Orders.push_back((change == DataCentreChange::TakeOut ? "out " : "in ") +
                     name);
    done(Answer);
  }

  absl::Status Answer;
  std::vector<std::string> Orders;
};

class FakeReports final : public UpstreamReports {
public:
  ReportResult onReport(const UpstreamReport &report) override {
    Calls.push_back("report " + report.Id);
    return Result;
  }
  bool onLeft(std::string_view id) override {
    Calls.push_back("left " + std::string(id));
    return false;
  }

  ReportResult Result = ReportResult::Accepted;
  std::vector<std::string> Calls;
};

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
  absl::Status Answer;
  int Status;
  /// The order that reaches the product; empty if none.
  std::string Order;
};

class OperatorCallsTest : public testing::TestWithParam<OperatorCase> {};

// Guards against orders that are lost or altered, refusals that end a call
// which another instance could take, and faults that are acknowledged.
TEST_P(OperatorCallsTest, AnswersAsThePlatformExpects) {
  const OperatorCase &it = GetParam();
  FakeAdmin admin;
  admin.Answer = it.Answer;
  EXPECT_EQ(call(makeOperatorHandler(admin), it.Call).Status, it.Status);
  const std::vector<std::string> expected =
      it.Order.empty() ? std::vector<std::string>{}
                       : std::vector<std::string>{it.Order};
  EXPECT_EQ(admin.Orders, expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, OperatorCallsTest,
    testing::Values(
        OperatorCase{"Config",
                     {"PUT", "/-/config", RoutingBody},
                     absl::OkStatus(),
                     200,
                     "routing 12"},
        OperatorCase{"FaultyConfig",
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

// Guards against a document that comes back altered.
TEST(OperatorCallsTest, ReadsTheDocumentUnchanged) {
  FakeAdmin admin;
  EXPECT_EQ(call(makeOperatorHandler(admin), {"GET", "/-/config", ""}).Body,
            RoutingBody);
}

struct ReportCase {
  const char *Name;
  HttpServerRequest Call;
  ReportResult Result;
  int Status;
  std::string Expected;
};

class ReportCallsTest : public testing::TestWithParam<ReportCase> {};

// Guards against reports that are acknowledged without effect, or refused
// although they are old only.
TEST_P(ReportCallsTest, AnswersAsThePlatformExpects) {
  const ReportCase &it = GetParam();
  FakeReports reports;
  reports.Result = it.Result;
  EXPECT_EQ(call(makeReportHandler(reports), it.Call).Status, it.Status);
  const std::vector<std::string> expected =
      it.Expected.empty() ? std::vector<std::string>{}
                          : std::vector<std::string>{it.Expected};
  EXPECT_EQ(reports.Calls, expected);
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
                               ReportResult::Foreign,
                               409,
                               "report i-1"},
                    ReportCase{"Faulty",
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

// Guards against traffic for a balancer that does not serve.
TEST(ReadinessTest, FollowsTheBalancer) {
  bool ready = false;
  const HttpHandler handler = makeReadinessHandler([&] { return ready; });
  EXPECT_EQ(call(handler, {"GET", "/-/ready", ""}).Status, 503);
  ready = true;
  EXPECT_EQ(call(handler, {"GET", "/-/ready", ""}).Status, 200);
  EXPECT_EQ(call(handler, {"GET", "/ready", ""}).Status, 404);
}

} // namespace
} // namespace pistachio::platform
