#include "ControlLink.h"

#include "Runtime/RunUntil.h"

#include <gtest/gtest.h>

namespace pistachio {
namespace {

/// A control instance that answers every lease request with the same validity
/// and advertises the instances of Advertised on each new connection.
class FakeControl {
public:
  FakeControl(boost::asio::io_context &context, std::uint32_t validMs) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId from) {
      ++Connections;
      Bytes buf;
      if (!Advertised.empty() &&
          encodeNode(ControlInstances{Advertised}, buf).ok())
        Server->send(from, buf);
    };
    handlers.OnClose = [](ConnectionId) {};
    handlers.OnFrame = [this, validMs](ConnectionId from,
                                       std::span<const std::byte> frame) {
      const auto message = decodeNode(frame);
      if (!message.ok() || !std::holds_alternative<LeaseRequest>(*message))
        return;
      ++Requests;
      Bytes buf;
      if (encodeNode(LeaseGrant{validMs, {}}, buf).ok())
        Server->send(from, buf);
    };
    auto server = listenTcp(context, {0x7F000001, 0}, std::move(handlers));
    if (!server.ok())
      throw std::runtime_error(server.status().ToString());
    Server = *std::move(server);
  }

  std::unique_ptr<TcpServer> Server;
  std::vector<Endpoint> Advertised;
  int Connections = 0;
  int Requests = 0;
};

// Guards against a balancer that stays connected to a control instance which is
// cut off from its group. Such a balancer may route packets with a table that
// is 6 s older than a change whose success was already reported to the
// operator.
TEST(ControlLinkTest, ReconnectsWhenNoLeaseIsGranted) {
  /// Changes have to be in force within 3 s. The lease takes 0.8 s of them and
  /// connecting to an instance that does not respond takes another 0.5 s.
  constexpr Duration MaxReconnectDelay{1500};
  boost::asio::io_context context(1);
  FakeControl cutOff(context, 0);
  FakeControl working(context, 800);
  ControlLink link(context,
                   {"balancer-1",
                    "dc-a",
                    {0x7F000001, 1},
                    {cutOff.Server->endpoint(), working.Server->endpoint()}},
                   {[] {}, [](const LeaseGrant &, TimePoint) {}});
  ASSERT_TRUE(runUntil(context, [&] { return cutOff.Requests > 0; }));
  const TimePoint start = steadyNow();
  link.renewLease(start + Duration(250));
  EXPECT_EQ(working.Requests, 0);
  link.renewLease(start + MaxReconnectDelay);
  EXPECT_TRUE(runUntil(context, [&] { return working.Requests > 0; }));
  // The balancer stays with the instance that grants leases.
  const int before = working.Requests;
  link.renewLease(steadyNow());
  EXPECT_TRUE(runUntil(context, [&] { return working.Requests > before; }));
  link.stop();
}

// Guards against the CONFIG incident of 5 December 2026: each instance
// advertised the same instances in a new random order, so a balancer could
// return several times to one that is cut off and keep an old table for longer
// than changes may take to be in force.
TEST(ControlLinkTest, ReturnsToAnInstanceOnlyAfterAllOthers) {
  constexpr std::size_t CutOffInstances = 3;
  // A random order passes one round with a probability of 0.4.
  constexpr int Rounds = 12;
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<FakeControl>> all;
  std::vector<Endpoint> addresses;
  for (std::size_t i = 0; i <= CutOffInstances; ++i) {
    all.push_back(
        std::make_unique<FakeControl>(context, i < CutOffInstances ? 0 : 800));
    addresses.push_back(all.back()->Server->endpoint());
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    // Instances that are cut off differ in what they know of the group.
    all[i]->Advertised = addresses;
    if (i + 1 < CutOffInstances)
      all[i]->Advertised.erase(all[i]->Advertised.begin() +
                               static_cast<std::ptrdiff_t>(i) + 1);
  }
  for (int round = 0; round < Rounds; ++round) {
    for (const auto &it : all)
      it->Connections = it->Requests = 0;
    // An answer arrives after the list that the instance advertises.
    int answers = 0;
    ControlLink link(
        context, {"balancer-1", "dc-a", {0x7F000001, 1}, {addresses[0]}},
        {[] {}, [&](const LeaseGrant &, TimePoint) { ++answers; }});
    for (int n = 1; all.back()->Requests == 0; ++n) {
      ASSERT_TRUE(runUntil(context, [&] { return answers == n; }));
      link.renewLease(steadyNow() + Duration(1500));
    }
    for (std::size_t i = 0; i < CutOffInstances; ++i)
      EXPECT_LE(all[i]->Connections, 1) << "instance " << i;
    link.stop();
    context.run_for(std::chrono::milliseconds(20));
  }
}

// Guards against a search that never ends: a query for the latest revision that
// stays without a reply has to be repeated, and a reply that arrives after the
// next query must not be taken for the reply to that one.
TEST(ControlLinkTest, RepeatsAQueryForTheLatestRevision) {
  constexpr Duration RepeatDelay{250};
  boost::asio::io_context context(1);
  std::vector<std::uint32_t> queries;
  ConnectionId client;
  TcpHandlers handlers;
  handlers.OnOpen = [&](ConnectionId from) { client = from; };
  handlers.OnClose = [](ConnectionId) {};
  handlers.OnFrame = [&](ConnectionId, std::span<const std::byte> frame) {
    const auto message = decodeNode(frame);
    if (!message.ok())
      return;
    if (const auto *query = std::get_if<TableQuery>(&*message))
      queries.push_back(query->Query);
  };
  const auto server = listenTcp(context, {0x7F000001, 0}, std::move(handlers));
  ASSERT_TRUE(server.ok());
  std::vector<TimePoint> confirmed;
  ControlLink link(
      context, {"balancer-1", "dc-a", {0x7F000001, 1}, {(*server)->endpoint()}},
      {[] {}, [](const LeaseGrant &, TimePoint) {},
       [&](TimePoint askedAt, Revision committed) {
         EXPECT_EQ(committed, Revision{9});
         confirmed.push_back(askedAt);
       }});
  const TimePoint first = steadyNow();
  // A query is dropped while there is no connection.
  ASSERT_TRUE(runUntil(context, [&] {
    link.queryTable(first);
    return !queries.empty();
  }));
  link.queryTable(first + RepeatDelay / 2);
  const TimePoint second = first + RepeatDelay;
  link.queryTable(second);
  ASSERT_TRUE(runUntil(context, [&] { return queries.size() == 2; }));
  for (const std::uint32_t it : queries) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(TableConfirmation{it, Revision{9}}, buf).ok());
    (*server)->send(client, buf);
  }
  ASSERT_TRUE(runUntil(context, [&] { return !confirmed.empty(); }));
  EXPECT_EQ(confirmed, std::vector<TimePoint>{second});
  link.stop();
}

/// A control instance without a table that advertises another instance and
/// closes the connection.
class FakeRedirect {
public:
  FakeRedirect(boost::asio::io_context &context, const Endpoint &advertised) {
    TcpHandlers handlers;
    handlers.OnOpen = [this, advertised](ConnectionId from) {
      Bytes buf;
      if (encodeNode(ControlInstances{{advertised}}, buf).ok())
        Server->send(from, buf);
    };
    handlers.OnClose = [](ConnectionId) {};
    handlers.OnFrame = [this](ConnectionId from, std::span<const std::byte>) {
      Server->close(from);
    };
    auto server = listenTcp(context, {0x7F000001, 0}, std::move(handlers));
    if (!server.ok())
      throw std::runtime_error(server.status().ToString());
    Server = *std::move(server);
  }

  std::unique_ptr<TcpServer> Server;
};

// Guards against a balancer that uses only its configured control instances.
// All of them may have lost their data in a loss of power, and the balancer
// would have no table until they have joined the group again.
TEST(ControlLinkTest, ConnectsToAdvertisedControlInstances) {
  boost::asio::io_context context(1);
  FakeControl working(context, 800);
  FakeRedirect seed(context, working.Server->endpoint());
  ControlLink link(
      context,
      {"balancer-1", "dc-a", {0x7F000001, 1}, {seed.Server->endpoint()}},
      {[] {}, [](const LeaseGrant &, TimePoint) {}});
  EXPECT_TRUE(runUntil(context, [&] { return working.Requests > 0; }));
  link.stop();
}

} // namespace
} // namespace pistachio
