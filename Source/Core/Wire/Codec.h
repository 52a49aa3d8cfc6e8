#pragma once

// Internal header of the libraries that encode messages. It includes cereal, so
// only .cpp files may include it.

#include "Common/Common.h"
#include "Wire/Envelope.h"

#include "absl/status/statusor.h"

#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace pistachio {

// The archives below read and write cereal's portable_binary format in
// little-endian order directly in memory. cereal's own archives need a
// std::iostream, which costs more time than the fields of a packet.
static_assert(std::endian::native == std::endian::little);

/// First byte of a portable_binary archive in little endian.
inline constexpr std::uint8_t LittleEndianMarker = 1;

/// Reads fields from received bytes. remaining() allows a length field to be
/// checked before memory is allocated for it.
class InputArchive
    : public cereal::InputArchive<InputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit InputArchive(std::span<const std::byte> buf)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(
            this),
        Unread(buf) {
    std::uint8_t marker = 0;
    loadBinary<1>(&marker, 1);
    if (marker != LittleEndianMarker)
      throw cereal::Exception("message body is not little endian");
  }
  std::size_t remaining() const { return Unread.size(); }

  template <std::streamsize ElementBytes>
  void loadBinary(void *data, std::streamsize size) {
    const auto n = static_cast<std::size_t>(size);
    if (n > Unread.size())
      throw cereal::Exception("message body is truncated");
    std::memcpy(data, Unread.data(), n);
    Unread = Unread.subspan(n);
  }

private:
  std::span<const std::byte> Unread;
};

/// Appends encoded fields to a byte vector.
class OutputArchive
    : public cereal::OutputArchive<OutputArchive,
                                   cereal::AllowEmptyClassElision> {
public:
  explicit OutputArchive(Bytes &out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(
            this),
        Out(out) {
    saveBinary<1>(&LittleEndianMarker, 1);
  }

  template <std::streamsize ElementBytes>
  void saveBinary(const void *data, std::streamsize size) {
    const auto *begin = static_cast<const std::byte *>(data);
    Out.insert(Out.end(), begin, begin + size);
  }

private:
  Bytes &Out;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &archive, T &value) {
  archive.loadBinary<sizeof(T)>(&value, sizeof(T));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &archive, const T &value) {
  archive.saveBinary<sizeof(T)>(&value, sizeof(T));
}

/// Reads an element count. Throws if it exceeds \p max or if that many elements
/// of at least \p minElementBytes each cannot fit into the remaining bytes.
inline std::size_t readCount(InputArchive &archive, std::size_t max,
                             std::size_t minElementBytes) {
  std::uint32_t n = 0;
  archive(n);
  if (n > max || n * minElementBytes > archive.remaining())
    throw cereal::Exception(
        "element count exceeds its limit or the message size");
  return n;
}

// Building blocks of the message codecs. Each message type has one function
// `template <class Archive> void fields(Archive &, Message &)`, which encodes
// or decodes its fields in order. It calls field() for scalars, ids and
// endpoints, bytes(), text(), list() and textList() for containers of limited
// size, and fields() for nested messages.

template <typename T>
concept Scalar = std::is_arithmetic_v<T> || std::is_enum_v<T>;

template <typename Archive, Scalar T> void field(Archive &archive, T &value) {
  constexpr bool IsInput = std::is_same_v<Archive, InputArchive>;
  if constexpr (std::is_enum_v<T>) {
    auto raw = static_cast<std::underlying_type_t<T>>(value);
    field(archive, raw);
    if constexpr (IsInput) {
      if (raw > static_cast<std::underlying_type_t<T>>(T::Max))
        throw cereal::Exception("field has an unknown enumeration value");
      value = static_cast<T>(raw);
    }
  } else if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t raw = value ? 1 : 0;
    field(archive, raw);
    if (raw > 1)
      throw cereal::Exception("boolean field is neither 0 nor 1");
    value = raw == 1;
  } else {
    archive(value);
  }
}

template <typename Archive, typename Tag, typename Rep>
void field(Archive &archive, StrongId<Tag, Rep> &id) {
  field(archive, id.Value);
}

template <typename Archive> void field(Archive &archive, RequestId &id) {
  field(archive, id.High);
  field(archive, id.Low);
}

template <typename Archive> void field(Archive &archive, Endpoint &endpoint) {
  field(archive, endpoint.Address);
  field(archive, endpoint.Port);
}

/// Encodes and decodes a contiguous container of bytes or characters: a 32-bit
/// length followed by the content.
template <typename Container>
void sizedBytes(InputArchive &archive, Container &out, std::size_t max) {
  out.resize(readCount(archive, max, 1));
  if (!out.empty())
    archive.loadBinary<1>(out.data(), static_cast<std::streamsize>(out.size()));
}

template <typename Container>
void sizedBytes(OutputArchive &archive, Container &in, std::size_t max) {
  if (in.size() > max)
    throw cereal::Exception("field exceeds its maximum length");
  auto n = static_cast<std::uint32_t>(in.size());
  archive(n);
  if (n != 0)
    archive.saveBinary<1>(in.data(), static_cast<std::streamsize>(n));
}

template <typename Archive>
void bytes(Archive &archive, Bytes &value, std::size_t max) {
  sizedBytes(archive, value, max);
}

template <typename Archive>
void text(Archive &archive, std::string &value, std::size_t max) {
  sizedBytes(archive, value, max);
}

template <typename Archive, typename Tag, typename Rep>
void fields(Archive &archive, StrongId<Tag, Rep> &id) {
  field(archive, id);
}

/// Lets list() encode endpoints.
template <typename Archive> void fields(Archive &archive, Endpoint &it) {
  field(archive, it);
}

template <typename Archive>
void optionalDuration(Archive &archive, bool isStated,
                      std::optional<Duration> &value) {
  if (!isStated)
    return;
  auto ms = static_cast<std::uint32_t>(value.value_or(Duration{}).count());
  field(archive, ms);
  value = Duration(ms);
}

/// Flags of the values that encoded RouteTerms state.
namespace RouteTermsFlag {
inline constexpr std::uint8_t Urgency = 1;
inline constexpr std::uint8_t Objective = 2;
inline constexpr std::uint8_t Timeout = 4;
inline constexpr std::uint8_t Repeatable = 8;
inline constexpr std::uint8_t Once = 16;
inline constexpr std::uint8_t All = 31;
} // namespace RouteTermsFlag

inline std::uint8_t flagsOf(const RouteTerms &it) {
  const auto flag = [](bool isSet, std::uint8_t value) {
    return isSet ? value : std::uint8_t{0};
  };
  return static_cast<std::uint8_t>(
      flag(it.Urgency.has_value(), RouteTermsFlag::Urgency) |
      flag(it.Objective.has_value(), RouteTermsFlag::Objective) |
      flag(it.Timeout.has_value(), RouteTermsFlag::Timeout) |
      flag(it.Repeatable == true, RouteTermsFlag::Repeatable) |
      flag(it.Repeatable == false, RouteTermsFlag::Once));
}

/// Encodes and decodes one byte of RouteTermsFlag, followed by the urgency (one
/// byte) and the durations (32 bits, in milliseconds) that are stated.
template <typename Archive> void fields(Archive &archive, RouteTerms &it) {
  const auto requireValid = [&] {
    if (!isValid(it))
      throw cereal::Exception("terms of a route are outside their limits");
  };
  // The values must fit their fields when they are encoded.
  requireValid();
  std::uint8_t flags = flagsOf(it);
  field(archive, flags);
  const auto has = [&](std::uint8_t flag) { return (flags & flag) != 0; };
  if (flags > RouteTermsFlag::All ||
      (has(RouteTermsFlag::Repeatable) && has(RouteTermsFlag::Once)))
    throw cereal::Exception("terms of a route have unknown flags");
  if (has(RouteTermsFlag::Urgency)) {
    std::uint8_t urgency = it.Urgency.value_or(0);
    field(archive, urgency);
    it.Urgency = urgency;
  }
  optionalDuration(archive, has(RouteTermsFlag::Objective), it.Objective);
  optionalDuration(archive, has(RouteTermsFlag::Timeout), it.Timeout);
  if (has(RouteTermsFlag::Repeatable) || has(RouteTermsFlag::Once))
    it.Repeatable = has(RouteTermsFlag::Repeatable);
  requireValid();
}

/// Encodes and decodes a list of at most \p max messages. \p minElementBytes is
/// the smallest encoded size of one of them.
template <typename T>
void list(InputArchive &archive, std::vector<T> &items, std::size_t max,
          std::size_t minElementBytes) {
  items.resize(readCount(archive, max, minElementBytes));
  for (T &it : items)
    fields(archive, it);
}

template <typename T>
void list(OutputArchive &archive, std::vector<T> &items, std::size_t max,
          std::size_t /*minElementBytes*/) {
  if (items.size() > max)
    throw cereal::Exception("list exceeds its maximum length");
  auto n = static_cast<std::uint32_t>(items.size());
  archive(n);
  for (T &it : items)
    fields(archive, it);
}

inline void textList(InputArchive &archive, std::vector<std::string> &items,
                     std::size_t max, std::size_t maxTextBytes) {
  items.resize(readCount(archive, max, sizeof(std::uint32_t)));
  for (std::string &it : items)
    text(archive, it, maxTextBytes);
}

inline void textList(OutputArchive &archive, std::vector<std::string> &items,
                     std::size_t max, std::size_t maxTextBytes) {
  if (items.size() > max)
    throw cereal::Exception("list exceeds its maximum length");
  auto n = static_cast<std::uint32_t>(items.size());
  archive(n);
  for (std::string &it : items)
    text(archive, it, maxTextBytes);
}

inline void storeLittleEndian(std::byte *out, std::uint64_t value, int n) {
  for (int i = 0; i < n; ++i)
    out[i] = static_cast<std::byte>(value >> (8 * i));
}

inline std::uint64_t loadLittleEndian(const std::byte *in, int n) {
  std::uint64_t value = 0;
  for (int i = 0; i < n; ++i)
    value |= std::uint64_t{static_cast<std::uint8_t>(in[i])} << (8 * i);
  return value;
}

/// Appends \p message with its header to \p out. \p firstType is the type
/// number of the first alternative of the channel's variant; the other
/// alternatives follow in order. A message that exceeds a limit is a fault of
/// the sender: the function returns InvalidArgument and leaves \p out
/// unchanged.
template <typename Variant>
absl::Status encodeVariant(const Variant &message, std::uint8_t firstType,
                           std::size_t maxBody, Bytes &out) {
  const std::size_t start = out.size();
  out.resize(start + EnvelopeBytes);
  try {
    OutputArchive archive(out);
    // fields() takes a mutable reference because it is shared by both
    // directions. Encoding does not modify the message.
    std::visit([&](auto &it) { fields(archive, it); },
               const_cast<Variant &>(message));
  } catch (const cereal::Exception &e) {
    out.resize(start);
    return absl::InvalidArgumentError(e.what());
  }
  const std::size_t n = out.size() - start - EnvelopeBytes;
  if (n > maxBody) {
    out.resize(start);
    return absl::InvalidArgumentError(
        "message body exceeds its maximum length");
  }
  std::byte *header = out.data() + start;
  storeLittleEndian(header, WireMagic, 2);
  storeLittleEndian(header + 2, WireVersion, 1);
  storeLittleEndian(header + 3, firstType + message.index(), 1);
  storeLittleEndian(header + 4, n, 4);
  storeLittleEndian(
      header + 8,
      checksum32(std::span<const std::byte>(header + EnvelopeBytes, n)), 4);
  return absl::OkStatus();
}

/// Returns the type number of an encoded message of at least EnvelopeBytes, and
/// 0, which is no type number, for a shorter one.
inline std::uint64_t messageTypeOf(std::span<const std::byte> buf) {
  return buf.size() < EnvelopeBytes ? 0 : loadLittleEndian(buf.data() + 3, 1);
}

/// Decodes the body as alternative \p index of the variant.
template <typename Variant, std::size_t Index = 0>
void decodeAlternative(InputArchive &archive, std::size_t index,
                       Variant &message) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (index == Index)
      fields(archive, message.template emplace<Index>());
    else
      decodeAlternative<Variant, Index + 1>(archive, index, message);
  }
}

/// Decodes one complete message; the inverse of encodeVariant().
template <typename Variant>
absl::StatusOr<Variant> decodeVariant(std::span<const std::byte> buf,
                                      std::uint8_t firstType,
                                      std::size_t maxBody) {
  if (buf.size() < EnvelopeBytes)
    return absl::InvalidArgumentError("message is shorter than its header");
  if (loadLittleEndian(buf.data(), 2) != WireMagic)
    return absl::InvalidArgumentError(
        "message does not start with the magic number");
  if (loadLittleEndian(buf.data() + 2, 1) != WireVersion)
    return absl::InvalidArgumentError("message has an unsupported version");
  const std::uint64_t type = messageTypeOf(buf);
  if (type < firstType || type - firstType >= std::variant_size_v<Variant>)
    return absl::InvalidArgumentError(
        "message type does not belong to this channel");
  const std::span<const std::byte> body = buf.subspan(EnvelopeBytes);
  const std::uint64_t length = loadLittleEndian(buf.data() + 4, 4);
  if (length > maxBody || length != body.size())
    return absl::InvalidArgumentError(
        "message length does not match the length in its header");
  if (loadLittleEndian(buf.data() + 8, 4) != checksum32(body))
    return absl::InvalidArgumentError("message checksum does not match");
  Variant message;
  try {
    InputArchive archive(body);
    decodeAlternative(archive, static_cast<std::size_t>(type - firstType),
                      message);
    if (archive.remaining() != 0)
      return absl::InvalidArgumentError(
          "message has trailing bytes after its last field");
  } catch (const cereal::Exception &e) {
    return absl::InvalidArgumentError(e.what());
  }
  return message;
}

} // namespace pistachio
