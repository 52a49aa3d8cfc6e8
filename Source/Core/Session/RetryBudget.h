#pragma once

namespace pistachio {

/// Token bucket that limits retries. Each request adds a fraction of a token,
/// and each retry takes a whole one. This bounds the load that retries add
/// while every request is refused.
class RetryBudget {
public:
  /// \p ratio is the number of tokens that a request adds, \p burst the
  /// capacity of the bucket, which is full at the start.
  RetryBudget(double ratio, double burst);
  void addRequest();
  /// Takes a token. Returns false if there is none, and the retry must not
  /// happen.
  bool tryTake();

private:
  double Ratio;
  double Burst;
  double Tokens;
};

} // namespace pistachio
