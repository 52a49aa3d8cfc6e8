#include "Fakes/LedgerFile.h"
#include "Runtime/Runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <tclap/CmdLine.h>

#include <charconv>
#include <iostream>

namespace pistachio {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

struct BackEndOptions {
  Endpoint Listen;
  std::string Service;
  std::uint32_t Slots = 1;
  Duration Latency{5};
  std::uint32_t ColdSlots = 1;
  Duration ColdStartDuration{0};
};

std::span<const std::byte> bytesOf(const std::string &text) {
  return std::as_bytes(std::span(text.data(), text.size()));
}

/// Returns the number that follows "bytes=" in a request target.
std::size_t requestedAnswerBytes(std::string_view path) {
  std::size_t n = 0;
  const auto at = path.find("bytes=");
  if (at != std::string_view::npos)
    std::from_chars(path.data() + at + 6, path.data() + path.size(), n);
  return std::min(n, MaxContentBytes);
}

class BackEnd {
public:
  BackEnd(boost::asio::io_context &context, BackEndOptions options,
          LedgerFile &ledger)
      : Options(std::move(options)), Ledger(ledger),
        Acceptor(context, tcp::endpoint(boost::asio::ip::address_v4(
                                            Options.Listen.Address),
                                        Options.Listen.Port)),
        StartTime(steadyNow()) {
    accept();
  }

  void printCounters() const {
    std::cout << Options.Service << " " << toString(Options.Listen)
              << " runs=" << RunRequests << " shed=" << RejectedRequests
              << " peak=" << PeakInFlight << std::endl;
  }

private:
  struct Connection {
    explicit Connection(tcp::socket socket)
        : Stream(std::move(socket)), Timer(Stream.get_executor()) {
      Parser.body_limit(MaxContentBytes);
    }
    beast::tcp_stream Stream;
    boost::asio::steady_timer Timer;
    beast::flat_buffer Buffer;
    http::request_parser<http::string_body> Parser;
    http::response<http::string_body> Response;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    Acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      if (!ec) {
        auto it = std::make_shared<Connection>(std::move(socket));
        http::async_read(it->Stream, it->Buffer, it->Parser,
                         [this, it](error_code ec, std::size_t) {
                           if (!ec)
                             onRequest(it);
                         });
      }
      accept();
    });
  }

  bool isCold() const {
    return steadyNow() - StartTime < Options.ColdStartDuration;
  }

  void onRequest(const ConnectionPtr &it) {
    const auto &request = it->Parser.get();
    const std::string id(request["Idempotency-Key"]);
    const bool isSupportedMethod = request.method() == http::verb::get ||
                                   request.method() == http::verb::post;
    if (id.empty() || !isSupportedMethod)
      return respond(it, http::status::bad_request, "");
    if (InFlight >= (isCold() ? Options.ColdSlots : Options.Slots)) {
      ++RejectedRequests;
      it->Response.set(http::field::retry_after, "1");
      return respond(it, http::status::service_unavailable, "");
    }
    ++InFlight;
    ++RunRequests;
    PeakInFlight = std::max(PeakInFlight, InFlight);
    const std::string path(request.target());
    const std::uint32_t checksum = checksum32(bytesOf(request.body()));
    std::string body =
        id + " " + Options.Service + " " + std::to_string(checksum) + "\n";
    const std::size_t size = std::max(requestedAnswerBytes(path), body.size());
    for (std::uint64_t n = 0; body.size() < size; ++n)
      body += static_cast<char>(mix64(n + checksum32(bytesOf(id))));
    // The ledger entry is written before the response is sent, because a
    // request whose answer is lost counts as run. The timer simulates the time
    // of the run.
    Ledger.write({{"event", "run"},
                  {"id", id},
                  {"service", Options.Service},
                  {"method", std::string(request.method_string())},
                  {"path", path},
                  {"checksum", checksum},
                  {"answer", checksum32(bytesOf(body))}});
    it->Timer.expires_after(Options.Latency);
    it->Timer.async_wait(
        [this, it, body = std::move(body)](error_code) mutable {
          --InFlight;
          respond(it, http::status::ok, std::move(body));
        });
  }

  static void respond(const ConnectionPtr &it, http::status status,
                      std::string body) {
    it->Response.version(11);
    it->Response.result(status);
    it->Response.keep_alive(false);
    it->Response.body() = std::move(body);
    it->Response.prepare_payload();
    http::async_write(it->Stream, it->Response,
                      [it](error_code, std::size_t) { it->Stream.close(); });
  }

  BackEndOptions Options;
  LedgerFile &Ledger;
  tcp::acceptor Acceptor;
  TimePoint StartTime;
  std::uint32_t InFlight = 0;
  std::uint32_t PeakInFlight = 0;
  std::uint64_t RunRequests = 0;
  std::uint64_t RejectedRequests = 0;
};

int run(int argc, char **argv) {
  BackEndOptions options;
  std::string ledgerPath;
  try {
    TCLAP::CmdLine line(
        "Simulates the HTTP/1.1 back end of one upstream. It "
        "runs every GET or POST "
        "request with an Idempotency-Key; ?bytes=N sets the answer's size. The "
        "answer begins with the request "
        "id, the service and the checksum of the body. If all "
        "slots are in use, it answers 503 without running the request.",
        ' ', "1");
    TCLAP::ValueArg<std::string> listen(
        "", "listen", "TCP endpoint on which requests are accepted", true, "",
        "IP:PORT", line);
    TCLAP::ValueArg<std::string> service("", "service", "service name", true,
                                         "", "NAME", line);
    TCLAP::ValueArg<std::string> ledger("", "ledger", "ledger file", true, "",
                                        "FILE", line);
    TCLAP::ValueArg<std::uint32_t> slots(
        "", "slots", "maximum number of concurrent requests", false, 1, "N",
        line);
    TCLAP::ValueArg<int> latency("", "latency-ms",
                                 "execution time of one request", false, 5,
                                 "MS", line);
    TCLAP::ValueArg<std::uint32_t> coldSlots(
        "", "cold-slots", "slots during the cold start", false, 1, "N", line);
    TCLAP::ValueArg<int> cold("", "cold-ms", "duration of the cold start",
                              false, 0, "MS", line);
    line.parse(argc, argv);
    options = {parseEndpoint(listen.getValue()).value(),
               service.getValue(),
               slots.getValue(),
               Duration(latency.getValue()),
               coldSlots.getValue(),
               Duration(cold.getValue())};
    ledgerPath = ledger.getValue();
  } catch (const TCLAP::ArgException &e) {
    std::cerr << e.error() << "\n";
    return ExitCode::Usage;
  }
  LedgerFile ledger(ledgerPath);
  if (!ledger.isOpen()) {
    std::cerr << ledgerPath << ": the ledger cannot be opened\n";
    return 1;
  }
  boost::asio::io_context context;
  BackEnd backEnd(context, std::move(options), ledger);
  onStopSignal(context, [&] { context.stop(); });
  context.run();
  backEnd.printCounters();
  return 0;
}

} // namespace
} // namespace pistachio

int main(int argc, char **argv) { return pistachio::run(argc, argv); }
