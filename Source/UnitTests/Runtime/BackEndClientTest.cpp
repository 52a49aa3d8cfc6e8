#include "Runtime/Runtime.h"

#include "RunUntil.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;

/// Accepts one connection and sends fixed bytes as soon as the header of a
/// request has arrived.
class FixedResponseServer {
public:
  FixedResponseServer(boost::asio::io_context &context, std::string response)
      : Acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}),
        Socket(context), Response(std::move(response)) {
    Acceptor.async_accept(Socket, [this](boost::system::error_code ec) {
      if (ec)
        return;
      boost::asio::async_read_until(
          Socket, boost::asio::dynamic_buffer(Request), "\r\n\r\n",
          [this](boost::system::error_code error, std::size_t) {
            if (error)
              return;
            boost::asio::write(Socket, boost::asio::buffer(Response), error);
            Socket.close();
          });
    });
  }
  Endpoint endpoint() const {
    return {0x7F000001, Acceptor.local_endpoint().port()};
  }

  std::string Request;

private:
  tcp::acceptor Acceptor;
  tcp::socket Socket;
  std::string Response;
};

struct BackEndCase {
  const char *Response;
  absl::StatusCode Code;
  int Status;
  int RetryAfterMs;
};

class BackEndClientTest : public testing::TestWithParam<BackEndCase> {};

// Guards against a request that the back end may have received being reported
// as not sent, after which the caller would run it a second time.
TEST_P(BackEndClientTest, DistinguishesResponsesFromUnknownOutcomes) {
  boost::asio::io_context context;
  FixedResponseServer server(context, GetParam().Response);
  const auto client = makeBackEndClient(context, server.endpoint());
  std::optional<absl::StatusOr<BackEndResponse>> result;
  client->call({"POST", "/jobs/1", Bytes(10), "key-1", Duration(20000)},
               [&](absl::StatusOr<BackEndResponse> response) {
                 result = std::move(response);
               });
  ASSERT_TRUE(runUntil(context, [&] { return result.has_value(); }));
  EXPECT_EQ(result->status().code(), GetParam().Code) << result->status();
  if (result->ok()) {
    EXPECT_EQ((*result)->Status, GetParam().Status);
    EXPECT_EQ((*result)->RetryAfter, Duration(GetParam().RetryAfterMs));
  }
  EXPECT_NE(server.Request.find("Idempotency-Key: key-1\r\n"),
            std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Table, BackEndClientTest,
    testing::Values(
        BackEndCase{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    absl::StatusCode::kOk, 200, 0},
        BackEndCase{
            "HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
            absl::StatusCode::kOk, 503, 2000},
        BackEndCase{"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\ncut",
                    absl::StatusCode::kUnknown, 0, 0},
        BackEndCase{"garbage\r\n\r\n", absl::StatusCode::kUnknown, 0, 0},
        BackEndCase{"", absl::StatusCode::kUnknown, 0, 0}));

// Guards against a refused connection being reported as an unknown outcome,
// although no request can have been received.
TEST(BackEndClientTest, RefusedConnectionIsReportedAsNotSent) {
  boost::asio::io_context context;
  tcp::acceptor unused(context, {boost::asio::ip::address_v4::loopback(), 0});
  const Endpoint closed{0x7F000001, unused.local_endpoint().port()};
  unused.close();
  const auto client = makeBackEndClient(context, closed);
  std::optional<absl::StatusOr<BackEndResponse>> result;
  client->call({"GET", "/", {}, "", Duration(20000)},
               [&](absl::StatusOr<BackEndResponse> response) {
                 result = std::move(response);
               });
  ASSERT_TRUE(runUntil(context, [&] { return result.has_value(); }));
  EXPECT_EQ(result->status().code(), absl::StatusCode::kUnavailable);
}

} // namespace
} // namespace pistachio
