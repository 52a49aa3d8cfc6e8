#pragma once

/// Public header of the Settings library: reads and validates the TOML settings
/// files of the daemons.

#include "Common/Common.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pistachio {

/// 127.0.0.1:7003
inline constexpr Endpoint DefaultAdminEndpoint{0x7F000001, 7003};

struct LogSettings {
  /// One of debug, info, warning and error.
  std::string Level = "info";
};

/// How balancers and agents process the packets of flows.
enum class FlowMode : std::uint8_t {
  /// Packets carry the caller protocol of this project (SessionMessage), and
  /// agents run the requests at their back ends.
  Requests,
  /// Packets of callers and upstreams are opaque and forwarded unmodified.
  Relay
};

/// Ports on which the processes of a deployment receive messages from each
/// other, as offsets from the first port of a range. All machines of a
/// deployment use the same range.
namespace PortOffset {
inline constexpr std::uint16_t BalancerData = 0;
inline constexpr std::uint16_t ControlNodes = 1;
inline constexpr std::uint16_t ControlPeers = 2;
inline constexpr std::uint16_t Last = ControlPeers;
} // namespace PortOffset

/// How a balancer chooses the upstream of a new flow in mode Relay.
enum class PlacementMode : std::uint8_t { LeastLoaded, ExpectedWait, Adaptive };

struct BalancerSettings {
  std::string Name;
  std::string DataCentre;
  FlowMode Mode = FlowMode::Requests;
  /// Mode Relay: endpoint that receives datagrams from agents.
  Endpoint InternalListen;
  /// Mode Relay only.
  PlacementMode Placement = PlacementMode::LeastLoaded;
  /// Mode Relay: HTTP endpoint of the readiness check of the network fabric.
  Endpoint Ready;
  /// Mode Relay: rate of the link of the balancer's machine, see
  /// LinkScheduler. Not set if datagrams are sent without a schedule.
  std::optional<double> LinkMbitPerSecond;
  /// Endpoint that receives datagrams from the network fabric and, except in
  /// mode Relay, from other processes.
  Endpoint Listen;
  /// HTTP endpoint for Prometheus.
  Endpoint Metrics;
  /// TCP endpoint for the health check of the network fabric. It accepts
  /// connections only while this balancer serves. Optional.
  Endpoint Health;
  /// Endpoints at which the control instances accept connections from balancers
  /// and agents, see ControlSettings::Nodes.
  std::vector<Endpoint> Control;
  /// Number of threads that process packets.
  std::uint32_t Workers = 1;
  LogSettings Log;
};

struct AgentSettings {
  FlowMode Mode = FlowMode::Requests;
  /// Mode Relay: endpoint that receives the packets of the upstream.
  Endpoint Outbound;
  /// Mode Relay: HTTP endpoint that receives the reports of the upstream.
  Endpoint Reports;
  /// Mode Relay: during a cold start, the agent forwards to the upstream at
  /// most ColdOvershoot (a factor) times the cold rate of the upstream plus
  /// ColdSlack first packets in one second. See UpstreamRelayOptions.
  double ColdOvershoot = 1.5;
  double ColdSlack = 5;
  /// Mode Relay: interval between two reports of the upstream.
  std::uint32_t ReportMs = 1000;
  /// Mode Relay: the agent states the mean time of a request to the balancers.
  bool ReportsServiceTime = false;
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  /// Endpoint that receives datagrams from balancers and other agents.
  Endpoint Listen;
  /// HTTP endpoint for Prometheus.
  Endpoint Metrics;
  /// As in BalancerSettings.
  std::vector<Endpoint> Control;
  /// Endpoint of the process that the agent serves. Mode Requests: the HTTP
  /// server that runs the requests, called the back end. Mode Relay: the UDP
  /// endpoint at which the upstream receives the packets of its callers.
  Endpoint BackEnd;
  /// Mode Requests: maximum number of requests that run at the back end at the
  /// same time. The reply of control to an announcement may lower it.
  std::uint32_t Slots = 1;
  /// Mode Requests: maximum number of flows that the agent holds. Beyond it,
  /// the agent refuses new flows or passes them on to another agent.
  std::uint32_t MaxFlows = 4000;
  /// Maximum time that a planned stop waits for flows to end. Requests that are
  /// running at that time are still completed. 0 means no limit, which is the
  /// default because flows must survive planned changes.
  std::uint32_t DrainSeconds = 0;
  LogSettings Log;
};

struct MemberSettings {
  std::string Name;
  /// TCP endpoint for messages of the consensus protocol.
  Endpoint Address;
};

struct CredentialSettings {
  std::string Team;
  /// 16 to 256 printable characters, given in the settings file itself or in
  /// the file that its key secret_file names.
  std::string Secret;
};

struct ControlSettings {
  std::string Name;
  std::string DataCentre;
  /// Folder of the replicated log. An instance without one is a learner: it
  /// follows the log but does not vote.
  std::string DataFolder;
  /// TCP endpoint for the nodes: the balancers and the agents.
  Endpoint Nodes;
  /// TCP endpoint for the other members.
  Endpoint Peers;
  /// HTTP endpoint of the administration API, which teams use to change the
  /// rules and read the status; DefaultAdminEndpoint unless it is set. It is
  /// served only if there are credentials.
  Endpoint Admin;
  /// HTTP endpoint for Prometheus.
  Endpoint Metrics;
  /// All members of the group, including this instance, which is the only one
  /// if the file lists no members.
  std::vector<MemberSettings> Members;
  /// Peer endpoints of other control instances, through which this instance
  /// finds the group.
  std::vector<Endpoint> Seeds;
  /// Set for the first start of a deployment: the instance with the lowest seed
  /// endpoint bootstraps the group.
  bool FoundGroup = false;
  /// Data centres that the instance declares in the rules if they are missing
  /// there.
  std::vector<std::string> DataCentres;
  /// The terms of routes are read from routing documents. Only for deployments
  /// in which all processes know them.
  bool FillsRouteTerms = false;
  /// HTTP endpoint of the operator API, through which an operator's system
  /// changes and reads the routing document and the state of data centres. It
  /// is separate from the administration API. Set only if Seeds are given.
  Endpoint OperatorApi;
  std::vector<CredentialSettings> Credentials;
  std::uint32_t LeaseMs = 3000;
  LogSettings Log;
};

/// Reads and validates a settings file of at most 1 MiB. All errors (unknown or
/// missing keys, wrong types, values out of range) are added to \p findings
/// with their location, and nothing is returned if there are any. Of several
/// errors in the TOML syntax only the first is reported.
std::optional<BalancerSettings> loadBalancerSettings(const std::string &path,
                                                     Findings &findings);
std::optional<AgentSettings> loadAgentSettings(const std::string &path,
                                               Findings &findings);
std::optional<ControlSettings> loadControlSettings(const std::string &path,
                                                   Findings &findings);

/// Reads a credential from the first line of a file, for example of the one
/// that the key secret_file names.
std::optional<std::string> loadCredential(const std::string &path,
                                          Findings &findings);

} // namespace pistachio
