#include "Runtime/Runtime.h"

#include "RunUntil.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <fstream>
#include <unistd.h>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;

struct HttpCase {
  const char *Name;
  /// The failure that this case guards against.
  const char *GuardsAgainst;
  std::string Request;
  /// Expected start of the response.
  std::string Expected;
};

/// Sends \p request to the server and returns all bytes that the server sends
/// until it closes the connection.
std::string exchangeBytes(boost::asio::io_context &context,
                          const Endpoint &server, const std::string &request) {
  tcp::socket socket(context);
  socket.connect(
      {boost::asio::ip::make_address_v4(server.Address), server.Port});
  boost::asio::write(socket, boost::asio::buffer(request));
  socket.shutdown(tcp::socket::shutdown_send);
  std::string response;
  bool closed = false;
  boost::asio::async_read(
      socket, boost::asio::dynamic_buffer(response),
      [&](boost::system::error_code, std::size_t) { closed = true; });
  EXPECT_TRUE(runUntil(context, [&] { return closed; }));
  return response;
}

class HttpServerTest : public testing::TestWithParam<HttpCase> {};

TEST_P(HttpServerTest, Answers) {
  const HttpCase &it = GetParam();
  boost::asio::io_context context(1);
  auto server =
      listenHttp(context, {0x7F000001, 0},
                 [](const HttpServerRequest &request,
                    const std::function<void(HttpServerResponse)> &reply) {
                   reply({202, request.Method + " " + request.Target + " " +
                                   request.Body});
                 });
  ASSERT_TRUE(server.ok()) << server.status();
  const std::string response =
      exchangeBytes(context, (*server)->endpoint(), it.Request);
  EXPECT_EQ(response.substr(0, it.Expected.size()), it.Expected)
      << it.GuardsAgainst;
  if (it.Expected.find("202") != std::string::npos) {
    EXPECT_TRUE(response.ends_with("PUT /a body")) << response;
  }
  (*server)->stop();
}

INSTANTIATE_TEST_SUITE_P(
    Table, HttpServerTest,
    testing::Values(
        HttpCase{"Call", "a handler that does not receive the body",
                 "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
                 "HTTP/1.1 202"},
        HttpCase{"Malformed", "a malformed request that gets no reply",
                 "PUT /a HTTP/9.9\r\n\r\n", "HTTP/1.1 400"},
        HttpCase{"TooLarge", "a body that exhausts the memory",
                 "PUT /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                 "HTTP/1.1 413"},
        HttpCase{"CutOff", "a truncated request that is carried out in part",
                 "PUT /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nbod", ""}),
    [](const auto &it) { return std::string(it.param.Name); });

struct MetricsCase {
  const char *Name;
  const char *Request;
  const char *Status;
  bool HasText;
};

class MetricsServerTest : public testing::TestWithParam<MetricsCase> {};

// Guards against a metrics endpoint that does not serve the metrics, or serves
// them for other paths or methods.
TEST_P(MetricsServerTest, Answers) {
  const MetricsCase &it = GetParam();
  boost::asio::io_context context(1);
  const auto server = serveMetrics(context, {0x7F000001, 0},
                                   [] { return std::string("flows 7\n"); });
  ASSERT_TRUE(server.ok()) << server.status();
  const std::string response =
      exchangeBytes(context, (*server)->endpoint(), it.Request);
  EXPECT_TRUE(response.starts_with(it.Status)) << response;
  EXPECT_EQ(response.ends_with("\r\n\r\nflows 7\n"), it.HasText) << response;
  EXPECT_EQ(response.find("text/plain; version=0.0.4") != std::string::npos,
            it.HasText);
  (*server)->stop();
}

INSTANTIATE_TEST_SUITE_P(
    Table, MetricsServerTest,
    testing::Values(MetricsCase{"Read", "GET /metrics HTTP/1.1\r\n\r\n",
                                "HTTP/1.1 200", true},
                    MetricsCase{"OtherPath", "GET /secrets HTTP/1.1\r\n\r\n",
                                "HTTP/1.1 404", false},
                    MetricsCase{"OtherMethod", "POST /metrics HTTP/1.1\r\n\r\n",
                                "HTTP/1.1 405", false}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a changed settings file that is not detected if no SIGHUP is
// sent.
TEST(FileWatchTest, DetectsReplacedFile) {
  const std::string path =
      testing::TempDir() + "/watch-" + std::to_string(::getpid());
  std::ofstream(path) << "one";
  boost::asio::io_context context(1);
  int changes = 0;
  const auto watch = watchFile(context, path, [&] { ++changes; });
  std::ofstream(path + ".new") << "other";
  ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  EXPECT_TRUE(runUntil(context, [&] { return changes > 0; }));
  EXPECT_EQ(changes, 1);
  watch->stop();
  ::unlink(path.c_str());
}

} // namespace
} // namespace pistachio
