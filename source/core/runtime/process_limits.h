#ifndef CORE_RUNTIME_PROCESS_LIMITS_H_
#define CORE_RUNTIME_PROCESS_LIMITS_H_

#include <cstddef>

#include "core/runtime/byte_budget.h"

namespace jujuberock::runtime {

// Memory that a process is assumed to have if nothing is known.
inline constexpr size_t kAssumedMemoryBytes = 160 * 1024 * 1024;

// What the platform allows one process; 0: unknown.
struct ProcessLimits {
  size_t memory_bytes = 0;
  size_t descriptors = 0;
};

// Budget for what the process holds for its callers.
ByteBudgetLimits BudgetFor(const ProcessLimits& limits);

// Callers' connections that leave descriptors for endpoints, the platform's
// store and other hosts, and memory for the budget.
size_t MaxCallerConnections(const ProcessLimits& limits);

// The lower of `descriptors` and the limit that the system sets; 0: unknown.
size_t EffectiveDescriptors(size_t descriptors);

// Makes the allocator return large freed blocks to the system, so that memory
// does not stay at its peak. Call it before threads are started.
void ReturnFreedMemory();

// Returns freed memory that lies between blocks in use, which the allocator
// keeps otherwise. Takes some milliseconds.
void TrimHeap();

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_PROCESS_LIMITS_H_
