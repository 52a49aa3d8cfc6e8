#include "ExplainEndpoint.h"

#include "Admin/Admin.h"
#include "SampleExplanation.h"

#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace pistachio {
namespace {

constexpr FlowEndpoints Flow{{0x01020304, 5}, {0x01020304, 1}};

FlowExplanation sample(const FlowEndpoints &flow, TimePoint /*now*/ = {}) {
  FlowExplanation out;
  out.Flow = flow;
  out.TableRevision = {7};
  out.Action = RelayAction::Forward;
  out.Reason = RelayReason::Placed;
  out.Agent = Endpoint{0x0A000001, 7000};
  out.NextAgent = Endpoint{0x0A000002, 7000};
  out.Share = {"a", 3, 4};
  out.UpstreamCount = 9;
  out.Upstreams.resize(3);
  for (std::uint32_t i = 0; i < 3; ++i) {
    ExplainedUpstream &it = out.Upstreams[i];
    it.Id = {i + 1};
    it.Agent = {0x0A000001 + i, 7000};
    it.DataCentre = i == 1 ? "y" : "x";
    it.IsLocal = i != 1;
  }
  out.Upstreams[0].Tier = 0;
  out.Upstreams[0].Report = UpstreamLoad{1, 9, 4};
  out.Upstreams[0].ReportAge = Duration(120);
  out.Upstreams[0].PlacedSinceReport = 1;
  out.Upstreams[0].Load = 0.25;
  out.Upstreams[1].Tier = 0;
  out.Upstreams[1].Load = 1.25;
  out.Upstreams[2].State = OfferState::Silent;
  out.Upstreams[2].StateEndsIn = Duration(800);
  return out;
}

// Guards against an answer that pistachioctl cannot read.
TEST(ExplainEndpointTest, WritesTheDocument) {
  EXPECT_EQ(toJson(sample(Flow)), SampleExplanation);
}

struct QueryCase {
  const char *Target;
  const char *Method;
  int Status;
};

class ExplainQueryTest : public testing::TestWithParam<QueryCase> {};

// Guards against a malformed query that is answered for another flow than the
// operator named, or stops the balancer.
TEST_P(ExplainQueryTest, Answers) {
  int calls = 0;
  HttpServerResponse response;
  makeExplainHandler(
      [&](const FlowEndpoints &flow, TimePoint) {
        ++calls;
        EXPECT_EQ(flow, Flow);
        return sample(flow);
      },
      steadyNow)({GetParam().Method, GetParam().Target, ""},
                 [&](HttpServerResponse it) { response = std::move(it); });
  EXPECT_EQ(response.Status, GetParam().Status);
  EXPECT_EQ(calls, GetParam().Status == 200 ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    All, ExplainQueryTest,
    testing::Values(
        QueryCase{"/explain?caller=1.2.3.4:5&service=1.2.3.4:1", "GET", 200},
        QueryCase{"/explain?service=1.2.3.4%3a1&caller=1.2.3.4%3A5", "GET",
                  200},
        QueryCase{"/explain?caller=1.2.3.4:5&service=1.2.3.4:1", "POST", 405},
        QueryCase{"/explains?caller=1.2.3.4:5&service=1.2.3.4:1", "GET", 404},
        QueryCase{"", "GET", 404}, QueryCase{"/explain", "GET", 400},
        QueryCase{"/explain?", "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5", "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5&service=1.2.3.4:0", "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5&service=1.2.3.4:99999", "GET",
                  400},
        QueryCase{"/explain?caller=1.2.3.4:5&service=x\xff%", "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5&&service=1.2.3.4:1", "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5&caller=1.2.3.4:5&service="
                  "1.2.3.4:1",
                  "GET", 400},
        QueryCase{"/explain?caller=1.2.3.4:5&service=1.2.3.4:1&x=1.2.3.4:1",
                  "GET", 400}));

// Guards against a client that takes the thread of the packets by asking
// without a pause, and against a limit that never ends.
TEST(ExplainEndpointTest, LimitsTheExplanationsPerSecond) {
  TimePoint now{Duration(5000)};
  const HttpHandler handler =
      makeExplainHandler(sample, [&now] { return now; });
  const auto countAnswered = [&](int queries) {
    int answered = 0;
    for (int i = 0; i < queries; ++i)
      handler({"GET", "/explain?caller=1.2.3.4:5&service=1.2.3.4:1", ""},
              [&](const HttpServerResponse &it) {
                answered += it.Status == 200 ? 1 : 0;
              });
    return answered;
  };
  EXPECT_EQ(countAnswered(100), MaxExplanationsPerSecond);
  now += Duration(999);
  EXPECT_EQ(countAnswered(100), 0);
  now += Duration(1);
  EXPECT_EQ(countAnswered(100), MaxExplanationsPerSecond);
}

/// Serves the metrics address of a daemon on a thread of its own.
class MetricsThread {
public:
  explicit MetricsThread(HttpHandler otherPaths) {
    auto server = serveMetrics(
        Context, {0x7F000001, 0}, [] { return std::string("m 1\n"); },
        std::move(otherPaths));
    if (!server.ok())
      throw std::runtime_error(messageOf(server.status()));
    Server = *std::move(server);
    Thread = std::thread([this] { Context.run(); });
  }
  ~MetricsThread() {
    Context.stop();
    Thread.join();
  }
  MetricsThread(const MetricsThread &) = delete;
  MetricsThread &operator=(const MetricsThread &) = delete;

  Endpoint endpoint() const { return Server->endpoint(); }

private:
  boost::asio::io_context Context{1};
  std::unique_ptr<HttpServer> Server;
  std::thread Thread;
};

struct ServerCase {
  const char *Name;
  const char *GuardsAgainst;
  HttpHandler OtherPaths;
  absl::StatusCode Code;
};

class ReadExplanationTest : public testing::TestWithParam<ServerCase> {};

TEST_P(ReadExplanationTest, ReturnsTheAnswerOrAnError) {
  const MetricsThread server(GetParam().OtherPaths);
  const auto answer = readExplanation(
      server.endpoint(), Flow,
      GetParam().Code == absl::StatusCode::kUnavailable ? Duration(200)
                                                        : Duration(20'000));
  EXPECT_EQ(answer.status().code(), GetParam().Code)
      << GetParam().GuardsAgainst << ": " << answer.status();
  if (answer.ok()) {
    EXPECT_EQ(*answer, SampleExplanation);
  }
}

HttpHandler alwaysReply(int status, std::string body) {
  return [=](const HttpServerRequest &, const auto &reply) {
    reply({status, body});
  };
}

INSTANTIATE_TEST_SUITE_P(
    All, ReadExplanationTest,
    testing::Values(
        ServerCase{"Balancer", "a balancer that does not serve the path",
                   makeExplainHandler(sample, steadyNow),
                   absl::StatusCode::kOk},
        ServerCase{"OtherDaemon", "an unclear error for another daemon's port",
                   nullptr, absl::StatusCode::kNotFound},
        ServerCase{"Silent", "a command that waits without limit",
                   [](const HttpServerRequest &, const auto &) {},
                   absl::StatusCode::kUnavailable},
        ServerCase{"NotJson", "an exception at an answer that is not JSON",
                   alwaysReply(200, "{\xff"), absl::StatusCode::kInternal},
        ServerCase{"Error", "an error document taken for an explanation",
                   alwaysReply(500, "{}"), absl::StatusCode::kInternal}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a balancer that cannot be reached and is reported as another
// error.
TEST(UnreachableBalancerTest, IsReported) {
  Endpoint endpoint;
  {
    const MetricsThread server(nullptr);
    endpoint = server.endpoint();
  }
  EXPECT_TRUE(absl::IsUnavailable(
      readExplanation(endpoint, Flow, Duration(20'000)).status()));
}

} // namespace
} // namespace pistachio
