#include "core/runtime/process_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>

namespace jujuberock::runtime {

namespace {

// The rest of the memory is for the process itself, its connections and the
// copies that exist while a request is passed on.
constexpr size_t kBudgetShare = 4;
// Part of the budget that only small bodies get.
constexpr size_t kSmallShare = 4;
constexpr size_t kConnectionsShare = 2;
// Stack, buffer and header of a connection in the middle of a request.
constexpr size_t kConnectionBytes = 40 * 1024;
// Descriptors that the platform reserves for files.
constexpr size_t kFileDescriptors = 200;
// One connection to an endpoint may belong to each connection of a caller.
constexpr size_t kDescriptorShare = 2;
constexpr size_t kMinConnections = 16;
constexpr size_t kAssumedDescriptors = 4096;

// Blocks from this size on are mapped on their own, and unmapped when they are
// freed. Without a fixed value the allocator raises it to the size of the
// largest block that was freed.
constexpr int kMapThresholdBytes = 256 * 1024;
// Free bytes at the end of the heap beyond which it shrinks.
constexpr int kTrimThresholdBytes = 512 * 1024;

}  // namespace

ByteBudgetLimits BudgetFor(const ProcessLimits& limits) {
  const size_t memory =
      limits.memory_bytes == 0 ? kAssumedMemoryBytes : limits.memory_bytes;
  ByteBudgetLimits budget;
  budget.total_bytes = memory / kBudgetShare;
  budget.small_part_bytes = budget.total_bytes / kSmallShare;
  return budget;
}

size_t MaxCallerConnections(const ProcessLimits& limits) {
  const size_t memory =
      limits.memory_bytes == 0 ? kAssumedMemoryBytes : limits.memory_bytes;
  const size_t descriptors =
      limits.descriptors == 0 ? kAssumedDescriptors : limits.descriptors;
  const size_t by_descriptors =
      (descriptors - std::min(descriptors, kFileDescriptors)) /
      kDescriptorShare;
  return std::max(
      kMinConnections,
      std::min(by_descriptors, memory / kConnectionsShare / kConnectionBytes));
}

size_t EffectiveDescriptors(size_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return descriptors;
  const auto allowed = static_cast<size_t>(limit.rlim_cur);
  return descriptors == 0 ? allowed : std::min(descriptors, allowed);
}

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kMapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

void TrimHeap() {
  malloc_trim(0);
}

}  // namespace jujuberock::runtime
