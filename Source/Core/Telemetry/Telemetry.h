#pragma once

/// Public header of the Telemetry library: JSON-lines logs and Prometheus
/// metrics.

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

/// Bounds the log lines of each event, so that a burst neither costs the
/// process its time nor hides other events.
class LogLimiter {
public:
  struct Options {
    /// Lines of one event that may come at once.
    double BurstLines = 200;
    double LinesPerSecond = 50;
  };
  struct Suppressed {
    std::string Event;
    std::uint64_t Lines = 0;
  };

  explicit LogLimiter(Options options) : Limits(options) {}

  /// False if the line is left out.
  bool admit(std::string_view event, TimePoint now);
  /// What was left out since the last call; empty more often than once a
  /// second.
  std::vector<Suppressed> takeSuppressed(TimePoint now);

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

/// Starts logging to standard output. One JSON object a line: timestamp, level,
/// logger, message and the context map with "event" and the fields. A line that
/// the reader of the output has no room for is dropped and counted; the process
/// never waits for it.
void startLogging(std::string_view processName, LogLevel level);

absl::StatusOr<LogLevel> parseLogLevel(std::string_view text);

/// \p event is stable across releases and meant for filters; \p message is for
/// people.
void logEvent(LogLevel level, std::string_view event, std::string_view message,
              std::initializer_list<LogField> fields = {});

/// A monotonic counter or a gauge. Thread-safe and lock-free to update.
class Counter {
public:
  virtual ~Counter() = default;
  virtual void add(double n = 1) = 0;
};

class Gauge {
public:
  virtual ~Gauge() = default;
  virtual void set(double value) = 0;
};

/// Buckets in seconds, fixed for all histograms.
class Histogram {
public:
  virtual ~Histogram() = default;
  virtual void observe(double seconds) = 0;
};

/// Owns all metrics of a process. Names start with "pistachio_". The same name
/// and labels give the same object.
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
  /// The present values in the text format of Prometheus.
  virtual std::string text() const = 0;
};

std::unique_ptr<MetricsRegistry> makeMetricsRegistry();

} // namespace pistachio
