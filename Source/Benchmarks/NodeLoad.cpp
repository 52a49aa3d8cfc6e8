#include "Runtime/Runtime.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <variant>

using namespace pistachio;

namespace {

/// Counters of all simulated nodes.
struct Totals {
  std::uint64_t Open = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Grants = 0;
  std::uint64_t Updates = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t BytesSent = 0;
};

/// One connection that behaves like a balancer, which subscribes and renews its
/// lease, or like an agent, which announces an upstream of a service.
class SimulatedNode {
public:
  SimulatedNode(boost::asio::io_context &context, const Endpoint &control,
                std::string name, std::string dataCentre, std::string service,
                std::uint16_t port, Totals &totals)
      : Name(std::move(name)), DataCentre(std::move(dataCentre)),
        Service(std::move(service)), Address{0x7F000002, port}, Sum(totals) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId) {
      ++Sum.Open;
      if (Service.empty())
        send(Subscribe{Name, DataCentre, Address, Have});
    };
    handlers.OnFrame = [this](ConnectionId, std::span<const std::byte> frame) {
      onFrame(frame);
    };
    handlers.OnClose = [this](ConnectionId) { --Sum.Open; };
    Client = connectTcp(context, {control}, std::move(handlers));
  }

  void renew() {
    if (!Client->isOpen())
      return;
    ++Sum.Requests;
    if (Service.empty())
      send(LeaseRequest{Name, Have});
    else
      send(Announce{Service, DataCentre, "zone", Name, Address, Incarnation{1},
                    5, 0, false, false});
  }

private:
  void send(const NodeMessage &message) {
    Bytes buf;
    if (!encodeNode(message, buf).ok())
      return;
    Sum.BytesSent += buf.size();
    Client->send(buf);
  }

  void onFrame(std::span<const std::byte> frame) {
    Sum.BytesReceived += frame.size();
    const auto message = decodeNode(frame);
    if (!message.ok())
      return;
    if (const auto *update = std::get_if<TableUpdate>(&*message)) {
      ++Sum.Updates;
      if (update->Part + 1 == update->Parts)
        Have = update->To;
    } else if (const auto *grant = std::get_if<LeaseGrant>(&*message)) {
      Sum.Grants += grant->ValidMs > 0 ? 1 : 0;
    } else if (const auto *reply = std::get_if<AnnounceReply>(&*message)) {
      Sum.Grants += reply->Result == AnnounceResult::Accepted ? 1 : 0;
    }
  }

  std::string Name;
  std::string DataCentre;
  /// Empty for a balancer.
  std::string Service;
  Endpoint Address;
  Totals &Sum;
  Revision Have;
  std::unique_ptr<TcpClient> Client;
};

} // namespace

int main(int argc, char **argv) {
  TCLAP::CmdLine line(
      "Simulates many balancers or agents towards one control instance: "
      "subscriptions and renewals.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> control("", "control",
                                       "node endpoint of the control instance",
                                       true, "", "IP:PORT", line);
  TCLAP::ValueArg<int> nodes("", "nodes", "simulated balancers", false, 100,
                             "N", line);
  TCLAP::ValueArg<int> interval("", "interval-ms",
                                "time between two renewals of a node", false,
                                500, "MS", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "duration", false, 10, "N", line);
  TCLAP::ValueArg<std::string> dataCentre("", "data-centre",
                                          "data centre of the nodes", false,
                                          "ee-north-a", "NAME", line);
  TCLAP::ValueArg<std::string> service(
      "", "announce", "simulate agents of this service instead of balancers",
      false, "", "SERVICE", line);
  line.parse(argc, argv);
  const auto endpoint = parseEndpoint(control.getValue());
  if (!endpoint.ok()) {
    std::cerr << endpoint.status().ToString() << "\n";
    return 2;
  }

  boost::asio::io_context context(1);
  Totals totals;
  std::vector<std::unique_ptr<SimulatedNode>> all;
  all.reserve(static_cast<std::size_t>(nodes.getValue()));
  for (int i = 0; i < nodes.getValue(); ++i)
    all.push_back(std::make_unique<SimulatedNode>(
        context, *endpoint, "simulated-" + std::to_string(i),
        dataCentre.getValue(), service.getValue(),
        static_cast<std::uint16_t>(i + 1), totals));
  // Renewals of all nodes are spread evenly over the interval.
  std::size_t next = 0;
  const TimePoint start = steadyNow();
  const auto step = startTimer(context, Duration(1), [&] {
    const TimePoint now = steadyNow();
    const double perMs = static_cast<double>(all.size()) / interval.getValue();
    const auto n = static_cast<std::size_t>(
        perMs * static_cast<double>((now - start).count()));
    for (; next < n; ++next)
      all[next % all.size()]->renew();
  });
  context.run_for(std::chrono::seconds(seconds.getValue()));
  std::cout << "nodes=" << totals.Open << " requests=" << totals.Requests
            << " grants=" << totals.Grants << " updates=" << totals.Updates
            << " received_bytes=" << totals.BytesReceived
            << " sent_bytes=" << totals.BytesSent << "\n";
  return 0;
}
