#include "Runtime/Runtime.h"

#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>

using namespace pistachio;

namespace {

/// Maximum number of packets in flight. It is high enough that the forwarder is
/// never idle, and low enough that its socket buffer does not overflow.
constexpr std::uint64_t MaxPacketsInFlight = 256;

/// Forwards every datagram to one target. It makes the same system calls as a
/// balancer but no routing decision, and is the baseline for the packet rate of
/// the balancer.
class BareForwarder {
public:
  absl::Status start(const Endpoint &target) {
    auto opened =
        openUdp(Context, {0x7F000001, 0},
                [this, target](std::span<const std::byte> buf,
                               const Endpoint &) { Udp->send(buf, target); });
    if (!opened.ok())
      return opened.status();
    Udp = *std::move(opened);
    Thread = std::thread([this] { Context.run(); });
    return absl::OkStatus();
  }
  Endpoint endpoint() const { return Udp->endpoint(); }
  void stop() {
    Context.stop();
    Thread.join();
  }

private:
  boost::asio::io_context Context{1};
  std::unique_ptr<UdpSocket> Udp;
  std::thread Thread;
};

struct MeterOptions {
  Endpoint Control;
  Endpoint Service;
  std::string ServiceName;
  std::string DataCentre;
  int PayloadBytes = 0;
};

/// Sends packets through a forwarder and counts those that reach the sink. The
/// sink is announced to the control instance as the only upstream of the
/// service.
class PacketRateMeter {
public:
  explicit PacketRateMeter(MeterOptions options)
      : Options(std::move(options)) {}

  absl::Status start() {
    auto opened = openUdp(SinkContext, {0x7F000001, 0},
                          [this](std::span<const std::byte>, const Endpoint &) {
                            Received.fetch_add(1, std::memory_order_relaxed);
                          });
    if (!opened.ok())
      return opened.status();
    Sink = *std::move(opened);
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId) { announce(); };
    handlers.OnFrame = [](ConnectionId, std::span<const std::byte>) {};
    handlers.OnClose = [](ConnectionId) {};
    Control = connectTcp(SinkContext, {Options.Control}, std::move(handlers));
    Timer = startTimer(SinkContext, Duration(1000), [this] { announce(); });
    SinkThread = std::thread([this] { SinkContext.run(); });
    return absl::OkStatus();
  }
  Endpoint sink() const { return Sink->endpoint(); }
  void stop() {
    SinkContext.stop();
    SinkThread.join();
  }

  /// Returns the number of packets per second that arrive at the sink.
  double measureRate(const Endpoint &forwarder, std::chrono::seconds duration) {
    boost::asio::io_context context(1);
    auto sender = openUdp(context, {0x7F000001, 0},
                          [](std::span<const std::byte>, const Endpoint &) {});
    if (!sender.ok())
      return 0;
    std::vector<Bytes> packets;
    for (std::uint64_t i = 0; i < 1024; ++i) {
      CallerPacket packet{Options.Service,
                          {0x7F000001, 9},
                          FlowId{i + 1},
                          PacketFlag::Established,
                          {},
                          {}};
      packet.Payload.resize(static_cast<std::size_t>(Options.PayloadBytes));
      packets.emplace_back();
      encodeData(packet, packets.back()).IgnoreError();
    }
    const auto start = std::chrono::steady_clock::now();
    const std::uint64_t initiallyReceived = Received.load();
    std::uint64_t sent = 0;
    std::uint64_t lost = 0;
    auto lastProgress = start;
    std::uint64_t lastReceived = initiallyReceived;
    while (std::chrono::steady_clock::now() - start < duration) {
      const std::uint64_t received = Received.load(std::memory_order_relaxed);
      if (received != lastReceived) {
        lastReceived = received;
        lastProgress = std::chrono::steady_clock::now();
      }
      if (sent - lost - (received - initiallyReceived) < MaxPacketsInFlight) {
        (*sender)->send(packets[sent % packets.size()], forwarder);
        ++sent;
      } else if (std::chrono::steady_clock::now() - lastProgress >
                 std::chrono::milliseconds(100)) {
        // Lost packets must not count as in flight, because no further packets
        // would be sent once the maximum is reached.
        lost = sent - (received - initiallyReceived);
        lastProgress = std::chrono::steady_clock::now();
      }
    }
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    return static_cast<double>(Received.load() - initiallyReceived) /
           elapsed.count();
  }

private:
  void announce() {
    Announce message;
    message.Service = Options.ServiceName;
    message.DataCentre = Options.DataCentre;
    message.Zone = "bench";
    message.Machine = "sink";
    message.Address = Sink->endpoint();
    message.ProcessIncarnation = Incarnation{1};
    message.Slots = 1;
    Bytes buf;
    if (encodeNode(message, buf).ok())
      Control->send(buf);
  }

  MeterOptions Options;
  boost::asio::io_context SinkContext{1};
  std::unique_ptr<UdpSocket> Sink;
  std::unique_ptr<TcpClient> Control;
  std::unique_ptr<PeriodicTimer> Timer;
  std::thread SinkThread;
  std::atomic<std::uint64_t> Received = 0;
};

} // namespace

int main(int argc, char **argv) {
  TCLAP::CmdLine line("Compares the packet rate of a balancer with that of a "
                      "plain UDP forwarder. "
                      "The sink replaces the agent of the "
                      "service's only upstream.",
                      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> balancer(
      "", "balancer", "endpoint of the balancer", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> service("", "service", "address of the service",
                                       true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> control("", "control",
                                       "node endpoint of the control instance",
                                       true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> name("", "name", "name of the service", true, "",
                                    "NAME", line);
  TCLAP::ValueArg<std::string> dataCentre(
      "", "data-centre", "data centre of the sink", true, "", "NAME", line);
  TCLAP::ValueArg<int> payload("", "payload", "bytes of payload in each packet",
                               false, 200, "N", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "duration of each run in seconds",
                               false, 3, "N", line);
  TCLAP::ValueArg<int> rounds(
      "", "rounds",
      "number of runs of each forwarder, alternating between both", false, 3,
      "N", line);
  line.parse(argc, argv);
  const auto balancerEndpoint = parseEndpoint(balancer.getValue());
  const auto serviceEndpoint = parseEndpoint(service.getValue());
  const auto controlEndpoint = parseEndpoint(control.getValue());
  if (!balancerEndpoint.ok() || !serviceEndpoint.ok() ||
      !controlEndpoint.ok()) {
    std::cerr << "--balancer, --service and --control each require an IPv4 "
                 "address and "
                 "a port\n";
    return 2;
  }
  PacketRateMeter meter({*controlEndpoint, *serviceEndpoint, name.getValue(),
                         dataCentre.getValue(), payload.getValue()});
  BareForwarder bareForwarder;
  if (!meter.start().ok() || !bareForwarder.start(meter.sink()).ok()) {
    std::cerr
        << "a socket of the sink or of the plain forwarder cannot be opened\n";
    return 3;
  }
  // The balancer must have received the table with the announced sink before
  // the first packet.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  double bareRate = 0;
  double balancerRate = 0;
  for (int i = 0; i < rounds.getValue(); ++i) {
    bareRate = std::max(
        bareRate, meter.measureRate(bareForwarder.endpoint(),
                                    std::chrono::seconds(seconds.getValue())));
    balancerRate =
        std::max(balancerRate,
                 meter.measureRate(*balancerEndpoint,
                                   std::chrono::seconds(seconds.getValue())));
  }
  bareForwarder.stop();
  meter.stop();
  std::cout << "bare_packets_per_second="
            << static_cast<std::uint64_t>(bareRate)
            << " balancer_packets_per_second="
            << static_cast<std::uint64_t>(balancerRate)
            << " ratio=" << balancerRate / bareRate << "\n";
  return balancerRate > 0 ? 0 : 1;
}
