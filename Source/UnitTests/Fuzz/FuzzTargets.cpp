#include "FuzzTargets.h"

#include "../Platform/Samples.h"
#include "../Wire/SampleMessages.h"

#include "Admin/AdminJson.h"
#include "Control/StateCodec.h"
#include "Rules/Rules.h"
#include "Settings/Settings.h"
#include "platform/Platform.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace pistachio {
namespace {

using Input = std::span<const std::byte>;

/// Position of the message type in the envelope.
constexpr std::size_t TypeOffset = 3;

std::string_view asText(Input input) {
  return {reinterpret_cast<const char *>(input.data()), input.size()};
}

Bytes toBytes(std::string_view text) {
  const auto buf = std::as_bytes(std::span(text));
  return {buf.begin(), buf.end()};
}

/// Builds a message from an input that consists of the message type and the
/// body. The envelope has the right length and checksum, because a decoder
/// reads no field of a message that fails these checks.
Bytes addEnvelope(Input input) {
  Bytes buf;
  const auto append = [&](std::uint64_t value, int n) {
    for (int i = 0; i < n; ++i)
      buf.push_back(static_cast<std::byte>(value >> (8 * i)));
  };
  const Input body = input.empty() ? input : input.subspan(1);
  append(WireMagic, 2);
  append(WireVersion, 1);
  buf.push_back(input.empty() ? std::byte{0} : input[0]);
  append(body.size(), 4);
  append(checksum32(body), 4);
  buf.insert(buf.end(), body.begin(), body.end());
  return buf;
}

template <typename Message, typename Encode>
std::vector<Bytes> seedsOf(const std::vector<Message> &samples, Encode encode) {
  std::vector<Bytes> seeds;
  for (const Message &it : samples) {
    Bytes buf;
    if (!encode(it, buf).ok())
      std::abort();
    Bytes &seed = seeds.emplace_back(Bytes{buf[TypeOffset]});
    seed.insert(seed.end(), buf.begin() + EnvelopeBytes, buf.end());
  }
  return seeds;
}

/// Settings are read from a file. Each process has its own.
template <typename Load> bool loadSettings(Input input, Load load) {
  static const std::string path =
      (std::filesystem::temp_directory_path() /
       ("pistachio-fuzz-" + std::to_string(getpid()) + ".toml"))
          .string();
  std::ofstream(path, std::ios::binary) << asText(input);
  Findings findings;
  const bool isValid = load(path, findings).has_value();
  std::filesystem::remove(path);
  return isValid;
}

constexpr std::string_view BalancerSettingsText = R"(name = "b1"
data_centre = "dc-a"
listen = "127.0.0.1:5000"
metrics = "127.0.0.1:5001"
control = ["127.0.0.1:5002"]
[log]
level = "warning"
)";

constexpr std::string_view RulesText =
    "datacentre dc-a # asked by Maarja\n"
    "service workshop-api address 10.20.0.1:443 slots 5 # asked by Maarja\n"
    "limit workshop-api inflight 35 # asked by Tiina\n";

const FuzzTarget Targets[] = {
    {"data", [](Input in) { return decodeData(addEnvelope(in)).ok(); },
     [] { return seedsOf(sampleDataMessages(), encodeData); }},
    {"session", [](Input in) { return decodeSession(addEnvelope(in)).ok(); },
     [] { return seedsOf(sampleSessionMessages(), encodeSession); }},
    {"node", [](Input in) { return decodeNode(addEnvelope(in)).ok(); },
     [] { return seedsOf(sampleNodeMessages(), encodeNode); }},
    {"command", [](Input in) { return decodeCommand(addEnvelope(in)).ok(); },
     [] { return seedsOf(sampleCommands(), encodeCommand); }},
    {"consensus",
     [](Input in) { return decodeConsensus(addEnvelope(in)).ok(); },
     [] { return seedsOf(sampleConsensusMessages(), encodeConsensus); }},
    {"peer", [](Input in) { return decodePeer(addEnvelope(in)).ok(); },
     [] { return seedsOf(samplePeerMessages(), encodePeer); }},
    {"snapshot", [](Input in) { return decodeControlData(in).ok(); },
     [] { return std::vector<Bytes>{encodeControlData(ControlData{})}; }},
    {"packet",
     [](Input in) {
       static const auto format = platform::makePacketFormat();
       const auto packet = format->decode(in);
       if (!packet)
         return false;
       Bytes copy(in.begin(), in.end());
       format->setTag(copy, 7);
       format->clearTagAndReturned(copy);
       return format->decode(format->makeReset(*packet)).has_value();
     },
     [] {
       Bytes buf(51, std::byte{7});
       buf[25] = std::byte{0};
       buf[26] = std::byte{20};
       return std::vector<Bytes>{buf};
     }},
    {"routing",
     [](Input in) { return platform::decodeRouting(asText(in)).ok(); },
     [] { return std::vector<Bytes>{toBytes(platform::RoutingBody)}; }},
    {"report",
     [](Input in) { return platform::decodeReport("i-1", asText(in)).ok(); },
     [] { return std::vector<Bytes>{toBytes(platform::ReportBody)}; }},
    {"admin",
     [](Input in) {
       const auto object = parseObject(asText(in));
       return object.ok() && statusFromJson(*object).ok();
     },
     [] {
       return std::vector<Bytes>{
           toBytes(boost::json::serialize(statusToJson(ControlStatus{})))};
     }},
    {"rules",
     [](Input in) {
       Findings findings;
       return RuleSet::parse(asText(in), "rules.txt", findings).has_value();
     },
     [] { return std::vector<Bytes>{toBytes(RulesText)}; }},
    {"settings",
     [](Input in) { return loadSettings(in, loadBalancerSettings); },
     [] { return std::vector<Bytes>{toBytes(BalancerSettingsText)}; }},
};

} // namespace

std::span<const FuzzTarget> fuzzTargets() { return Targets; }

const FuzzTarget *findFuzzTarget(std::string_view name) {
  for (const FuzzTarget &it : Targets)
    if (it.Name == name)
      return &it;
  return nullptr;
}

} // namespace pistachio
