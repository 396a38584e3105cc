#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_DAEMON_PROCESS_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_DAEMON_PROCESS_H_

#include <sys/types.h>

#include <string>

#include "stand_ins/record.h"

namespace lacewingbridge::review {

// What the platform's settings say of one machine.
struct MachineOptions {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region;
  std::string service;
  std::string store_address;
  // Times of the bounds that the cases use.
  std::string grace = "6s";
  std::string config_apply = "2000ms";

  std::string GetOutbound() const { return this->ip + ":8629"; }
  std::string GetInbound() const { return this->ip + ":8624"; }
  std::string GetReady() const { return this->ip + ":8625"; }
  std::string GetControl() const { return this->ip + ":8620"; }
  std::string GetApp() const { return this->ip + ":8628"; }
};

// A daemon that runs as a process of its own, by the command of the deploy file.
class DaemonProcess {
 public:
  // Writes the settings and the output into the folder.
  DaemonProcess(Record& case_record, const MachineOptions& machine_options,
                const std::string& folder_path);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  void Start();
  void Signal(int number);
  // Returns whether the process has ended by itself within the time.
  bool WaitForEnd(Milliseconds limit);
  // Ends the process at once.
  void Kill();
  // Returns whether the daemon says within the time that it is ready.
  bool WaitUntilReady(Milliseconds limit);
  const MachineOptions& GetOptions() const { return this->options; }

 private:
  std::string FormatSettings() const;

  Record& record;
  const MachineOptions options;
  const std::string folder;
  pid_t pid = -1;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_DAEMON_PROCESS_H_
