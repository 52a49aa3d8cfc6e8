#pragma once

/// Harness of the scripts in this folder. It starts the programs of the deploy
/// file as separate processes on loopback addresses, and plays the platform
/// around them in one thread: the operator, the router, the callers and the
/// upstreams. Each machine has a loopback address of its own; ports are the
/// same on all machines, as on the platform.

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using Milliseconds = std::int64_t;

struct Address {
  std::uint32_t Ip = 0;
  std::uint16_t Port = 0;
  friend auto operator<=>(const Address &, const Address &) = default;
};

std::string ipText(std::uint32_t ip);
std::string toString(const Address &address);

/// Header and data of one packet between a caller and an upstream.
struct Packet {
  std::uint8_t Flags = 0;
  Address Source;
  Address Destination;
  std::uint32_t Sequence = 0;
  std::uint32_t Acknowledgement = 0;
  std::uint32_t Echo = 0;
  /// False if the checksum is not that of the other fields.
  bool IsIntact = false;
  /// True for resets that the system itself sends.
  bool HasZeroSum = false;
  std::string Data;
};

inline constexpr std::uint8_t Syn = 1;
inline constexpr std::uint8_t Fin = 2;
inline constexpr std::uint8_t Bounced = 4;
inline constexpr std::uint8_t Rst = 16;
inline constexpr std::uint8_t Ack = 128;

std::string encode(const Packet &packet);
bool decode(const std::string &buf, Packet &packet);

/// Event loop, record file and child processes.
class World {
public:
  /// Opens \p recordPath for writing.
  explicit World(const std::string &recordPath);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Milliseconds since the start of the script.
  Milliseconds now() const;
  void record(const std::string &line);
  void runFor(Milliseconds duration);
  /// Returns false if the condition did not become true in time.
  bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
  void every(Milliseconds interval, std::function<void()> action);
  /// Calls \p action with each datagram that arrives at the address.
  int openUdp(const Address &local,
              std::function<void(const std::string &)> action);
  void closeUdp(int fd);
  static void sendUdp(int fd, const std::string &buf, const Address &to);
  using HttpDone = std::function<void(int status, const std::string &body)>;
  /// One HTTP call on a connection of its own. The status is 0 if no complete
  /// answer arrived within the limit; the connection is then closed.
  void http(const Address &to, const std::string &method,
            const std::string &path, const std::string &body,
            Milliseconds limit, HttpDone done);
  pid_t spawn(const std::vector<std::string> &command,
              const std::string &logPath);
  /// Sends a signal to a process that spawn() has started.
  static void signal(pid_t pid, int number);
  /// Waits for the end of a process that has been sent SIGTERM, and sends
  /// SIGKILL after \p grace.
  void awaitEnd(pid_t pid, Milliseconds grace);

private:
  struct HttpCall;
  struct Timer {
    Milliseconds Interval;
    Milliseconds Due;
    std::function<void()> Action;
  };
  void step(Milliseconds limit);
  void finishCall(HttpCall &call, int status);
  void advanceCall(HttpCall &call);

  std::FILE *Record;
  Milliseconds StartedAt;
  std::map<int, std::function<void(const std::string &)>> UdpHandlers;
  std::vector<std::unique_ptr<HttpCall>> Calls;
  std::vector<Timer> Timers;
  std::vector<pid_t> Children;
};

struct Machine {
  std::string Name;
  std::string Zone;
  std::uint32_t Ip = 0;
  /// Processes of the product on this machine.
  std::vector<pid_t> Processes;
  /// Entry instances only: the router sends packets here.
  bool InRotation = false;
  int MissedChecks = 0;
  /// The machine has been removed for good.
  bool IsGone = false;
};

struct DeploymentOptions {
  std::string Folder;
  std::vector<std::string> Zones{"zone-a", "zone-b", "zone-c"};
  Milliseconds HeartbeatMs = 770;
  /// Time between the starts of the two processes of an entry instance.
  Milliseconds StartGapMs = 0;
};

/// The machines and processes of one deployment: in each zone one entry
/// instance with a balancer and a control instance, and the machines of the
/// upstreams with an agent each.
class Deployment {
public:
  Deployment(World &world, DeploymentOptions options);

  void startFronts();
  void startFront(std::size_t n);
  /// Adds an entry instance with an empty disk at a new address and returns its
  /// number. It is not started.
  std::size_t addFront(const std::string &zone);
  /// Kills the processes of an entry instance, which never comes back.
  void removeFront(std::size_t n);
  std::string controlLog(std::size_t n) const;
  /// Returns the number of the new machine.
  std::size_t startSide(const std::string &zone, const std::string &service);

  Address ready(const Machine &it) const { return {it.Ip, port(1)}; }
  Address control(const Machine &it) const { return {it.Ip, port(2)}; }
  Address datagrams(const Machine &it) const { return {it.Ip, port(0)}; }
  Address outbound(const Machine &it) const { return {it.Ip, port(3)}; }
  Address app(const Machine &it) const { return {it.Ip, port(4)}; }
  Address callers() const;
  /// Address of a route, as named in packets. Nothing listens there.
  Address route(std::uint16_t routePort) const;
  /// Stops or continues all processes of a machine.
  void signalAll(const Machine &it, int number) const;
  /// Returns the entry instance in rotation to which the router sends the
  /// packets of a flow, or nullptr. Only the flows of a machine that leaves
  /// the rotation change to another one.
  const Machine *routerChoice(const Address &caller) const;
  /// Sends an order to the entry instances, beginning with number \p first,
  /// until one answers with 2xx; each has one second. Returns the time of the
  /// acknowledgement, or -1.
  Milliseconds order(const std::string &method, const std::string &path,
                     const std::string &body, std::size_t first,
                     Milliseconds limit);
  /// Returns the number of the entry instance whose control instance leads,
  /// or -1.
  int leader();

  std::vector<Machine> Fronts;
  std::vector<Machine> Sides;
  const DeploymentOptions Options;

private:
  std::uint16_t port(int offset) const {
    return static_cast<std::uint16_t>(FirstPort + offset);
  }
  /// Up to three control instances that are not gone.
  std::string seeds() const;
  std::string writeSettings(const std::string &name, const std::string &text);

  World &Platform;
  std::uint8_t Network = 0;
  std::uint16_t FirstPort = 0;
  bool IsFirstStart = true;
};

/// A server of a service beside an agent, as the platform's pages describe it.
class Upstream {
public:
  Upstream(World &world, Deployment &deployment, std::size_t side,
           std::string service);
  ~Upstream();
  Upstream(const Upstream &) = delete;
  Upstream &operator=(const Upstream &) = delete;

  /// Starts a lifetime. It takes flows at once and reports its state one
  /// heartbeat later, and then at each heartbeat.
  void start(Milliseconds coldFor);
  /// Ends the lifetime without notice; all of its flows are gone.
  void crash();
  bool isRunning() const { return Socket >= 0; }

  struct Opening {
    Milliseconds At;
    Address Caller;
    std::uint32_t Sequence;
  };
  /// First packets that this server accepted, without copies.
  std::vector<Opening> Openings;
  std::size_t Runs = 0;
  std::size_t ForgedPackets = 0;
  Milliseconds StartedAt = 0;
  const std::size_t Side;

private:
  struct Flow {
    std::uint32_t CallerSequence = 0;
    std::uint32_t OwnSequence = 0;
    std::map<std::uint32_t, std::string> Answers;
  };
  void onPacket(const std::string &buf);
  void report();
  void answer(const Packet &to, std::uint8_t flags, std::uint32_t sequence,
              std::uint32_t acknowledgement, const std::string &data);

  World &Platform;
  Deployment &Site;
  const std::string Service;
  int Socket = -1;
  std::uint64_t Lifetime = 0;
  std::uint64_t Born = 0;
  std::uint64_t ReportSequence = 0;
  Milliseconds ColdUntil = 0;
  Milliseconds NextReport = 0;
  std::map<std::pair<Address, Address>, Flow> Flows;
  std::mt19937 Random{std::random_device{}()};
};

/// The callers of a deployment: one socket, many flows.
class Callers {
public:
  struct Flow {
    Address Caller;
    Address Route;
    Milliseconds OpenedAt = 0;
    /// When the first packet was sent.
    Milliseconds SynAt = 0;
    bool IsOpen = false;
    bool IsOver = false;
    bool WasReset = false;
    /// The reset came from the system, not from the server.
    bool WasResetBySystem = false;
    Milliseconds ResetAt = 0;
    /// 0 for one request a flow, else the pause between requests.
    Milliseconds RequestInterval = 0;
    std::uint32_t NextSequence = 0;
    std::uint32_t Acknowledgement = 0;
    std::size_t Answers = 0;
    /// Request that waits for its answer.
    std::string Pending;
    int Copies = 0;
    Milliseconds RetransmitAt = 0;
    Milliseconds RetransmitDelay = 200;
    Milliseconds NextRequestAt = 0;
  };

  Callers(World &world, Deployment &deployment);

  /// Opens a flow and returns its number. With an interval of 0 the flow ends
  /// after one request.
  std::size_t open(const Address &route, Milliseconds requestInterval);

  std::vector<Flow> Flows;
  std::size_t ForeignPackets = 0;

private:
  void onPacket(const std::string &buf);
  void tick();
  void send(Flow &flow, std::uint8_t flags, std::uint32_t sequence,
            std::uint32_t acknowledgement, const std::string &data);
  void sendRequest(Flow &flow);

  World &Platform;
  Deployment &Site;
  int Socket = -1;
  std::uint16_t NextPort = 20000;
  std::map<std::uint16_t, std::size_t> ByPort;
  std::mt19937 Random{std::random_device{}()};
};

/// Removes the folder of settings, logs and data at the end.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
  const std::string Path;
};

/// True unless the environment variable TROUBLE is 0.
bool withTrouble();

/// Exit codes of a script.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

} // namespace review
