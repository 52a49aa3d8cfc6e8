#include "Runtime/Runtime.h"

#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <random>

namespace pistachio {
namespace {

constexpr Duration ReloadInterval{100};
constexpr int MaxReorderDelayMs = 20;

struct FabricOptions {
  Endpoint Listen;
  std::vector<Endpoint> Balancers;
  std::string BalancersFile;
  double LossProbability = 0;
  double DuplicateProbability = 0;
  double ReorderProbability = 0;
  std::uint64_t Seed = 1;
};

class Fabric {
public:
  Fabric(boost::asio::io_context &context, FabricOptions options)
      : Context(context), Options(std::move(options)), Random(Options.Seed) {}

  absl::Status start() {
    auto udp = openUdp(Context, Options.Listen,
                       [this](std::span<const std::byte> buf,
                              const Endpoint &) { onDatagram(buf); });
    if (!udp.ok())
      return udp.status();
    Udp = *std::move(udp);
    if (!Options.BalancersFile.empty()) {
      reloadBalancers();
      ReloadTimer =
          startTimer(Context, ReloadInterval, [this] { reloadBalancers(); });
    }
    return absl::OkStatus();
  }

private:
  /// Reads the balancers from the file, one endpoint on each line. If the file
  /// is being written and yields no endpoint, the list is kept until the next
  /// interval.
  void reloadBalancers() {
    std::ifstream in(Options.BalancersFile);
    std::vector<Endpoint> balancers;
    for (std::string line; std::getline(in, line);)
      if (const auto it = parseEndpoint(line); it.ok())
        balancers.push_back(*it);
    if (!balancers.empty())
      Options.Balancers = std::move(balancers);
  }

  bool drawEvent(double probability) {
    return std::uniform_real_distribution<>(0, 1)(Random) < probability;
  }

  void onDatagram(std::span<const std::byte> buf) {
    if (drawEvent(Options.LossProbability))
      return;
    if (drawEvent(Options.DuplicateProbability))
      forwardOrDelay(Bytes(buf.begin(), buf.end()));
    forwardOrDelay(Bytes(buf.begin(), buf.end()));
  }

  void forwardOrDelay(Bytes buf) {
    if (!drawEvent(Options.ReorderProbability))
      return send(buf);
    const auto delay =
        Duration(std::uniform_int_distribution<>(1, MaxReorderDelayMs)(Random));
    auto timer = std::make_shared<boost::asio::steady_timer>(Context, delay);
    timer->async_wait([this, timer, buf = std::move(buf)](
                          boost::system::error_code) { send(buf); });
  }

  void send(const Bytes &buf) {
    if (Options.Balancers.empty())
      return;
    const std::size_t n = std::uniform_int_distribution<std::size_t>(
        0, Options.Balancers.size() - 1)(Random);
    Udp->send(buf, Options.Balancers[n]);
  }

  boost::asio::io_context &Context;
  FabricOptions Options;
  std::mt19937_64 Random;
  std::unique_ptr<UdpSocket> Udp;
  std::unique_ptr<PeriodicTimer> ReloadTimer;
};

int run(int argc, char **argv) {
  FabricOptions options;
  try {
    TCLAP::CmdLine line(
        "Simulates the network of the platform: forwards each datagram "
        "of a caller to a randomly selected balancer.",
        ' ', "1");
    TCLAP::ValueArg<std::string> listen("", "listen",
                                        "UDP endpoint to which callers send",
                                        true, "", "IP:PORT", line);
    TCLAP::MultiArg<std::string> balancers(
        "", "balancer", "endpoint of a balancer; may be repeated", false,
        "IP:PORT", line);
    TCLAP::ValueArg<std::string> file(
        "", "balancers-file",
        "file with the endpoint of one balancer on each line; read again every "
        "100 ms",
        false, "", "FILE", line);
    TCLAP::ValueArg<double> loss("", "loss", "probability", false, 0, "P",
                                 line);
    TCLAP::ValueArg<double> repeat("", "repeat", "probability", false, 0, "P",
                                   line);
    TCLAP::ValueArg<double> reorder("", "reorder", "probability", false, 0, "P",
                                    line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false, 1, "N",
                                        line);
    line.parse(argc, argv);
    options.Listen = parseEndpoint(listen.getValue()).value();
    for (const std::string &it : balancers.getValue())
      options.Balancers.push_back(parseEndpoint(it).value());
    options.BalancersFile = file.getValue();
    options.LossProbability = loss.getValue();
    options.DuplicateProbability = repeat.getValue();
    options.ReorderProbability = reorder.getValue();
    options.Seed = seed.getValue();
  } catch (const TCLAP::ArgException &e) {
    std::cerr << e.error() << "\n";
    return ExitCode::Usage;
  }
  boost::asio::io_context context;
  Fabric fabric(context, std::move(options));
  if (const auto status = fabric.start(); !status.ok()) {
    std::cerr << status.ToString() << "\n";
    return 1;
  }
  onStopSignal(context, [&] { context.stop(); });
  context.run();
  return 0;
}

} // namespace
} // namespace pistachio

int main(int argc, char **argv) { return pistachio::run(argc, argv); }
