#include "Runtime/Runtime.h"

#include "RunUntil.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace pistachio {
namespace {

const Endpoint Loopback{0x7F000001, 0};

/// A frame whose length depends on the number of names in it.
Bytes makeFrame(std::size_t nameCount) {
  TableUpdate update;
  for (std::size_t i = 0; i < nameCount; ++i)
    update.RemovedBalancers.push_back("balancer-" + std::to_string(i));
  Bytes frame;
  EXPECT_TRUE(encodeNode(update, frame).ok());
  return frame;
}

/// Sends every frame back and counts opened and closed connections.
struct EchoServer {
  explicit EchoServer(boost::asio::io_context &context) {
    auto server =
        listenTcp(context, Loopback,
                  {[this](ConnectionId) { ++Opened; },
                   [this](ConnectionId id, std::span<const std::byte> frame) {
                     Tcp->send(id, frame);
                   },
                   [this](ConnectionId) { ++Closed; }});
    EXPECT_TRUE(server.ok()) << server.status();
    Tcp = *std::move(server);
  }
  std::unique_ptr<TcpServer> Tcp;
  int Opened = 0;
  int Closed = 0;
};

/// A listener that does not respond to further connections, because its accept
/// queue is full.
struct UnresponsiveServer {
  explicit UnresponsiveServer(boost::asio::io_context &context)
      : Full(context, {boost::asio::ip::address_v4::loopback(), 0}, true) {
    Full.listen(0);
    constexpr int ConnectionsBeyondQueue = 4;
    for (int i = 0; i < ConnectionsBeyondQueue; ++i) {
      Waiting.emplace_back(context);
      Waiting.back().async_connect(Full.local_endpoint(),
                                   [](const boost::system::error_code &) {});
    }
    context.run_for(std::chrono::milliseconds(50));
  }
  Endpoint endpoint() const {
    return {Loopback.Address, Full.local_endpoint().port()};
  }
  boost::asio::ip::tcp::acceptor Full;
  std::vector<boost::asio::ip::tcp::socket> Waiting;
};

// Guards against frames that are merged, split or reordered.
TEST(TcpTest, PreservesFrameBoundariesAndOrder) {
  boost::asio::io_context context;
  EchoServer server(context);
  std::vector<Bytes> received;
  bool open = false;
  const auto client =
      connectTcp(context, {server.Tcp->endpoint()},
                 {[&](ConnectionId) { open = true; },
                  [&](ConnectionId, std::span<const std::byte> frame) {
                    received.emplace_back(frame.begin(), frame.end());
                  },
                  [](ConnectionId) {}});
  ASSERT_TRUE(runUntil(context, [&] { return open; }));
  std::vector<Bytes> sent;
  for (std::size_t n : {0, 1, 4000, 2, 1000}) {
    sent.push_back(makeFrame(n));
    client->send(sent.back());
  }
  ASSERT_TRUE(
      runUntil(context, [&] { return received.size() == sent.size(); }));
  EXPECT_EQ(received, sent);
}

// Guards against a client that keeps reconnecting to a server that has stopped.
TEST(TcpTest, ClientFailsOverToNextServer) {
  boost::asio::io_context context;
  auto first = std::make_unique<EchoServer>(context);
  EchoServer second(context);
  int opened = 0;
  const auto client = connectTcp(
      context, {first->Tcp->endpoint(), second.Tcp->endpoint()},
      {[&](ConnectionId) { ++opened; },
       [](ConnectionId, std::span<const std::byte>) {}, [](ConnectionId) {}});
  ASSERT_TRUE(runUntil(context, [&] { return first->Opened == 1; }));
  first->Tcp->stop();
  EXPECT_TRUE(
      runUntil(context, [&] { return second.Opened == 1 && opened == 2; }));
}

// Guards against a client that ignores the servers advertised to it, or does
// not return to the configured servers when none of the advertised ones
// responds.
TEST(TcpTest, AdvertisedServersArePreferredToConfiguredOnes) {
  boost::asio::io_context context;
  EchoServer configured(context);
  EchoServer advertised(context);
  int opened = 0;
  const auto client = connectTcp(
      context, {configured.Tcp->endpoint()},
      {[&](ConnectionId) { ++opened; },
       [](ConnectionId, std::span<const std::byte>) {}, [](ConnectionId) {}});
  ASSERT_TRUE(
      runUntil(context, [&] { return configured.Opened == 1 && opened == 1; }));
  client->setAdvertisedServers({advertised.Tcp->endpoint()});
  client->reconnect();
  ASSERT_TRUE(runUntil(context, [&] { return advertised.Opened == 1; }));
  advertised.Tcp->stop();
  EXPECT_TRUE(runUntil(context, [&] { return configured.Opened == 2; }));
}

// Guards against an exception that ends the process: a control instance stopped
// a link to a removed member just after the connection attempt had timed out
// and its socket was closed, and to cancel that socket threw an error.
TEST(TcpTest, StopAtAnyStepOfAConnectionAttempt) {
  boost::asio::io_context context;
  UnresponsiveServer server(context);
  constexpr int Steps = 6;
  for (int steps = 0; steps < Steps; ++steps) {
    auto client = connectTcp(context, {server.endpoint()},
                             {[](ConnectionId) {},
                              [](ConnectionId, std::span<const std::byte>) {},
                              [](ConnectionId) {}});
    for (int i = 0; i < steps; ++i) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(500));
    }
    EXPECT_NO_THROW(client->stop()) << steps << " steps";
    client.reset();
    context.restart();
    context.poll();
  }
}

// Load pattern: hundreds of nodes start with the same three seeds. Guards
// against nodes that stay at a seed, which may be a small instance, after it
// has named the servers that should serve them.
TEST(TcpTest, ConnectionMovesToAnAdvertisedServer) {
  boost::asio::io_context context;
  EchoServer seed(context);
  EchoServer advertised(context);
  int opened = 0;
  const auto client = connectTcp(
      context, {seed.Tcp->endpoint()},
      {[&](ConnectionId) { ++opened; },
       [](ConnectionId, std::span<const std::byte>) {}, [](ConnectionId) {}});
  ASSERT_TRUE(
      runUntil(context, [&] { return seed.Opened == 1 && opened == 1; }));
  client->setAdvertisedServers({advertised.Tcp->endpoint()});
  EXPECT_TRUE(runUntil(
      context, [&] { return advertised.Opened == 1 && seed.Closed == 1; }));
  // A server that advertises itself keeps its connection.
  client->setAdvertisedServers(
      {seed.Tcp->endpoint(), advertised.Tcp->endpoint()});
  context.run_for(std::chrono::milliseconds(100));
  EXPECT_EQ(seed.Opened, 1);
}

// Guards against a node that leaves a working server again and again because
// the advertised ones cannot be reached.
TEST(TcpTest, ConnectionMovesOnceIfTheAdvertisedServersAreGone) {
  boost::asio::io_context context;
  EchoServer seed(context);
  EchoServer gone(context);
  const Endpoint goneEndpoint = gone.Tcp->endpoint();
  gone.Tcp->stop();
  int opened = 0;
  const auto client = connectTcp(
      context, {seed.Tcp->endpoint()},
      {[&](ConnectionId) { ++opened; },
       [](ConnectionId, std::span<const std::byte>) {}, [](ConnectionId) {}});
  ASSERT_TRUE(runUntil(context, [&] { return opened == 1; }));
  client->setAdvertisedServers({goneEndpoint});
  ASSERT_TRUE(runUntil(context, [&] { return opened == 2; }));
  client->setAdvertisedServers({goneEndpoint});
  context.run_for(std::chrono::milliseconds(2500));
  EXPECT_EQ(opened, 2);
}

// Guards against a client that waits for a server that does not respond at all,
// for example because it is powered off, instead of trying the next one.
TEST(TcpTest, UnresponsiveServerIsAbandoned) {
  boost::asio::io_context context;
  UnresponsiveServer server(context);
  EchoServer working(context);
  const auto client = connectTcp(
      context, {server.endpoint(), working.Tcp->endpoint()},
      {[](ConnectionId) {}, [](ConnectionId, std::span<const std::byte>) {},
       [](ConnectionId) {}});
  EXPECT_TRUE(runUntil(context, [&] { return working.Opened == 1; }));
}

// Guards against a client that opens several connections when the attempts at
// a slow server succeed at the same time.
TEST(TcpTest, OneOfSeveralAttemptsIsUsed) {
  boost::asio::io_context context;
  UnresponsiveServer server(context);
  int opened = 0;
  int closed = 0;
  std::vector<FailedConnect> failed;
  TcpHandlers handlers;
  handlers.OnOpen = [&](ConnectionId) { ++opened; };
  handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
  handlers.OnClose = [&](ConnectionId) { ++closed; };
  handlers.OnConnectFailed = [&](const FailedConnect &it) {
    failed.push_back(it);
  };
  const auto client =
      connectTcp(context, {server.endpoint()}, std::move(handlers));
  ASSERT_TRUE(runUntil(context, [&] { return !failed.empty(); }));
  EXPECT_EQ(failed.front().Server, server.endpoint());
  EXPECT_EQ(failed.front().Reason, "no reply");
  EXPECT_EQ(opened, 0);
  std::vector<boost::asio::ip::tcp::socket> accepted;
  std::function<void()> acceptNext = [&] {
    server.Full.async_accept(
        [&](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
          if (ec)
            return;
          accepted.push_back(std::move(socket));
          acceptNext();
        });
  };
  acceptNext();
  ASSERT_TRUE(runUntil(context, [&] { return opened > 0; }));
  // The attempts that went on beside it would succeed with the next
  // retransmission of the system.
  context.run_for(std::chrono::milliseconds(1500));
  EXPECT_EQ(opened, 1);
  EXPECT_EQ(closed, 0);
  client->stop();
  server.Full.close();
  context.run_for(std::chrono::milliseconds(20));
}

class InvalidHeaderTest : public testing::TestWithParam<int> {};

Bytes frameWithInvalidHeader(int row) {
  Bytes frame = makeFrame(3);
  switch (row) {
  case 0: // wrong magic number
    frame[0] = std::byte{0};
    break;
  case 1: // unsupported version
    frame[2] = std::byte{99};
    break;
  default: // body length far above the limit
    frame[7] = std::byte{0xFF};
  }
  return frame;
}

// Guards against a server that trusts an invalid header: an excessive length
// would make it allocate memory or wait for data indefinitely.
TEST_P(InvalidHeaderTest, IsDisconnected) {
  boost::asio::io_context context;
  EchoServer server(context);
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(
      {boost::asio::ip::address_v4::loopback(), server.Tcp->endpoint().Port});
  boost::asio::write(socket,
                     boost::asio::buffer(frameWithInvalidHeader(GetParam())));
  EXPECT_TRUE(runUntil(context, [&] { return server.Closed == 1; }));
}

INSTANTIATE_TEST_SUITE_P(Rows, InvalidHeaderTest, testing::Range(0, 3));

} // namespace
} // namespace pistachio
