#include "Telemetry/Telemetry.h"

#include "absl/strings/str_cat.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

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

/// Sets context fields of this thread and removes them again.
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
  const log4cxx::LayoutPtr layout = std::make_shared<log4cxx::JSONLayout>();
  const log4cxx::AppenderPtr appender =
      std::make_shared<log4cxx::ConsoleAppender>(
          layout, log4cxx::ConsoleAppender::getSystemErr());
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

void logEvent(LogLevel level, std::string_view event, std::string_view message,
              std::initializer_list<LogField> fields) {
  const log4cxx::LevelPtr log4cxxLevel = toLog4cxx(level);
  if (!processLogger()->isEnabledFor(log4cxxLevel))
    return;
  ContextFields context;
  context.put("event", std::string(event));
  for (const LogField &it : fields)
    context.put(it.Key, it.Value);
  processLogger()->forcedLog(log4cxxLevel, std::string(message),
                             LOG4CXX_LOCATION);
}

} // namespace pistachio
