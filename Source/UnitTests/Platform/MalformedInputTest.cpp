#include "Samples.h"

#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace pistachio::platform {
namespace {

constexpr int InputsPerDecoder = 100'000;

/// Mutates a valid input in a few places: replaces, removes or repeats bytes,
/// or truncates it.
std::string mutate(std::string text, std::mt19937_64 &random) {
  const int changes = 1 + static_cast<int>(random() % 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 5) {
    case 0:
      text[at] = static_cast<char>(random());
      break;
    case 1:
      text.erase(at, 1 + random() % 8);
      break;
    case 2:
      text.insert(at, text.substr(at, 1 + random() % 8));
      break;
    case 3:
      text.resize(at);
      break;
    default:
      text[at] = "0123456789-.eE{}[]\",:ntf"[random() % 24];
      break;
    }
  }
  return text;
}

struct DecoderCase {
  const char *Name;
  std::string Sample;
  /// Returns true if the input was accepted.
  std::function<bool(const std::string &)> Decode;
};

class MalformedInputTest : public testing::TestWithParam<DecoderCase> {};

// Guards against a crash, a hang or an out-of-bounds read on malformed input;
// CI runs it under the sanitizers. Every input must give a value or an error.
TEST_P(MalformedInputTest, ReturnsValueOrError) {
  const DecoderCase &it = GetParam();
  std::mt19937_64 random(20261204);
  int acceptedInputs = 0;
  for (int i = 0; i < InputsPerDecoder; ++i)
    acceptedInputs += it.Decode(mutate(it.Sample, random)) ? 1 : 0;
  // Mutations of ignored parts may be accepted, but not all mutations.
  EXPECT_LT(acceptedInputs, InputsPerDecoder);
  EXPECT_TRUE(it.Decode(it.Sample));
}

std::span<const std::byte> toBytes(const std::string &text) {
  return std::as_bytes(std::span(text));
}

/// Returns a packet of 31 header bytes and 20 data bytes. Bytes 25 and 26 hold
/// the data length.
std::string makePacketText() {
  std::string text(31 + 20, '\x07');
  text[25] = 0;
  text[26] = 20;
  return text;
}

INSTANTIATE_TEST_SUITE_P(
    Decoders, MalformedInputTest,
    testing::Values(DecoderCase{"Packet", makePacketText(),
                                [](const std::string &text) {
                                  return makePacketFormat()
                                      ->decode(toBytes(text))
                                      .has_value();
                                }},
                    DecoderCase{"Routing", RoutingBody,
                                [](const std::string &text) {
                                  return decodeRouting(text).ok();
                                }},
                    DecoderCase{"Report", ReportBody,
                                [](const std::string &text) {
                                  return decodeReport("i-1", text).ok();
                                }}),
    [](const auto &it) { return std::string(it.param.Name); });

} // namespace
} // namespace pistachio::platform
