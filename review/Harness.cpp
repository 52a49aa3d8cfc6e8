#include "Harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {
namespace {

constexpr std::size_t HeaderBytes = 31;

Milliseconds steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

sockaddr_in toSocketAddress(const Address &address) {
  sockaddr_in out = {};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.Ip);
  out.sin_port = htons(address.Port);
  return out;
}

void put(std::string &buf, std::uint32_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i)
    buf.push_back(static_cast<char>((value >> (8 * i)) & 0xFF));
}

std::uint32_t get(const std::string &buf, std::size_t at, int bytes) {
  std::uint32_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value = (value << 8) | static_cast<std::uint8_t>(buf[at + i]);
  return value;
}

/// Checksum of the callers and servers of this harness. It covers all fields
/// but echo and the flag of bounced packets.
std::uint32_t checksum(const std::string &buf) {
  std::uint32_t hash = 2166136261U;
  const auto add = [&hash](std::uint8_t value) {
    hash = (hash ^ value) * 16777619U;
  };
  for (std::size_t i = 4; i < buf.size(); ++i) {
    if (i >= 27 && i < HeaderBytes)
      continue;
    const auto value = static_cast<std::uint8_t>(buf[i]);
    add(i == 4 ? static_cast<std::uint8_t>(value & ~Bounced) : value);
  }
  return hash == 0 ? 1 : hash;
}

std::uint32_t loopback(std::uint8_t network, std::uint8_t zone,
                       std::uint8_t host) {
  return (127U << 24) | (std::uint32_t{network} << 16) |
         (std::uint32_t{zone} << 8) | host;
}

bool isFree(const Address &address) {
  bool free = true;
  for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
    const int fd = ::socket(AF_INET, type, 0);
    const sockaddr_in to = toSocketAddress(address);
    free = free &&
           ::bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0;
    ::close(fd);
  }
  return free;
}

std::string inQuotes(const std::string &text) { return "\"" + text + "\""; }

} // namespace

std::string ipText(std::uint32_t ip) {
  return std::to_string(ip >> 24) + "." + std::to_string((ip >> 16) & 0xFF) +
         "." + std::to_string((ip >> 8) & 0xFF) + "." +
         std::to_string(ip & 0xFF);
}

std::string toString(const Address &address) {
  return ipText(address.Ip) + ":" + std::to_string(address.Port);
}

std::string encode(const Packet &packet) {
  std::string buf(4, '\0');
  put(buf, packet.Flags, 1);
  put(buf, packet.Source.Ip, 4);
  put(buf, packet.Source.Port, 2);
  put(buf, packet.Destination.Port, 2);
  put(buf, packet.Destination.Ip, 4);
  put(buf, packet.Sequence, 4);
  put(buf, packet.Acknowledgement, 4);
  put(buf, static_cast<std::uint32_t>(packet.Data.size()), 2);
  put(buf, packet.Echo, 4);
  buf += packet.Data;
  std::string sum;
  put(sum, checksum(buf), 4);
  buf.replace(0, 4, sum);
  return buf;
}

bool decode(const std::string &buf, Packet &packet) {
  if (buf.size() < HeaderBytes || get(buf, 25, 2) != buf.size() - HeaderBytes)
    return false;
  packet.Flags = static_cast<std::uint8_t>(get(buf, 4, 1));
  packet.Source = {get(buf, 5, 4), static_cast<std::uint16_t>(get(buf, 9, 2))};
  packet.Destination = {get(buf, 13, 4),
                        static_cast<std::uint16_t>(get(buf, 11, 2))};
  packet.Sequence = get(buf, 17, 4);
  packet.Acknowledgement = get(buf, 21, 4);
  packet.Echo = get(buf, 27, 4);
  packet.Data = buf.substr(HeaderBytes);
  const std::uint32_t sum = get(buf, 0, 4);
  packet.HasZeroSum = sum == 0;
  packet.IsIntact = sum == checksum(buf);
  return true;
}

// World

struct World::HttpCall {
  int Socket = -1;
  std::string Output;
  std::string Input;
  Milliseconds Deadline = 0;
  HttpDone Done;
  bool IsOver = false;
};

World::World(const std::string &recordPath)
    : Record(std::fopen(recordPath.c_str(), "w")), StartedAt(steadyMs()) {
  std::signal(SIGPIPE, SIG_IGN);
}

World::~World() {
  for (const pid_t it : Children) {
    ::kill(it, SIGKILL);
    ::waitpid(it, nullptr, 0);
  }
  for (const auto &call : Calls)
    ::close(call->Socket);
  for (const auto &[fd, action] : UdpHandlers)
    ::close(fd);
  if (Record != nullptr)
    std::fclose(Record);
}

Milliseconds World::now() const { return steadyMs() - StartedAt; }

void World::record(const std::string &line) {
  const Milliseconds at = now();
  for (std::FILE *it : {Record, stdout}) {
    if (it == nullptr)
      continue;
    std::fprintf(it, "%3lld.%03lld s  %s\n", static_cast<long long>(at / 1000),
                 static_cast<long long>(at % 1000), line.c_str());
    std::fflush(it);
  }
}

void World::runFor(Milliseconds duration) {
  const Milliseconds end = now() + duration;
  while (now() < end)
    step(end - now());
}

bool World::runUntil(const std::function<bool()> &condition,
                     Milliseconds limit) {
  const Milliseconds end = now() + limit;
  while (!condition()) {
    if (now() >= end)
      return false;
    step(end - now());
  }
  return true;
}

void World::every(Milliseconds interval, std::function<void()> action) {
  Timers.push_back({interval, now() + interval, std::move(action)});
}

int World::openUdp(const Address &local,
                   std::function<void(const std::string &)> action) {
  const int fd =
      ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in to = toSocketAddress(local);
  if (::bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
    record("cannot bind " + toString(local) + ": " + std::strerror(errno));
    ::close(fd);
    return -1;
  }
  UdpHandlers[fd] = std::move(action);
  return fd;
}

void World::closeUdp(int fd) {
  UdpHandlers.erase(fd);
  ::close(fd);
}

void World::sendUdp(int fd, const std::string &buf, const Address &to) {
  const sockaddr_in address = toSocketAddress(to);
  (void)::sendto(fd, buf.data(), buf.size(), 0,
                 reinterpret_cast<const sockaddr *>(&address), sizeof(address));
}

void World::http(const Address &to, const std::string &method,
                 const std::string &path, const std::string &body,
                 Milliseconds limit, HttpDone done) {
  auto call = std::make_unique<HttpCall>();
  call->Socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  call->Deadline = now() + limit;
  call->Done = std::move(done);
  call->Output = method + " " + path + " HTTP/1.1\r\nHost: " + toString(to) +
                 "\r\nConnection: close\r\n";
  if (!body.empty())
    call->Output += "Content-Type: application/json\r\n";
  call->Output +=
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const sockaddr_in address = toSocketAddress(to);
  if (::connect(call->Socket, reinterpret_cast<const sockaddr *>(&address),
                sizeof(address)) != 0 &&
      errno != EINPROGRESS)
    call->Deadline = now();
  Calls.push_back(std::move(call));
}

void World::finishCall(HttpCall &call, int status) {
  if (call.IsOver)
    return;
  call.IsOver = true;
  ::close(call.Socket);
  const std::size_t end = call.Input.find("\r\n\r\n");
  call.Done(status, status == 0 ? "" : call.Input.substr(end + 4));
}

/// Writes and reads as much as possible without blocking.
void World::advanceCall(HttpCall &call) {
  while (!call.Output.empty()) {
    const ssize_t n =
        ::send(call.Socket, call.Output.data(), call.Output.size(), 0);
    if (n <= 0) {
      if (errno != EAGAIN && errno != ENOTCONN)
        finishCall(call, 0);
      return;
    }
    call.Output.erase(0, static_cast<std::size_t>(n));
  }
  char buf[65536];
  ssize_t n = 0;
  while ((n = ::recv(call.Socket, buf, sizeof(buf), 0)) > 0)
    call.Input.append(buf, static_cast<std::size_t>(n));
  if (n < 0 && errno == EAGAIN)
    return;
  const bool isComplete = call.Input.starts_with("HTTP/1.1 ") &&
                          call.Input.find("\r\n\r\n") != std::string::npos;
  finishCall(call, isComplete ? std::atoi(call.Input.c_str() + 9) : 0);
}

void World::step(Milliseconds limit) {
  constexpr Milliseconds MaxWait = 10;
  std::vector<pollfd> polled;
  for (const auto &[fd, action] : UdpHandlers)
    polled.push_back({fd, POLLIN, 0});
  for (const auto &call : Calls)
    polled.push_back(
        {call->Socket,
         static_cast<short>(call->Output.empty() ? POLLIN : POLLOUT), 0});
  ::poll(polled.data(), polled.size(),
         static_cast<int>(std::min(limit, MaxWait)));
  std::vector<int> readable;
  for (const auto &[fd, action] : UdpHandlers)
    readable.push_back(fd);
  for (const int fd : readable) {
    char buf[2048];
    ssize_t n = 0;
    // The handler may close its own socket.
    while (UdpHandlers.contains(fd) &&
           (n = ::recv(fd, buf, sizeof(buf), 0)) >= 0) {
      const auto action = UdpHandlers.at(fd);
      action(std::string(buf, static_cast<std::size_t>(n)));
    }
  }
  for (std::size_t i = 0; i < Calls.size(); ++i) {
    HttpCall &call = *Calls[i];
    advanceCall(call);
    if (!call.IsOver && now() >= call.Deadline)
      finishCall(call, 0);
  }
  std::erase_if(Calls, [](const auto &it) { return it->IsOver; });
  for (std::size_t i = 0; i < Timers.size(); ++i) {
    if (now() < Timers[i].Due)
      continue;
    Timers[i].Due = now() + Timers[i].Interval;
    const auto action = Timers[i].Action;
    action();
  }
}

pid_t World::spawn(const std::vector<std::string> &command,
                   const std::string &logPath) {
  std::vector<char *> words;
  for (const std::string &it : command)
    words.push_back(const_cast<char *>(it.c_str()));
  words.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  Children.push_back(pid);
  return pid;
}

void World::signal(pid_t pid, int number) { ::kill(pid, number); }

void World::awaitEnd(pid_t pid, Milliseconds grace) {
  const auto hasEnded = [pid] { return ::waitpid(pid, nullptr, WNOHANG) != 0; };
  if (!runUntil(hasEnded, grace)) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  std::erase(Children, pid);
}

// Deployment

Deployment::Deployment(World &world, DeploymentOptions options)
    : Options(std::move(options)), Platform(world) {
  std::random_device random;
  const auto areFree = [&] {
    for (std::uint8_t zone = 0; zone < 4; ++zone)
      for (int offset = 0; offset < 16; ++offset)
        if (!isFree({loopback(Network, zone, 1), port(offset)}))
          return false;
    return true;
  };
  do {
    Network = static_cast<std::uint8_t>(20 + random() % 200);
    FirstPort = static_cast<std::uint16_t>(11000 + random() % 9000);
  } while (!areFree());
  for (std::size_t i = 0; i < Options.Zones.size(); ++i)
    Fronts.push_back({"front-" + Options.Zones[i] + "-1",
                      Options.Zones[i],
                      loopback(Network, static_cast<std::uint8_t>(i + 1), 1),
                      {},
                      false,
                      0,
                      false});
  Platform.every(500, [this] {
    for (std::size_t i = 0; i < Fronts.size(); ++i)
      Platform.http(ready(Fronts[i]), "GET", "/-/ready", "", 450,
                    [this, i](int status, const std::string &) {
                      Machine &it = Fronts[i];
                      const bool wasIn = it.InRotation;
                      it.MissedChecks = status == 200 ? 0 : it.MissedChecks + 1;
                      if (status == 200)
                        it.InRotation = true;
                      else if (it.MissedChecks >= 2)
                        it.InRotation = false;
                      if (wasIn != it.InRotation)
                        Platform.record(
                            "router: " + it.Name +
                            (it.InRotation ? " is in" : " is out of") +
                            " rotation");
                    });
  });
}

Address Deployment::callers() const {
  return {loopback(Network, 9, 1), port(0)};
}

Address Deployment::route(std::uint16_t routePort) const {
  return {loopback(Network, 10, 1), routePort};
}

std::string Deployment::seeds() const {
  constexpr int MaxSeeds = 3;
  std::string out = "seeds = [";
  int n = 0;
  for (const Machine &it : Fronts)
    if (!it.IsGone && n < MaxSeeds)
      out += (n++ > 0 ? ", " : "") + inQuotes(toString(control(it)));
  return out + "]\n";
}

std::string Deployment::writeSettings(const std::string &name,
                                      const std::string &text) {
  std::string path = Options.Folder + "/" + name + ".toml";
  std::ofstream(path) << text << "ports = [" << port(5) << ", " << port(15)
                      << "]\n"
                      << seeds();
  return path;
}

void Deployment::startFronts() {
  for (std::size_t i = 0; i < Fronts.size(); ++i)
    startFront(i);
  IsFirstStart = false;
}

void Deployment::startFront(std::size_t n) {
  Machine &it = Fronts[n];
  const std::string data = Options.Folder + "/data-" + it.Name;
  std::filesystem::create_directories(data);
  std::string zones;
  for (const std::string &zone : Options.Zones)
    zones += (zones.empty() ? "" : ", ") + inQuotes(zone);
  const std::string balancer = writeSettings(
      it.Name + "-balancer",
      "mode = \"relay\"\nname = " + inQuotes(it.Name) +
          "\ndata_centre = " + inQuotes(it.Zone) +
          "\nlisten = " + inQuotes(toString(datagrams(it))) +
          "\nready = " + inQuotes(toString(ready(it))) +
          "\nmetrics = " + inQuotes(ipText(it.Ip) + ":9464") + "\n");
  const std::string controlSettings = writeSettings(
      it.Name + "-control",
      "name = " + inQuotes(it.Name) + "\ndata_centre = " + inQuotes(it.Zone) +
          "\noperator_api = " + inQuotes(toString(control(it))) +
          "\ndata_folder = " + inQuotes(data) + "\nfound_group = " +
          (IsFirstStart ? "true" : "false") + "\ndata_centres = [" + zones +
          "]\nmetrics = " + inQuotes(ipText(it.Ip) + ":9465") + "\n");
  const std::string log = Options.Folder + "/" + it.Name;
  // The platform gives no order in which the processes of a machine start.
  const pid_t controlProcess =
      Platform.spawn({"target/Source/ControlDaemon/pistachio-control",
                      "--settings", controlSettings},
                     log + "-control.log");
  Platform.runFor(Options.StartGapMs);
  const pid_t balancerProcess = Platform.spawn(
      {"target/Source/Balancer/pistachio-balancer", "--settings", balancer},
      log + "-balancer.log");
  Fronts[n].Processes = {balancerProcess, controlProcess};
}

std::size_t Deployment::addFront(const std::string &zone) {
  const auto zoneNumber = static_cast<std::uint8_t>(
      std::ranges::find(Options.Zones, zone) - Options.Zones.begin() + 1);
  const std::size_t n = Fronts.size();
  Machine it;
  it.Name = "front-" + zone + "-" + std::to_string(n);
  it.Zone = zone;
  it.Ip = loopback(Network, zoneNumber, static_cast<std::uint8_t>(100 + n));
  Fronts.push_back(std::move(it));
  return n;
}

void Deployment::removeFront(std::size_t n) {
  signalAll(Fronts[n], SIGKILL);
  Fronts[n].IsGone = true;
  Fronts[n].Processes.clear();
}

std::string Deployment::controlLog(std::size_t n) const {
  return Options.Folder + "/" + Fronts[n].Name + "-control.log";
}

std::size_t Deployment::startSide(const std::string &zone,
                                  const std::string &service) {
  const auto zoneNumber = static_cast<std::uint8_t>(
      std::ranges::find(Options.Zones, zone) - Options.Zones.begin() + 1);
  const auto host = static_cast<std::uint8_t>(10 + Sides.size());
  Machine it{"side-" + zone + "-" + std::to_string(host),
             zone,
             loopback(Network, zoneNumber, host),
             {},
             false,
             0,
             false};
  const std::string settings = writeSettings(
      it.Name, "mode = \"relay\"\nservice = " + inQuotes(service) +
                   "\ndata_centre = " + inQuotes(zone) + "\nzone = " +
                   inQuotes(zone) + "\nmachine = " + inQuotes(it.Name) +
                   "\nlisten = " + inQuotes(toString(datagrams(it))) +
                   "\noutbound = " + inQuotes(toString(outbound(it))) +
                   "\nreports = " + inQuotes(toString(control(it))) +
                   "\nback_end = " + inQuotes(toString(app(it))) +
                   "\nreport_ms = " + std::to_string(Options.HeartbeatMs) +
                   "\ncold_overshoot = 1.5\ncold_slack = 5\nmetrics = " +
                   inQuotes(ipText(it.Ip) + ":9466") + "\n");
  it.Processes = {Platform.spawn(
      {"target/Source/Agent/pistachio-agent", "--settings", settings},
      Options.Folder + "/" + it.Name + ".log")};
  Sides.push_back(std::move(it));
  return Sides.size() - 1;
}

void Deployment::signalAll(const Machine &it, int number) const {
  for (const pid_t pid : it.Processes)
    World::signal(pid, number);
}

const Machine *Deployment::routerChoice(const Address &caller) const {
  const Machine *best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const Machine &it : Fronts) {
    if (!it.InRotation)
      continue;
    std::uint64_t weight = (std::uint64_t{it.Ip} << 16) ^ caller.Port;
    for (int i = 0; i < 3; ++i) {
      weight ^= weight >> 31;
      weight *= 0x9E3779B97F4A7C15ULL;
    }
    weight ^= weight >> 29;
    if (best == nullptr || weight > bestWeight) {
      best = &it;
      bestWeight = weight;
    }
  }
  return best;
}

Milliseconds Deployment::order(const std::string &method,
                               const std::string &path, const std::string &body,
                               std::size_t first, Milliseconds limit) {
  const Milliseconds end = Platform.now() + limit;
  Milliseconds backOff = 100;
  for (std::size_t i = first; Platform.now() < end; ++i) {
    const Machine &it = Fronts[i % Fronts.size()];
    if (it.IsGone)
      continue;
    int result = -1;
    Platform.http(
        control(it), method, path, body, 1000,
        [&result](int status, const std::string &) { result = status; });
    Platform.runUntil([&result] { return result >= 0; }, 5000);
    Platform.record("operator: " + method + " " + path + " at " + it.Name +
                    " -> " +
                    (result == 0 ? "no answer" : std::to_string(result)));
    if (result >= 200 && result < 300)
      return Platform.now();
    if (result >= 400 && result < 500)
      return -1;
    Platform.runFor(backOff);
    backOff *= 2;
  }
  return -1;
}

int Deployment::leader() {
  int found = -1;
  std::size_t answers = 0;
  for (std::size_t i = 0; i < Fronts.size(); ++i)
    Platform.http({Fronts[i].Ip, 9465}, "GET", "/metrics", "", 900,
                  [&, i](int, const std::string &body) {
                    ++answers;
                    if (body.find("pistachio_control_is_leader 1") !=
                        std::string::npos)
                      found = static_cast<int>(i);
                  });
  Platform.runUntil([&] { return answers == Fronts.size(); }, 2000);
  return found;
}

// Upstream

Upstream::Upstream(World &world, Deployment &deployment, std::size_t side,
                   std::string service)
    : Side(side), Platform(world), Site(deployment),
      Service(std::move(service)) {
  Platform.every(10, [this] {
    if (isRunning() && Platform.now() >= NextReport)
      report();
  });
}

Upstream::~Upstream() { crash(); }

void Upstream::start(Milliseconds coldFor) {
  ++Lifetime;
  Born = wallMs();
  ReportSequence = 0;
  StartedAt = Platform.now();
  ColdUntil = StartedAt + coldFor;
  NextReport = StartedAt + Site.Options.HeartbeatMs;
  Socket = Platform.openUdp(Site.app(Site.Sides[Side]),
                            [this](const std::string &buf) { onPacket(buf); });
}

void Upstream::crash() {
  if (!isRunning())
    return;
  Platform.closeUdp(Socket);
  Socket = -1;
  Flows.clear();
}

void Upstream::report() {
  const Machine &machine = Site.Sides[Side];
  NextReport = Platform.now() + Site.Options.HeartbeatMs;
  const Milliseconds coldLeft =
      std::max<Milliseconds>(0, ColdUntil - Platform.now());
  const std::string id = machine.Name + "-" + std::to_string(Lifetime);
  const std::string body =
      "{\"service\":" + inQuotes(Service) +
      ",\"address\":" + inQuotes(toString(Site.app(machine))) +
      ",\"zone\":" + inQuotes(machine.Zone) +
      ",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"cold_left_ms\":" +
      std::to_string(coldLeft) +
      ",\"seq\":" + std::to_string(++ReportSequence) +
      ",\"born\":" + std::to_string(Born) + "}";
  const bool isFirst = ReportSequence == 1;
  Platform.http(Site.control(machine), "PUT", "/-/instances/" + id, body, 1000,
                [this, isFirst, id](int status, const std::string &) {
                  if (isFirst)
                    Platform.record("server " + id + ": first report -> " +
                                    std::to_string(status));
                });
}

void Upstream::answer(const Packet &to, std::uint8_t flags,
                      std::uint32_t sequence, std::uint32_t acknowledgement,
                      const std::string &data) {
  const Packet packet{flags,    to.Destination,  to.Source,
                      sequence, acknowledgement, 0,
                      true,     false,           data};
  World::sendUdp(Socket, encode(packet), Site.outbound(Site.Sides[Side]));
}

void Upstream::onPacket(const std::string &buf) {
  Packet packet;
  if (!decode(buf, packet) || !packet.IsIntact ||
      (packet.Flags & Bounced) != 0 ||
      (packet.Flags & (Syn | Ack)) == (Syn | Ack)) {
    ++ForgedPackets;
    return;
  }
  const std::pair key{packet.Source, packet.Destination};
  const auto known = Flows.find(key);
  if ((packet.Flags & Syn) != 0) {
    Flow &flow = Flows[key];
    const bool isCopy =
        known != Flows.end() && flow.CallerSequence == packet.Sequence;
    if (!isCopy) {
      flow = {packet.Sequence, static_cast<std::uint32_t>(Random()), {}};
      Openings.push_back({Platform.now(), packet.Source, packet.Sequence});
    }
    answer(packet, Syn | Ack, flow.OwnSequence, packet.Sequence + 1, "");
    return;
  }
  constexpr std::uint32_t Window = 1U << 24;
  if (known == Flows.end() ||
      packet.Acknowledgement - known->second.OwnSequence > Window) {
    std::string bounced = buf;
    bounced[4] = static_cast<char>(bounced[4] | Bounced);
    World::sendUdp(Socket, bounced, Site.outbound(Site.Sides[Side]));
    return;
  }
  Flow &flow = known->second;
  if ((packet.Flags & Rst) != 0) {
    Flows.erase(known);
    return;
  }
  if ((packet.Flags & Fin) != 0) {
    answer(packet, Fin | Ack, packet.Acknowledgement, packet.Sequence + 1, "");
    return;
  }
  if (packet.Data.empty())
    return;
  const bool isNew = !flow.Answers.contains(packet.Sequence);
  if (isNew) {
    ++Runs;
    flow.Answers[packet.Sequence] =
        "HTTP/1.1 200 OK\r\nX-Response-Seal: 1\r\nContent-Length: 2\r\n\r\nok";
  }
  answer(packet, Ack, packet.Acknowledgement,
         packet.Sequence + static_cast<std::uint32_t>(packet.Data.size()),
         flow.Answers[packet.Sequence]);
}

// Callers

Callers::Callers(World &world, Deployment &deployment)
    : Platform(world), Site(deployment) {
  Socket = Platform.openUdp(Site.callers(),
                            [this](const std::string &buf) { onPacket(buf); });
  Platform.every(20, [this] { tick(); });
}

void Callers::send(Flow &flow, std::uint8_t flags, std::uint32_t sequence,
                   std::uint32_t acknowledgement, const std::string &data) {
  const Machine *to = Site.routerChoice(flow.Caller);
  if (to == nullptr)
    return;
  const Packet packet{flags, flow.Caller, flow.Route, sequence, acknowledgement,
                      0,     true,        false,      data};
  World::sendUdp(Socket, encode(packet), Site.datagrams(*to));
}

std::size_t Callers::open(const Address &route, Milliseconds requestInterval) {
  Flow flow;
  flow.Caller = {Site.callers().Ip, NextPort++};
  flow.Route = route;
  flow.SynAt = Platform.now();
  flow.RequestInterval = requestInterval;
  flow.NextSequence = static_cast<std::uint32_t>(Random());
  flow.RetransmitAt = flow.SynAt + 200;
  ByPort[flow.Caller.Port] = Flows.size();
  Flows.push_back(flow);
  send(Flows.back(), Syn, flow.NextSequence, 0, "");
  return Flows.size() - 1;
}

void Callers::sendRequest(Flow &flow) {
  flow.Pending = "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: " +
                 std::to_string(flow.Caller.Port) + "-" +
                 std::to_string(flow.Answers) + "\r\n\r\n";
  flow.RetransmitDelay = 200;
  flow.RetransmitAt = Platform.now() + flow.RetransmitDelay;
  send(flow, Ack, flow.NextSequence, flow.Acknowledgement, flow.Pending);
}

void Callers::onPacket(const std::string &buf) {
  Packet packet;
  if (!decode(buf, packet))
    return;
  const auto it = ByPort.find(packet.Destination.Port);
  const bool isOwnReset = packet.HasZeroSum && (packet.Flags & Rst) != 0;
  if (it == ByPort.end() || (!packet.IsIntact && !isOwnReset)) {
    ++ForeignPackets;
    return;
  }
  Flow &flow = Flows[it->second];
  if (flow.IsOver)
    return;
  if ((packet.Flags & Rst) != 0) {
    flow.IsOver = true;
    flow.WasReset = true;
    flow.WasResetBySystem = isOwnReset;
    flow.ResetAt = Platform.now();
    return;
  }
  if ((packet.Flags & (Syn | Ack)) == (Syn | Ack)) {
    if (flow.IsOpen)
      return;
    flow.IsOpen = true;
    flow.OpenedAt = Platform.now();
    ++flow.NextSequence;
    flow.Acknowledgement = packet.Sequence + 1;
    return sendRequest(flow);
  }
  if ((packet.Flags & Fin) != 0) {
    flow.IsOver = true;
    return;
  }
  if (packet.Data.empty() || flow.Pending.empty() ||
      packet.Sequence != flow.Acknowledgement)
    return;
  ++flow.Answers;
  flow.NextSequence += static_cast<std::uint32_t>(flow.Pending.size());
  flow.Acknowledgement += static_cast<std::uint32_t>(packet.Data.size());
  flow.Pending.clear();
  if (flow.RequestInterval > 0) {
    flow.NextRequestAt = Platform.now() + flow.RequestInterval;
    return;
  }
  send(flow, Fin | Ack, flow.NextSequence, flow.Acknowledgement, "");
  flow.RetransmitAt = Platform.now() + 200;
}

void Callers::tick() {
  const Milliseconds now = Platform.now();
  for (Flow &flow : Flows) {
    if (flow.IsOver)
      continue;
    if (!flow.IsOpen) {
      if (now - flow.SynAt >= 1400) {
        flow.IsOver = true;
      } else if (now >= flow.RetransmitAt && flow.Copies < 2) {
        ++flow.Copies;
        flow.RetransmitAt = flow.SynAt + 600;
        send(flow, Syn, flow.NextSequence,
             static_cast<std::uint32_t>(flow.Copies), "");
      }
      continue;
    }
    if (!flow.Pending.empty()) {
      if (now < flow.RetransmitAt)
        continue;
      flow.RetransmitDelay =
          std::min<Milliseconds>(1600, flow.RetransmitDelay * 2);
      flow.RetransmitAt = now + flow.RetransmitDelay;
      send(flow, Ack, flow.NextSequence, flow.Acknowledgement, flow.Pending);
      continue;
    }
    if (flow.RequestInterval > 0) {
      if (now >= flow.NextRequestAt)
        sendRequest(flow);
    } else if (now >= flow.RetransmitAt) {
      flow.IsOver = true;
    }
  }
}

// Other

TemporaryFolder::TemporaryFolder()
    : Path([] {
        std::string path =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
      }()) {}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ec;
  if (!Path.empty() && std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Path, ec);
}

bool withTrouble() {
  const char *value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

} // namespace review
