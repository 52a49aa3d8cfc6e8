#pragma once

/// Public header of the Telemetry library: logs in JSON Lines format and
/// Prometheus metrics.

#include "Common/Common.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pistachio {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Limits the rate of log lines with a token bucket for each event, so that a
/// burst of one event neither slows down the process nor hides other events.
class LogLimiter {
public:
  struct Options {
    /// Capacity of the bucket of one event.
    double BurstLines = 200;
    double LinesPerSecond = 50;
  };
  /// Number of lines of one event that were not written because of the limit.
  struct SuppressionReport {
    std::string Event;
    std::uint64_t Lines = 0;
  };

  explicit LogLimiter(Options options) : Limits(options) {}

  /// Returns whether a line of the event may be written now. A line that may
  /// not is counted as suppressed.
  bool admit(std::string_view event, TimePoint now);
  /// Returns the number of suppressed lines for each event since the last
  /// report. Returns nothing if the last report was less than a second ago.
  std::vector<SuppressionReport> takeSuppressed(TimePoint now);

private:
  struct State {
    double Tokens = 0;
    TimePoint RefilledAt{};
    std::uint64_t SuppressedLines = 0;
  };

  Options Limits;
  std::map<std::string, State, std::less<>> Events;
  TimePoint LastReportAt{};
};

/// Starts logging to standard output. Each line is a JSON object with the
/// timestamp, level, logger, message and a context map, which holds "event" and
/// the fields of the line. Logging never blocks: if the reader of the output
/// does not keep up, lines are dropped and counted.
void startLogging(std::string_view processName, LogLevel level);

absl::StatusOr<LogLevel> parseLogLevel(std::string_view text);

/// Writes a log line. \p event is stable across releases and meant for filters
/// and alerts; \p message is meant for human readers and may change.
void logEvent(LogLevel level, std::string_view event, std::string_view message,
              std::initializer_list<LogField> fields = {});

/// A metric that only increases. Updates are thread-safe and lock-free, as
/// those of the other metric types.
class Counter {
public:
  virtual ~Counter() = default;
  virtual void add(double n = 1) = 0;
};

/// A metric that can take any value.
class Gauge {
public:
  virtual ~Gauge() = default;
  virtual void set(double value) = 0;
};

/// A distribution of durations. All histograms have the same buckets.
class Histogram {
public:
  virtual ~Histogram() = default;
  virtual void observe(double seconds) = 0;
};

/// Owns all metrics of a process. Metric names start with "pistachio_". Calls
/// with the same name and labels return the same object.
class MetricsRegistry {
public:
  using Label = std::pair<std::string, std::string>;
  virtual ~MetricsRegistry() = default;
  virtual Counter &counter(const std::string &name, const std::string &help,
                           std::initializer_list<Label> labels = {}) = 0;
  virtual Gauge &gauge(const std::string &name, const std::string &help,
                       std::initializer_list<Label> labels = {}) = 0;
  virtual Histogram &histogram(const std::string &name, const std::string &help,
                               std::initializer_list<Label> labels = {}) = 0;
  /// Returns the current values in the Prometheus text format.
  virtual std::string text() const = 0;
};

std::unique_ptr<MetricsRegistry> makeMetricsRegistry();

} // namespace pistachio
