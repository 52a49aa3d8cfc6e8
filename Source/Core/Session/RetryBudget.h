#pragma once

namespace pistachio {

/// Token bucket: each request adds a part of a token, each retry takes a whole
/// one. It bounds the load that retries add while everything is refused.
class RetryBudget {
public:
  RetryBudget(double ratio, double burst);
  void addRequest();
  bool tryTake();

private:
  double Ratio;
  double Burst;
  double Tokens;
};

} // namespace pistachio
