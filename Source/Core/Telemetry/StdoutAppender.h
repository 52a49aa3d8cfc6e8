#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>
#include <utility>

namespace pistachio::logging {

// The macros of log4cxx name its types as its own namespace does.
namespace helpers = log4cxx::helpers;
using log4cxx::LogString;

/// Writes whole lines to standard output without ever waiting for its reader.
class StdoutAppender : public log4cxx::AppenderSkeleton {
public:
  DECLARE_LOG4CXX_OBJECT(StdoutAppender)
  BEGIN_LOG4CXX_CAST_MAP()
  LOG4CXX_CAST_ENTRY(StdoutAppender)
  LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
  END_LOG4CXX_CAST_MAP()

  explicit StdoutAppender(const log4cxx::LayoutPtr &layout = nullptr);

  void append(const log4cxx::spi::LoggingEventPtr &event,
              log4cxx::helpers::Pool &pool) override;
  void close() override {}
  bool requiresLayout() const override { return true; }

  /// Lines for which the reader had no room since the last call.
  std::uint64_t takeDropped() { return std::exchange(Dropped, 0); }

private:
  log4cxx::LayoutPtr LineLayout;
  std::uint64_t Dropped = 0;
};

} // namespace pistachio::logging
