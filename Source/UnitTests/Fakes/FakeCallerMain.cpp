#include "Fakes/LedgerFile.h"
#include "Runtime/Runtime.h"
#include "Session/Session.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <map>
#include <random>

namespace pistachio {
namespace {

constexpr Duration StepInterval{5};
/// Callers send a keep-alive after this idle time, so that the workloads differ
/// in the duration and the rate of their flows.
constexpr Duration KeepAliveInterval{5000};

struct Workload {
  const char *Method;
  const char *Path;
  bool Idempotent;
  std::size_t BodyBytes;
  std::size_t AnswerBytes;
  /// Number of requests after which the flow is closed and a new one is opened;
  /// 0 for no limit.
  std::uint32_t RequestsPerFlow;
};

const std::map<std::string, Workload> Workloads = {
    {"feed", {"GET", "/feed", true, 0, 400, 0}},
    {"update", {"POST", "/jobs", false, 300, 0, 5}},
    {"upload", {"POST", "/uploads", false, 40000, 0, 1}},
    {"panel", {"POST", "/picks", false, 80, 200, 0}},
    {"bundle", {"GET", "/bundles", true, 0, 60000, 3}}};

struct CallerOptions {
  Endpoint Fabric;
  Endpoint Service;
  std::string ServiceName;
  std::string Kind;
  std::uint32_t Callers = 1;
  std::uint32_t MaxRequests = 0;
  bool SharedSocket = false;
  Duration SendDuration{1000};
  Duration MeanInterval{100};
  Duration Deadline{10000};
  std::uint64_t Seed = 1;
};

std::string toHex(const RequestId &id) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx",
                static_cast<unsigned long long>(id.High),
                static_cast<unsigned long long>(id.Low));
  return text;
}

/// All callers of one workload. Callers that share a socket are distinguished
/// by their flow ids.
class Callers {
public:
  Callers(boost::asio::io_context &context, CallerOptions options,
          LedgerFile &ledger)
      : Context(context), Options(std::move(options)),
        RequestSpec(Workloads.at(Options.Kind)), Ledger(ledger),
        Random(Options.Seed) {}

  absl::Status start() {
    const std::size_t sockets = Options.SharedSocket ? 1 : Options.Callers;
    for (std::size_t n = 0; n < sockets; ++n) {
      auto udp = openUdp(Context, Endpoint{0x7F000001, 0},
                         [this, n](std::span<const std::byte> buf,
                                   const Endpoint &) { onDatagram(n, buf); });
      if (!udp.ok())
        return udp.status();
      Sockets.push_back(*std::move(udp));
    }
    StartTime = steadyNow();
    for (std::size_t n = 0; n < Options.Callers; ++n) {
      CallerState &it = CallerStates.emplace_back();
      it.Socket = n % sockets;
      it.NextRequest = StartTime + drawInterval();
      openSession(it);
    }
    Timer = startTimer(Context, StepInterval, [this] { onTimer(); });
    return absl::OkStatus();
  }

  void stopNewRequests() { Options.SendDuration = Duration(0); }

  void printCounters() const {
    CallerCounters sum = ClosedSessionCounters;
    for (const CallerState &it : CallerStates)
      addCounters(sum, it.Session->counters());
    std::cout << Options.ServiceName << " " << Options.Kind
              << " started=" << StartedRequests << " answered=" << Results[0]
              << " refused=" << Results[1] << " unknown=" << Results[2]
              << " not_own=" << MismatchedAnswers
              << " flows=" << sum.FlowsOpened << " broken=" << sum.FlowsLost
              << " retransmits=" << sum.Retransmits
              << " retries=" << sum.Retries << " stray=" << sum.UnmatchedReplies
              << std::endl;
  }

private:
  struct CallerState {
    std::size_t Socket = 0;
    std::unique_ptr<CallerSession> Session;
    TimePoint NextRequest{};
    std::uint32_t SentRequests = 0;
    std::uint32_t RequestsInFlow = 0;
  };

  static void addCounters(CallerCounters &sum, const CallerCounters &it) {
    sum.FlowsOpened += it.FlowsOpened;
    sum.FlowsLost += it.FlowsLost;
    sum.Retransmits += it.Retransmits;
    sum.Retries += it.Retries;
    sum.UnmatchedReplies += it.UnmatchedReplies;
  }

  Duration drawInterval() {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, 2 * Options.MeanInterval.count())(Random));
  }

  void openSession(CallerState &it) {
    CallerSessionOptions options;
    options.Service = Options.Service;
    options.Caller = Sockets[it.Socket]->endpoint();
    options.KeepAliveInterval = KeepAliveInterval;
    options.Seed = Random();
    it.Session = makeCallerSession(options);
    it.RequestsInFlow = 0;
  }

  void onDatagram(std::size_t socket, std::span<const std::byte> buf) {
    const auto message = decodeData(buf);
    const auto *answer =
        message.ok() ? std::get_if<CallerReply>(&*message) : nullptr;
    if (answer == nullptr)
      return;
    const auto owner = FlowOwners.find(answer->Flow);
    if (owner == FlowOwners.end() ||
        CallerStates[owner->second].Socket != socket)
      return;
    CallerOutput output;
    CallerStates[owner->second].Session->receive(*answer, steadyNow(), output);
    processOutput(CallerStates[owner->second], output);
  }

  void processOutput(CallerState &it, CallerOutput &output) {
    for (const CallerPacket &packet : output.Packets) {
      FlowOwners[packet.Flow] =
          static_cast<std::size_t>(&it - CallerStates.data());
      Bytes buf;
      if (encodeData(packet, buf).ok())
        Sockets[it.Socket]->send(buf, Options.Fabric);
    }
    for (const CallerResult &result : output.Results)
      onResult(result);
  }

  void startRequest(CallerState &it, TimePoint now) {
    CallerRequest request;
    request.Id = {Random(), ++StartedRequests};
    request.Method = RequestSpec.Method;
    request.Path = std::string(RequestSpec.Path) + "/" +
                   std::to_string(StartedRequests) +
                   "?bytes=" + std::to_string(RequestSpec.AnswerBytes);
    request.Idempotent = RequestSpec.Idempotent;
    request.Timeout = Options.Deadline;
    request.Body.resize(RequestSpec.BodyBytes);
    for (std::size_t n = 0; n < RequestSpec.BodyBytes; ++n)
      request.Body[n] = static_cast<std::byte>(mix64(StartedRequests + n));
    Ledger.write({{"event", "start"},
                  {"id", toHex(request.Id)},
                  {"service", Options.ServiceName},
                  {"kind", Options.Kind},
                  {"idempotent", request.Idempotent},
                  {"checksum", checksum32(request.Body)}});
    ++it.SentRequests;
    ++it.RequestsInFlow;
    CallerOutput output;
    it.Session->start(std::move(request), now, output);
    processOutput(it, output);
  }

  void onResult(const CallerResult &result) {
    const std::string id = toHex(result.Id);
    const bool isAnswered = result.Kind == ResultKind::Answered;
    const std::string expectedPrefix = id + " " + Options.ServiceName + " ";
    const std::string_view text(
        reinterpret_cast<const char *>(result.Body.data()), result.Body.size());
    const bool isMatching = isAnswered && text.starts_with(expectedPrefix) &&
                            text.size() >= RequestSpec.AnswerBytes;
    MismatchedAnswers += isAnswered && !isMatching ? 1 : 0;
    ++Results[static_cast<std::size_t>(result.Kind)];
    constexpr const char *Names[] = {"answered", "not_run", "unknown"};
    Ledger.write({{"event", "result"},
                  {"id", id},
                  {"result", Names[static_cast<std::size_t>(result.Kind)]},
                  {"status", result.Status},
                  {"own", isMatching},
                  {"answer", checksum32(result.Body)}});
  }

  void onTimer() {
    const TimePoint now = steadyNow();
    const bool isTimeUp = now - StartTime >= Options.SendDuration;
    std::size_t open = 0;
    for (CallerState &it : CallerStates) {
      CallerOutput output;
      it.Session->tick(now, output);
      processOutput(it, output);
      const std::size_t pending = it.Session->openRequests();
      open += pending;
      const bool isLimitReached =
          Options.MaxRequests != 0 && it.SentRequests >= Options.MaxRequests;
      if (isTimeUp || isLimitReached || now < it.NextRequest)
        continue;
      if (RequestSpec.RequestsPerFlow != 0 &&
          it.RequestsInFlow >= RequestSpec.RequestsPerFlow) {
        if (pending > 0)
          continue;
        close(it, now);
        openSession(it);
      }
      it.NextRequest = now + drawInterval();
      startRequest(it, now);
    }
    if (!isTimeUp || open > 0)
      return;
    for (CallerState &it : CallerStates)
      close(it, now);
    Context.stop();
  }

  void close(CallerState &it, TimePoint now) {
    CallerOutput output;
    it.Session->close(now, output);
    processOutput(it, output);
    addCounters(ClosedSessionCounters,
                std::exchange(it.Session, makeCallerSession({}))->counters());
  }

  boost::asio::io_context &Context;
  CallerOptions Options;
  Workload RequestSpec;
  LedgerFile &Ledger;
  std::mt19937_64 Random;
  TimePoint StartTime{};
  std::vector<std::unique_ptr<UdpSocket>> Sockets;
  std::vector<CallerState> CallerStates;
  std::unordered_map<FlowId, std::size_t> FlowOwners;
  std::unique_ptr<PeriodicTimer> Timer;
  CallerCounters ClosedSessionCounters;
  std::uint64_t StartedRequests = 0;
  std::uint64_t Results[3] = {};
  std::uint64_t MismatchedAnswers = 0;
};

int run(int argc, char **argv) {
  CallerOptions options;
  std::string ledgerPath;
  try {
    TCLAP::CmdLine line(
        "Simulates callers of one service. Each keeps a flow open, sends "
        "requests of one kind on it, and records each start and "
        "result in the ledger. Ends when the time is over and "
        "every request has its result.",
        ' ', "1");
    using Text = TCLAP::ValueArg<std::string>;
    using Number = TCLAP::ValueArg<std::uint32_t>;
    Text fabric("", "fabric", "UDP endpoint of the fabric", true, "", "IP:PORT",
                line);
    Text address("", "address", "address of the service", true, "", "IP:PORT",
                 line);
    Text service("", "service", "name of the service", true, "", "NAME", line);
    Text kind("", "kind",
              "kind of requests: feed, update, upload, panel or bundle", true,
              "", "KIND", line);
    Text ledger("", "ledger", "ledger file", true, "", "FILE", line);
    Number callers("", "callers", "number of callers", false, 1, "N", line);
    Number requests("", "requests",
                    "maximum number of requests of each caller; 0 for no limit",
                    false, 0, "N", line);
    Number length("", "length-ms", "time during which callers start requests",
                  false, 1000, "MS", line);
    Number interval("", "interval-ms", "mean time between a caller's requests",
                    false, 100, "MS", line);
    Number deadline("", "deadline-ms", "deadline of a request", false, 10000,
                    "MS", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false, 1, "N",
                                        line);
    TCLAP::SwitchArg shared("", "shared-socket",
                            "all callers use one UDP socket", line);
    line.parse(argc, argv);
    options = {parseEndpoint(fabric.getValue()).value(),
               parseEndpoint(address.getValue()).value(),
               service.getValue(),
               kind.getValue(),
               callers.getValue(),
               requests.getValue(),
               shared.getValue(),
               Duration(length.getValue()),
               Duration(interval.getValue()),
               Duration(deadline.getValue()),
               seed.getValue()};
    ledgerPath = ledger.getValue();
  } catch (const TCLAP::ArgException &e) {
    std::cerr << e.error() << "\n";
    return ExitCode::Usage;
  }
  LedgerFile ledger(ledgerPath);
  if (!ledger.isOpen() || !Workloads.contains(options.Kind)) {
    std::cerr
        << "the ledger cannot be opened, or the kind of requests is unknown\n";
    return ExitCode::Usage;
  }
  boost::asio::io_context context;
  Callers callers(context, std::move(options), ledger);
  if (const auto status = callers.start(); !status.ok()) {
    std::cerr << status.ToString() << "\n";
    return 1;
  }
  onStopSignal(context, [&] { callers.stopNewRequests(); });
  context.run();
  callers.printCounters();
  return 0;
}

} // namespace
} // namespace pistachio

int main(int argc, char **argv) { return pistachio::run(argc, argv); }
