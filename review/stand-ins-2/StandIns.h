#pragma once

/// Stand-ins for the platform, its callers, upstreams and operator, for the
/// scripts of this review. They follow PROTOCOL.md and DEPLOY.md of the
/// platform and use loopback addresses only. The programs under test run as
/// separate processes.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of the scripts.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

struct Address {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};

std::string ipText(std::uint32_t ip);
std::string toText(const Address &address);

/// Ports that are the same on all machines, as in the examples of the platform.
inline constexpr std::uint16_t DatagramPort = 8172;
inline constexpr std::uint16_t ReadinessPort = 8167;
inline constexpr std::uint16_t ControlPort = 8166;
inline constexpr std::uint16_t AppPort = 8165;
inline constexpr std::uint16_t OutboundPort = 8162;
inline constexpr std::uint16_t FirstInnerPort = 7720;
inline constexpr std::uint16_t LastInnerPort = 7735;

inline constexpr Milliseconds HeartbeatInterval{770};

/// Writes record.txt: one line for each event, with the seconds since the
/// start.
class Record {
public:
  explicit Record(const std::string &path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;
  void write(const std::string &line);
  double seconds() const;

private:
  std::FILE *File;
  std::mutex Mutex;
  TimePoint Start = Clock::now();
};

struct HttpReply {
  /// 0 if there was no reply in time.
  int Status = 0;
  std::string Body;
};

HttpReply callHttp(const Address &to, std::string_view method,
                   std::string_view path, std::string_view body,
                   Milliseconds timeout);

/// A packet of a flow, as described under "Packets" in PROTOCOL.md.
struct Packet {
  static constexpr std::uint8_t Syn = 1;
  static constexpr std::uint8_t Fin = 2;
  static constexpr std::uint8_t Bounced = 4;
  static constexpr std::uint8_t Rst = 16;
  static constexpr std::uint8_t Ack = 128;

  std::uint8_t Flags = 0;
  Address Source;
  Address Destination;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledged = 0;
  std::uint32_t Echo = 0;
  std::uint32_t Sum = 0;
  std::string Data;

  bool has(std::uint8_t flag) const { return (Flags & flag) != 0; }
  /// The sum that the sender writes. Echo and Bounced do not count.
  std::uint32_t expectedSum() const;
  std::string encode() const;
  static std::optional<Packet> decode(std::string_view buf);
};

/// A UDP socket that never blocks.
class Udp {
public:
  /// Exits with CouldNotRun if the address cannot be bound.
  explicit Udp(const Address &local);
  ~Udp();
  Udp(const Udp &) = delete;
  Udp &operator=(const Udp &) = delete;
  void send(const Address &to, const std::string &buf) const;
  std::optional<std::string> receive() const;
  int descriptor() const { return Descriptor; }

private:
  int Descriptor;
};

/// Starts the programs under test and restarts those that end, as the platform
/// does.
class Supervisor {
public:
  Supervisor(std::string folder, Record &record);
  ~Supervisor();
  Supervisor(const Supervisor &) = delete;
  Supervisor &operator=(const Supervisor &) = delete;

  /// Starts a program. \p name is unique; starting it again uses the latest
  /// arguments.
  void start(const std::string &name, std::vector<std::string> arguments);
  /// Sends SIGTERM, and SIGKILL after 6 s. The process is started again
  /// \p pause after its end, or not at all.
  void stop(const std::string &name, std::optional<Milliseconds> pause);
  /// Sends SIGKILL. The process is not started again.
  void kill(const std::string &name);
  bool isRunning(const std::string &name);
  /// Number of processes that ended although no signal was sent to them.
  int endedByThemselves() const { return EndedByThemselves; }
  /// Names of these processes, one entry each time.
  std::vector<std::string> endedNames();

private:
  struct Process {
    std::vector<std::string> Arguments;
    pid_t Id = 0;
    bool IsSignalled = false;
    std::optional<TimePoint> KillAt;
    std::optional<Milliseconds> Pause;
    std::optional<TimePoint> StartAt;
  };
  void launch(const std::string &name, Process &process);
  void watch();
  void reap(const std::string &name, Process &process, int status);
  std::string logTail(const std::string &name) const;

  std::string Folder;
  Record &Events;
  std::mutex Mutex;
  std::map<std::string, Process> Processes;
  std::vector<std::string> Ended;
  std::atomic<int> EndedByThemselves = 0;
  std::atomic<bool> Stopping = false;
  std::thread Watcher;
};

struct Front {
  std::string Name;
  std::string Zone;
  std::uint32_t Ip = 0;
  bool HasDisk = false;
  bool HasControl = false;
};

struct UpstreamSpec {
  /// Name of the machine, for example side-a-1.
  std::string Machine;
  std::string Zone;
  std::string Service;
  std::uint32_t Ip = 0;
};

struct Route {
  Address Where;
  /// Service and weight.
  std::vector<std::pair<std::string, int>> Shares;
  std::string Kind = "safe";
  int TimeoutMs = 1500;
};

struct Config {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::vector<std::string> Services;
  std::string toJson() const;
};

class World;

/// An upstream (a target in the words of the platform) with its flows. It
/// answers each request packet with one response packet.
class Upstream {
public:
  Upstream(World &world, UpstreamSpec spec, std::string id);
  void onPacket(const Packet &packet);
  void onTimer(TimePoint now);
  const UpstreamSpec &spec() const { return Spec; }
  const std::string &id() const { return Id; }
  const Udp &socket() const { return Socket; }
  std::uint64_t bornMs() const { return BornMs; }
  std::uint64_t nextReport() { return ++Reports; }

private:
  struct Flow {
    std::uint32_t First = 0;
    std::uint32_t Sent = 0;
    std::uint32_t Expected = 0;
    bool IsOpen = false;
    /// The latest response, until the caller acknowledges it.
    std::optional<Packet> Unacknowledged;
    TimePoint SentAt{};
    Milliseconds Timeout{200};
  };
  struct Work {
    std::pair<Address, Address> Key;
    std::string Request;
    TimePoint DoneAt;
  };
  void send(Packet packet);
  void answer(const Work &work);

  World &Platform;
  UpstreamSpec Spec;
  std::string Id;
  Udp Socket;
  std::uint64_t BornMs;
  std::uint64_t Reports = 0;
  std::map<std::pair<Address, Address>, Flow> Flows;
  std::deque<Work> Requests;
  std::vector<TimePoint> SlotFreeAt;
};

/// What became of one attempt of a caller to open a flow.
enum class AttemptResult { Opened, Refused, NoAnswer };

/// A machine of callers: one address with many flows.
class Caller {
public:
  Caller(World &world, std::string zone, std::uint32_t ip);
  /// Keeps \p count flows to \p route open, each with a request every
  /// \p pause.
  void keepFlows(const Address &route, int count, Milliseconds pause);
  /// Opens a flow for one request. \p done gets the result of the attempt and
  /// the id of the upstream that answered, if one did.
  using Done = std::function<void(AttemptResult, std::string)>;
  void requestOnce(const Address &route, Done done);
  void onPacket(const Packet &packet);
  void onTimer(TimePoint now);
  const Udp &socket() const { return Socket; }

private:
  enum class State { Opening, Open, Ended };
  struct Flow {
    Address Route;
    std::uint16_t Port = 0;
    State Is = State::Opening;
    std::uint32_t Next = 0;
    std::uint32_t Expected = 0;
    int Copies = 0;
    TimePoint OpenedAt{};
    std::string RequestId;
    std::optional<Packet> Unacknowledged;
    TimePoint SentAt{};
    TimePoint Deadline{};
    Milliseconds Timeout{200};
    TimePoint NextRequestAt{};
    bool IsKept = false;
    Milliseconds Pause{};
    Done OnDone;
  };
  void open(Flow flow);
  void sendRequest(Flow &flow, TimePoint now);
  void send(const Flow &flow, Packet packet);
  void end(Flow &flow, TimePoint now, AttemptResult result,
           const std::string &upstream);

  World &Platform;
  std::string Zone;
  std::uint32_t Ip;
  Udp Socket;
  std::uint16_t LastPort = 20000;
  std::map<std::uint16_t, Flow> Flows;
  std::vector<Flow> ToOpen;
};

struct Counters {
  std::atomic<int> Answered = 0;
  std::atomic<int> Refused = 0;
  std::atomic<int> GivenUp = 0;
  std::atomic<int> ResetWhileOpen = 0;
  std::atomic<int> WrongAnswers = 0;
};

/// A small deployment: zones, machines, the programs under test, routers,
/// upstreams, callers and the operator.
class World {
public:
  /// \p root is the folder of the repository.
  World(std::string root, std::string folder, Record &record);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Address of a machine: 127.N.zone.number.
  std::uint32_t ip(int zone, int number) const;
  void addFront(const Front &front);
  /// Starts all fronts and waits until they serve the operator.
  bool startFronts();
  /// Starts the agent of a machine; also after stop() or kill().
  void startAgent(const UpstreamSpec &spec);
  std::string agentName(const UpstreamSpec &spec) const;
  std::string balancerName(const Front &front) const;
  /// Starts an upstream. Its first report comes after \p delay.
  void startUpstream(const UpstreamSpec &spec, Milliseconds delay);
  /// The upstream ends without a word.
  void crashUpstream(const std::string &machine);
  Caller &addCaller(const std::string &zone, std::uint32_t ip);
  /// Starts the threads that move packets and send reports.
  void run();

  /// Sends a configuration until it is acknowledged, as the operator does.
  /// Returns the time of the acknowledgement.
  std::optional<TimePoint> apply(const Config &config, Milliseconds limit);

  Supervisor &processes() { return Programs; }
  Record &record() { return Events; }
  Counters &counters() { return Counts; }
  /// Forwards a packet of a caller as the routers do.
  void route(const std::string &zone, const Packet &packet, const Udp &from);
  bool isInRotation(const std::string &front);
  std::uint32_t random() { return static_cast<std::uint32_t>(Random()); }
  /// Runs \p action in the thread that moves packets.
  void post(std::function<void()> action);

private:
  std::string writeFile(const std::string &name, const std::string &text);
  std::vector<std::string> seeds() const;
  std::string writeControlSettings(const Front &front, bool isFirstStart);
  void startFront(const Front &front);
  void movePackets();
  void checkReadiness();
  void sendReports();

  std::string Root;
  std::string Folder;
  Record &Events;
  Supervisor Programs;
  int Network;
  std::vector<Front> Fronts;
  std::map<std::string, int> Misses;
  std::map<std::string, bool> InRotation;
  std::mutex RouterMutex;
  std::recursive_mutex DataMutex;
  std::map<std::string, std::unique_ptr<Upstream>> Upstreams;
  struct Reporter {
    std::string Machine;
    TimePoint NextAt;
  };
  std::map<std::string, Reporter> Reporters;
  std::vector<std::unique_ptr<Caller>> Callers;
  std::vector<std::function<void()>> Posted;
  Counters Counts;
  std::mt19937 Random{7};
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Threads;
};

void sleepFor(double seconds);

} // namespace standins
