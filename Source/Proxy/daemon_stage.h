#ifndef LACEWINGBRIDGE_SOURCE_PROXY_DAEMON_STAGE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_DAEMON_STAGE_H_

#include <atomic>
#include <cstddef>

#include "Core/time_point.h"

namespace lacewingbridge {

// Whether the daemon accepts new connections and requests, and how many of them are open. All
// methods may be called from any thread.
class DaemonStage {
 public:
  // `callers_informed` is when callers have seen that the daemon is not ready, `ends` when it ends
  // even if requests are open, and `answer_by` when requests that are open then have to be answered
  // so that their callers still get the response.
  void BeginStop(TimePoint callers_informed, TimePoint ends,
                 TimePoint answer_by = TimePoint::max()) {
    this->informed_at.store(callers_informed.time_since_epoch());
    this->ends_at.store(ends.time_since_epoch());
    this->answered_by.store(answer_by.time_since_epoch());
    this->stopping.store(true);
  }
  bool IsStopping() const { return this->stopping.load(); }

  // When open requests have to be answered; far ahead unless the daemon stops.
  TimePoint GetAnswerBy() const { return TimePoint(this->answered_by.load()); }

  // Whether a request is taken that arrives now and ends by that time at the latest. A stopping
  // daemon takes a request if it can finish it. Until callers are informed it also takes requests
  // that may be repeated and are likely to be shorter than their time limit.
  bool MayTake(TimePoint now, TimePoint latest_end, bool idempotent) const {
    if (!this->IsStopping()) {
      return true;
    }
    const bool fits = latest_end.time_since_epoch() <= this->ends_at.load();
    const bool informed = now.time_since_epoch() >= this->informed_at.load();
    return !this->IsClosing() && (fits || (idempotent && !informed));
  }

  // From now on new requests are refused as not run, because they could not finish before the
  // daemon stops.
  void BeginClosing() { this->closing.store(true); }
  bool IsClosing() const { return this->closing.load(); }

  void RecordRequestStart() { ++this->requests; }
  void RecordRequestEnd() { --this->requests; }
  std::size_t GetRequestCount() const { return this->requests.load(); }

  void RecordConnectionOpened() { ++this->connections; }
  void RecordConnectionClosed() { --this->connections; }
  std::size_t GetConnectionCount() const { return this->connections.load(); }

  // Connections on which a request is being read, handled or answered, or whose last response is
  // being read by the other side.
  void RecordConnectionBusy() { ++this->busy_connections; }
  void RecordConnectionIdle() { --this->busy_connections; }
  std::size_t GetBusyConnectionCount() const { return this->busy_connections.load(); }

 private:
  std::atomic<Duration> informed_at{Duration{0}};
  std::atomic<Duration> ends_at{Duration{0}};
  std::atomic<Duration> answered_by{TimePoint::max().time_since_epoch()};
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> requests{0};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> busy_connections{0};
};

// Counts a request as open from the receipt of its headers to the end of its response.
class RequestScope {
 public:
  explicit RequestScope(DaemonStage& daemon_stage) : stage(daemon_stage) {
    this->stage.RecordRequestStart();
  }
  RequestScope(const RequestScope&) = delete;
  RequestScope& operator=(const RequestScope&) = delete;
  ~RequestScope() { this->stage.RecordRequestEnd(); }

 private:
  DaemonStage& stage;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_DAEMON_STAGE_H_
