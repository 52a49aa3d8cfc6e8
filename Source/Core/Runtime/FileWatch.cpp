#include "Runtime/Runtime.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <sys/stat.h>
#include <utility>

namespace pistachio {
namespace {

/// Maximum delay until a change of the file is detected.
constexpr Duration PollInterval{2000};

/// Attributes that change when a file is written or replaced. All are 0 if the
/// file does not exist.
struct FileStamp {
  std::uint64_t Inode = 0;
  std::int64_t Seconds = 0;
  std::int64_t Nanoseconds = 0;
  std::int64_t Size = 0;
  friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

FileStamp readFileStamp(const std::string &path) {
  struct stat it = {};
  if (::stat(path.c_str(), &it) != 0)
    return {};
  return {it.st_ino, it.st_mtim.tv_sec, it.st_mtim.tv_nsec, it.st_size};
}

class PollingFileWatch final : public FileWatch {
public:
  PollingFileWatch(boost::asio::io_context &context, std::string path,
                   std::function<void()> changed)
      : Path(std::move(path)), Changed(std::move(changed)),
        LastSeen(readFileStamp(Path)), Signals(context, SIGHUP),
        Timer(startTimer(context, PollInterval, [this] { poll(); })) {
    waitForSignal();
  }
  ~PollingFileWatch() override { PollingFileWatch::stop(); }
  PollingFileWatch(const PollingFileWatch &) = delete;
  PollingFileWatch &operator=(const PollingFileWatch &) = delete;

  void stop() override {
    Timer->stop();
    boost::system::error_code ec;
    Signals.cancel(ec);
  }

private:
  void waitForSignal() {
    Signals.async_wait([this](boost::system::error_code ec, int /*signal*/) {
      if (ec)
        return;
      LastSeen = readFileStamp(Path);
      Changed();
      waitForSignal();
    });
  }

  void poll() {
    const FileStamp now = readFileStamp(Path);
    if (now == LastSeen || now == FileStamp{})
      return;
    LastSeen = now;
    Changed();
  }

  std::string Path;
  std::function<void()> Changed;
  FileStamp LastSeen;
  boost::asio::signal_set Signals;
  std::unique_ptr<PeriodicTimer> Timer;
};

} // namespace

std::unique_ptr<FileWatch> watchFile(boost::asio::io_context &context,
                                     std::string path,
                                     std::function<void()> changed) {
  return std::make_unique<PollingFileWatch>(context, std::move(path),
                                            std::move(changed));
}

} // namespace pistachio
