#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "support/stand_ins.h"

namespace review {

namespace {

// Processes that run, so that a case that takes too long can end them.
std::mutex processes_mutex;
std::set<pid_t> processes;

void EndProcesses() {
  const std::lock_guard guard(processes_mutex);
  for (const pid_t process : processes) {
    kill(process, SIGKILL);
  }
}

// The command of the only role of the deploy file.
std::vector<std::string> ReadCommand() {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t begin = line.find('"');
    if (line.starts_with("run = ") && begin != std::string::npos) {
      std::istringstream words(line.substr(begin + 1, line.rfind('"') - begin - 1));
      std::vector<std::string> command;
      for (std::string word; words >> word;) {
        command.push_back(word);
      }
      return command;
    }
  }
  return {};
}

std::string MakeSettings(const Machine& machine, const Address& store,
                         const std::string& more_bounds) {
  std::ostringstream text;
  text << "[self]\nnode_name = \"" << machine.name
       << "\"\nrole = \"sidecar\"\nmachine_class = \"sidecar\"\nserves = [\"sidecar\"]\nip = \""
       << machine.ip << "\"\nzone = \"" << machine.zone << "\"\nregion = \"" << machine.region
       << "\"\nloss_counts = false\nbootstrap = true\napp_addr = \""
       << machine.GetTarget().GetText() << "\"\nservice = \"" << machine.service
       << "\"\n[self.limits]\ncpu_share = 0.2\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n"
          "link_mbps = 1000.0\ndisk_mb = 0\n[network]\ninternal_ports = [7600,7615]\nseeds = []\n"
          "[network.listen]\ninbound = \""
       << machine.GetInbound().GetText() << "\"\noutbound = \"" << machine.GetOutbound().GetText()
       << "\"\nready = \"" << machine.GetReady().GetText() << "\"\ncontrol = \""
       << machine.GetControl().GetText()
       << "\"\n[platform]\ndiscovery = \"static\"\nentry = \"static\"\n"
          "heartbeat_interval = \"1500ms\"\n[platform.platform]\naddress = \""
       << store.GetText()
       << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory = \"20s\"\n"
          "value_bytes = 1048576\nttl_min = \"1000ms\"\n[terms]\ncontracts = [\"base\",\"drain\","
          "\"config\",\"cost\",\"retry\",\"recover\",\"platform\"]\n[terms.fault_tolerance]\n"
          "machines = 2\nzones = 0\nregions = 0\n[terms.bounds]\nseed_lag = \"3s\"\n"
          "reuse_after = \"2s\"\nstability_window = \"3000ms\"\nack = \"4000ms\"\n"
          "catch_up = \"4s\"\ndrain = \"2000ms\"\ngrace = \"6s\"\nloss_slack = \"200ms\"\n"
          "config_apply = \"2000ms\"\nrollback_slack = \"250ms\"\nskew_max = \"5000ms\"\n"
          "retry_budget_ratio = 0.2\nbudget_window = \"10s\"\nbudget_slack = 60\n"
          "recovery = \"15s\"\n"
       << more_bounds;
  return text.str();
}

}  // namespace

Daemon::Daemon(Machine of, const Address& store, std::string folder, std::string settings)
    : machine(std::move(of)),
      path(folder + "/" + this->machine.name + ".toml"),
      log(folder + "/" + this->machine.name + ".log") {
  std::ofstream(this->path) << MakeSettings(this->machine, store, settings);
}

Daemon::~Daemon() { this->Kill(); }

bool Daemon::Start() {
  std::vector<std::string> command = ReadCommand();
  if (command.empty()) {
    return false;
  }
  std::vector<char*> words;
  for (std::string& word : command) {
    words.push_back(word.data());
  }
  words.push_back(nullptr);
  std::vector<std::string> variables = {"LACEWINGBRIDGE_CONFIG=" + this->path};
  for (const char* name : {"PATH", "HOME", "LANG"}) {
    if (const char* value = std::getenv(name)) {
      variables.push_back(std::string(name) + "=" + value);
    }
  }
  std::vector<char*> environment;
  for (std::string& variable : variables) {
    environment.push_back(variable.data());
  }
  environment.push_back(nullptr);
  const std::lock_guard guard(processes_mutex);
  this->pid = fork();
  if (this->pid == 0) {
    const int output = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(words[0], words.data(), environment.data());
    _exit(127);
  }
  processes.insert(this->pid);
  return this->pid > 0;
}

void Daemon::Signal(int signal) {
  if (this->pid > 0) {
    kill(this->pid, signal);
  }
}

bool Daemon::HasEnded() {
  if (this->pid <= 0) {
    return true;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return false;
  }
  const std::lock_guard guard(processes_mutex);
  processes.erase(this->pid);
  this->pid = 0;
  return true;
}

void Daemon::Kill() {
  if (this->HasEnded()) {
    return;
  }
  kill(this->pid, SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
  const std::lock_guard guard(processes_mutex);
  processes.erase(this->pid);
  this->pid = 0;
}

bool Daemon::WaitReady(Milliseconds limit) {
  const TimePoint until = Clock::now() + limit;
  while (Clock::now() < until) {
    const int connection = Connect(this->machine.GetReady(), Milliseconds(200));
    if (connection >= 0) {
      Stream stream(connection);
      Message answer;
      if (stream.Write("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          stream.Read(answer, true, Clock::now() + Milliseconds(500)) == ReadEnd::kWhole &&
          answer.GetStatus() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(Milliseconds(50));
  }
  return false;
}

int RunCase(const std::string& record_path, Milliseconds limit,
            const std::function<int(const CaseOptions&, Record&)>& run) {
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/lacewingbridge-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  CaseOptions options;
  options.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  options.folder = folder;
  std::thread([limit, path = std::string(folder)] {
    std::this_thread::sleep_for(limit);
    std::fprintf(stderr, "the case took too long\n");
    EndProcesses();
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
    _exit(2);
  }).detach();
  int result = 2;
  {
    Record record(record_path);
    record.Write(options.trouble ? "with the disruption" : "without the disruption");
    result = run(options, record);
    record.Write("result " + std::to_string(result));
  }
  EndProcesses();
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder, ignored);
  }
  return result;
}

AddressPlan::AddressPlan() {
  const int number = static_cast<int>(getpid());
  for (int attempt = 0; attempt < 200; ++attempt) {
    this->prefix = "127." + std::to_string(40 + (number / 250 + attempt) % 200) + "." +
                   std::to_string(1 + number % 250) + ".";
    // The daemons use a fixed port for their metrics.
    Server probe({this->GetIp(1), 9464}, [](Stream&, Message&) { return false; });
    if (probe.Start()) {
      return;
    }
  }
}

std::string AddressPlan::GetIp(int number) const { return this->prefix + std::to_string(number); }

}  // namespace review
