#ifndef LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_DAEMON_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_DAEMON_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Claims/claim_limits.h"
#include "Claims/claim_owner_view.h"
#include "Core/result.h"
#include "Quarantine/quarantine_table.h"
#include "Retry/retry_budget.h"

namespace lacewingbridge {

// The state of one daemon process that concerns requests. Parts names the types of the
// selector and the claim table, which a test may replace by deliberately broken ones. Daemons
// with an even index are in dc-0, the others in dc-1.
template <typename Parts>
struct RequestDaemon {
  RequestDaemon(std::size_t index, std::uint64_t own_incarnation, const ClaimLimits& limits,
                const ClaimOwnerView& owner_view, TimePoint now)
      : host("host-" + std::to_string(index)),
        incarnation(own_incarnation),
        selector("dc-" + std::to_string(index % 2), "region-" + std::to_string(index % 2),
                 Duration{0}),
        budget(now),
        quarantine(QuarantineLimits{}),
        table(GetValue(Parts::Table::Create(this->host, own_incarnation, limits))),
        view(owner_view) {
    this->table.AdoptMap(now, this->view);
  }

  std::string host;
  std::uint64_t incarnation;
  typename Parts::Selector selector;
  RetryBudget budget;
  QuarantineTable quarantine;
  typename Parts::Table table;
  ClaimOwnerView view;
  // By address: the incarnation of the target that this daemon knows.
  std::map<std::string, std::uint64_t> target_incarnations;
  TimePoint paused_until{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_DAEMON_H_
