#pragma once

#include "Common/Common.h"
#include "Wire/Envelope.h"
#include "Wire/NodeMessages.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace pistachio {

inline constexpr std::size_t MaxRulesBytes = 768 * 1024;
inline constexpr std::size_t MaxOperationIdBytes = 64;

/// Replaces the whole rules text if ExpectedRevision is the revision of the
/// current rules.
struct ApplyRules {
  /// Chosen by the operator's client. A repeat with the same id gets the first
  /// result.
  std::string OperationId;
  Revision ExpectedRevision;
  std::string Team;
  std::string Operator;
  std::string Rules;
  /// Time of the proposing leader, in milliseconds since the Unix epoch; ages
  /// out old results.
  std::uint64_t ProposedAtMs = 0;
  friend bool operator==(const ApplyRules &, const ApplyRules &) = default;
};

struct UpstreamJoined {
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  Incarnation Run;
  std::uint32_t Slots = 0;
  friend bool operator==(const UpstreamJoined &,
                         const UpstreamJoined &) = default;
};

struct UpstreamChanged {
  UpstreamId Upstream;
  Incarnation Run;
  UpstreamState State = UpstreamState::Active;
  friend bool operator==(const UpstreamChanged &,
                         const UpstreamChanged &) = default;
};

struct UpstreamLeft {
  UpstreamId Upstream;
  Incarnation Run;
  friend bool operator==(const UpstreamLeft &, const UpstreamLeft &) = default;
};

struct BalancerJoined {
  std::string Name;
  std::string DataCentre;
  Endpoint Address;
  friend bool operator==(const BalancerJoined &,
                         const BalancerJoined &) = default;
};

struct BalancerLeft {
  std::string Name;
  friend bool operator==(const BalancerLeft &, const BalancerLeft &) = default;
};

inline constexpr std::size_t MaxRoutingDocumentBytes = 512 * 1024;

/// The routing that an operator's system last put in force, as it was sent.
struct RoutingDocument {
  /// 0 if there was none.
  std::uint64_t Version = 0;
  std::string Text;
  friend bool operator==(const RoutingDocument &,
                         const RoutingDocument &) = default;
};

/// Replaces the service and route lines of the rules if Version is higher than
/// that of the routing in force.
struct ApplyRouting {
  /// A repeat with the same id gets the first result.
  std::string OperationId;
  std::uint64_t Version = 0;
  /// Service and route lines with their comments.
  std::string Lines;
  /// What the operator's system sent, handed back by reads unchanged.
  std::string Document;
  std::uint64_t ProposedAtMs = 0;
  friend bool operator==(const ApplyRouting &, const ApplyRouting &) = default;
};

enum class DataCentreChange : std::uint8_t {
  /// Only makes it known; one that is out stays out.
  Declare,
  TakeOut,
  BringBack,
  Max = BringBack
};

/// Declares a data centre if the rules do not, and takes it out or back.
struct SetDataCentre {
  std::string OperationId;
  std::string DataCentre;
  DataCentreChange Change = DataCentreChange::Declare;
  std::string Operator;
  std::uint64_t ProposedAtMs = 0;
  friend bool operator==(const SetDataCentre &,
                         const SetDataCentre &) = default;
};

using LogCommand =
    std::variant<ApplyRules, UpstreamJoined, UpstreamChanged, UpstreamLeft,
                 BalancerJoined, BalancerLeft, ApplyRouting, SetDataCentre>;

absl::StatusOr<LogCommand> decodeCommand(std::span<const std::byte> buf);
absl::Status encodeCommand(const LogCommand &message, Bytes &out);

} // namespace pistachio
