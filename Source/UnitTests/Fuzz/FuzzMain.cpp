#include "FuzzTargets.h"

#include <cstdlib>

#ifndef PISTACHIO_FUZZ_TARGET
#define PISTACHIO_FUZZ_TARGET "data"
#endif

/// Entry point of libFuzzer. The target is set when the program is compiled.
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer defines the name.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data,
                                      std::size_t size) {
  static const pistachio::FuzzTarget *target =
      pistachio::findFuzzTarget(PISTACHIO_FUZZ_TARGET);
  if (target == nullptr)
    std::abort();
  target->Decode(std::as_bytes(std::span(data, size)));
  return 0;
}
