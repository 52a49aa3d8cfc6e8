#include "Runtime/Runtime.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <variant>

using namespace pistachio;

namespace {

/// Counters summed over all simulated nodes.
struct LoadCounters {
  std::uint64_t OpenConnections = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Grants = 0;
  std::uint64_t Updates = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t BytesSent = 0;
};

/// One connection that behaves like a balancer, which subscribes to the table
/// and renews its lease, or like an agent, which announces an upstream of a
/// service.
class SimulatedNode {
public:
  SimulatedNode(boost::asio::io_context &context, const Endpoint &control,
                std::string name, std::string dataCentre, std::string service,
                std::uint16_t port, LoadCounters &counters)
      : Name(std::move(name)), DataCentre(std::move(dataCentre)),
        Service(std::move(service)), Address{0x7F000002, port},
        Counters(counters) {
    TcpHandlers handlers;
    handlers.OnOpen = [this](ConnectionId) {
      ++Counters.OpenConnections;
      if (Service.empty())
        send(Subscribe{Name, DataCentre, Address, TableRevision});
    };
    handlers.OnFrame = [this](ConnectionId, std::span<const std::byte> frame) {
      onFrame(frame);
    };
    handlers.OnClose = [this](ConnectionId) { --Counters.OpenConnections; };
    Client = connectTcp(context, {control}, std::move(handlers));
  }

  void renew() {
    if (!Client->isOpen())
      return;
    ++Counters.Requests;
    if (Service.empty())
      send(LeaseRequest{Name, TableRevision});
    else
      send(Announce{Service, DataCentre, "zone", Name, Address, Incarnation{1},
                    5, 0, false, false});
  }

private:
  void send(const NodeMessage &message) {
    Bytes buf;
    if (!encodeNode(message, buf).ok())
      return;
    Counters.BytesSent += buf.size();
    Client->send(buf);
  }

  void onFrame(std::span<const std::byte> frame) {
    Counters.BytesReceived += frame.size();
    const auto message = decodeNode(frame);
    if (!message.ok())
      return;
    if (const auto *update = std::get_if<TableUpdate>(&*message)) {
      ++Counters.Updates;
      if (update->Part + 1 == update->Parts)
        TableRevision = update->To;
    } else if (const auto *grant = std::get_if<LeaseGrant>(&*message)) {
      Counters.Grants += grant->ValidMs > 0 ? 1 : 0;
    } else if (const auto *reply = std::get_if<AnnounceReply>(&*message)) {
      Counters.Grants += reply->Result == AnnounceResult::Accepted ? 1 : 0;
    }
  }

  std::string Name;
  std::string DataCentre;
  /// Service of the announced upstream; empty for a balancer.
  std::string Service;
  Endpoint Address;
  LoadCounters &Counters;
  Revision TableRevision;
  std::unique_ptr<TcpClient> Client;
};

} // namespace

int main(int argc, char **argv) {
  TCLAP::CmdLine line(
      "Simulates many balancers or agents that connect to one control "
      "instance: "
      "it sends their subscriptions, lease renewals and announcements.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> control("", "control",
                                       "node endpoint of the control instance",
                                       true, "", "IP:PORT", line);
  TCLAP::ValueArg<int> nodes("", "nodes", "number of simulated nodes", false,
                             100, "N", line);
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
  LoadCounters counters;
  std::vector<std::unique_ptr<SimulatedNode>> simulatedNodes;
  simulatedNodes.reserve(static_cast<std::size_t>(nodes.getValue()));
  for (int i = 0; i < nodes.getValue(); ++i)
    simulatedNodes.push_back(std::make_unique<SimulatedNode>(
        context, *endpoint, "simulated-" + std::to_string(i),
        dataCentre.getValue(), service.getValue(),
        static_cast<std::uint16_t>(i + 1), counters));
  // The renewals of all nodes are spread evenly over the interval.
  std::size_t sentRenewals = 0;
  const TimePoint start = steadyNow();
  const auto step = startTimer(context, Duration(1), [&] {
    const TimePoint now = steadyNow();
    const double perMs =
        static_cast<double>(simulatedNodes.size()) / interval.getValue();
    const auto dueRenewals = static_cast<std::size_t>(
        perMs * static_cast<double>((now - start).count()));
    for (; sentRenewals < dueRenewals; ++sentRenewals)
      simulatedNodes[sentRenewals % simulatedNodes.size()]->renew();
  });
  context.run_for(std::chrono::seconds(seconds.getValue()));
  std::cout << "nodes=" << counters.OpenConnections
            << " requests=" << counters.Requests
            << " grants=" << counters.Grants << " updates=" << counters.Updates
            << " received_bytes=" << counters.BytesReceived
            << " sent_bytes=" << counters.BytesSent << "\n";
  return 0;
}
