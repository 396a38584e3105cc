#ifndef LACEWINGBRIDGE_SOURCE_PROXY_DAEMON_STAGE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_DAEMON_STAGE_H_

#include <atomic>
#include <cstddef>

namespace lacewingbridge {

// Whether the daemon accepts new connections and requests, and how many of them are open. All
// methods may be called from any thread.
class DaemonStage {
 public:
  void BeginStop() { this->stopping.store(true); }
  bool IsStopping() const { return this->stopping.load(); }

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

 private:
  std::atomic<bool> stopping{false};
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> requests{0};
  std::atomic<std::size_t> connections{0};
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
