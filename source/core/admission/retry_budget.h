#ifndef CORE_ADMISSION_RETRY_BUDGET_H_
#define CORE_ADMISSION_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

namespace jujuberock::admission {

// Limits retries to a share of the first attempts of each service, so that
// retries can not multiply the load on a failing service.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class RetryBudget {
 public:
  // Retries per first attempt, if the table sets none.
  static constexpr double kDefaultShare = 0.1;
  // Maximum number of retries accumulated, so that a quiet period does not
  // allow a burst.
  static constexpr double kMaxBalance = 10;

  void SetShare(std::string_view service, double share);
  // Counts a first attempt.
  void OnRequest(std::string_view service);
  // Takes one retry from the budget, or returns false if none is left.
  bool TryRetry(std::string_view service);

 private:
  struct Budget {
    double share = kDefaultShare;
    double balance = kMaxBalance;
  };

  Budget& BudgetOf(std::string_view service);

  std::map<std::string, Budget, std::less<>> budgets;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_RETRY_BUDGET_H_
