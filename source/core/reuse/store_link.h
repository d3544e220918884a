#ifndef CORE_REUSE_STORE_LINK_H_
#define CORE_REUSE_STORE_LINK_H_

#include "core/common/time.h"

namespace jujuberock::reuse {

// Model of the link of one cache store: the transfers of all hosts that wait
// for it, and the rate that it really delivers. Not thread-safe.
class StoreLink {
 public:
  void SetNominalRate(double mbps) { this->nominal_mbps = mbps; }

  // Time until a transfer that is planned now gets the link.
  double WaitMs(common::TimePoint now);
  void Queue(double mbit, common::TimePoint now);

  // A request that fetched from the store got its first token later than
  // predicted by `excess`. `lowest_excess_ms` is that of the best store; the
  // difference excludes delays caused by the engines.
  void RecordExcess(common::Duration excess, double lowest_excess_ms);
  // Moving average of the excess.
  double excess_ms() const { return this->mean_excess_ms; }
  // Whether there are enough samples to compare other stores with this one.
  bool has_samples() const;

  // Rate that the store is assumed to deliver.
  double rate_mbps() const { return this->nominal_mbps * this->share; }
  // Whether the store delivers much less than its nominal rate.
  bool is_slow() const;

 private:
  double nominal_mbps = 0;
  double share = 1;
  double mean_excess_ms = 0;
  int samples = 0;
  // Transfers that were waiting at `queued_at`.
  double queued_mbit = 0;
  common::TimePoint queued_at;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_STORE_LINK_H_
