// A planned stop of a daemon whose client sends lookups one behind the other on a connection.

#include <csignal>
#include <string>
#include <vector>

#include "stand_ins/case_runner.h"

namespace lacewingbridge::review {
namespace {

constexpr Milliseconds kDeadline{2000};
constexpr Milliseconds kWork{90};
// Time between the SIGTERM and the requests. The platform asks for readiness once a second, so
// clients learn of the stop after one to two seconds.
constexpr Milliseconds kAfterStop{300};
constexpr int kRequests = 4;

int RunCase(const char* record_path) {
  CaseRunner runner(record_path);
  const MachineOptions front = runner.MakeMachine(1, "huvo11a");
  const MachineOptions other = runner.MakeMachine(2, "huvo11a");
  const MachineOptions third = runner.MakeMachine(3, "huvo11a");
  DaemonProcess& daemon = runner.AddDaemon(front);
  runner.AddDaemon(other);
  runner.AddDaemon(third);
  runner.GetStore().Put(
      "op/config",
      MakeConfiguration(4, {{"r-look", "/lepu270/", "safe", "huvo11a", "1000ms"}}, {"huvo11a"}));
  runner.StartDaemons();
  std::vector<UpstreamStandIn*> upstreams = {
      &runner.AddUpstream(front, "i-7f3a91c2", UpstreamStandIn::MakeSuccess, kWork),
      &runner.AddUpstream(other, "i-02d9e6b4", UpstreamStandIn::MakeSuccess, kWork),
      &runner.AddUpstream(third, "i-5d00e1f7", UpstreamStandIn::MakeSuccess, kWork)};
  runner.WaitUntilServed(daemon, {"/lepu270/1"});
  runner.Sleep(Milliseconds(3500));

  // The connection is in use before the stop.
  const auto stream = HttpStream::Connect(front.GetOutbound(), Milliseconds(1000));
  HttpMessage answer;
  if (stream == nullptr ||
      !stream->Write(runner.MakeClientRequest("GET", "/lepu270/2", kDeadline).Format()) ||
      stream->Read(answer, kDeadline) != ReadEnd::kWhole) {
    runner.GiveUp("no answer before the stop");
  }
  if (CaseRunner::HasTrouble()) {
    daemon.Signal(SIGTERM);
  }
  runner.Sleep(kAfterStop);

  std::vector<std::string> ids;
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) {
    const HttpMessage request =
        runner.MakeClientRequest("GET", "/lepu270/p" + std::to_string(i), kDeadline);
    ids.push_back(request.GetHeader("Lacewingbridge-Request-Id"));
    bytes += request.Format();
    runner.GetRecord().Write("client: sends " + ids.back() + " on the same connection");
  }
  stream->Write(bytes);
  std::size_t answered = 0;
  ReadEnd end = ReadEnd::kWhole;
  while (answered < ids.size()) {
    end = stream->Read(answer, kDeadline);
    if (end != ReadEnd::kWhole) {
      break;
    }
    runner.GetRecord().Write("client: the answer to " + ids[answered] + " is \"" +
                             answer.start_line + "\", Connection \"" +
                             answer.GetHeader("Connection") + "\"");
    ++answered;
  }
  runner.GetRecord().Write("client: the connection ends: " + std::string(GetName(end)));
  int broken = 0;
  for (std::size_t i = answered; i < ids.size(); ++i) {
    for (const UpstreamStandIn* upstream : upstreams) {
      if (upstream->HasRun(ids[i])) {
        ++broken;
        runner.GetRecord().Write("LOST: " + ids[i] + " was passed on to " +
                                 upstream->GetOptions().id + " and has no answer");
        break;
      }
    }
  }
  return runner.Conclude(broken > 0,
                         std::to_string(broken) + " of " + std::to_string(kRequests) +
                             " requests were passed on to an upstream and ended without an answer");
}

}  // namespace
}  // namespace lacewingbridge::review

int main(int, char** arguments) { return lacewingbridge::review::RunCase(arguments[1]); }
