#include "Samples.h"

#include "platform/Platform.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>

namespace pistachio::platform {
namespace {

constexpr int InputsPerDecoder = 100'000;

/// Alters a valid input in a few places: bytes replaced, removed, repeated, or
/// the end cut off.
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
  /// True if the input was taken.
  std::function<bool(const std::string &)> Decode;
};

class MalformedInputTest : public testing::TestWithParam<DecoderCase> {};

// Guards against a crash, a hang or a read out of bounds for any input; run
// under the sanitisers in CI. Every input must end in a value or an error.
TEST_P(MalformedInputTest, ReturnsValueOrError) {
  const DecoderCase &it = GetParam();
  std::mt19937_64 random(20261204);
  int acceptedInputs = 0;
  for (int i = 0; i < InputsPerDecoder; ++i)
    acceptedInputs += it.Decode(mutate(it.Sample, random)) ? 1 : 0;
  // Some changes hit what is ignored; most must be noticed.
  EXPECT_LT(acceptedInputs, InputsPerDecoder);
  EXPECT_TRUE(it.Decode(it.Sample));
}

std::span<const std::byte> toBytes(const std::string &text) {
  return std::as_bytes(std::span(text));
}

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
