#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_RUNTIME_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_RUNTIME_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Admission/admission_queue.h"
#include "Core/time_point.h"
#include "Daemon/request_waiter.h"
#include "Quarantine/quarantine_table.h"
#include "Retry/retry_budget.h"
#include "Routing/target_selector.h"

namespace lacewingbridge {

// Request state of one service: target selection, slots and queue, retry budget, and quarantine
// of requests that crash targets. Lives in a shard of ServiceTable, under the lock of the shard.
struct ServiceRuntime {
  ServiceRuntime(std::string_view data_centre, std::string_view region, TimePoint now)
      : selector(data_centre, region, Duration{0}),
        queue(0),
        budget(now),
        quarantine(QuarantineLimits{}) {}

  TargetSelector selector;
  AdmissionQueue<> queue;
  RetryBudget budget;
  QuarantineTable quarantine;
  // Waiters of the queued requests, by request id.
  std::map<RequestId, std::shared_ptr<RequestWaiter>> waiting;
  // Last known incarnation of each target by address, to detect restarts.
  std::map<std::string, std::uint64_t, std::less<>> incarnations;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_RUNTIME_H_
