#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_UPSTREAM_STAND_IN_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_UPSTREAM_STAND_IN_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "stand_ins/http_server.h"

namespace lacewingbridge::review {

class Record;

// Where and as what an upstream runs.
struct UpstreamOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string address;
  // The address of the daemon beside it that takes its heartbeats.
  std::string control_address;
  int slots = 9;
  // Time that a request takes.
  Milliseconds work{30};
};

// A request that an upstream began to work on.
struct UpstreamRun {
  std::string request_id;
  double at_seconds = 0;
  std::string upstream_id;
};

// An upstream beside a daemon. It announces itself, answers its health check and runs requests.
class UpstreamStandIn {
 public:
  // Makes the answer to a request that runs; the stand-in adds the echo of the request's id and
  // the signature.
  using Work = std::function<HttpMessage(const HttpMessage& request)>;

  static HttpMessage MakeSuccess(const HttpMessage& request);

  UpstreamStandIn(Record& case_record, UpstreamOptions upstream_options, Work request_work);
  ~UpstreamStandIn();

  // Reports that it leaves, without having reported `draining` before. Returns whether the daemon
  // acknowledged it.
  bool Leave();
  // From now on the health check succeeds whatever the state of the upstream is.
  void SetHealthAlwaysGood() { this->health_always_good = true; }

  std::vector<UpstreamRun> ListRuns() const;
  bool HasRun(std::string_view request_id) const;
  const UpstreamOptions& GetOptions() const { return this->options; }

 private:
  bool Handle(const HttpMessage& request, HttpStream& stream);
  HttpMessage MakeHealthAnswer() const;
  void Announce();
  bool SendCall(const std::string& call, const std::string& body);

  Record& record;
  const UpstreamOptions options;
  const Work work;
  const std::int64_t born_unix_ms;
  mutable std::mutex mutex;
  std::vector<UpstreamRun> runs;
  std::atomic<bool> leaving{false};
  std::atomic<bool> health_always_good{false};
  std::atomic<bool> ended{false};
  int sequence = 0;
  std::unique_ptr<HttpServer> server;
  std::thread announcing;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_UPSTREAM_STAND_IN_H_
