#include "Runtime/Runtime.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <fstream>
#include <iostream>
#include <list>
#include <optional>

namespace pistachio {
namespace {

using boost::asio::awaitable;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Duration ReloadInterval{50};
constexpr std::size_t ChunkBytes = 16 * 1024;

/// The fault that the proxy applies to all connections, including those that
/// are already open.
struct Fault {
  /// Data in this direction is not forwarded, as if packets were lost.
  bool BlocksRequests = false;
  bool BlocksReplies = false;
  Duration Delay{0};
  bool ResetsConnections = false;
};

/// Parses a fault: "open" (no fault), "silent" (both directions are blocked),
/// "deaf" (requests are blocked), "mute" (replies are blocked), "reset"
/// (connections are reset) or "delay MILLISECONDS".
std::optional<Fault> parseFault(const std::string &text) {
  if (text == "open")
    return Fault{};
  if (text == "silent")
    return Fault{.BlocksRequests = true, .BlocksReplies = true};
  if (text == "deaf")
    return Fault{.BlocksRequests = true};
  if (text == "mute")
    return Fault{.BlocksReplies = true};
  if (text == "reset")
    return Fault{.ResetsConnections = true};
  constexpr std::string_view Delay = "delay ";
  if (text.starts_with(Delay))
    return Fault{.Delay = Duration(std::atoi(text.c_str() + Delay.size()))};
  return std::nullopt;
}

/// A TCP proxy on loopback that applies the fault named in a file.
class FaultyTcpProxy {
public:
  FaultyTcpProxy(boost::asio::io_context &context, Endpoint target,
                 std::string file)
      : Context(context), Target(target), FaultFile(std::move(file)) {
    ReloadTimer =
        startTimer(Context, ReloadInterval, [this] { reloadFault(); });
  }

  awaitable<void> listen(Endpoint local) {
    tcp::acceptor acceptor(Context, toAsio(local));
    for (;;) {
      tcp::socket client =
          co_await acceptor.async_accept(boost::asio::use_awaitable);
      auto pair = std::make_shared<ConnectionPair>(std::move(client),
                                                   tcp::socket(Context));
      boost::asio::co_spawn(Context, relayConnection(pair),
                            boost::asio::detached);
    }
  }

private:
  struct ConnectionPair {
    ConnectionPair(tcp::socket client, tcp::socket server)
        : Client(std::move(client)), Server(std::move(server)) {}
    tcp::socket Client;
    tcp::socket Server;
  };

  static tcp::endpoint toAsio(const Endpoint &it) {
    return {boost::asio::ip::address_v4(it.Address), it.Port};
  }

  void reloadFault() {
    std::ifstream in(FaultFile);
    std::string line;
    if (!std::getline(in, line))
      return;
    if (const auto fault = parseFault(line))
      CurrentFault = *fault;
    if (!CurrentFault.ResetsConnections)
      return;
    for (const auto &it : OpenPairs)
      if (const auto pair = it.lock())
        resetPair(*pair);
    OpenPairs.clear();
  }

  static void resetPair(ConnectionPair &pair) {
    for (tcp::socket *it : {&pair.Client, &pair.Server}) {
      error_code ec;
      it->set_option(boost::asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }

  awaitable<void> sleepFor(Duration time) {
    boost::asio::steady_timer timer(Context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  awaitable<void> relayConnection(std::shared_ptr<ConnectionPair> pair) {
    error_code ec;
    while (CurrentFault.BlocksRequests)
      co_await sleepFor(ReloadInterval);
    co_await pair->Server.async_connect(
        toAsio(Target),
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec)
      co_return resetPair(*pair);
    OpenPairs.push_back(pair);
    boost::asio::co_spawn(
        Context,
        relayBytes(pair, pair->Client, pair->Server, &Fault::BlocksRequests),
        boost::asio::detached);
    co_await relayBytes(pair, pair->Server, pair->Client,
                        &Fault::BlocksReplies);
  }

  /// Copies data in one direction until either end closes the connection, then
  /// closes both ends. \p pairOwner keeps both sockets alive.
  awaitable<void>
  relayBytes([[maybe_unused]] std::shared_ptr<ConnectionPair> pairOwner,
             tcp::socket &from, tcp::socket &to, bool Fault::*isBlocked) {
    std::array<char, ChunkBytes> buf;
    error_code ec;
    while (!ec) {
      const std::size_t n = co_await from.async_read_some(
          boost::asio::buffer(buf),
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      while (CurrentFault.*isBlocked)
        co_await sleepFor(ReloadInterval);
      if (CurrentFault.Delay > Duration::zero())
        co_await sleepFor(CurrentFault.Delay);
      if (!ec)
        co_await boost::asio::async_write(
            to, boost::asio::buffer(buf, n),
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    from.close(ec);
    to.close(ec);
  }

  boost::asio::io_context &Context;
  Endpoint Target;
  std::string FaultFile;
  Fault CurrentFault;
  std::list<std::weak_ptr<ConnectionPair>> OpenPairs;
  std::unique_ptr<PeriodicTimer> ReloadTimer;
};

int run(int argc, char **argv) {
  TCLAP::CmdLine command(
      "A TCP proxy on loopback that simulates network faults as named in the "
      "first line of a file: open, silent, deaf, mute, reset or 'delay "
      "MILLISECONDS'.",
      ' ');
  TCLAP::ValueArg<std::string> listen("", "listen",
                                      "endpoint to which clients connect", true,
                                      "", "A.B.C.D:PORT", command);
  TCLAP::ValueArg<std::string> to("", "to", "endpoint of the server", true, "",
                                  "A.B.C.D:PORT", command);
  TCLAP::ValueArg<std::string> file("", "fault-file",
                                    "file whose first line names the fault",
                                    true, "", "FILE", command);
  command.parse(argc, argv);
  const auto local = parseEndpoint(listen.getValue());
  const auto target = parseEndpoint(to.getValue());
  if (!local.ok() || !target.ok()) {
    std::cerr << "--listen and --to each require an IPv4 address and a port\n";
    return ExitCode::Usage;
  }
  boost::asio::io_context context(1);
  FaultyTcpProxy proxy(context, *target, file.getValue());
  boost::asio::co_spawn(context, proxy.listen(*local), boost::asio::detached);
  onStopSignal(context, [&] { context.stop(); });
  context.run();
  return ExitCode::Ok;
}

} // namespace
} // namespace pistachio

int main(int argc, char **argv) { return pistachio::run(argc, argv); }
