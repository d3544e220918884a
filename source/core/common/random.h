#ifndef CORE_COMMON_RANDOM_H_
#define CORE_COMMON_RANDOM_H_

#include <cstdint>
#include <random>

namespace jujuberock::common {

// Seeded pseudorandom number generator. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : engine(seed) {}

  uint64_t Next() { return this->engine(); }

  // Uniform in [0, bound). `bound` must be positive.
  uint64_t NextBelow(uint64_t bound) { return this->Next() % bound; }

  // Uniform in [0, 1).
  double NextDouble() {
    return static_cast<double>(this->Next() >> 11) * 0x1.0p-53;
  }

  // Exponentially distributed with this mean.
  double Exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(this->engine);
  }

 private:
  std::mt19937_64 engine;
};

// Returns a seed from the system's entropy source, different in each process.
inline uint64_t EntropySeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_RANDOM_H_
