#include "ControlStateHarness.h"

#include "Routing/Routing.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <sstream>

namespace pistachio {
namespace {

using Code = ApplyResult::Code;

constexpr Endpoint Address{0x0A1E0001, 500};

std::string routeTo(const std::string &target) {
  return "service alpha slots 5 # asked by Tiina\n"
         "service beta slots 5 # asked by Tiina\n"
         "route r address 10.30.0.1:500 to " +
         target + " # asked by Tiina\n";
}

ApplyRouting makeRouting(std::uint64_t version, const std::string &target,
                         const std::string &id = "") {
  return {id.empty() ? "routing-" + std::to_string(version) : id, version,
          routeTo(target), "document " + std::to_string(version), 0};
}

SetDataCentre makeChange(const std::string &id, const std::string &name,
                         DataCentreChange change) {
  return {id, name, change, "Tiina", 0};
}

class RoutingTest : public testing::Test {
protected:
  RoutingTest() {
    Harness.apply("datacentre x # asked by Maarja\n"
                  "datacentre y # asked by Maarja\n");
  }
  /// Commits the command and returns the stored outcome of operation \p id. The
  /// test fails with an exception if there is none.
  Code commitOperation(const LogCommand &command, const std::string &id) {
    Harness.commit(command);
    return Harness.State->findResult(id).value().Outcome;
  }
  bool isOutOfService(const std::string &name) const {
    return Harness.State->findDataCentre(name)->IsTakenOut;
  }

  ControlStateHarness Harness;
};

// Guards against a delayed older routing that replaces a newer one, and against
// different content under the version that is already in force.
TEST_F(RoutingTest, OnlyAHigherVersionTakesEffect) {
  EXPECT_EQ(commitOperation(makeRouting(7, "alpha weight 1"), "routing-7"),
            Code::Applied);
  EXPECT_EQ(commitOperation(makeRouting(5, "beta weight 1"), "routing-5"),
            Code::Unchanged);
  EXPECT_EQ(commitOperation(makeRouting(7, "beta weight 1", "other"), "other"),
            Code::Unchanged);
  EXPECT_EQ(Harness.State->routing(), (RoutingDocument{7, "document 7"}));
  const NodeTable node = Harness.makeUpToDateNode();
  ASSERT_EQ(node.Routes.size(), 1U);
  EXPECT_EQ(node.Routes.at(Address).Shares[0].Service,
            Harness.State->findService("alpha")->Id);
}

// Guards against an invalid routing that replaces a valid one.
TEST_F(RoutingTest, InvalidRoutingChangesNothing) {
  commitOperation(makeRouting(7, "alpha weight 1"), "routing-7");
  EXPECT_EQ(commitOperation(makeRouting(8, "gamma weight 1"), "routing-8"),
            Code::Invalid);
  EXPECT_EQ(Harness.State->routing().Version, 7U);
  EXPECT_EQ(commitOperation(makeRouting(9, "beta weight 1"), "routing-9"),
            Code::Applied);
}

// Guards against existing flows that balancers can no longer find after their
// route has changed to another service.
TEST_F(RoutingTest, RouteKeepsFormerServices) {
  commitOperation(makeRouting(1, "alpha weight 1"), "routing-1");
  commitOperation(makeRouting(2, "beta weight 1"), "routing-2");
  const ServiceId alpha = Harness.State->findService("alpha")->Id;
  EXPECT_EQ(Harness.makeUpToDateNode().Routes.at(Address).FormerServices,
            std::vector<ServiceId>{alpha});
  commitOperation(makeRouting(3, "beta weight 1 and alpha weight 2"),
                  "routing-3");
  EXPECT_TRUE(
      Harness.makeUpToDateNode().Routes.at(Address).FormerServices.empty());
}

// Guards against a valid configuration that is acknowledged and never in force:
// a route that is split over many services could not be sent to nodes.
TEST_F(RoutingTest, RouteOverAsManyServicesAsALineHoldsReachesNodes) {
  constexpr std::size_t LineBytes = 64 * 1024;
  ApplyRouting command{"routing-1", 1, "", "document", 0};
  std::string route = "route r address 10.30.0.1:500 to s0 weight 1";
  std::size_t n = 1;
  for (; route.size() + 64 < LineBytes; ++n)
    route += " and s" + std::to_string(n) + " weight 1";
  for (std::size_t i = 0; i < n; ++i)
    command.Lines +=
        "service s" + std::to_string(i) + " slots 5 # asked by T\n";
  command.Lines += route + " # asked by T\n";
  ASSERT_EQ(commitOperation(command, "routing-1"), Code::Applied)
      << Harness.State->findResult("routing-1")->Text;
  NodeTable node;
  for (const TableUpdate &it : Harness.State->updatesSince(Revision{})) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(it, buf).ok());
    const auto received = decodeNode(buf);
    ASSERT_TRUE(received.ok()) << received.status();
    ASSERT_TRUE(node.receive(std::get<TableUpdate>(*received)));
  }
  ASSERT_TRUE(node.Routes.contains(Address));
  EXPECT_EQ(node.Routes.at(Address).Shares.size(), n);
}

/// A sequence of changes after which a flow may be open at an upstream of
/// service alpha, to which the route led at first.
struct RetiredCase {
  const char *Name;
  /// Each step is the list of services of a routing, whose first one gets the
  /// route; empty for a routing without the route. Two steps have a meaning of
  /// their own: see below.
  std::vector<std::string> Steps;
  bool IsSearched;
};

constexpr const char *AgentRestarts = "agent restarts";
constexpr const char *UpstreamLeaves = "upstream leaves";

class RetiredServiceTest : public RoutingTest,
                           public testing::WithParamInterface<RetiredCase> {
protected:
  static UpstreamJoined upstreamOfAlpha(std::uint64_t incarnation) {
    return {
        "alpha", "x", "x", "machine", Endpoint{7, 1}, Incarnation{incarnation},
        5};
  }

  /// \p services is separated by spaces.
  ApplyRouting routing(const std::string &services) {
    ++Version;
    ApplyRouting command{"routing-" + std::to_string(Version), Version, "",
                         "document", 0};
    for (const std::string &it : split(services))
      command.Lines += "service " + it + " slots 5 # asked by Tiina\n";
    if (!services.empty())
      command.Lines += "route r address 10.30.0.1:500 to " +
                       split(services).front() + " weight 1 # asked by Tiina\n";
    return command;
  }

  static std::vector<std::string> split(const std::string &words) {
    std::istringstream in(words);
    return {std::istream_iterator<std::string>(in), {}};
  }

  void step(const std::string &name) {
    const auto known = Harness.State->findUpstream(Endpoint{7, 1});
    if (name == AgentRestarts)
      Harness.commit(upstreamOfAlpha(2));
    else if (name == UpstreamLeaves)
      Harness.commit(
          UpstreamLeft{known->Record.Id, known->Record.ProcessIncarnation});
    else
      Harness.commit(routing(name));
  }

  std::uint64_t Version = 0;
};

// Guards against the fault of review/4: a configuration moved a route to
// another service and no longer listed the former one. Balancers could not find
// the flows that were open there and reset them.
TEST_P(RetiredServiceTest, IsSearchedWhileItsUpstreamsReport) {
  step("alpha beta");
  Harness.commit(upstreamOfAlpha(1));
  const ServiceId alpha = Harness.State->findService("alpha")->Id;
  NodeTable behind = Harness.makeUpToDateNode();
  for (const std::string &it : GetParam().Steps)
    step(it);
  const NodeTable table = Harness.makeUpToDateNode();
  const auto route = table.Routes.find(Address);
  const bool isFormer =
      route != table.Routes.end() &&
      std::ranges::count(route->second.FormerServices, alpha) > 0;
  EXPECT_EQ(isFormer, GetParam().IsSearched);
  if (isFormer) {
    EXPECT_EQ(table.Services.at(alpha).Name, "alpha");
    ASSERT_NE(table.find(Endpoint{7, 1}), nullptr);
    EXPECT_EQ(table.find(Endpoint{7, 1})->Service, alpha);
    EXPECT_EQ(
        std::ranges::count(route->second.Shares, alpha, &RouteShare::Service),
        0);
  }
  // A node that is versions behind and a member that loads a snapshot have the
  // same table.
  EXPECT_TRUE(
      behind.receiveAll(Harness.State->updatesSince(behind.AppliedRevision)));
  EXPECT_TRUE(behind == table);
  const auto other = makeControlState();
  ASSERT_TRUE(other->load(Harness.State->save()).ok());
  EXPECT_EQ(other->save(), Harness.State->save());
  EXPECT_EQ(other->updatesSince(Revision{}),
            Harness.State->updatesSince(Revision{}));
}

INSTANTIATE_TEST_SUITE_P(
    Table, RetiredServiceTest,
    testing::Values(
        RetiredCase{"Listed", {"beta alpha"}, true},
        RetiredCase{"NoLongerListed", {"beta"}, true},
        RetiredCase{"ListedFirst", {"beta alpha", "beta"}, true},
        RetiredCase{"SeveralVersions", {"beta", "gamma", "beta gamma"}, true},
        RetiredCase{"AgentRestarts", {"beta", AgentRestarts}, true},
        RetiredCase{"UpstreamLeaves", {"beta", UpstreamLeaves}, false},
        RetiredCase{"UpstreamHasLeft", {UpstreamLeaves, "beta"}, false},
        RetiredCase{"RouteIsDropped", {"beta", ""}, false},
        // The removal of its route ends a flow.
        RetiredCase{"RouteIsDroppedAndBack", {"beta", "", "beta"}, false},
        RetiredCase{
            "MoreMovesThanEight",
            {"b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9", "b10"},
            true}),
    [](const auto &it) { return std::string(it.param.Name); });

// Guards against a service that gets no flows, or another id, after a
// configuration lists it again.
TEST_F(RetiredServiceTest, ListedAgainKeepsItsUpstreams) {
  step("alpha beta");
  Harness.commit(upstreamOfAlpha(1));
  const ServiceId alpha = Harness.State->findService("alpha")->Id;
  step("beta");
  step("alpha beta");
  const NodeTable table = Harness.makeUpToDateNode();
  EXPECT_EQ(table.Routes.at(Address).Shares[0].Service, alpha);
  ASSERT_NE(table.find(Endpoint{7, 1}), nullptr);
  EXPECT_EQ(table.find(Endpoint{7, 1})->Service, alpha);
}

// Guards against a service that takes new flows at its own address after the
// rules have stopped listing it.
TEST_F(RetiredServiceTest, HasNoAddress) {
  ApplyRouting command = routing("alpha beta");
  command.Lines.replace(command.Lines.find("alpha "), 6,
                        "alpha address 10.20.0.1:443 ");
  Harness.commit(command);
  Harness.commit(upstreamOfAlpha(1));
  const ServiceId alpha = Harness.State->findService("alpha")->Id;
  ASSERT_EQ(Harness.makeUpToDateNode().Services.at(alpha).Address.Port, 443);
  step("beta");
  EXPECT_EQ(Harness.makeUpToDateNode().Services.at(alpha).Address.Port, 0);
}

// Guards against a service without a route that stays in the table: its flows
// end with its address.
TEST_F(RetiredServiceTest, ServiceWithoutARouteIsRemoved) {
  Harness.commit(routing("beta alpha"));
  Harness.commit(upstreamOfAlpha(1));
  step("beta");
  EXPECT_FALSE(Harness.State->findService("alpha"));
  EXPECT_FALSE(Harness.State->findUpstream(Endpoint{7, 1}));
}

// Guards against agents that must wait for control before they know the request
// rate of their upstream in a cold start.
TEST_F(RoutingTest, RouteCarriesTheColdRate) {
  ApplyRouting command = makeRouting(1, "alpha weight 1 and beta weight 1");
  command.Lines.replace(command.Lines.find("slots 5 "), 8,
                        "slots 5 cold-rate 2.5 ");
  commitOperation(command, "routing-1");
  const auto shares = Harness.makeUpToDateNode().Routes.at(Address).Shares;
  ASSERT_EQ(shares.size(), 2U);
  EXPECT_EQ(shares[0].ColdMilliflowsPerSecond, 2500U);
  EXPECT_EQ(shares[1].ColdMilliflowsPerSecond, UnlimitedColdRate);
}

// Guards against a snapshot without terms that the previous release cannot
// load. Sizes and checksums are those of 990e40b.
TEST_F(RoutingTest, SnapshotWithoutTermsHasTheBytesOfThePreviousRelease) {
  commitOperation(makeRouting(1, "alpha weight 1"), "routing-1");
  EXPECT_EQ(Harness.State->save().size(), 591U);
  EXPECT_EQ(checksum32(Harness.State->save()), 0xB9BB0656U);
  Harness.commit(UpstreamJoined{"alpha", "x", "x", "machine", Endpoint{7, 1},
                                Incarnation{1}, 5});
  Harness.commit(
      UpstreamChanged{UpstreamId{1}, Incarnation{1}, UpstreamState::Suspect});
  Harness.commit(UpstreamLeft{UpstreamId{1}, Incarnation{1}});
  EXPECT_EQ(Harness.State->save().size(), 701U);
  EXPECT_EQ(checksum32(Harness.State->save()), 0x184AFAC4U);
}

using TermsCase = std::pair<std::string_view, RouteTerms>;
class RouteTermsTest : public RoutingTest,
                       public testing::WithParamInterface<TermsCase> {};

// Guards against terms that do not reach nodes and snapshots, and against those
// that stay when the rules no longer state them.
TEST_P(RouteTermsTest, ReachNodesAndSnapshots) {
  const auto &[text, terms] = GetParam();
  Bytes buf;
  const LogCommand command = makeRouting(1, concat("beta weight 1", text));
  ASSERT_TRUE(encodeCommand(command, buf).ok());
  ASSERT_EQ(commitOperation(*decodeCommand(buf), "routing-1"), Code::Applied);
  const auto updates = Harness.State->updatesSince(Revision{});
  buf.clear();
  ASSERT_TRUE(encodeNode(updates[0], buf).ok());
  EXPECT_EQ(std::to_integer<int>(buf[3]), terms.isEmpty() ? 64 : 95);
  TableReplica node;
  ASSERT_TRUE(node.apply(std::get<TableUpdate>(*decodeNode(buf))).value());
  EXPECT_EQ(node.table()->findRoute(Address)->Terms, terms);
  const Bytes snapshot = Harness.State->save();
  EXPECT_EQ(std::to_integer<int>(snapshot[1]), terms.isEmpty() ? 2 : 4);
  const auto other = makeControlState();
  ASSERT_TRUE(other->load(snapshot).ok());
  EXPECT_EQ(other->updatesSince(Revision{}), updates);
  commitOperation(makeRouting(2, "beta weight 1"), "routing-2");
  for (const TableUpdate &it :
       Harness.State->updatesSince(node.table()->revision()))
    ASSERT_TRUE(node.apply(it).value());
  EXPECT_TRUE(node.table()->findRoute(Address)->Terms.isEmpty());
}

const TermsCase TermsCases[] = {
    {"", {}},
    {" urgency 0", {0, {}, {}, {}}},
    {" objective 1", {{}, Duration(1), {}, {}}},
    {" timeout 3600000", {{}, {}, MaxRouteDuration, {}}},
    {" repeatable", {{}, {}, {}, true}},
    {" urgency 9 objective 5 timeout 5 once",
     {9, Duration(5), Duration(5), false}},
};

INSTANTIATE_TEST_SUITE_P(Table, RouteTermsTest, testing::ValuesIn(TermsCases));

// Guards against a routing that deletes rules which operators have written.
TEST_F(RoutingTest, OtherRulesStay) {
  commitOperation(makeChange("op-1", "y", DataCentreChange::TakeOut), "op-1");
  commitOperation(makeRouting(1, "alpha weight 1"), "routing-1");
  EXPECT_TRUE(isOutOfService("y"));
  EXPECT_EQ(Harness.State->rules().dataCentres().size(), 2U);
}

struct ChangeCase {
  const char *Name;
  std::vector<DataCentreChange> Changes;
  bool Out;
};

class DataCentreChangeTest : public testing::TestWithParam<ChangeCase> {};

// Guards against a data centre that returns to service because it is declared
// again, which a newly elected leader does.
TEST_P(DataCentreChangeTest, LastChangeTakesEffect) {
  ControlStateHarness harness;
  harness.apply("datacentre other # asked by Maarja\n");
  int n = 0;
  for (const DataCentreChange it : GetParam().Changes)
    harness.commit(makeChange("op-" + std::to_string(++n), "x", it));
  ASSERT_TRUE(harness.State->findDataCentre("x"));
  EXPECT_EQ(harness.State->findDataCentre("x")->IsTakenOut, GetParam().Out);
}

using enum DataCentreChange;

INSTANTIATE_TEST_SUITE_P(
    Table, DataCentreChangeTest,
    testing::Values(
        ChangeCase{"Declared", {Declare}, false},
        ChangeCase{"OutAndDeclared", {TakeOut, Declare}, true},
        ChangeCase{"OutTwice", {TakeOut, TakeOut}, true},
        ChangeCase{"OutAndBack", {TakeOut, BringBack}, false},
        ChangeCase{"BackWithoutOut", {BringBack}, false},
        ChangeCase{"BackAndOutAgain", {TakeOut, BringBack, TakeOut}, true}),
    [](const auto &it) { return std::string(it.param.Name); });

// Load pattern: a configuration grows by 1,400 routes while 500 upstreams are
// replaced. Guards against an update to a node that exceeds what is sent at
// once (256 KiB) and is then paced at 10 KiB/s, so that it is in force too
// late.
TEST_F(RoutingTest, LargeRoutingReachesANodeAtOnce) {
  constexpr std::uint64_t BurstBytes = 256 * 1024;
  constexpr int Routes = 1400;
  constexpr std::uint32_t Upstreams = 500;
  ASSERT_EQ(commitOperation(makeRouting(6, "alpha weight 1"), "routing-6"),
            Code::Applied);
  for (std::uint32_t machine = 1; machine <= Upstreams; ++machine)
    Harness.commit(UpstreamJoined{"alpha", "x", "x", "machine",
                                  Endpoint{machine, 1}, Incarnation{1}, 5});
  const NodeTable before = Harness.makeUpToDateNode();
  ApplyRouting routing = makeRouting(7, "alpha weight 1");
  for (int n = 0; n < Routes; ++n)
    routing.Lines +=
        "route r-" + std::to_string(n) + " address 10.31." +
        std::to_string(n / 250) + "." + std::to_string(n % 250) +
        ":8443 to alpha weight 90 and beta weight 10 # asked by Tiina\n";
  ASSERT_EQ(commitOperation(routing, "routing-7"), Code::Applied)
      << Harness.State->findResult("routing-7")->Text;
  for (std::uint32_t machine = 1; machine <= Upstreams; ++machine)
    Harness.commit(UpstreamJoined{"alpha", "x", "x", "machine",
                                  Endpoint{machine, 1}, Incarnation{2}, 5});
  std::uint64_t bytes = 0;
  for (const TableUpdate &it :
       Harness.State->updatesSince(before.AppliedRevision)) {
    Bytes buf;
    ASSERT_TRUE(encodeNode(it, buf).ok());
    bytes += buf.size();
  }
  EXPECT_GE(bytes, Routes * 10U + Upstreams * 10U);
  EXPECT_LE(bytes, BurstBytes / 2);
}

} // namespace
} // namespace pistachio
