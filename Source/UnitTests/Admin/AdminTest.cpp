#include "Admin/Admin.h"

#include "Fakes/FakeAdminBackend.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace pistachio {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view BaseRules =
    "service a address 1.2.3.4:1 slots 1 # asked by Ada\n"
    "service b address 1.2.3.4:2 slots 1 # asked by Ada\n"
    "datacentre x # asked by Ada\n"
    "datacentre y # asked by Ada\n"
    "team team-a services a # asked by Ada\n";
constexpr std::string_view Secret = "operators-secret";
constexpr Duration ClientTimeout{20'000};

/// A blocking TCP connection that sends bytes exactly as given.
class RawConnection {
public:
  explicit RawConnection(const Endpoint &server) : Socket(Context) {
    Socket.connect({asio::ip::address_v4(server.Address), server.Port});
  }
  void send(std::string_view bytes) {
    boost::system::error_code ec;
    asio::write(Socket, asio::buffer(bytes.data(), bytes.size()), ec);
  }
  void shutdownSend() {
    boost::system::error_code ec;
    Socket.shutdown(tcp::socket::shutdown_send, ec);
  }
  /// Reads until the server closes the connection.
  std::string readAll() {
    std::string text;
    boost::system::error_code ec;
    asio::read(Socket, asio::dynamic_buffer(text), ec);
    return text;
  }
  /// Reads up to and including \p terminator, the last bytes of the response
  /// body.
  std::string readAnswer(std::string_view terminator) {
    std::string text;
    boost::system::error_code ec;
    while (!ec && text.find(terminator) == std::string::npos) {
      char c = 0;
      asio::read(Socket, asio::buffer(&c, 1), ec);
      text += c;
    }
    return text;
  }
  void close() { Socket.close(); }

private:
  asio::io_context Context;
  tcp::socket Socket;
};

std::string request(std::string_view verb, std::string_view target,
                    std::string_view body, std::string_view secret = Secret) {
  return concat(verb, " ", target,
                " HTTP/1.1\r\nHost: t\r\nConnection: close\r\n"
                "Authorization: Bearer ",
                secret, "\r\nContent-Length: ", std::to_string(body.size()),
                "\r\n\r\n", body);
}

struct RawCase {
  std::string Name;
  std::string Bytes;
  /// Expected start of the response, and a text that the response contains.
  std::string_view Status;
  std::string_view BodyPart;
};

class AdminRawTest : public testing::TestWithParam<RawCase> {};

// Guards against an invalid request that crashes the server, gets no clear
// error, reaches the backend or blocks the next request.
TEST_P(AdminRawTest, AnswersWithClearError) {
  FakeAdminBackend backend{std::string(BaseRules)};
  AdminServerThread server(backend);
  RawConnection connection(server.endpoint());
  connection.send(GetParam().Bytes);
  connection.shutdownSend();
  const std::string answer = connection.readAll();
  EXPECT_EQ(answer.substr(0, GetParam().Status.size()), GetParam().Status);
  EXPECT_NE(answer.find(GetParam().BodyPart), std::string::npos) << answer;
  const auto client =
      makeAdminClient({server.endpoint()}, std::string(Secret), ClientTimeout);
  EXPECT_TRUE(client->readStatus().ok());
  server.stop();
  EXPECT_TRUE(backend.Requests.empty());
  EXPECT_EQ(backend.Rules, BaseRules);
}

std::string applyBody(std::string_view fields) {
  return concat("{", fields, "\"rules\":\"\"}");
}

const RawCase RawCases[] = {
    {"NotHttp", "hello\r\n\r\n", "HTTP/1.1 400", "malformed_request"},
    {"BadVersion", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400",
     "malformed_request"},
    {"BadLength", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
     "HTTP/1.1 400", "malformed_request"},
    {"BadChunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
     "HTTP/1.1 400", "malformed_request"},
    {"CutOffHeader", "GET /v1/status HTTP/1.1\r\nHost:", "HTTP/1.1 400",
     "cut_off"},
    {"CutOffBody",
     "POST /v1/rules/apply HTTP/1.1\r\nContent-Length: 10\r\n\r\n{",
     "HTTP/1.1 400", "cut_off"},
    {"LongHeader",
     concat("GET / HTTP/1.1\r\nX: ", std::string(20'000, 'x'), "\r\n\r\n"),
     "HTTP/1.1 431", "too_large"},
    {"LongStatedBody",
     "POST /v1/rules/apply HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n{",
     "HTTP/1.1 413", "too_large"},
    {"LongChunkedBody",
     concat("POST /v1/rules/apply HTTP/1.1\r\nTransfer-Encoding: "
            "chunked\r\n\r\n200000\r\n",
            std::string(0x200000, 'x'), "\r\n0\r\n\r\n"),
     "HTTP/1.1 413", "too_large"},
    {"NoCredential", "GET /v1/status HTTP/1.1\r\nConnection: close\r\n\r\n",
     "HTTP/1.1 401", "unauthenticated"},
    {"WrongCredential", request("GET", "/v1/status", "", "operators-secreT"),
     "HTTP/1.1 401", "unauthenticated"},
    {"PrefixOfCredential", request("GET", "/v1/status", "", "operators"),
     "HTTP/1.1 401", "unauthenticated"},
    {"LongCredential",
     request("GET", "/v1/status", "", std::string(10'000, 'x')), "HTTP/1.1 401",
     "unauthenticated"},
    {"EmptyCredential", request("GET", "/v1/status", "", ""), "HTTP/1.1 401",
     "unauthenticated"},
    {"UnknownTarget", request("GET", "/v1/none", ""), "HTTP/1.1 404",
     "not_found"},
    {"WrongMethod", request("GET", "/v1/rules/apply", ""), "HTTP/1.1 405",
     "method_not_allowed"},
    {"NotJson", request("POST", "/v1/rules/apply", "{x"), "HTTP/1.1 400",
     "not valid JSON"},
    {"NotAnObject", request("POST", "/v1/rules/check", "[]"), "HTTP/1.1 400",
     "not a JSON object"},
    {"TooDeep",
     request("POST", "/v1/rules/check",
             "{\"a\":" + std::string(5000, '[') + std::string(5000, ']') + "}"),
     "HTTP/1.1 400", "not valid JSON"},
    {"NoOperationId", request("POST", "/v1/rules/apply", applyBody("")),
     "HTTP/1.1 400", "'operationId'"},
    {"LongOperationId",
     request(
         "POST", "/v1/rules/apply",
         applyBody(concat("\"operationId\":\"", std::string(65, 'x'), "\","))),
     "HTTP/1.1 400", "'operationId'"},
    {"NegativeRevision",
     request("POST", "/v1/rules/apply",
             applyBody("\"operationId\":\"x\",\"expectedRevision\":-1,")),
     "HTTP/1.1 400", "'expectedRevision'"},
    {"OperatorWithLineFeed",
     request("POST", "/v1/rules/apply",
             applyBody("\"operationId\":\"x\",\"expectedRevision\":1,"
                       "\"operator\":\"a\\nb\",")),
     "HTTP/1.1 400", "'operator'"},
    {"NoRules", request("POST", "/v1/rules/check", "{\"rules\":1}"),
     "HTTP/1.1 400", "'rules'"},
    {"LongRules",
     request("POST", "/v1/rules/check",
             concat("{\"rules\":\"", std::string(800'000, ' '), "\"}")),
     "HTTP/1.1 413", "too_large"},
    {"RulesWithFindings",
     request("POST", "/v1/rules/check",
             "{\"rules\":\"# x\\nout z # asked by Ada\"}"),
     "HTTP/1.1 422",
     "{\"file\":\"rules\",\"line\":2,\"column\":5,\"message\":\"unknown data "
     "centre 'z'\"}"},
    {"CheckOfOtherTeam",
     request("POST", "/v1/rules/check", "{\"rules\":\"\"}", "team-a-secret-01"),
     "HTTP/1.1 403", "not_permitted"},
    {"Check", request("POST", "/v1/rules/check", "{\"rules\":\"\"}"),
     "HTTP/1.1 200", "- datacentre y # asked by Ada"},
    {"Upstreams", request("GET", "/v1/upstreams", ""), "HTTP/1.1 200",
     "{\"upstreams\":[]}"},
};

INSTANTIATE_TEST_SUITE_P(All, AdminRawTest, testing::ValuesIn(RawCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a client that stops sending and keeps its connection open
// forever.
TEST(AdminServerTest, BoundsRequestTime) {
  FakeAdminBackend backend{std::string(BaseRules)};
  AdminServerOptions options;
  options.RequestTimeout = Duration(50);
  // Both connections and their bytes are in the listen queue before the server
  // starts, so that the timeout does not run while the test is still sending.
  AdminServerThread server(backend, options, /*startsAtOnce=*/false);
  RawConnection slow(server.endpoint());
  slow.send("GET /v1/sta");
  RawConnection idle(server.endpoint());
  server.start();
  EXPECT_EQ(slow.readAll().substr(0, 12), "HTTP/1.1 408");
  EXPECT_EQ(idle.readAll(), "");
}

// Guards against more open connections than the limit, and against waiting
// connections that are never served.
TEST(AdminServerTest, BoundsConnections) {
  FakeAdminBackend backend{std::string(BaseRules)};
  AdminServerOptions options;
  options.MaxConnections = 1;
  AdminServerThread server(backend, options);
  const std::string keepAlive =
      concat("GET /v1/upstreams HTTP/1.1\r\nAuthorization: Bearer ", Secret,
             "\r\n\r\n");
  RawConnection first(server.endpoint());
  first.send(keepAlive);
  EXPECT_EQ(first.readAnswer("[]}").substr(0, 12), "HTTP/1.1 200");
  RawConnection second(server.endpoint());
  second.send(request("GET", "/v1/upstreams", ""));
  first.send(keepAlive);
  EXPECT_EQ(first.readAnswer("[]}").substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(server.connections(), 1U);
  first.close();
  EXPECT_EQ(second.readAll().substr(0, 12), "HTTP/1.1 200");
}

// Guards against a server that starts without a usable credential and is then
// open to everyone.
TEST(AdminServerTest, NeedsCredentials) {
  FakeAdminBackend backend{std::string(BaseRules)};
  asio::io_context context;
  const Endpoint any{0x7F000001, 0};
  for (const std::vector<TeamCredential> &it :
       {std::vector<TeamCredential>{},
        {{"operators", ""}},
        {{"operators", std::string(257, 'x')}}}) {
    AdminServerOptions options;
    options.Listen = any;
    options.Credentials = it;
    EXPECT_EQ(startAdminServer(context, options, backend).status().code(),
              absl::StatusCode::kInvalidArgument);
  }
}

class AdminClientTest : public testing::Test {
protected:
  ApplyRequest change(std::string_view id, std::string_view line) const {
    return {std::string(id), Backend.CurrentRevision, "operators", "Ada",
            concat(BaseRules, line, " # asked by Ada\n")};
  }
  static std::unique_ptr<AdminClient>
  client(const std::vector<Endpoint> &servers,
         std::string_view secret = Secret) {
    return makeAdminClient(servers, std::string(secret), ClientTimeout);
  }

  FakeAdminBackend Backend{std::string(BaseRules)};
};

TEST_F(AdminClientTest, ReadsAndApplies) {
  Backend.Status = {
      "leader",
      3,
      9,
      {},
      {},
      {{{1}, {0x7F000001, 5}, true}},
      {{"b1", "x", {0x7F000001, 6}, {7}, 12}},
      {{{4}, "a", "x", "z", "m", {0x7F000001, 7}, "active", 5, 8}}};
  AdminServerThread server(Backend);
  const auto admin = client({server.endpoint()});
  const auto rules = admin->readRules();
  ASSERT_TRUE(rules.ok());
  EXPECT_EQ(rules->Rules, BaseRules);
  const auto outcome = admin->apply(change("op-1", "out y"));
  ASSERT_TRUE(outcome.ok()) << messageOf(outcome.status());
  EXPECT_EQ(outcome->RulesRevision, Revision{8});
  EXPECT_EQ(outcome->Changes, "+ out y # asked by Ada\n");
  EXPECT_FALSE(outcome->Repeated);
  const auto status = admin->readStatus();
  ASSERT_TRUE(status.ok()) << messageOf(status.status());
  ControlStatus expected = Backend.Status;
  expected.Published = expected.RulesRevision = Revision{8};
  EXPECT_EQ(toJson(*status), toJson(expected));
}

struct RefusalCase {
  const char *Name;
  std::string_view Secret;
  std::string_view Line;
  std::uint64_t Revision;
  absl::StatusCode Code;
  std::string_view Message;
};

class AdminRefusalTest : public AdminClientTest,
                         public testing::WithParamInterface<RefusalCase> {};

// Guards against a rejected change that modifies the rules or whose error
// message lacks the reason.
TEST_P(AdminRefusalTest, KeepsRules) {
  AdminServerThread server(Backend);
  const auto admin = client({server.endpoint()}, GetParam().Secret);
  ApplyRequest request = change("op-1", GetParam().Line);
  request.ExpectedRevision = {GetParam().Revision};
  const auto outcome = admin->apply(request);
  EXPECT_EQ(outcome.status().code(), GetParam().Code);
  EXPECT_NE(messageOf(outcome.status()).find(GetParam().Message),
            std::string::npos)
      << messageOf(outcome.status());
  server.stop();
  EXPECT_EQ(Backend.Rules, BaseRules);
}

const RefusalCase RefusalCases[] = {
    {"Conflict", Secret, "out y", 6, absl::StatusCode::kAborted,
     "the revision is 7"},
    {"WrongCredential", "operators-secrex", "out y", 7,
     absl::StatusCode::kUnauthenticated, "credential"},
    // The request body names the team "operators", but the credential belongs
    // to team-a.
    {"OtherTeamsLine", "team-a-secret-01", "limit b inflight 3", 7,
     absl::StatusCode::kPermissionDenied,
     "team 'team-a' may not change: limit b"},
    {"Findings", Secret, "out z", 7, absl::StatusCode::kInvalidArgument,
     "rules:6:5: unknown data centre 'z'\n"},
};

INSTANTIATE_TEST_SUITE_P(All, AdminRefusalTest, testing::ValuesIn(RefusalCases),
                         [](const auto &info) { return info.param.Name; });

// Guards against a request body that sets the team of the request.
TEST_F(AdminClientTest, TeamComesFromCredential) {
  AdminServerThread server(Backend);
  RawConnection connection(server.endpoint());
  connection.send(request(
      "POST", "/v1/rules/apply",
      "{\"operationId\":\"x\",\"expectedRevision\":7,\"team\":\"operators\","
      "\"operator\":\"Ada\",\"rules\":\"\"}",
      "team-a-secret-01"));
  EXPECT_EQ(connection.readAll().substr(0, 12), "HTTP/1.1 403");
  server.stop();
  ASSERT_EQ(Backend.Requests.size(), 1U);
  EXPECT_EQ(Backend.Requests[0].Team, "team-a");
}

// Guards against a change that is made twice because its response was lost, and
// against a backend callback that runs after the server was destroyed.
TEST_F(AdminClientTest, ResendsAfterLostAnswer) {
  Backend.LostAnswers = 1;
  AdminServerOptions options;
  options.BackendTimeout = Duration(50);
  AdminServerThread server(Backend, options);
  const auto admin = client({server.endpoint()});
  const ApplyRequest request = change("op-1", "out y");
  EXPECT_EQ(admin->apply(request).status().code(),
            absl::StatusCode::kDeadlineExceeded);
  const auto outcome = admin->apply(request);
  ASSERT_TRUE(outcome.ok()) << messageOf(outcome.status());
  EXPECT_TRUE(outcome->Repeated);
  EXPECT_EQ(outcome->RulesRevision, Revision{8});
  server.stop();
  EXPECT_EQ(Backend.CurrentRevision, Revision{8});
  ASSERT_EQ(Backend.PendingCallbacks.size(), 1U);
  Backend.PendingCallbacks[0](ApplyOutcome{});
}

/// Completes the first change only when the second one arrives, and never
/// completes the second one.
class DelayedAnswerBackend final : public AdminBackend {
public:
  void readRules(std::function<void(absl::StatusOr<CurrentRules>)>) override {}
  void readStatus(std::function<void(absl::StatusOr<ControlStatus>)>) override {
  }
  void apply(ApplyRequest,
             std::function<void(absl::StatusOr<ApplyOutcome>)> done) override {
    PendingCallbacks.push_back(std::move(done));
    if (PendingCallbacks.size() == 2)
      PendingCallbacks[0](ApplyOutcome{{99}, "", false});
  }

private:
  std::vector<std::function<void(absl::StatusOr<ApplyOutcome>)>>
      PendingCallbacks;
};

// Guards against a late result of the backend that is sent as the response to a
// later request on the same connection.
TEST(AdminServerTest, DropsLateAnswerOfBackend) {
  DelayedAnswerBackend backend;
  AdminServerOptions options;
  options.BackendTimeout = Duration(50);
  AdminServerThread server(backend, options);
  RawConnection connection(server.endpoint());
  constexpr std::string_view Body =
      R"({"operationId":"x","expectedRevision":7,"operator":"A","rules":""})";
  for (int i = 0; i < 2; ++i) {
    connection.send(concat("POST /v1/rules/apply HTTP/1.1\r\n"
                           "Authorization: Bearer ",
                           Secret, "\r\nContent-Length: ",
                           std::to_string(Body.size()), "\r\n\r\n", Body));
    EXPECT_EQ(connection.readAnswer("}}").substr(0, 12), "HTTP/1.1 504");
  }
}

// Guards against a client that stops at a control instance without a leader, or
// at one that is not running.
TEST_F(AdminClientTest, TriesNextServer) {
  FakeAdminBackend leaderless{std::string(BaseRules)};
  leaderless.UnavailableReplies = 1;
  Endpoint unreachable;
  {
    AdminServerThread stopped(Backend);
    unreachable = stopped.endpoint();
  }
  AdminServerThread one(leaderless);
  AdminServerThread two(Backend);
  const auto admin = client({unreachable, one.endpoint(), two.endpoint()});
  EXPECT_TRUE(admin->apply(change("op-1", "out y")).ok());
  EXPECT_EQ(client({unreachable})->readRules().status().code(),
            absl::StatusCode::kUnavailable);
}

/// Accepts one connection, reads the first 16 bytes of the request, sends fixed
/// bytes and closes the connection.
class FixedAnswerServer {
public:
  explicit FixedAnswerServer(std::string answer)
      : Acceptor(Context, {asio::ip::address_v4::loopback(), 0}),
        Thread([this, answer = std::move(answer)] {
          tcp::socket socket = Acceptor.accept();
          char buf[16];
          boost::system::error_code ec;
          asio::read(socket, asio::buffer(buf), ec);
          asio::write(socket, asio::buffer(answer), ec);
          socket.close();
        }) {}
  ~FixedAnswerServer() { Thread.join(); }
  FixedAnswerServer(const FixedAnswerServer &) = delete;
  FixedAnswerServer &operator=(const FixedAnswerServer &) = delete;

  Endpoint endpoint() const {
    return {0x7F000001, Acceptor.local_endpoint().port()};
  }

private:
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

class AdminBrokenAnswerTest : public AdminClientTest,
                              public testing::WithParamInterface<const char *> {
};

// Guards against a client that reports a change as not made although the server
// may have made it.
TEST_P(AdminBrokenAnswerTest, OutcomeIsUnknown) {
  {
    FixedAnswerServer server(GetParam());
    EXPECT_EQ(client({server.endpoint()})
                  ->apply(change("op-1", "out y"))
                  .status()
                  .code(),
              absl::StatusCode::kDeadlineExceeded);
  }
  FixedAnswerServer server(GetParam());
  EXPECT_EQ(client({server.endpoint()})->readRules().status().code(),
            absl::StatusCode::kUnavailable);
}

INSTANTIATE_TEST_SUITE_P(
    All, AdminBrokenAnswerTest,
    testing::Values("", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{",
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
                    "nonsense\r\n\r\n",
                    "HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}"));

} // namespace
} // namespace pistachio
