#include "Wire/LogCommands.h"

#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Type number of the first alternative of the variant; the others follow. The
/// ranges of the message families must not overlap, so that a decoder rejects
/// the messages of another family.
constexpr std::uint8_t FirstCommandType = 128;

} // namespace

template <typename Archive> void fields(Archive &archive, ApplyRules &it) {
  text(archive, it.OperationId, MaxOperationIdBytes);
  field(archive, it.ExpectedRevision);
  text(archive, it.Team, MaxNameBytes);
  text(archive, it.Operator, MaxNameBytes);
  text(archive, it.Rules, MaxRulesBytes);
  field(archive, it.ProposedAtMs);
}

template <typename Archive> void fields(Archive &archive, UpstreamJoined &it) {
  text(archive, it.Service, MaxNameBytes);
  text(archive, it.DataCentre, MaxNameBytes);
  text(archive, it.Zone, MaxNameBytes);
  text(archive, it.Machine, MaxNameBytes);
  field(archive, it.Address);
  field(archive, it.ProcessIncarnation);
  field(archive, it.Slots);
}

template <typename Archive> void fields(Archive &archive, UpstreamChanged &it) {
  field(archive, it.Upstream);
  field(archive, it.ProcessIncarnation);
  field(archive, it.State);
}

template <typename Archive> void fields(Archive &archive, UpstreamLeft &it) {
  field(archive, it.Upstream);
  field(archive, it.ProcessIncarnation);
}

template <typename Archive> void fields(Archive &archive, BalancerJoined &it) {
  text(archive, it.Name, MaxNameBytes);
  text(archive, it.DataCentre, MaxNameBytes);
  field(archive, it.Address);
}

template <typename Archive> void fields(Archive &archive, BalancerLeft &it) {
  text(archive, it.Name, MaxNameBytes);
}

template <typename Archive> void fields(Archive &archive, ApplyRouting &it) {
  text(archive, it.OperationId, MaxOperationIdBytes);
  field(archive, it.Version);
  text(archive, it.Lines, MaxRulesBytes);
  text(archive, it.Document, MaxRoutingDocumentBytes);
  field(archive, it.ProposedAtMs);
}

template <typename Archive> void fields(Archive &archive, SetDataCentre &it) {
  text(archive, it.OperationId, MaxOperationIdBytes);
  text(archive, it.DataCentre, MaxNameBytes);
  field(archive, it.Change);
  text(archive, it.Operator, MaxNameBytes);
  field(archive, it.ProposedAtMs);
}

absl::StatusOr<LogCommand> decodeCommand(std::span<const std::byte> buf) {
  return decodeVariant<LogCommand>(buf, FirstCommandType, MaxBodyBytes);
}

absl::Status encodeCommand(const LogCommand &message, Bytes &out) {
  return encodeVariant(message, FirstCommandType, MaxBodyBytes, out);
}

} // namespace pistachio
