#include "Telemetry/Telemetry.h"

#include "absl/strings/str_cat.h"

#include "Telemetry/StdoutAppender.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

#include <chrono>
#include <mutex>
#include <vector>

namespace pistachio {
namespace {

log4cxx::LoggerPtr &processLogger() {
  static log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger("pistachio");
  return Logger;
}

log4cxx::LevelPtr toLog4cxx(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// State shared by the threads of the process. The mutex is held to decide
/// whether a line is written, but not while it is written.
struct ProcessLogState {
  std::mutex Mutex;
  LogLimiter Limiter{LogLimiter::Options{}};
  std::shared_ptr<logging::StdoutAppender> Appender;
};

ProcessLogState &processLogState() {
  static ProcessLogState State;
  return State;
}

/// Sets fields in the logging context of the current thread and removes them on
/// destruction.
class ContextFields {
public:
  void put(std::string_view key, const std::string &value) {
    Keys.emplace_back(key);
    log4cxx::MDC::put(Keys.back(), value);
  }
  ContextFields() = default;
  ContextFields(const ContextFields &) = delete;
  ContextFields &operator=(const ContextFields &) = delete;
  ~ContextFields() {
    for (const std::string &it : Keys)
      log4cxx::MDC::remove(it);
  }

private:
  std::vector<std::string> Keys;
};

} // namespace

void startLogging(std::string_view processName, LogLevel level) {
  const auto appender = std::make_shared<logging::StdoutAppender>(
      std::make_shared<log4cxx::JSONLayout>());
  {
    const std::lock_guard lock(processLogState().Mutex);
    processLogState().Appender = appender;
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  processLogger() = log4cxx::Logger::getLogger(std::string(processName));
  processLogger()->setLevel(toLog4cxx(level));
}

absl::StatusOr<LogLevel> parseLogLevel(std::string_view text) {
  if (text == "debug")
    return LogLevel::Debug;
  if (text == "info")
    return LogLevel::Info;
  if (text == "warning")
    return LogLevel::Warning;
  if (text == "error")
    return LogLevel::Error;
  return absl::InvalidArgumentError(
      absl::StrCat("'", std::string(text),
                   "' is not a log level; use debug, info, warning or error"));
}

namespace {

void writeLine(LogLevel level, std::string_view event, std::string_view message,
               std::initializer_list<LogField> fields) {
  ContextFields context;
  context.put("event", std::string(event));
  for (const LogField &it : fields)
    context.put(it.Key, it.Value);
  processLogger()->forcedLog(toLog4cxx(level), std::string(message),
                             LOG4CXX_LOCATION);
}

} // namespace

void logEvent(LogLevel level, std::string_view event, std::string_view message,
              std::initializer_list<LogField> fields) {
  if (!processLogger()->isEnabledFor(toLog4cxx(level)))
    return;
  const auto now =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  bool isAdmitted = false;
  std::vector<LogLimiter::SuppressionReport> suppressed;
  {
    ProcessLogState &state = processLogState();
    const std::lock_guard lock(state.Mutex);
    isAdmitted = state.Limiter.admit(event, now);
    suppressed = state.Limiter.takeSuppressed(now);
    if (const std::uint64_t dropped =
            state.Appender ? state.Appender->takeDropped() : 0;
        dropped > 0)
      // Lines dropped because the reader of standard output is too slow; they
      // may belong to any event.
      suppressed.push_back({"any", dropped});
  }
  for (const LogLimiter::SuppressionReport &it : suppressed)
    writeLine(
        LogLevel::Warning, "log_suppressed",
        "log lines were left out: the rate limit of their event was exceeded "
        "or, if left_out is any, the reader of the log is too slow",
        {{"left_out", it.Event}, {"lines", std::to_string(it.Lines)}});
  if (isAdmitted)
    writeLine(level, event, message, fields);
}

} // namespace pistachio
