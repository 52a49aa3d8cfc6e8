#include "Session/RetryBudget.h"

#include <algorithm>

namespace pistachio {

RetryBudget::RetryBudget(double ratio, double burst)
    : Ratio(ratio), Burst(burst), Tokens(burst) {}

void RetryBudget::addRequest() { Tokens = std::min(Burst, Tokens + Ratio); }

bool RetryBudget::tryTake() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

} // namespace pistachio
