#include "Ctl/Ctl.h"

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace pistachio {
namespace {

class ProcessEnvironment final : public CtlEnvironment {
public:
  std::ostream &out() override { return std::cout; }
  std::ostream &err() override { return std::cerr; }

  std::unique_ptr<AdminClient> makeClient(std::vector<Endpoint> servers,
                                          std::string secret,
                                          Duration deadline) override {
    return makeAdminClient(std::move(servers), std::move(secret), deadline);
  }

  absl::StatusOr<std::string> explain(const Endpoint &balancer,
                                      const FlowEndpoints &flow,
                                      Duration timeout) override {
    return readExplanation(balancer, flow, timeout);
  }

  TimePoint now() override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }

  void sleep(Duration time) override { std::this_thread::sleep_for(time); }

  std::string newOperationId() override {
    constexpr int HexDigits = 32;
    std::random_device randomDevice;
    std::string id;
    for (int i = 0; i < HexDigits; ++i)
      id += "0123456789abcdef"[randomDevice() % 16];
    return id;
  }

  bool confirm(std::string_view question) override {
    std::cout << question << " [y/N] " << std::flush;
    std::string answer;
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
  }

  std::string user() override {
    const char *name = std::getenv("USER");
    return name == nullptr ? "" : name;
  }
};

} // namespace
} // namespace pistachio

int main(int argc, char **argv) {
  const std::vector<std::string> args(argv + 1, argv + argc);
  pistachio::ProcessEnvironment environment;
  return static_cast<int>(
      pistachio::runCtl(args, PISTACHIO_VERSION, environment));
}
