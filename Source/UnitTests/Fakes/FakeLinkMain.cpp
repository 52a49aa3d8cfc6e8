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

/// What the link does to its connections, open ones included.
struct Fault {
  /// Bytes in this direction are not read, as if packets were lost.
  bool HoldsRequests = false;
  bool HoldsReplies = false;
  Duration Delay{0};
  bool Resets = false;
};

/// \p text is "open", "silent", "deaf" (requests are held), "mute" (replies
/// are held), "reset" or "delay MILLISECONDS".
std::optional<Fault> parseFault(const std::string &text) {
  if (text == "open")
    return Fault{};
  if (text == "silent")
    return Fault{.HoldsRequests = true, .HoldsReplies = true};
  if (text == "deaf")
    return Fault{.HoldsRequests = true};
  if (text == "mute")
    return Fault{.HoldsReplies = true};
  if (text == "reset")
    return Fault{.Resets = true};
  constexpr std::string_view Delay = "delay ";
  if (text.starts_with(Delay))
    return Fault{.Delay = Duration(std::atoi(text.c_str() + Delay.size()))};
  return std::nullopt;
}

/// A TCP proxy on loopback whose faults are read from a file.
class Link {
public:
  Link(boost::asio::io_context &context, Endpoint target, std::string file)
      : Context(context), Target(target), File(std::move(file)) {
    Reload = startTimer(Context, ReloadInterval, [this] { reload(); });
  }

  awaitable<void> listen(Endpoint local) {
    tcp::acceptor acceptor(Context, toAsio(local));
    for (;;) {
      tcp::socket client =
          co_await acceptor.async_accept(boost::asio::use_awaitable);
      auto pair =
          std::make_shared<Pair>(std::move(client), tcp::socket(Context));
      boost::asio::co_spawn(Context, carry(pair), boost::asio::detached);
    }
  }

private:
  struct Pair {
    Pair(tcp::socket client, tcp::socket server)
        : Client(std::move(client)), Server(std::move(server)) {}
    tcp::socket Client;
    tcp::socket Server;
  };

  static tcp::endpoint toAsio(const Endpoint &it) {
    return {boost::asio::ip::address_v4(it.Address), it.Port};
  }

  void reload() {
    std::ifstream in(File);
    std::string line;
    if (!std::getline(in, line))
      return;
    if (const auto fault = parseFault(line))
      Present = *fault;
    if (!Present.Resets)
      return;
    for (const auto &it : Open)
      if (const auto pair = it.lock())
        reset(*pair);
    Open.clear();
  }

  static void reset(Pair &pair) {
    for (tcp::socket *it : {&pair.Client, &pair.Server}) {
      error_code ec;
      it->set_option(boost::asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }

  awaitable<void> pause(Duration time) {
    boost::asio::steady_timer timer(Context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  awaitable<void> carry(std::shared_ptr<Pair> pair) {
    error_code ec;
    while (Present.HoldsRequests)
      co_await pause(ReloadInterval);
    co_await pair->Server.async_connect(
        toAsio(Target),
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    if (ec)
      co_return reset(*pair);
    Open.push_back(pair);
    boost::asio::co_spawn(
        Context, pump(pair, pair->Client, pair->Server, &Fault::HoldsRequests),
        boost::asio::detached);
    co_await pump(pair, pair->Server, pair->Client, &Fault::HoldsReplies);
  }

  /// Until either end closes; then both are closed. \p owner keeps both alive.
  awaitable<void> pump([[maybe_unused]] std::shared_ptr<Pair> owner,
                       tcp::socket &from, tcp::socket &to,
                       bool Fault::*isHeld) {
    std::array<char, ChunkBytes> buf;
    error_code ec;
    while (!ec) {
      const std::size_t n = co_await from.async_read_some(
          boost::asio::buffer(buf),
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      while (Present.*isHeld)
        co_await pause(ReloadInterval);
      if (Present.Delay > Duration::zero())
        co_await pause(Present.Delay);
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
  std::string File;
  Fault Present;
  std::list<std::weak_ptr<Pair>> Open;
  std::unique_ptr<PeriodicTimer> Reload;
};

int run(int argc, char **argv) {
  TCLAP::CmdLine command(
      "A TCP link on loopback with faults: open, silent, deaf, mute, reset or "
      "'delay MILLISECONDS', as the first line of the file says.",
      ' ');
  TCLAP::ValueArg<std::string> listen("", "listen", "where clients connect",
                                      true, "", "A.B.C.D:PORT", command);
  TCLAP::ValueArg<std::string> to("", "to", "the server", true, "",
                                  "A.B.C.D:PORT", command);
  TCLAP::ValueArg<std::string> file("", "fault-file", "names the fault", true,
                                    "", "FILE", command);
  command.parse(argc, argv);
  const auto local = parseEndpoint(listen.getValue());
  const auto target = parseEndpoint(to.getValue());
  if (!local.ok() || !target.ok()) {
    std::cerr << "--listen and --to need an address and a port\n";
    return ExitCode::Usage;
  }
  boost::asio::io_context context(1);
  Link link(context, *target, file.getValue());
  boost::asio::co_spawn(context, link.listen(*local), boost::asio::detached);
  onStopSignal(context, [&] { context.stop(); });
  context.run();
  return ExitCode::Ok;
}

} // namespace
} // namespace pistachio

int main(int argc, char **argv) { return pistachio::run(argc, argv); }
