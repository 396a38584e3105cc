#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_MESH_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_MESH_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

#include "Fakes/fake_platform.h"

namespace lacewingbridge {

inline bool HasStatus(const std::string& response, const std::string& status) {
  return response.find("HTTP/1.1 " + status) == 0;
}

// Two daemons: callers send to one, and the target is beside the other. The route /read/ allows
// retries of requests that may have run, /write/ does not. Both time out after 1.5 s and allow two
// attempts. /slow/ is like /write/ but times out after 12 s.
template <typename Target>
class FakeMesh {
 public:
  // The last arguments construct the target. A link rate of 0 bytes per second means that the link
  // of the callers' host is not limited.
  template <typename... Args>
  explicit FakeMesh(std::uint64_t front_link, Args&&... target_args)
      : target(std::forward<Args>(target_args)...),
        front("front", "desk", FindFreeAddress(), front_link),
        back("back", "book", this->target.GetAddress()) {
    RouteTable table;
    table.version = 1;
    table.services.push_back({"book", "/health", 100});
    table.services.push_back({"desk", "/health", 100});
    table.routes.push_back({"read", "a", "/read/", {{"book", 1}}, true, 1500, 500, 1, 2});
    table.routes.push_back({"write", "a", "/write/", {{"book", 1}}, false, 1500, 500, 1, 2});
    table.routes.push_back({"slow", "a", "/slow/", {{"book", 1}}, false, 12000, 500, 1, 2});
    FakeStoreClient::GetStore().Put("table", Encode(table));
    this->WaitUntilListed();
  }

  // Sends one request with a deadline of one second and returns the whole response.
  std::string Send(const std::string& method, const std::string& path,
                   const std::string& id = "r1") {
    return this->SendFrom(this->front, method, path, id);
  }

  // The same as a caller on the host of one of the daemons.
  std::string SendFrom(const MeshDaemon& daemon, const std::string& method, const std::string& path,
                       const std::string& id = "r1") {
    RawClient client(daemon.GetSettings().caller_address);
    client.Write(method + " " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: " + id +
                 "\r\nX-Time-Left-Ms: 1000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    std::string response = client.ReadFor(std::chrono::milliseconds(2500));
    this->complete = client.IsEnded() && !client.WasReset();
    return response;
  }

  // Whether the last response ended without a reset of the connection.
  bool WasComplete() const { return this->complete; }
  Target& GetTarget() { return this->target; }
  MeshDaemon& GetFront() { return this->front; }
  MeshDaemon& GetBack() { return this->back; }

 private:
  // Resets the shared store. Destroyed last, after the daemons have ended.
  struct StoreReset {
    ~StoreReset() { FakeStoreClient::GetStore().EndLeases(); }
  };

  void WaitUntilListed() {
    for (int i = 0; i < 60; ++i) {
      this->back.Announce();
      const std::string dump =
          this->front.SendGetRequest(this->front.GetSettings().metrics_address, "/dump");
      if (dump.find("\"accepting\":true") != std::string::npos &&
          dump.find("\"table_version\":\"1\"") != std::string::npos) {
        return;
      }
    }
    throw std::runtime_error("the daemons did not receive the route table and the target in time");
  }

  StoreReset reset;
  Target target;
  MeshDaemon front;
  MeshDaemon back;
  bool complete = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_MESH_H_
