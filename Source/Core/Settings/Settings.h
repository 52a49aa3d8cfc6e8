#pragma once

/// Public header of the Settings library: the checked TOML settings of each
/// daemon.

#include "Common/Common.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// 127.0.0.1:7003
inline constexpr Endpoint DefaultAdminEndpoint{0x7F000001, 7003};

struct LogSettings {
  /// debug, info, warning or error.
  std::string Level = "info";
};

/// How balancers and agents treat what flows carry.
enum class FlowMode : std::uint8_t {
  /// The caller protocol of this project, with requests that agents run.
  Requests,
  /// Packets of callers and upstreams are opaque and passed on unchanged.
  Relay
};

/// Where the processes of one instance listen for each other, as offsets in a
/// range of ports that is the same on all instances.
namespace PortOffset {
inline constexpr std::uint16_t BalancerData = 0;
inline constexpr std::uint16_t ControlNodes = 1;
inline constexpr std::uint16_t ControlPeers = 2;
inline constexpr std::uint16_t Last = ControlPeers;
} // namespace PortOffset

struct BalancerSettings {
  std::string Name;
  std::string DataCentre;
  FlowMode Mode = FlowMode::Requests;
  /// Mode Relay: where agents send datagrams.
  Endpoint InternalListen;
  /// Mode Relay: HTTP endpoint that the fabric asks for readiness.
  Endpoint Ready;
  /// Where the fabric and other processes send datagrams.
  Endpoint Listen;
  /// Prometheus endpoint.
  Endpoint Metrics;
  /// TCP port that accepts connections only while this balancer serves, for the
  /// health check of the fabric. Optional.
  Endpoint Health;
  /// Control instances for nodes.
  std::vector<Endpoint> Control;
  std::uint32_t Workers = 1;
  LogSettings Log;
};

struct AgentSettings {
  FlowMode Mode = FlowMode::Requests;
  /// Mode Relay: where the upstream sends its packets.
  Endpoint Outbound;
  /// Mode Relay: HTTP endpoint for the reports of the upstream.
  Endpoint Reports;
  /// Mode Relay: the bound of first packets in a cold start, see
  /// UpstreamGateOptions.
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  /// Mode Relay: interval of the reports.
  std::uint32_t ReportMs = 1000;
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  /// Where balancers and other agents send datagrams.
  Endpoint Listen;
  Endpoint Metrics;
  std::vector<Endpoint> Control;
  /// The upstream's HTTP endpoint.
  Endpoint BackEnd;
  std::uint32_t Slots = 1;
  std::uint32_t MaxFlows = 4000;
  /// Longest time that a planned stop waits for flows to end, in seconds;
  /// requests that run then are still finished. 0 waits for all flows, since a
  /// flow must survive any planned change.
  std::uint32_t DrainSeconds = 0;
  LogSettings Log;
};

struct MemberSettings {
  std::string Name;
  /// TCP endpoint of the replicated log.
  Endpoint Address;
};

struct CredentialSettings {
  std::string Team;
  /// 16 to 256 printable characters, from the file or from the file that
  /// secret_file names.
  std::string Secret;
};

struct ControlSettings {
  std::string Name;
  std::string DataCentre;
  /// Folder of the replicated log. Without one the instance is a relay: it
  /// follows the log and does not vote.
  std::string DataFolder;
  /// TCP endpoint for nodes and agents.
  Endpoint Nodes;
  /// TCP endpoint for the other members.
  Endpoint Peers;
  /// Administration API; DefaultAdminEndpoint unless set.
  Endpoint Admin;
  Endpoint Metrics;
  /// All members of the group, this one included. Only this one if the file
  /// names none.
  std::vector<MemberSettings> Members;
  /// Other control instances that may know the group, as endpoints of their
  /// logs.
  std::vector<Endpoint> Seeds;
  /// The first start of a deployment: the lowest of the seeds makes the group.
  bool FoundGroup = false;
  /// Declared in the rules where they are not.
  std::vector<std::string> DataCentres;
  /// HTTP endpoint for the orders of an operator's system; optional.
  Endpoint OperatorApi;
  std::vector<CredentialSettings> Credentials;
  std::uint32_t LeaseMs = 3000;
  LogSettings Log;
};

/// Read and check a file of at most 1 MiB. All faults (unknown keys, missing
/// keys, wrong types, values out of range) are added to \p findings with their
/// place; nothing is returned if there is any. Of faults in the TOML syntax
/// only the first is found.
std::optional<BalancerSettings> loadBalancerSettings(const std::string &path,
                                                     Findings &findings);
std::optional<AgentSettings> loadAgentSettings(const std::string &path,
                                               Findings &findings);
std::optional<ControlSettings> loadControlSettings(const std::string &path,
                                                   Findings &findings);

/// A credential from the first line of a file, for example the one that
/// secret_file names.
std::optional<std::string> loadCredential(const std::string &path,
                                          Findings &findings);

} // namespace pistachio
