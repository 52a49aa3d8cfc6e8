#include "Consensus/Consensus.h"
#include "Wire/Codec.h"

namespace pistachio {
namespace {

/// Size of an encoded member: identity (8 bytes), address (4), port (2) and
/// kind (1), little endian.
constexpr std::size_t MemberBytes = 15;

/// Encoded form of the flags of a member. A relay is an instance without a data
/// folder; see Member::Relay.
enum MemberKind : std::uint8_t { Learner, Voter, Relay, LastKind = Relay };

MemberKind kindOf(const Member &member) {
  if (member.Voter)
    return MemberKind::Voter;
  return member.Relay ? MemberKind::Relay : MemberKind::Learner;
}

} // namespace

Bytes encodeMembers(std::span<const Member> members) {
  Bytes out(members.size() * MemberBytes);
  std::byte *at = out.data();
  for (const Member &it : members) {
    storeLittleEndian(at, it.Id.Value, 8);
    storeLittleEndian(at + 8, it.Address.Address, 4);
    storeLittleEndian(at + 12, it.Address.Port, 2);
    storeLittleEndian(at + 14, kindOf(it), 1);
    at += MemberBytes;
  }
  return out;
}

absl::StatusOr<std::vector<Member>>
decodeMembers(std::span<const std::byte> buf) {
  if (buf.size() % MemberBytes != 0 || buf.size() / MemberBytes > MaxMembers)
    return absl::DataLossError("member list has an invalid length");
  std::vector<Member> out;
  for (; !buf.empty(); buf = buf.subspan(MemberBytes)) {
    const std::uint64_t kind = loadLittleEndian(buf.data() + 14, 1);
    if (kind > MemberKind::LastKind)
      return absl::DataLossError(
          "member list contains an unknown kind of member");
    out.push_back(
        {MemberId{loadLittleEndian(buf.data(), 8)},
         {static_cast<std::uint32_t>(loadLittleEndian(buf.data() + 8, 4)),
          static_cast<std::uint16_t>(loadLittleEndian(buf.data() + 12, 2))},
         kind == MemberKind::Voter,
         kind == MemberKind::Relay});
  }
  return out;
}

} // namespace pistachio
