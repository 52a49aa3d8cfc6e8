#pragma once

#include <boost/json.hpp>

#include <fstream>
#include <string>

namespace pistachio {

/// A ledger file with one JSON line for each entry. Every line is flushed
/// immediately, so that the ledger is complete even if the process is killed.
class LedgerFile {
public:
  explicit LedgerFile(const std::string &path) : Out(path, std::ios::app) {}
  bool isOpen() const { return Out.is_open(); }
  void write(const boost::json::object &entry) {
    Out << boost::json::serialize(entry) << std::endl;
  }

private:
  std::ofstream Out;
};

} // namespace pistachio
