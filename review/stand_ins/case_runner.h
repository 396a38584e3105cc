#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_CASE_RUNNER_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_CASE_RUNNER_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "stand_ins/daemon_process.h"
#include "stand_ins/record.h"
#include "stand_ins/store_stand_in.h"
#include "stand_ins/upstream_stand_in.h"

namespace lacewingbridge::review {

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCannotRun = 2;

// The answer to one request of a client.
struct ClientAnswer {
  ReadEnd end = ReadEnd::kTimedOut;
  // 0 if no whole head of an answer has come.
  int status = 0;
  HttpMessage message;
};

// A small deployment: a store, machines with a daemon and an upstream each, and clients. Its files
// are in a temporary folder that it removes.
class CaseRunner {
 public:
  // The record is written to the path.
  explicit CaseRunner(const std::string& record_path);
  ~CaseRunner();
  CaseRunner(const CaseRunner&) = delete;
  CaseRunner& operator=(const CaseRunner&) = delete;

  // False if the environment says TROUBLE=0.
  static bool HasTrouble();

  // The options of machine `number` (from 1), whose daemon is started by StartDaemons.
  MachineOptions MakeMachine(int number, const std::string& service) const;
  DaemonProcess& AddDaemon(const MachineOptions& machine);
  UpstreamStandIn& AddUpstream(const MachineOptions& machine, const std::string& id,
                               UpstreamStandIn::Work work, Milliseconds work_time);
  // Crashes the upstream: its connections end, and its address refuses new ones.
  void CrashUpstream(const UpstreamStandIn& upstream);
  void StartDaemons();
  // Waits until a request to each of the paths is answered with success, which ends the start of
  // the deployment; ends the program if that does not happen.
  void WaitUntilServed(const DaemonProcess& daemon, const std::vector<std::string>& paths);

  // Sends a request on a connection of its own and reads the answer.
  ClientAnswer Send(const DaemonProcess& daemon, const HttpMessage& request, Milliseconds limit);
  HttpMessage MakeClientRequest(std::string_view method, std::string_view path,
                                Milliseconds deadline);

  void Sleep(Milliseconds time) const;
  // Ends the program because the case could not be set up.
  [[noreturn]] void GiveUp(std::string_view reason);
  // Writes the verdict to the record and standard output and returns the exit code.
  int Conclude(bool broken, std::string_view text);

  Record& GetRecord() { return this->record; }
  StoreStandIn& GetStore() { return *this->store; }

  static constexpr char kHost[] = "jepu9.example";

 private:
  Record record;
  std::string folder;
  std::string network;
  std::unique_ptr<StoreStandIn> store;
  std::vector<std::unique_ptr<DaemonProcess>> daemons;
  std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
  int last_request = 0;
};

// A configuration with one route for each row {name, prefix, kind, service, timeout}, and the
// services that they name.
struct RouteRow {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  std::string timeout;
  int max_attempts = 2;
};
std::string MakeConfiguration(int version, const std::vector<RouteRow>& routes,
                              const std::vector<std::string>& services);

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_CASE_RUNNER_H_
