#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_HANDLER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_HANDLER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "Core/time_point.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace lacewingbridge {

class ClaimService;
class MetricsRegistry;
class RouteSnapshot;
class RulesState;
class ServiceTable;
class TargetConnections;
struct RouteRule;
struct Settings;
struct VersionStamp;

// Parts of the daemon that are needed to handle a request. All referenced objects outlive the
// handler.
struct ProxyEnvironment {
  const Settings& settings;
  std::uint64_t incarnation = 0;
  RulesState& rules;
  ServiceTable& services;
  ClaimService& claims;
  TargetConnections& targets;
  MetricsRegistry& metrics;
  // Whether the daemon knows enough of the mesh to serve requests; see JoinProcess.
  std::function<bool()> is_ready;
  // Whether the daemon knows of nothing that speaks against this being the newest version.
  std::function<bool(const VersionStamp& version)> is_newest;
};

// Serves the requests of callers: finds the route, checks the API key, applies the limit rules, and
// then runs the request as a ProxyRequest. The listener's threads call Handle concurrently.
class ProxyHandler {
 public:
  explicit ProxyHandler(ProxyEnvironment given) : environment(std::move(given)) {}

  void Handle(const httplib::Request& request, httplib::Response& response);

  // From then on each response closes its connection, so that callers go to other daemons.
  void StartDrain() { this->draining = true; }
  // Waits until the earliest time has passed and no request is in flight, at most until
  // the limit.
  void WaitUntilIdle(TimePoint earliest, TimePoint limit);
  std::uint64_t CountInFlight() const { return this->in_flight.load(); }

 private:
  void Serve(const httplib::Request& request, httplib::Response& response);
  void RecordMetrics(const std::string& route, int status, Duration latency);

  ProxyEnvironment environment;
  std::atomic<bool> draining{false};
  std::atomic<std::uint64_t> in_flight{0};
  std::mutex idle_mutex;
  std::condition_variable idle;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_HANDLER_H_
