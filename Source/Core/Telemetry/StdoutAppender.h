#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>
#include <utility>

namespace pistachio::logging {

// The macros of log4cxx refer to its types without the namespace log4cxx.
namespace helpers = log4cxx::helpers;
using log4cxx::LogString;

/// Writes complete lines to standard output without blocking. A line that
/// cannot be written at once is dropped.
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

  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped() { return std::exchange(Dropped, 0); }

private:
  log4cxx::LayoutPtr LineLayout;
  std::uint64_t Dropped = 0;
};

} // namespace pistachio::logging
