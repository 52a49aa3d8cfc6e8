#include "Session/Session.h"

#include <gtest/gtest.h>

#include <functional>

namespace pistachio {
namespace {

constexpr SessionKey FlowA{{0x7F000001, 4000}, {11}};
constexpr SessionKey FlowB{{0x7F000001, 4000}, {12}};
constexpr TimePoint Start{Duration(1000)};

struct OpenGate final : AdmissionGate {
  bool IsOpen = true;
  bool tryStart(TimePoint) override { return IsOpen; }
  Duration retryAfter() const override { return Duration(50); }
};

RequestSegment segment(std::uint64_t id, std::uint32_t total = 0,
                       std::uint32_t offset = 0) {
  const Bytes body(total, std::byte{7});
  const std::size_t n =
      std::min<std::size_t>(SegmentBytes, offset < total ? total - offset : 0);
  return {RequestId{1, id},
          "POST",
          "/work",
          false,
          5000,
          total,
          offset,
          checksum32(body),
          Bytes(n, std::byte{7}),
          Incarnation{5},
          0};
}

class Agent {
public:
  explicit Agent(RequestRecordsOptions options = {}) {
    options.ProcessIncarnation = Incarnation{5};
    Records = makeRequestRecords(options, Gate);
  }
  /// Delivers one message and returns the answers to it.
  std::vector<SessionAnswer> tell(const SessionMessage &message,
                                  const SessionKey &flow = FlowA) {
    Bytes payload;
    EXPECT_TRUE(encodeSession(message, payload).ok());
    RequestRecordsOutput output;
    Records->receive(flow, payload, Now, output);
    return take(output);
  }
  std::vector<SessionAnswer> answer(std::uint64_t id) {
    RequestRecordsOutput output;
    Records->onBackEndAnswer({1, id}, 200, Bytes(10), Now, output);
    return take(output);
  }
  void pass(Duration time) {
    Now += time;
    RequestRecordsOutput output;
    Records->tick(Now, output);
    take(output);
  }
  std::vector<SessionAnswer> take(RequestRecordsOutput &output) {
    Calls += output.Calls.size();
    Cancelled += output.Cancelled.size();
    return output.Answers;
  }

  OpenGate Gate;
  std::unique_ptr<RequestRecords> Records;
  TimePoint Now = Start;
  std::size_t Calls = 0;
  std::size_t Cancelled = 0;
};

template <typename Message>
const Message *last(const std::vector<SessionAnswer> &answers) {
  return answers.empty() ? nullptr
                         : std::get_if<Message>(&answers.back().Message);
}

struct RefusedCase {
  const char *Name;
  RefusalReason Reason;
  std::function<std::vector<SessionAnswer>(Agent &)> Provoke;
  friend std::ostream &operator<<(std::ostream &out, const RefusedCase &it) {
    return out << it.Name;
  }
};

class Refusal : public testing::TestWithParam<RefusedCase> {};

// Guards against a refusal that turns false: every segment of the refused
// attempt that arrives later must get the refusal again and never run.
TEST_P(Refusal, IsRemembered) {
  Agent agent;
  const auto answers = GetParam().Provoke(agent);
  const auto *refusal = last<NotRun>(answers);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->Reason, GetParam().Reason);
  agent.Gate.IsOpen = true;
  for (int n = 0; n < 10; ++n) {
    agent.pass(Duration(60000));
    EXPECT_NE(last<NotRun>(agent.tell(segment(1, 1500, n % 2 * 1000))),
              nullptr);
    EXPECT_NE(last<NotRun>(agent.tell(segment(1), FlowB)), nullptr);
  }
  EXPECT_EQ(agent.Calls, 0u);
  // The next attempt is a new one.
  RequestSegment next = segment(1);
  next.Attempt = 1;
  agent.tell(next);
  EXPECT_EQ(agent.Calls, 1u);
}

RequestSegment changed(const std::function<void(RequestSegment &)> &change) {
  RequestSegment it = segment(1, 1500, 1000);
  change(it);
  return it;
}

std::vector<SessionAnswer>
afterFirst(Agent &agent, const std::function<void(RequestSegment &)> &change) {
  agent.tell(segment(1, 1500, 0));
  return agent.tell(changed(change));
}

const RefusedCase RefusedCases[] = {
    {"methodChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent, [](RequestSegment &it) { it.Method = "PUT"; });
     }},
    {"pathChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent, [](RequestSegment &it) { it.Path = "/b"; });
     }},
    {"idempotenceChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent,
                         [](RequestSegment &it) { it.Idempotent = true; });
     }},
    {"totalChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent,
                         [](RequestSegment &it) { it.TotalBytes = 1600; });
     }},
    {"checksumChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent, [](RequestSegment &it) { ++it.Checksum; });
     }},
    {"contentChanged", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(
           agent, [](RequestSegment &it) { it.Content[0] = std::byte{1}; });
     }},
    {"offsetPastTotal", RefusalReason::Invalid,
     [](Agent &agent) {
       return afterFirst(agent, [](RequestSegment &it) { it.Offset = 4000; });
     }},
    {"firstOffsetPastTotal", RefusalReason::Invalid,
     [](Agent &agent) {
       return agent.tell(
           changed([](RequestSegment &it) { it.Offset = 0xFFFFFC18; }));
     }},
    {"totalTooLarge", RefusalReason::Invalid,
     [](Agent &agent) {
       return agent.tell(
           changed([](RequestSegment &it) { it.TotalBytes = 0xFFFFFFFF; }));
     }},
    {"noTimeLeft", RefusalReason::DeadlineExceeded,
     [](Agent &agent) {
       return agent.tell(
           changed([](RequestSegment &it) { it.DeadlineMs = 0; }));
     }},
    {"firstSegmentsLongAgo", RefusalReason::DeadlineExceeded,
     [](Agent &agent) {
       agent.tell(segment(1, 1500, 0));
       agent.pass(Duration(20000));
       return agent.tell(segment(1, 1500, 1000));
     }},
    {"cancelledBeforeItArrived", RefusalReason::Cancelled,
     [](Agent &agent) {
       return agent.tell(CancelRequest{{1, 1}, Incarnation{5}, 0});
     }},
    {"cancelledInQueue", RefusalReason::Cancelled,
     [](Agent &agent) {
       agent.Gate.IsOpen = false;
       agent.tell(segment(1));
       return agent.tell(CancelRequest{{1, 1}, Incarnation{5}, 0});
     }},
    {"queueFull", RefusalReason::Overloaded,
     [](Agent &agent) {
       agent.Gate.IsOpen = false;
       for (std::uint64_t id = 100; id < 164; ++id)
         agent.tell(segment(id));
       auto answers = agent.tell(segment(1));
       for (std::uint64_t id = 100; id < 164; ++id)
         agent.tell(CancelRequest{{1, id}, Incarnation{5}, 0});
       return answers;
     }},
};

INSTANTIATE_TEST_SUITE_P(Table, Refusal, testing::ValuesIn(RefusedCases),
                         [](const testing::TestParamInfo<RefusedCase> &info) {
                           return info.param.Name;
                         });

// Guards against a second run, or a refusal of a request that ran, when its id
// comes from another flow or with other head fields.
TEST(RequestRecordsTest, GivesRecordedStateToAnotherFlow) {
  Agent agent;
  agent.tell(segment(1));
  RequestSegment other = segment(1);
  other.Attempt = 1;
  EXPECT_NE(last<SegmentAck>(agent.tell(other, FlowB)), nullptr);
  other.Path = "/other";
  EXPECT_EQ(last<NotRun>(agent.tell(other, FlowB)), nullptr);
  const auto answers = agent.answer(1);
  ASSERT_NE(last<ResponseSegment>(answers), nullptr);
  EXPECT_EQ(answers.back().Flow, FlowB);
  agent.tell(ResponseAck{{1, 1}, 10, true}, FlowB);
  EXPECT_NE(last<OutcomeUnknown>(agent.tell(other, FlowB)), nullptr);
  EXPECT_EQ(agent.Calls, 1u);
  EXPECT_EQ(agent.Records->unfinished(), 0u);
}

// Guards against running or refusing a request that was opened with an earlier
// incarnation, which may have run it.
TEST(RequestRecordsTest, IgnoresOtherIncarnations) {
  Agent agent;
  RequestSegment old = segment(1);
  old.ProcessIncarnation = Incarnation{4};
  EXPECT_NE(last<KeepAlive>(agent.tell(old)), nullptr);
  EXPECT_NE(
      last<KeepAlive>(agent.tell(CancelRequest{{1, 1}, Incarnation{4}, 0})),
      nullptr);
  EXPECT_EQ(agent.Calls + agent.Records->recordCount(), 0u);
}

// Guards against a full table that evicts a record which its caller may still
// ask for, grows without bound, or never becomes usable again.
TEST(RequestRecordsTest, KeepsRecordsWithinBound) {
  RequestRecordsOptions options;
  options.MaxRecords = 4;
  Agent agent(options);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    agent.tell(segment(id));
    agent.answer(id);
  }
  const auto answers = agent.tell(segment(5));
  ASSERT_NE(last<NotRun>(answers), nullptr);
  EXPECT_EQ(last<NotRun>(answers)->Reason, RefusalReason::RecordsFull);
  EXPECT_NE(last<ResponseSegment>(agent.tell(segment(1))), nullptr);
  for (std::uint64_t id = 6; id < 100; ++id)
    agent.tell(segment(id));
  EXPECT_EQ(agent.Records->recordCount(), 8u);
  EXPECT_EQ(agent.Calls, 4u);
  agent.pass(Duration(40000));
  agent.tell(segment(200));
  EXPECT_EQ(agent.Calls, 5u);
  agent.pass(Duration(1000000));
  EXPECT_EQ(agent.Records->recordCount(), 1u);
}

// Guards against a cancellation of a running request that is reported as not
// run.
TEST(RequestRecordsTest, CancelOfRunningIsUnknown) {
  Agent agent;
  agent.tell(segment(1));
  EXPECT_NE(last<OutcomeUnknown>(
                agent.tell(CancelRequest{{1, 1}, Incarnation{5}, 0})),
            nullptr);
  EXPECT_EQ(agent.Cancelled, 1u);
  EXPECT_TRUE(agent.answer(1).empty());
  EXPECT_NE(last<OutcomeUnknown>(agent.tell(segment(1))), nullptr);
  EXPECT_EQ(agent.Calls, 1u);
}

} // namespace
} // namespace pistachio
