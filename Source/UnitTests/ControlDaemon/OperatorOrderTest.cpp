#include "ControlDaemonHarness.h"

#include "SimulatedControlGroup.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <ostream>

namespace pistachio {
namespace {

using boost::asio::ip::tcp;

struct OrderRow {
  const char *Name;
  bool IsLeader;
  /// How long the instance stands still when the order arrives.
  Duration Pause{0};
  bool CallerLeaves = false;
  bool IsCarriedOut = false;
};

std::ostream &operator<<(std::ostream &out, const OrderRow &row) {
  return out << row.Name;
}

/// Shorter than a pause after which the age of a request is in doubt.
constexpr Duration ShortPause{150};
constexpr Duration LongPause{700};

const OrderRow OrderRows[] = {
    {"AtAFollower", false, Duration{0}, false, true},
    {"AtTheLeader", true, Duration{0}, false, true},
    {"ShortPause", false, ShortPause, false, true},
    {"CallerLeftFollower", false, ShortPause, true, false},
    {"CallerLeftLeader", true, ShortPause, true, false},
    {"PausedFollower", false, LongPause, false, false},
    {"CallerLeftPausedFollower", false, LongPause, true, false},
};

class OperatorOrderTest : public SeededGroupTest,
                          public testing::WithParamInterface<OrderRow> {
protected:
  static constexpr const char *Name = "ee-north-a";

  /// POST takes the data centre in the body out of service, DELETE brings it
  /// back.
  static HttpHandler handleOrders(RoutingAdmin &admin) {
    return [&admin](const HttpServerRequest &call,
                    const std::function<void(HttpServerResponse)> &reply) {
      admin.setDataCentre(call.Body,
                          call.Method == "POST" ? DataCentreChange::TakeOut
                                                : DataCentreChange::BringBack,
                          call.IsAbandoned,
                          [reply](const absl::Status &status) {
                            reply({status.ok() ? 200 : 503, messageOf(status)});
                          });
    };
  }

  static tcp::socket sendOrder(boost::asio::io_context &context,
                               const Endpoint &to, const std::string &method) {
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address_v4(to.Address), to.Port});
    const std::string request =
        method + " /order HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
        "Content-Length: " + std::to_string(std::string(Name).size()) +
        "\r\n\r\n" + Name;
    boost::asio::write(socket, boost::asio::buffer(request));
    return socket;
  }

  static std::string awaitReply(tcp::socket &socket) {
    std::string reply;
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply), ec);
    return reply;
  }

  /// Sends an order to one instance after the other until it is carried out.
  void order(const std::string &method) const {
    boost::asio::io_context context;
    for (int i = 0; i < MaxPolls; ++i) {
      const auto &at = Instances[static_cast<std::size_t>(i) % 3]->Settings;
      tcp::socket socket = sendOrder(context, at.OperatorApi, method);
      if (awaitReply(socket).starts_with("HTTP/1.1 200"))
        return;
      std::this_thread::sleep_for(PollInterval);
    }
    FAIL() << "no instance has carried out the order";
  }

  bool isOut() const {
    const auto rules = client(0)->readRules();
    return rules.ok() &&
           rules->Rules.find(concat("out ", Name)) != std::string::npos;
  }

  std::size_t pick(bool isLeader) const {
    for (int n = 0; n < MaxPolls; ++n) {
      for (std::size_t i = 0; i < Instances.size(); ++i)
        if (const auto status = client(i)->readStatus();
            status.ok() && (status->Role == "leader") == isLeader)
          return i;
      std::this_thread::sleep_for(PollInterval);
    }
    throw std::runtime_error("no such instance");
  }
};

// Guards against the fault of review/2: an instance that had stood still
// carried out an order whose caller had left long before, and so ended a later
// evacuation.
TEST_P(OperatorOrderTest, OutdatedOrderIsNotCarriedOut) {
  const OrderRow &row = GetParam();
  makeSeededInstances(3, 0);
  for (const auto &it : Instances)
    it->OperatorApi = handleOrders;
  startAll();
  waitForGroup(3, 3);
  order("POST");
  ASSERT_TRUE(isOut());
  Instance &receiver = *Instances[pick(row.IsLeader)];
  if (row.Pause > Duration{0})
    receiver.freeze(row.Pause);
  boost::asio::io_context context;
  tcp::socket caller =
      sendOrder(context, receiver.Settings.OperatorApi, "DELETE");
  if (row.CallerLeaves)
    caller.close();
  else
    EXPECT_EQ(awaitReply(caller).starts_with("HTTP/1.1 200"), row.IsCarriedOut);
  std::this_thread::sleep_for(row.Pause);
  // The receiver has read everything that arrived before this reply.
  waitForStatus(pick(row.IsLeader), [](const ControlStatus &) { return true; });
  for (int i = 0; i < 10 && isOut() != row.IsCarriedOut; ++i)
    std::this_thread::sleep_for(PollInterval);
  EXPECT_EQ(isOut(), !row.IsCarriedOut);
  // The instance carries out orders again.
  for (int i = 0; i < MaxPolls && !isOut(); ++i) {
    tcp::socket next =
        sendOrder(context, receiver.Settings.OperatorApi, "POST");
    awaitReply(next);
  }
  EXPECT_TRUE(isOut());
}

INSTANTIATE_TEST_SUITE_P(Rows, OperatorOrderTest, testing::ValuesIn(OrderRows),
                         [](const auto &it) { return it.param.Name; });

struct PermitRow {
  const char *Name;
  std::uint64_t Term;
  /// Time between the issue of the permit and the arrival of the order.
  Duration Age;
  bool IsValid;
};

class OrderPermitTest : public testing::TestWithParam<PermitRow> {};

// Guards against an order that is delayed on its way to the leader, by a cut or
// a frozen instance, and is carried out later.
TEST_P(OrderPermitTest, EndsWithTheTermOrAfterAShortTime) {
  const PermitRow &row = GetParam();
  const TimePoint issued{Duration(100000)};
  const OrderPermit permit = issueOrderPermit(7, issued);
  const auto end = expiryOf(permit, row.Term, issued + row.Age);
  ASSERT_EQ(end.has_value(), row.IsValid);
  EXPECT_EQ(end.value_or(issued + OrderPermitTime), issued + OrderPermitTime);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, OrderPermitTest,
    testing::Values(PermitRow{"AtOnce", 7, Duration{0}, true},
                    PermitRow{"InTime", 7, OrderPermitTime, true},
                    PermitRow{"Late", 7, OrderPermitTime + Duration{1}, false},
                    PermitRow{"LaterTerm", 8, Duration{0}, false},
                    PermitRow{"EarlierTerm", 6, Duration{0}, false},
                    PermitRow{"FromTheFuture", 7, Duration{-1}, false}),
    [](const auto &it) { return it.param.Name; });

struct PauseRow {
  const char *Name;
  /// Time between two ticks.
  Duration Gap;
  /// Time since the latest tick.
  Duration SinceTick;
  bool WasPaused;
};

class PauseDetectorTest : public testing::TestWithParam<PauseRow> {};

// Guards against taking a request that has waited during a pause for a new one,
// before or after the first tick that follows the pause.
TEST_P(PauseDetectorTest, ReportsPausesUntilWaitingRequestsAreRead) {
  const PauseRow &row = GetParam();
  PauseDetector pauses;
  TimePoint now{Duration(1000)};
  EXPECT_FALSE(pauses.wasPaused(now));
  pauses.onTick(now);
  now += row.Gap;
  pauses.onTick(now);
  EXPECT_EQ(pauses.wasPaused(now + row.SinceTick), row.WasPaused);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, PauseDetectorTest,
    testing::Values(
        PauseRow{"Running", Duration{20}, Duration{20}, false},
        PauseRow{"Slow", Duration{400}, Duration{20}, false},
        PauseRow{"BeforeTheTick", Duration{20}, Duration{7000}, true},
        PauseRow{"JustAwake", Duration{7000}, Duration{5}, true},
        PauseRow{"AwakeForLong", Duration{7000}, Duration{300}, false}),
    [](const auto &it) { return it.param.Name; });

// Guards against an order that waits in the queue of a leader that stands still
// and is appended to the log when it wakes.
TEST(OrderQueueTest, CommandIsNotAppendedAfterItsTime) {
  SimulatedControlGroup group(1);
  const std::size_t leader = group.waitForLeader();
  std::vector<absl::Status> answers;
  const auto submit = [&](const char *id, Duration left) {
    group.member(leader).submit(
        makeApplyRules(id, Revision{}, BaseRules), group.Now + Duration(3000),
        [&](const absl::Status &it) { answers.push_back(it); },
        group.Now + left);
    group.member(leader).flush(group.Now);
    group.run(1000);
  };
  submit("late", Duration{-1});
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_TRUE(absl::IsUnavailable(answers[0])) << answers[0];
  EXPECT_FALSE(group.member(leader).state().findResult("late"));
  submit("in-time", Duration{0});
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_TRUE(answers[1].ok()) << answers[1];
}

} // namespace
} // namespace pistachio
