#include "Telemetry/Telemetry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <unistd.h>

namespace pistachio {
namespace {

/// Redirects the standard output of the process to a pipe, which is read only
/// on request.
class StdoutPipe {
public:
  StdoutPipe() : OriginalStdout(::dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    if (::pipe(Ends.data()) != 0 || ::dup2(Ends[1], STDOUT_FILENO) < 0)
      throw std::runtime_error("cannot make a pipe");
  }
  ~StdoutPipe() {
    ::dup2(OriginalStdout, STDOUT_FILENO);
    for (const int it : {OriginalStdout, Ends[0], Ends[1]})
      ::close(it);
  }
  StdoutPipe(const StdoutPipe &) = delete;
  StdoutPipe &operator=(const StdoutPipe &) = delete;

  std::string read() const {
    std::string text(65536, '\0');
    const auto n = ::read(Ends[0], text.data(), text.size());
    text.resize(n < 0 ? 0 : static_cast<std::size_t>(n));
    return text;
  }
  /// Fills the pipe, which holds 64 KiB on Linux, so that no further line can
  /// be written.
  void fill() const {
    const std::string block(4096, '.');
    for (int i = 0; i < 16; ++i)
      ASSERT_EQ(::write(Ends[1], block.data(), block.size()), 4096);
  }

private:
  int OriginalStdout;
  std::array<int, 2> Ends{};
};

// Guards against log lines that are not written to standard output, lack their
// fields or are below the configured level.
TEST(LogTest, WritesJsonLinesToStandardOutput) {
  const StdoutPipe output;
  startLogging("pistachio-test", LogLevel::Info);
  logEvent(LogLevel::Debug, "hidden", "below the level");
  logEvent(LogLevel::Info, "sample_event", "a message", {{"key", "value"}});
  const std::string text = output.read();
  EXPECT_EQ(text.find("hidden"), std::string::npos);
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1);
  for (const char *part : {"\"event\": \"sample_event\"", "\"key\": \"value\"",
                           "\"a message\"", "pistachio-test"})
    EXPECT_NE(text.find(part), std::string::npos) << text;
}

// Guards against a process that blocks because the reader of its log does not
// read.
TEST(LogTest, NeverBlocksOnTheReader) {
  const StdoutPipe output;
  startLogging("pistachio-test", LogLevel::Info);
  output.fill();
  for (int i = 0; i < 10; ++i)
    logEvent(LogLevel::Info, "lost_event", "no room");
  EXPECT_EQ(output.read().find("lost_event"), std::string::npos);
  logEvent(LogLevel::Info, "later_event", "room again");
  const std::string text = output.read();
  EXPECT_NE(text.find("later_event"), std::string::npos) << text;
}

} // namespace
} // namespace pistachio
