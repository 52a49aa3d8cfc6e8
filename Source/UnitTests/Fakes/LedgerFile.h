#pragma once

#include <boost/json.hpp>

#include <fstream>
#include <string>

namespace pistachio {

/// One JSON line for each entry. Lines are flushed one by one, so that the book
/// is right when the process is killed.
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
