#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

namespace pistachio {

/// Runs the context until the condition holds. The bound only ends a test that
/// would hang.
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
