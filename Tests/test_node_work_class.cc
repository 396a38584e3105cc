// Guards against one class of work for routes that only have their priority in common.

#include <string>
#include <vector>

#include "Fakes/fake_mesh.h"
#include "Fakes/http_loopback.h"
#include "Fakes/request_daemon.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

Test(work_class, of_two_routes_with_one_priority_differs) {
  RequestDaemon daemon;
  FunctionHandler handler(
      [&daemon](ServerExchange& exchange) { return daemon.HandleCaller(exchange); });
  HttpLoopback loopback(handler);
  daemon.shard = &loopback.GetShard();
  for (const std::string path : {"/read/1", "/check/1", "/read/2"}) {
    loopback.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n" +
                   "X-Time-Left-Ms: 1000\r\n\r\n");
    const std::string received = loopback.Read();
    cr_assert(HasStatus(received, "200"), "%s", received.c_str());
  }
  const std::vector<HopRequest> hops = daemon.GetHops();
  cr_assert_eq(hops.size(), 3U);
  cr_assert_eq(hops[0].priority, hops[1].priority);
  cr_assert_neq(hops[0].work_class, hops[1].work_class);
  cr_assert_eq(hops[0].work_class, hops[2].work_class);
}
