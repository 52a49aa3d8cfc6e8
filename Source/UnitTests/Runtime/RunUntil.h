#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace pistachio {

/// Runs the io_context until the condition holds and returns true, or returns
/// false after 60 s. The time limit only ends tests that would otherwise hang.
inline bool runUntil(boost::asio::io_context &context,
                     const std::function<bool()> &condition) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!condition() && std::chrono::steady_clock::now() < end) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(50));
  }
  return condition();
}

} // namespace pistachio
