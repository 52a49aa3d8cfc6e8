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

/// Replaces the complete rules text if ExpectedRevision equals the revision of
/// the current rules.
struct ApplyRules {
  /// Idempotency key, assigned by the operator's client. A repeated command
  /// with the same id is not applied again and returns the result of the first
  /// one.
  std::string OperationId;
  Revision ExpectedRevision;
  std::string Team;
  std::string Operator;
  std::string Rules;
  /// Wall clock of the proposing leader in milliseconds since the Unix epoch.
  /// The stored results of old operations expire by it.
  std::uint64_t ProposedAtMs = 0;
  friend bool operator==(const ApplyRules &, const ApplyRules &) = default;
};

struct UpstreamJoined {
  std::string Service;
  std::string DataCentre;
  std::string Zone;
  std::string Machine;
  Endpoint Address;
  Incarnation ProcessIncarnation;
  std::uint32_t Slots = 0;
  friend bool operator==(const UpstreamJoined &,
                         const UpstreamJoined &) = default;
};

struct UpstreamChanged {
  UpstreamId Upstream;
  Incarnation ProcessIncarnation;
  UpstreamState State = UpstreamState::Active;
  friend bool operator==(const UpstreamChanged &,
                         const UpstreamChanged &) = default;
};

struct UpstreamLeft {
  UpstreamId Upstream;
  Incarnation ProcessIncarnation;
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

/// The routing document that an operator's system applied last, byte for byte
/// as it was received.
struct RoutingDocument {
  /// 0 if no document has been applied yet.
  std::uint64_t Version = 0;
  std::string Text;
  friend bool operator==(const RoutingDocument &,
                         const RoutingDocument &) = default;
};

/// Replaces the service and route lines of the rules if Version is higher than
/// the version of the current routing document.
struct ApplyRouting {
  /// Idempotency key, see ApplyRules.
  std::string OperationId;
  std::uint64_t Version = 0;
  /// The new service and route lines of the rules, including their comments.
  std::string Lines;
  /// The document as received; reads return it unchanged.
  std::string Document;
  std::uint64_t ProposedAtMs = 0;
  friend bool operator==(const ApplyRouting &, const ApplyRouting &) = default;
};

enum class DataCentreChange : std::uint8_t {
  /// Adds the data centre to the rules. If it is already declared and taken out
  /// of service, it stays so.
  Declare,
  TakeOut,
  BringBack,
  Max = BringBack
};

/// Declares a data centre unless the rules already do, and takes it out of
/// service or brings it back.
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
