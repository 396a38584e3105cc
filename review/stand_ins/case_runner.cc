#include "stand_ins/case_runner.h"

#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>
#include <utility>

#include "stand_ins/loopback_address.h"

namespace lacewingbridge::review {

namespace {

constexpr unsigned kMaxRunSeconds = 115;
constexpr Milliseconds kStartLimit = std::chrono::seconds(15);

}  // namespace

CaseRunner::CaseRunner(const std::string& record_path) : record(record_path) {
  // The daemons end with this process.
  alarm(kMaxRunSeconds);
  signal(SIGPIPE, SIG_IGN);
  std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr) {
    this->GiveUp("no temporary folder");
  }
  this->folder = pattern;
  this->network = FindFreeNetwork();
  this->store = std::make_unique<StoreStandIn>(this->record);
}

CaseRunner::~CaseRunner() {
  this->daemons.clear();
  this->upstreams.clear();
  this->store.reset();
  if (std::getenv("KEEP_FOLDER") == nullptr) {
    std::filesystem::remove_all(this->folder);
  }
}

bool CaseRunner::HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

MachineOptions CaseRunner::MakeMachine(int number, const std::string& service) const {
  MachineOptions machine;
  machine.name = "machine-" + std::to_string(number);
  machine.ip = this->network + std::to_string(number);
  machine.zone = number % 2 == 1 ? "carolinas-a" : "carolinas-b";
  machine.region = "carolinas";
  machine.service = service;
  machine.store_address = machine.ip + ":8627";
  return machine;
}

DaemonProcess& CaseRunner::AddDaemon(const MachineOptions& machine) {
  this->store->Listen(machine.store_address);
  this->daemons.push_back(std::make_unique<DaemonProcess>(this->record, machine, this->folder));
  return *this->daemons.back();
}

UpstreamStandIn& CaseRunner::AddUpstream(const MachineOptions& machine, const std::string& id,
                                         UpstreamStandIn::Work work, Milliseconds work_time) {
  UpstreamOptions options;
  options.id = id;
  options.service = machine.service;
  options.zone = machine.zone;
  options.address = machine.GetApp();
  options.control_address = machine.GetControl();
  options.work = work_time;
  this->upstreams.push_back(
      std::make_unique<UpstreamStandIn>(this->record, std::move(options), std::move(work)));
  return *this->upstreams.back();
}

void CaseRunner::CrashUpstream(const UpstreamStandIn& upstream) {
  this->record.Write("upstream " + upstream.GetOptions().id + ": crashes");
  std::erase_if(this->upstreams, [&](const auto& entry) { return entry.get() == &upstream; });
}

void CaseRunner::StartDaemons() {
  for (const auto& daemon : this->daemons) {
    daemon->Start();
  }
  for (const auto& daemon : this->daemons) {
    if (!daemon->WaitUntilReady(kStartLimit)) {
      this->GiveUp("daemon " + daemon->GetOptions().name + " is not ready");
    }
  }
}

void CaseRunner::WaitUntilServed(const DaemonProcess& daemon,
                                 const std::vector<std::string>& paths) {
  const Clock::time_point until = Clock::now() + kStartLimit;
  for (const std::string& path : paths) {
    while (true) {
      const HttpMessage request = this->MakeClientRequest("GET", path, Milliseconds(2000));
      if (this->Send(daemon, request, Milliseconds(2500)).status == 200) {
        break;
      }
      if (Clock::now() >= until) {
        this->GiveUp("no success for " + path);
      }
      this->Sleep(Milliseconds(200));
    }
  }
}

HttpMessage CaseRunner::MakeClientRequest(std::string_view method, std::string_view path,
                                          Milliseconds deadline) {
  char id[32];
  std::snprintf(id, sizeof(id), "%016x", ++this->last_request);
  HttpMessage request = MakeRequest(method, path, kHost);
  request.headers.emplace_back("Lacewingbridge-Request-Id", id);
  request.headers.emplace_back("Lacewingbridge-Deadline-Ms", std::to_string(deadline.count()));
  return request;
}

ClientAnswer CaseRunner::Send(const DaemonProcess& daemon, const HttpMessage& request,
                              Milliseconds limit) {
  const std::string id = request.GetHeader("Lacewingbridge-Request-Id");
  this->record.Write("client at " + daemon.GetOptions().name + ": sends " + id + " " +
                     request.start_line);
  ClientAnswer answer;
  const auto stream = HttpStream::Connect(daemon.GetOptions().GetOutbound(), Milliseconds(1000));
  if (stream == nullptr || !stream->Write(request.Format())) {
    this->record.Write("client: no connection for " + id);
    return answer;
  }
  answer.end = stream->Read(answer.message, limit);
  answer.status = answer.message.GetStatus();
  this->record.Write("client: the answer to " + id + " is \"" + answer.message.start_line +
                     "\", signature \"" +
                     answer.message.GetHeader("Lacewingbridge-Server-Signature") + "\", " +
                     std::string(GetName(answer.end)));
  return answer;
}

void CaseRunner::Sleep(Milliseconds time) const { std::this_thread::sleep_for(time); }

void CaseRunner::GiveUp(std::string_view reason) {
  this->record.Write("the case cannot run: " + std::string(reason));
  std::fprintf(stderr, "the case cannot run: %s\n", std::string(reason).c_str());
  this->daemons.clear();
  std::_Exit(kCannotRun);
}

int CaseRunner::Conclude(bool broken, std::string_view text) {
  const std::string verdict = std::string(broken ? "BROKEN: " : "HELD: ") + std::string(text);
  this->record.Write(verdict);
  std::printf("%s\n", verdict.c_str());
  return broken ? kRuleBroken : kRuleHeld;
}

std::string MakeConfiguration(int version, const std::vector<RouteRow>& routes,
                              const std::vector<std::string>& services) {
  std::string resources;
  for (const RouteRow& route : routes) {
    resources += "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + route.name +
                 "\"},\"spec\":{\"host\":\"" + CaseRunner::kHost + "\",\"prefix\":\"" +
                 route.prefix + "\",\"kind\":\"" + route.kind + "\",\"timeout\":\"" +
                 route.timeout + "\",\"target_latency\":\"400ms\",\"priority\":1,\"service\":\"" +
                 route.service + "\",\"max_attempts\":" + std::to_string(route.max_attempts) +
                 "}},";
  }
  for (const std::string& service : services) {
    resources += "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + service +
                 "\"},\"spec\":{\"health_check_path\":\"/healthz\",\"max_connections\":120,"
                 "\"protocol\":\"h1\",\"tls\":false}},";
  }
  return "{\"version\":" + std::to_string(version) + ",\"resources\":[" + resources +
         "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
         "\"idle_timeout\":\"15000ms\"}}]}";
}

}  // namespace lacewingbridge::review
