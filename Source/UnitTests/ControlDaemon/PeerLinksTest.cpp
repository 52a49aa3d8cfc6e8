#include "ControlDaemon/PeerLinks.h"

#include "../Runtime/RunUntil.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <array>

namespace pistachio {
namespace {

AppendRequest appendOf(std::size_t payloadBytes) {
  AppendRequest request;
  request.Term = 1;
  if (payloadBytes > 0)
    request.Entries = {{1, 1, {}, Bytes(payloadBytes)}};
  return request;
}

// Load pattern: a storm of large configurations, replicated to an instance
// behind a link of 2 Mbit/s. Guards against a leader that queues every copy it
// sends again: the queue grew to 8 MB for each such member, and the heartbeats
// behind it came half a minute late.
TEST(PeerLinksTest, CongestedLinkCarriesHeartbeatsOnly) {
  boost::asio::io_context context;
  // A member whose link is so slow that it reads nothing.
  boost::asio::ip::tcp::acceptor member(
      context, {boost::asio::ip::address_v4::loopback(), 0}, true);
  member.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  const Endpoint address{0x7F000001, member.local_endpoint().port()};
  boost::asio::ip::tcp::socket accepted(context);
  bool isAccepted = false;
  member.async_accept(
      accepted, [&](const boost::system::error_code &) { isAccepted = true; });
  PeerLinks links(context, {});
  links.send(address, appendOf(0));
  ASSERT_TRUE(runUntil(context, [&] { return isAccepted; }));
  constexpr std::size_t EntryBytes = 100 * 1024;
  // More than the buffers of the system take.
  for (int i = 0; i < 300; ++i) {
    links.send(address, appendOf(EntryBytes));
    context.run_for(std::chrono::milliseconds(1));
  }
  EXPECT_GT(links.skippedMessages(), 100U);
  const std::size_t queued = links.queuedBytes(address);
  EXPECT_GT(queued, 0U);
  EXPECT_LT(queued, 3 * EntryBytes);
  links.send(address, appendOf(0));
  EXPECT_GT(links.queuedBytes(address), queued);
}

/// Forwards connections to a server. Those that are open can be made silent
/// without a reset, while new ones work.
class SilencingProxy {
public:
  SilencingProxy(boost::asio::io_context &context, const Endpoint &server)
      : Context(context), Server(server),
        Acceptor(context, {boost::asio::ip::address_v4::loopback(), 0}, true) {
    accept();
  }

  Endpoint endpoint() const {
    return {0x7F000001, Acceptor.local_endpoint().port()};
  }

  /// Swallows what arrives on the open connections from now on: what clients
  /// send, and what the server sends if \p bothWays is set.
  void silence(bool bothWays) {
    for (const auto &it : Connections) {
      it->DropsRequests = true;
      it->DropsReplies = bothWays;
    }
  }

  std::size_t accepted() const { return Connections.size(); }

private:
  using Socket = boost::asio::ip::tcp::socket;
  struct Connection {
    explicit Connection(boost::asio::io_context &context)
        : Client(context), Upstream(context) {}
    Socket Client;
    Socket Upstream;
    std::array<char, 4096> FromClient{};
    std::array<char, 4096> FromUpstream{};
    bool DropsRequests = false;
    bool DropsReplies = false;
  };

  void accept() {
    auto connection = std::make_shared<Connection>(Context);
    Acceptor.async_accept(
        connection->Client,
        [this, connection](const boost::system::error_code &ec) {
          if (ec)
            return;
          connection->Upstream.connect(
              {boost::asio::ip::make_address_v4(Server.Address), Server.Port});
          Connections.push_back(connection);
          pump(connection, connection->Client, connection->Upstream,
               connection->FromClient, connection->DropsRequests);
          pump(connection, connection->Upstream, connection->Client,
               connection->FromUpstream, connection->DropsReplies);
          accept();
        });
  }

  static void pump(const std::shared_ptr<Connection> &connection, Socket &from,
                   Socket &to, std::array<char, 4096> &buf, const bool &drops) {
    from.async_read_some(
        boost::asio::buffer(buf),
        [connection, &from, &to, &buf,
         &drops](const boost::system::error_code &ec, std::size_t n) {
          boost::system::error_code ignored;
          if (ec) {
            to.close(ignored);
            return;
          }
          if (!drops)
            boost::asio::write(to, boost::asio::buffer(buf.data(), n), ignored);
          pump(connection, from, to, buf, drops);
        });
  }

  boost::asio::io_context &Context;
  Endpoint Server;
  boost::asio::ip::tcp::acceptor Acceptor;
  std::vector<std::shared_ptr<Connection>> Connections;
};

struct SilenceRow {
  const char *Name;
  bool BothWays;
};

class SilentLinkTest : public testing::TestWithParam<SilenceRow> {};

// Guards against a group without a leader for good: connections between its
// members had gone silent without a reset, nothing replaced them, and vote
// requests or log entries never arrived.
TEST_P(SilentLinkTest, IsReplaced) {
  constexpr Duration Tick{20};
  boost::asio::io_context context(1);
  std::uint64_t received = 0;
  PeerLinks::Handlers handlers;
  handlers.OnConsensus = [&](const ConsensusMessage &) { ++received; };
  handlers.OnCall = [](const PeerMessage &message,
                       const PeerLinks::SendReply &reply) {
    if (const auto *query = std::get_if<LeaderQuery>(&message))
      reply(LeaderReply{query->Call});
  };
  const Endpoint member{0x7F000001, 0};
  PeerLinks server(context, handlers);
  boost::asio::ip::tcp::acceptor reserved(
      context, {boost::asio::ip::address_v4::loopback(), 0}, true);
  const Endpoint address{member.Address, reserved.local_endpoint().port()};
  reserved.close();
  ASSERT_TRUE(server.listen(address).ok());
  SilencingProxy proxy(context, address);
  PeerLinks links(context, handlers);
  TimePoint now{Duration(1000)};
  /// Sends messages until one arrives, for at most \p time of the links.
  const auto arrives = [&](Duration time) {
    const std::uint64_t before = received;
    for (const TimePoint end = now + time; now < end; now += Tick) {
      links.send(proxy.endpoint(), appendOf(0));
      links.tick(now);
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
      if (received > before)
        return true;
    }
    return false;
  };
  ASSERT_TRUE(arrives(Duration(60000)));
  proxy.silence(GetParam().BothWays);
  EXPECT_TRUE(arrives(Duration(60000)));
  // A link that works is not replaced.
  const std::size_t accepted = proxy.accepted();
  for (int i = 0; i < 500; ++i) {
    links.tick(now += Tick);
    context.restart();
    context.run_for(std::chrono::milliseconds(2));
  }
  EXPECT_EQ(proxy.accepted(), accepted);
}

INSTANTIATE_TEST_SUITE_P(Rows, SilentLinkTest,
                         testing::Values(SilenceRow{"BothWays", true},
                                         SilenceRow{"Requests", false}),
                         [](const auto &it) { return it.param.Name; });

} // namespace
} // namespace pistachio
