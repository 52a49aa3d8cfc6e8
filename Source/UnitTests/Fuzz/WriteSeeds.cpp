#include "FuzzTargets.h"

#include <filesystem>
#include <fstream>
#include <iostream>

/// fuzz-seeds FOLDER: writes the valid inputs of each target to FOLDER/TARGET.
int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: fuzz-seeds FOLDER\n";
    return 2;
  }
  for (const pistachio::FuzzTarget &it : pistachio::fuzzTargets()) {
    const std::filesystem::path folder =
        std::filesystem::path(argv[1]) / it.Name;
    std::filesystem::create_directories(folder);
    int n = 0;
    for (const pistachio::Bytes &seed : it.Seeds()) {
      std::ofstream file(folder / ("seed-" + std::to_string(n++)),
                         std::ios::binary);
      file.write(reinterpret_cast<const char *>(seed.data()),
                 static_cast<std::streamsize>(seed.size()));
      if (!file.flush()) {
        std::cerr << "cannot write to " << folder << '\n';
        return 1;
      }
    }
  }
  return 0;
}
