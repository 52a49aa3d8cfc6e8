#include "FuzzTargets.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

namespace pistachio {
namespace {

/// Inputs on which a fuzzer has found a fault, one folder for each target.
const std::filesystem::path CorpusFolder = PISTACHIO_CORPUS;

class CorpusTest : public testing::TestWithParam<FuzzTarget> {};

// Guards against decoders that no longer accept valid input, which would make
// the fuzzers test nothing, and against the return of faults that they found.
// CI also runs it under the sanitisers.
TEST_P(CorpusTest, SeedsAreAcceptedAndFormerFaultsDoNotReturn) {
  const FuzzTarget &target = GetParam();
  const std::vector<Bytes> seeds = target.Seeds();
  ASSERT_FALSE(seeds.empty());
  for (const Bytes &it : seeds)
    EXPECT_TRUE(target.Decode(it));
  const std::filesystem::path folder = CorpusFolder / target.Name;
  if (!std::filesystem::exists(folder))
    return;
  for (const auto &file : std::filesystem::directory_iterator(folder)) {
    std::ifstream in(file.path(), std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    EXPECT_NO_THROW(target.Decode(std::as_bytes(std::span(text))))
        << file.path();
  }
}

INSTANTIATE_TEST_SUITE_P(Targets, CorpusTest,
                         testing::ValuesIn(fuzzTargets().begin(),
                                           fuzzTargets().end()),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace
} // namespace pistachio
