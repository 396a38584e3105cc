#include "stand_ins/daemon_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>

#include "stand_ins/http_stream.h"

namespace lacewingbridge::review {

namespace {

constexpr char kProgram[] = "target/platform/lacewingbridge-node";
constexpr Milliseconds kCheckInterval{20};

}  // namespace

DaemonProcess::DaemonProcess(Record& case_record, const MachineOptions& machine_options,
                             const std::string& folder_path)
    : record(case_record), options(machine_options), folder(folder_path) {}

DaemonProcess::~DaemonProcess() { this->Kill(); }

std::string DaemonProcess::FormatSettings() const {
  const MachineOptions& own = this->options;
  return "[self]\nnode_name = \"" + own.name +
         "\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\n" +
         "serves = [\"sidecar\"]\nip = \"" + own.ip + "\"\nzone = \"" + own.zone +
         "\"\nregion = \"" + own.region +
         "\"\nloss_counts = false\nbootstrap = true\napp_addr = \"" + own.GetApp() +
         "\"\nservice = \"" + own.service +
         "\"\n[self.limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
         "link_mbps = 1000.0\ndisk_mb = 0\n[network]\ninternal_ports = [7600,7615]\nseeds = []\n"
         "[network.listen]\ninbound = \"" +
         own.GetInbound() + "\"\noutbound = \"" + own.GetOutbound() + "\"\nready = \"" +
         own.GetReady() + "\"\ncontrol = \"" + own.GetControl() +
         "\"\n[network.zones]\ncarolinas-a = \"carolinas\"\ncarolinas-b = \"carolinas\"\n"
         "[platform]\ndiscovery = \"static\"\nentry = \"static\"\n"
         "heartbeat_interval = \"1500ms\"\n[platform.platform]\naddress = \"" +
         own.store_address +
         "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\n"
         "value_bytes = 1048576\nttl_min = \"1000ms\"\n[terms]\ncontracts = [\"base\",\"drain\","
         "\"config\",\"cost\",\"retry\",\"recover\",\"platform\"]\n[terms.fault_tolerance]\n"
         "machines = 2\nzones = 0\nregions = 0\n[terms.bounds]\nseed_lag = \"3s\"\n"
         "reuse_after = \"2s\"\nstability_window = \"3000ms\"\nack = \"4000ms\"\n"
         "catch_up = \"4s\"\ndrain = \"2000ms\"\ngrace = \"" +
         own.grace + "\"\nloss_slack = \"200ms\"\nconfig_apply = \"" + own.config_apply +
         "\"\nrollback_slack = \"250ms\"\nskew_max = \"5000ms\"\nretry_budget_ratio = 0.2\n"
         "budget_window = \"10s\"\nbudget_slack = 60\nrecovery = \"15s\"\n";
}

void DaemonProcess::Start() {
  const std::string settings = this->folder + "/" + this->options.name + ".toml";
  std::ofstream(settings) << this->FormatSettings();
  const std::string output = this->folder + "/" + this->options.name + ".log";
  const std::string variable = "LACEWINGBRIDGE_CONFIG=" + settings;
  this->pid = fork();
  if (this->pid == 0) {
    // The daemon must not outlive a case that is ended from outside.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const char* const arguments[] = {kProgram, nullptr};
    const char* const variables[] = {variable.c_str(), nullptr};
    execve(kProgram, const_cast<char* const*>(arguments), const_cast<char* const*>(variables));
    _exit(127);
  }
  this->record.Write("daemon " + this->options.name + ": started");
}

void DaemonProcess::Signal(int number) {
  if (this->pid > 0) {
    kill(this->pid, number);
    this->record.Write("daemon " + this->options.name + ": gets signal " + std::to_string(number));
  }
}

bool DaemonProcess::WaitForEnd(Milliseconds limit) {
  const Clock::time_point until = Clock::now() + limit;
  while (this->pid > 0) {
    if (waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
      this->record.Write("daemon " + this->options.name + ": has ended");
    } else if (Clock::now() >= until) {
      return false;
    } else {
      std::this_thread::sleep_for(kCheckInterval);
    }
  }
  return true;
}

void DaemonProcess::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
    this->record.Write("daemon " + this->options.name + ": killed");
  }
}

bool DaemonProcess::WaitUntilReady(Milliseconds limit) {
  const Clock::time_point until = Clock::now() + limit;
  while (Clock::now() < until) {
    const auto stream = HttpStream::Connect(this->options.GetReady(), Milliseconds(500));
    HttpMessage answer;
    if (stream != nullptr &&
        stream->Write(MakeRequest("GET", "/-/ready", this->options.GetReady()).Format()) &&
        stream->Read(answer, Milliseconds(500)) == ReadEnd::kWhole && answer.GetStatus() == 200) {
      return true;
    }
    std::this_thread::sleep_for(kCheckInterval * 5);
  }
  return false;
}

}  // namespace lacewingbridge::review
