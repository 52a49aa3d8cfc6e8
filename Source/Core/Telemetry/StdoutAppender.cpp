#include "Telemetry/StdoutAppender.h"

#include <log4cxx/helpers/transcoder.h>

#include <poll.h>
#include <string>
#include <unistd.h>

// The macro opens a namespace of log4cxx and must be outside of our namespace.
using pistachio::logging::StdoutAppender;
IMPLEMENT_LOG4CXX_OBJECT(StdoutAppender)

namespace pistachio::logging {
namespace {

/// PIPE_BUF: a pipe that is ready for writing accepts this many bytes
/// atomically. A write of at most this size does not block, and the lines of
/// several processes do not mix.
constexpr std::size_t MaxLineBytes = 4096;

} // namespace

StdoutAppender::StdoutAppender(const log4cxx::LayoutPtr &layout)
    : log4cxx::AppenderSkeleton(layout), LineLayout(layout) {}

void StdoutAppender::append(const log4cxx::spi::LoggingEventPtr &event,
                            log4cxx::helpers::Pool &pool) {
  log4cxx::LogString formatted;
  LineLayout->format(formatted, event, pool);
  std::string line;
  log4cxx::helpers::Transcoder::encode(formatted, line);
  if (line.size() > MaxLineBytes) {
    line.resize(MaxLineBytes - 1);
    line += '\n';
  }
  pollfd output = {STDOUT_FILENO, POLLOUT, 0};
  const bool isWritten = ::poll(&output, 1, 0) == 1 &&
                         (output.revents & POLLOUT) != 0 &&
                         ::write(STDOUT_FILENO, line.data(), line.size()) > 0;
  if (!isWritten)
    ++Dropped;
}

} // namespace pistachio::logging
