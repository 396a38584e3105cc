// Guards, with whole daemons and sockets, against responses that differ from the complete response
// of the target, requests that run twice, false reports that a request has not run, and callers
// that wait too long. The store and the targets are fakes.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "Fakes/fake_mesh.h"
#include "Fakes/raw_target.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kHealthy[] = "X-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\n";

std::string MakeResponse(const std::string& status, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The target passes its health check and responds to every request with the same bytes.
class Mesh : public FakeMesh<RawTarget> {
 public:
  explicit Mesh(const std::string& response, std::uint64_t front_link = 0)
      : FakeMesh(front_link, response, MakeResponse("200 OK", kHealthy, "")) {}

  // Number of requests that reached the target, without health checks.
  std::size_t CountRuns(const std::string& path) {
    const std::vector<std::string> requests = this->GetTarget().ListRequests();
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [&](const std::string& request) {
          return request.find(" " + path + " ") != std::string::npos;
        }));
  }
};

}  // namespace

Test(mesh, forwards_a_complete_response_with_its_headers) {
  Mesh mesh(MakeResponse("200 OK", std::string(kHealthy) + "X-Maker: loom\r\n", "hello"));
  const std::string response = mesh.Send("GET", "/read/1");
  cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  cr_assert(response.find("X-Maker: loom") != std::string::npos);
  cr_assert(response.ends_with("\r\n\r\nhello"), "%s", response.c_str());
  cr_assert_eq(mesh.CountRuns("/read/1"), 1);
}

Test(mesh, a_request_that_must_not_run_twice_is_sent_once_when_its_response_is_lost) {
  Mesh mesh("HTTP/1.1 200 OK\r\n" + std::string(kHealthy) + "Content-Length: 50\r\n\r\nhalf");
  const std::string response = mesh.Send("POST", "/write/1");
  cr_assert(HasStatus(response, "502"), "%s", response.c_str());
  cr_assert_eq(mesh.CountRuns("/write/1"), 1);
}

Test(mesh, a_lookup_whose_response_is_lost_is_retried_within_its_attempts) {
  Mesh mesh("HTTP/1.1 200 OK\r\n" + std::string(kHealthy) + "Content-Length: 50\r\n\r\nhalf");
  const std::string response = mesh.Send("GET", "/read/1");
  cr_assert(!HasStatus(response, "200"), "%s", response.c_str());
  cr_assert_geq(mesh.CountRuns("/read/1"), 1);
  cr_assert_leq(mesh.CountRuns("/read/1"), 2);
}

Test(mesh, reports_not_run_only_when_the_target_reported_it) {
  Mesh mesh(MakeResponse("503 Full", std::string(kHealthy) + "X-Not-Run: 1\r\n", ""));
  const std::string response = mesh.Send("POST", "/write/1");
  cr_assert(HasStatus(response, "503"), "%s", response.c_str());
  cr_assert_leq(mesh.CountRuns("/write/1"), 2);
}

// Guards against a target's own 503 after a run, which callers take as "not run" (review/1). The
// caller is beside the target or on another host.
Test(mesh, a_status_that_promises_no_run_is_not_delivered_after_a_run) {
  for (const std::string status : {"408 Request Timeout", "429 Too Many Requests", "503 Failed"}) {
    Mesh mesh(MakeResponse(status, kHealthy, "entered"));
    for (const std::string& response :
         {mesh.Send("POST", "/write/1"), mesh.SendFrom(mesh.GetBack(), "POST", "/write/1"),
          mesh.Send("GET", "/read/1"), mesh.SendFrom(mesh.GetBack(), "GET", "/read/1")}) {
      cr_assert(HasStatus(response, "502"), "%s", response.c_str());
      cr_assert(response.find("X-Signature") == std::string::npos, "%s", response.c_str());
    }
    cr_assert_eq(mesh.CountRuns("/write/1"), 2);
  }
}

// Guards against a status that the HTTP library does not list and that reaches the caller as 000
// (review/5).
Test(mesh, a_status_that_the_library_does_not_list_is_delivered_as_its_number) {
  for (const std::string status : {"218", "425", "499", "529"}) {
    Mesh mesh(MakeResponse(status + " Other", kHealthy, "text"));
    for (const std::string& response :
         {mesh.Send("POST", "/write/1"), mesh.SendFrom(mesh.GetBack(), "POST", "/write/1")}) {
      cr_assert(HasStatus(response, status + " "), "%s", response.c_str());
      cr_assert(response.find("X-Signature: s") != std::string::npos, "%s", response.c_str());
      cr_assert(response.ends_with("\r\n\r\ntext"), "%s", response.c_str());
    }
  }
}

Test(mesh, a_number_that_is_no_status_of_a_response_is_not_delivered) {
  for (const std::string status : {"000", "099", "600", "999"}) {
    Mesh mesh(MakeResponse(status + " Odd", kHealthy, "text"));
    const std::string response = mesh.Send("POST", "/write/1");
    cr_assert(HasStatus(response, "502"), "%s", response.c_str());
    cr_assert_leq(mesh.CountRuns("/write/1"), 1);
  }
}

Test(mesh, a_response_to_another_request_is_not_delivered) {
  Mesh mesh(MakeResponse("200 OK", "X-Id: other\r\nX-Target: t1\r\nX-Signature: s\r\n", "wrong"));
  const std::string response = mesh.Send("POST", "/write/1");
  cr_assert(HasStatus(response, "502"), "%s", response.c_str());
  cr_assert(response.find("wrong") == std::string::npos);
}

Test(mesh, a_response_without_the_targets_signature_is_not_delivered) {
  Mesh mesh(MakeResponse("200 OK", "X-Id: r1\r\nX-Target: t1\r\n", "forged"));
  const std::string response = mesh.Send("POST", "/write/1");
  cr_assert(HasStatus(response, "502"), "%s", response.c_str());
  cr_assert(response.find("forged") == std::string::npos);
}

Test(mesh, bytes_after_a_response_are_discarded) {
  Mesh mesh("HTTP/1.1 200 OK\r\n" + std::string(kHealthy) +
            "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra");
  for (int i = 0; i < 3; ++i) {
    const std::string response = mesh.Send("POST", "/write/1");
    cr_assert(HasStatus(response, "200"), "%s", response.c_str());
    cr_assert(response.find("extra") == std::string::npos);
  }
}

Test(mesh, the_end_of_the_connection_ends_a_response_without_a_length) {
  Mesh mesh("HTTP/1.1 200 OK\r\n" + std::string(kHealthy) + "\r\nall of it");
  const std::string response = mesh.Send("GET", "/read/1");
  cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  cr_assert(response.find("all of it") != std::string::npos);
  cr_assert(mesh.WasComplete());
}

// Guards against a daemon that keeps an old version because the response to its watch was lost, and
// that no request takes to a daemon with the new one (review/2).
Test(mesh, a_version_that_the_store_did_not_deliver_comes_from_another_daemon) {
  Mesh mesh(MakeResponse("200 OK", kHealthy, "hello"));
  FakeStoreClient::GetStore().SilenceWatchesOf(mesh.GetFront().GetSettings().store_address);
  RouteTable table;
  table.version = 2;
  FakeStoreClient::GetStore().Put("table", Encode(table));
  // The version has to be in force within two seconds.
  std::this_thread::sleep_for(milliseconds(2000));
  const std::string dump =
      mesh.GetFront().SendGetRequest(mesh.GetFront().GetSettings().metrics_address, "/dump");
  cr_assert(dump.find("\"table_version\":\"2\"") != std::string::npos, "%s", dump.c_str());
}

Test(mesh, a_failed_request_is_found_by_its_id) {
  Mesh mesh(MakeResponse("503 Full", std::string(kHealthy) + "X-Not-Run: 1\r\n", ""));
  mesh.Send("POST", "/write/1");
  const std::string address = mesh.GetFront().GetSettings().metrics_address;
  const std::string trace = mesh.GetFront().SendGetRequest(address, "/requests/r1");
  cr_assert(trace.find("\"request_id\":\"r1\"") != std::string::npos, "%s", trace.c_str());
  cr_assert(trace.find("HOP_OUTCOME_NOT_RUN") != std::string::npos, "%s", trace.c_str());
  cr_assert(HasStatus(mesh.GetFront().SendGetRequest(address, "/requests/unknown"), "404"));
}

Test(mesh, metrics_are_read_while_requests_run) {
  Mesh mesh(MakeResponse("200 OK", kHealthy, "hello"));
  std::thread load([&mesh] {
    for (int i = 0; i < 20; ++i) {
      mesh.Send("GET", "/read/1");
    }
  });
  const std::string address = mesh.GetFront().GetSettings().metrics_address;
  for (int i = 0; i < 5; ++i) {
    cr_assert(HasStatus(mesh.GetFront().SendGetRequest(address, "/metrics"), "200"));
  }
  load.join();
  const std::string text = mesh.GetFront().SendGetRequest(address, "/metrics");
  cr_assert(text.find("lacewingbridge_requests_total{status=\"200\"} 20\n") != std::string::npos,
            "%s", text.c_str());
  cr_assert(text.find("lacewingbridge_request_seconds_count{route=\"read\"} 20\n") !=
            std::string::npos);
}

Test(mesh, a_stopping_daemon_is_not_ready_and_still_responds) {
  Mesh mesh(MakeResponse("200 OK", kHealthy, "hello"));
  const std::string ready = mesh.GetFront().GetSettings().ready_address;
  cr_assert(HasStatus(mesh.GetFront().SendGetRequest(ready, "/"), "200"));
  mesh.GetFront().Stop();
  std::this_thread::sleep_for(milliseconds(50));
  cr_assert(HasStatus(mesh.GetFront().SendGetRequest(ready, "/"), "503"));
  const std::string response = mesh.Send("GET", "/read/1");
  cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  cr_assert(response.find("Connection: close") != std::string::npos);
}

// Guards against requests that a stopping daemon takes and then cuts at the end of the stop limit
// of 1.5 s, which leaves the outcome of a request that must not run twice unknown. The deadline of
// one second fits at first and no longer after half a second.
Test(mesh, a_stopping_daemon_refuses_a_request_that_it_may_have_to_cut) {
  Mesh mesh(MakeResponse("200 OK", kHealthy, "hello"));
  mesh.GetFront().Stop();
  std::this_thread::sleep_for(milliseconds(50));
  cr_assert(HasStatus(mesh.Send("POST", "/write/1"), "200"));
  std::this_thread::sleep_for(milliseconds(500));
  const std::string response = mesh.Send("POST", "/write/2");
  cr_assert(HasStatus(response, "503"), "%s", response.c_str());
  cr_assert(response.find("Retry-After") != std::string::npos, "%s", response.c_str());
  cr_assert_eq(mesh.CountRuns("/write/2"), 0);
}

Test(mesh, changed_settings_take_effect_or_are_returned_by_name) {
  Mesh mesh(MakeResponse("200 OK", kHealthy, "hello"));
  MeshSettings changed = mesh.GetFront().GetSettings();
  changed.retry_ratio = 0;
  changed.retry_slack = 0;
  changed.stop_limit_ms = 700;
  cr_assert(mesh.GetFront().Apply(changed).empty());
  changed.peer_address = "127.0.0.1:9";
  const std::vector<std::string> names = mesh.GetFront().Apply(changed);
  cr_assert(names == std::vector<std::string>({"peer_address"}));
}

// Callers are on the host of their daemon. Guards against pacing and counting their responses as if
// they used the link, which took half of the link from the target beside them.
Test(mesh, a_response_to_a_caller_of_this_host_does_not_use_its_link) {
  constexpr std::uint64_t kLinkRate = 20'000;
  const std::string body(60'000, 'x');
  Mesh mesh(MakeResponse("200 OK", kHealthy, body), kLinkRate);
  const std::string response = mesh.Send("GET", "/read/1");
  cr_assert(response.ends_with(body));
  const std::string dump =
      mesh.GetFront().SendGetRequest(mesh.GetFront().GetSettings().metrics_address, "/dump");
  const std::string field = "\"link_wait_ms\":";
  const std::size_t position = dump.find(field);
  cr_assert_neq(position, std::string::npos, "%s", dump.c_str());
  // The request alone takes 32 ms of this link; the response would take more than three seconds.
  cr_assert_leq(std::stoi(dump.substr(position + field.size())), 100, "%s", dump.c_str());
}

// Without a retry budget a lookup is not retried, which shows that the changed settings are in
// force.
Test(mesh, a_lookup_is_not_retried_without_a_retry_budget) {
  Mesh mesh("HTTP/1.1 200 OK\r\n" + std::string(kHealthy) + "Content-Length: 50\r\n\r\nhalf");
  MeshSettings changed = mesh.GetFront().GetSettings();
  changed.retry_ratio = 0;
  changed.retry_slack = 0;
  mesh.GetFront().Apply(changed);
  mesh.Send("GET", "/read/1");
  cr_assert_eq(mesh.CountRuns("/read/1"), 1);
}
