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

struct BalancerSettings {
  std::string Name;
  std::string DataCentre;
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
  /// Folder of the replicated log.
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
