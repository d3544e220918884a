#include "core/admission/retry_budget.h"

#include <algorithm>

namespace jujuberock::admission {

void RetryBudget::SetShare(std::string_view service, double share) {
  this->BudgetOf(service).share = share;
}

void RetryBudget::OnRequest(std::string_view service) {
  Budget& budget = this->BudgetOf(service);
  budget.balance = std::min(kMaxBalance, budget.balance + budget.share);
}

bool RetryBudget::TryRetry(std::string_view service) {
  Budget& budget = this->BudgetOf(service);
  if (budget.share <= 0 || budget.balance < 1)
    return false;
  budget.balance -= 1;
  return true;
}

RetryBudget::Budget& RetryBudget::BudgetOf(std::string_view service) {
  auto found = this->budgets.find(service);
  if (found == this->budgets.end())
    found = this->budgets.emplace(service, Budget()).first;
  return found->second;
}

}  // namespace jujuberock::admission
