#ifndef CORE_LOAD_ROUTING_COST_H_
#define CORE_LOAD_ROUTING_COST_H_

#include <cstddef>
#include <string>
#include <vector>

namespace jujuberock::load {

struct RoutingCostOptions {
  std::vector<size_t> endpoints = {16, 75, 300, 900, 2700};
  std::vector<size_t> prompts = {1'000, 10'000, 100'000, 710'000};
  // Blocks per prompt.
  size_t blocks = 4;
  size_t choices = 20'000;
};

// Measures the CPU time of Router::Choose() and the heap use of the index,
// depending on the number of endpoints and of returning prompts. Heap use is
// the change in the process's resident memory. Returns a table.
std::string MeasureRoutingCost(const RoutingCostOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_ROUTING_COST_H_
