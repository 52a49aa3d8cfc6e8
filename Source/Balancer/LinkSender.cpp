#include "LinkSender.h"

#include <algorithm>
#include <array>

namespace pistachio {
namespace {

/// Shortest interval at which waiting packets are sent. It bounds the processor
/// time on wide links; the scheduler makes up for the delay.
constexpr Duration MinSendInterval{2};

} // namespace

struct LinkSender::Metrics {
  explicit Metrics(MetricsRegistry &registry)
      : Copies(dropped(registry, "copy")),
        Expired(dropped(registry, "expired")),
        Overflowed(dropped(registry, "queue-full")),
        Refused(registry.counter("pistachio_balancer_link_refused_total",
                                 "New flows that the link had no room for")),
        Waits(registry.histogram("pistachio_balancer_link_wait_seconds",
                                 "Wait of packets that were not sent at once, "
                                 "seconds")) {
    for (std::size_t i = 0; i < LinkClassCount; ++i)
      SentBytes[i] = &registry.counter(
          "pistachio_balancer_link_bytes_total",
          "Bytes sent by class, with the headers of IP and UDP",
          {{"class", std::string(nameOf(static_cast<LinkClass>(i)))}});
  }
  static Counter &dropped(MetricsRegistry &registry, const char *cause) {
    return registry.counter("pistachio_balancer_link_dropped_total",
                            "Packets dropped by the scheduler of the link",
                            {{"cause", cause}});
  }

  Counter &Copies;
  Counter &Expired;
  Counter &Overflowed;
  Counter &Refused;
  Histogram &Waits;
  std::array<Counter *, LinkClassCount> SentBytes{};
};

LinkSender::LinkSender(boost::asio::io_context &context, double mbitPerSecond,
                       MetricsRegistry &registry, Transmit transmit)
    : Context(context), TransmitNow(std::move(transmit)),
      Scheduler(makeLinkScheduler(mbitPerSecond)),
      Instruments(std::make_unique<Metrics>(registry)) {}

LinkSender::~LinkSender() = default;

void LinkSender::send(const DatagramInfo &info,
                      std::span<const std::byte> data) {
  const TimePoint now = steadyNow();
  if (Scheduler->add(info, data, now))
    return TransmitNow(info, data);
  if (!Timer)
    scheduleTimer(now);
}

bool LinkSender::admits(const Endpoint &serviceAddress) {
  return Scheduler->admits(serviceAddress, steadyNow());
}

void LinkSender::scheduleTimer(TimePoint now) {
  Timer.reset();
  if (const auto wait = Scheduler->waitTime(now))
    Timer = startTimer(Context, std::max(*wait, MinSendInterval),
                       [this] { sendWaiting(); });
}

void LinkSender::sendWaiting() {
  const TimePoint now = steadyNow();
  for (const OutgoingPacket &it : Scheduler->take(now)) {
    Instruments->Waits.observe(toSeconds(it.Waited));
    TransmitNow(it.Info, it.Data);
  }
  scheduleTimer(now);
}

void LinkSender::tick(TimePoint now) {
  const LinkCounters &counters = Scheduler->counters();
  const auto publish = [](Counter &metric, std::uint64_t value,
                          std::uint64_t &published) {
    metric.add(static_cast<double>(value - published));
    published = value;
  };
  for (std::size_t i = 0; i < LinkClassCount; ++i) {
    publish(*Instruments->SentBytes[i], counters.SentBytes[i],
            Published.SentBytes[i]);
    publish(Instruments->Expired, counters.Expired[i], Published.Expired[i]);
    publish(Instruments->Overflowed, counters.Overflowed[i],
            Published.Overflowed[i]);
  }
  publish(Instruments->Copies, counters.Copies, Published.Copies);
  publish(Instruments->Refused, counters.Refused, Published.Refused);
  const auto report = Scheduler->takeReport(now);
  if (!report)
    return;
  const auto bytesOf = [&](LinkClass it) {
    return std::to_string(report->SentBytes[static_cast<std::size_t>(it)]);
  };
  logEvent(report->IsCongested ? LogLevel::Warning : LogLevel::Info,
           report->IsCongested ? "link_congested" : "link_clear",
           report->IsCongested
               ? "packets wait for the link; uploads are slowed down or refused"
               : "",
           {{"longest_wait_ms", std::to_string(report->LongestWait.count())},
            {"urgent_bytes", bytesOf(LinkClass::Urgent)},
            {"small_bytes", bytesOf(LinkClass::Small)},
            {"medium_bytes", bytesOf(LinkClass::Medium)},
            {"bulk_bytes", bytesOf(LinkClass::Bulk)},
            {"waiting", std::to_string(Scheduler->queueLength())},
            {"refused_total", std::to_string(counters.Refused)}});
}

} // namespace pistachio
