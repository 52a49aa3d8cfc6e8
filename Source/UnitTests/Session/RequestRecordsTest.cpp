#include "Session/Session.h"

#include <gtest/gtest.h>

#include <functional>

namespace pistachio {
namespace {

constexpr SessionKey FlowA{{0x7F000001, 4000}, {11}};
constexpr SessionKey FlowB{{0x7F000001, 4000}, {12}};
constexpr TimePoint Start{Duration(1000)};

struct SwitchableGate final : AdmissionGate {
  bool IsOpen = true;
  bool tryStart(TimePoint) override { return IsOpen; }
  Duration retryAfter() const override { return Duration(50); }
};

RequestSegment makeSegment(std::uint64_t id, std::uint32_t total = 0,
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

class RecordsFixture {
public:
  explicit RecordsFixture(RequestRecordsOptions options = {}) {
    options.ProcessIncarnation = Incarnation{5};
    Records = makeRequestRecords(options, Gate);
  }
  /// Delivers a message and returns the replies to it.
  std::vector<SessionReply> deliver(const SessionMessage &message,
                                    const SessionKey &flow = FlowA) {
    Bytes payload;
    EXPECT_TRUE(encodeSession(message, payload).ok());
    RequestRecordsOutput output;
    Records->receive(flow, payload, Now, output);
    return process(output);
  }
  /// Completes the back-end call of a request and returns the messages to
  /// callers.
  std::vector<SessionReply> completeCall(std::uint64_t id) {
    RequestRecordsOutput output;
    Records->onBackEndResponse({1, id}, 200, Bytes(10), Now, output);
    return process(output);
  }
  void advance(Duration time) {
    Now += time;
    RequestRecordsOutput output;
    Records->tick(Now, output);
    process(output);
  }
  std::vector<SessionReply> process(RequestRecordsOutput &output) {
    Calls += output.Calls.size();
    Cancelled += output.Cancelled.size();
    return output.Replies;
  }

  SwitchableGate Gate;
  std::unique_ptr<RequestRecords> Records;
  TimePoint Now = Start;
  std::size_t Calls = 0;
  std::size_t Cancelled = 0;
};

/// The last reply if it has the given type, and nullptr otherwise.
template <typename Message>
const Message *lastReply(const std::vector<SessionReply> &replies) {
  return replies.empty() ? nullptr
                         : std::get_if<Message>(&replies.back().Message);
}

struct RefusedCase {
  const char *Name;
  RefusalReason Reason;
  std::function<std::vector<SessionReply>(RecordsFixture &)> CauseRefusal;
  friend std::ostream &operator<<(std::ostream &out, const RefusedCase &it) {
    return out << it.Name;
  }
};

class Refusal : public testing::TestWithParam<RefusedCase> {};

// Guards against a refusal that becomes false. Segments of a refused attempt
// that arrive later must get the same refusal and must never run.
TEST_P(Refusal, IsRemembered) {
  RecordsFixture fixture;
  const auto replies = GetParam().CauseRefusal(fixture);
  const auto *refusal = lastReply<NotRun>(replies);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->Reason, GetParam().Reason);
  fixture.Gate.IsOpen = true;
  for (int n = 0; n < 10; ++n) {
    fixture.advance(Duration(60000));
    EXPECT_NE(
        lastReply<NotRun>(fixture.deliver(makeSegment(1, 1500, n % 2 * 1000))),
        nullptr);
    EXPECT_NE(lastReply<NotRun>(fixture.deliver(makeSegment(1), FlowB)),
              nullptr);
  }
  EXPECT_EQ(fixture.Calls, 0u);
  // The next attempt is independent of the refusal.
  RequestSegment next = makeSegment(1);
  next.Attempt = 1;
  fixture.deliver(next);
  EXPECT_EQ(fixture.Calls, 1u);
}

RequestSegment
changedSegment(const std::function<void(RequestSegment &)> &change) {
  RequestSegment it = makeSegment(1, 1500, 1000);
  change(it);
  return it;
}

std::vector<SessionReply>
deliverAfterFirstSegment(RecordsFixture &fixture,
                         const std::function<void(RequestSegment &)> &change) {
  fixture.deliver(makeSegment(1, 1500, 0));
  return fixture.deliver(changedSegment(change));
}

const RefusedCase RefusedCases[] = {
    {"methodChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.Method = "PUT"; });
     }},
    {"pathChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.Path = "/b"; });
     }},
    {"idempotenceChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.Idempotent = true; });
     }},
    {"totalChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.TotalBytes = 1600; });
     }},
    {"checksumChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { ++it.Checksum; });
     }},
    {"contentChanged", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.Content[0] = std::byte{1}; });
     }},
    {"offsetPastTotal", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return deliverAfterFirstSegment(
           fixture, [](RequestSegment &it) { it.Offset = 4000; });
     }},
    {"firstOffsetPastTotal", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return fixture.deliver(
           changedSegment([](RequestSegment &it) { it.Offset = 0xFFFFFC18; }));
     }},
    {"totalTooLarge", RefusalReason::Invalid,
     [](RecordsFixture &fixture) {
       return fixture.deliver(changedSegment(
           [](RequestSegment &it) { it.TotalBytes = 0xFFFFFFFF; }));
     }},
    {"noTimeLeft", RefusalReason::DeadlineExceeded,
     [](RecordsFixture &fixture) {
       return fixture.deliver(
           changedSegment([](RequestSegment &it) { it.DeadlineMs = 0; }));
     }},
    {"firstSegmentsLongAgo", RefusalReason::DeadlineExceeded,
     [](RecordsFixture &fixture) {
       fixture.deliver(makeSegment(1, 1500, 0));
       fixture.advance(Duration(20000));
       return fixture.deliver(makeSegment(1, 1500, 1000));
     }},
    {"cancelledBeforeItArrived", RefusalReason::Cancelled,
     [](RecordsFixture &fixture) {
       return fixture.deliver(CancelRequest{{1, 1}, Incarnation{5}, 0});
     }},
    {"cancelledInQueue", RefusalReason::Cancelled,
     [](RecordsFixture &fixture) {
       fixture.Gate.IsOpen = false;
       fixture.deliver(makeSegment(1));
       return fixture.deliver(CancelRequest{{1, 1}, Incarnation{5}, 0});
     }},
    {"queueFull", RefusalReason::Overloaded,
     [](RecordsFixture &fixture) {
       fixture.Gate.IsOpen = false;
       for (std::uint64_t id = 100; id < 164; ++id)
         fixture.deliver(makeSegment(id));
       auto replies = fixture.deliver(makeSegment(1));
       for (std::uint64_t id = 100; id < 164; ++id)
         fixture.deliver(CancelRequest{{1, id}, Incarnation{5}, 0});
       return replies;
     }},
};

INSTANTIATE_TEST_SUITE_P(Table, Refusal, testing::ValuesIn(RefusedCases),
                         [](const testing::TestParamInfo<RefusedCase> &info) {
                           return info.param.Name;
                         });

// Guards against running a request twice, or refusing a request that has run,
// when its id is repeated in another flow or with another method or path.
TEST(RequestRecordsTest, GivesRecordedStateToAnotherFlow) {
  RecordsFixture fixture;
  fixture.deliver(makeSegment(1));
  RequestSegment other = makeSegment(1);
  other.Attempt = 1;
  EXPECT_NE(lastReply<SegmentAck>(fixture.deliver(other, FlowB)), nullptr);
  other.Path = "/other";
  EXPECT_EQ(lastReply<NotRun>(fixture.deliver(other, FlowB)), nullptr);
  const auto replies = fixture.completeCall(1);
  ASSERT_NE(lastReply<ResponseSegment>(replies), nullptr);
  EXPECT_EQ(replies.back().Flow, FlowB);
  fixture.deliver(ResponseAck{{1, 1}, 10, true}, FlowB);
  EXPECT_NE(lastReply<OutcomeUnknown>(fixture.deliver(other, FlowB)), nullptr);
  EXPECT_EQ(fixture.Calls, 1u);
  EXPECT_EQ(fixture.Records->unfinished(), 0u);
}

// Guards against running or refusing a request of a flow that an earlier
// incarnation accepted, which may have run the request.
TEST(RequestRecordsTest, NeverRunsRequestsOfOtherIncarnations) {
  RecordsFixture fixture;
  RequestSegment old = makeSegment(1);
  old.ProcessIncarnation = Incarnation{4};
  EXPECT_NE(lastReply<KeepAlive>(fixture.deliver(old)), nullptr);
  EXPECT_NE(lastReply<KeepAlive>(
                fixture.deliver(CancelRequest{{1, 1}, Incarnation{4}, 0})),
            nullptr);
  EXPECT_EQ(fixture.Calls + fixture.Records->recordCount(), 0u);
}

// Guards against a full table that evicts a record to which its caller may
// still refer, that grows without bound, or that stays full permanently.
TEST(RequestRecordsTest, KeepsRecordsWithinBound) {
  RequestRecordsOptions options;
  options.MaxRecords = 4;
  RecordsFixture fixture(options);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    fixture.deliver(makeSegment(id));
    fixture.completeCall(id);
  }
  const auto replies = fixture.deliver(makeSegment(5));
  ASSERT_NE(lastReply<NotRun>(replies), nullptr);
  EXPECT_EQ(lastReply<NotRun>(replies)->Reason, RefusalReason::RecordsFull);
  EXPECT_NE(lastReply<ResponseSegment>(fixture.deliver(makeSegment(1))),
            nullptr);
  for (std::uint64_t id = 6; id < 100; ++id)
    fixture.deliver(makeSegment(id));
  EXPECT_EQ(fixture.Records->recordCount(), 8u);
  EXPECT_EQ(fixture.Calls, 4u);
  fixture.advance(Duration(40000));
  fixture.deliver(makeSegment(200));
  EXPECT_EQ(fixture.Calls, 5u);
  fixture.advance(Duration(1000000));
  EXPECT_EQ(fixture.Records->recordCount(), 1u);
}

// Guards against reporting a request as not run if it was cancelled while it
// was running.
TEST(RequestRecordsTest, CancelOfRunningRequestIsUnknown) {
  RecordsFixture fixture;
  fixture.deliver(makeSegment(1));
  EXPECT_NE(lastReply<OutcomeUnknown>(
                fixture.deliver(CancelRequest{{1, 1}, Incarnation{5}, 0})),
            nullptr);
  EXPECT_EQ(fixture.Cancelled, 1u);
  EXPECT_TRUE(fixture.completeCall(1).empty());
  EXPECT_NE(lastReply<OutcomeUnknown>(fixture.deliver(makeSegment(1))),
            nullptr);
  EXPECT_EQ(fixture.Calls, 1u);
}

} // namespace
} // namespace pistachio
