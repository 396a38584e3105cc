#ifndef LACEWINGBRIDGE_REVIEW_SUPPORT_STAND_INS_H_
#define LACEWINGBRIDGE_REVIEW_SUPPORT_STAND_INS_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/net.h"

namespace review {

// Writes lines with the time since its start to a file. May be used from any thread.
class Record {
 public:
  explicit Record(const std::string& path);
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record();
  void Write(const std::string& line);
  double GetSeconds() const;

 private:
  const TimePoint begin = Clock::now();
  std::mutex mutex;
  std::FILE* file;
};

// The platform's store: items, watches, leases and transactions, without rates or faults.
class Store {
 public:
  explicit Store(const Address& at);
  bool Start();
  // Ends the waiting watches.
  void Stop();
  // A write of the operator. Returns when it is acknowledged.
  void Put(const std::string& key, const std::string& value);
  // The same; then the store gives no answer for this time. Calls whose answers fall into it are
  // done, and their connections return nothing further.
  void PutBeforeSilence(const std::string& key, const std::string& value, Milliseconds silence);
  // Answers that were lost in the last silence: to watches, and to other calls.
  int CountLostWatches() const { return this->lost_watches; }
  int CountOtherLostCalls() const { return this->lost_calls; }

 private:
  struct Item {
    std::string value;  // as base64 text
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool tombstone = false;
  };
  struct Lease {
    Milliseconds time{0};
    TimePoint ends;
  };

  bool Handle(Stream& stream, const Message& request);
  Message Answer(const Message& request);
  Message GetKey(const std::string& key);
  Message GetRange(const std::string& prefix);
  Message Watch(const std::string& prefix, std::uint64_t after, Milliseconds wait);
  Message Transact(const std::string& body);
  Message Grant(const std::string& body);
  void Set(const std::string& key, const std::string& value, std::uint64_t lease);
  void Remove(const std::string& key);
  // Removes the keys of leases that have ended.
  void Expire();

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 100;
  std::uint64_t last_lease = 0;
  bool stopped = false;
  TimePoint silent_until;
  std::atomic<int> lost_watches{0};
  std::atomic<int> lost_calls{0};
  Server server;
};

// Where one machine listens. All machines use the same ports on addresses of their own.
struct Machine {
  std::string name;
  std::string zone;
  std::string region;
  std::string service;
  std::string ip;

  Address GetControl() const { return {this->ip, 8620}; }
  Address GetInbound() const { return {this->ip, 8624}; }
  Address GetReady() const { return {this->ip, 8625}; }
  Address GetTarget() const { return {this->ip, 8628}; }
  Address GetOutbound() const { return {this->ip, 8629}; }
};

// The daemon of a machine, started with the command of the deploy file.
class Daemon {
 public:
  // `settings` is appended to the tables that every daemon gets, in the table terms.bounds.
  Daemon(Machine of, const Address& store, std::string folder, std::string settings = "");
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  bool Start();
  void Signal(int signal);
  // Whether the process has ended by itself.
  bool HasEnded();
  // Ends the process at once if it runs.
  void Kill();
  // Waits until the daemon says that it is ready.
  bool WaitReady(Milliseconds limit);
  const Machine& GetMachine() const { return this->machine; }

 private:
  const Machine machine;
  const std::string path;
  const std::string log;
  pid_t pid = 0;
};

// A request that a target runs.
struct Run {
  Stream& stream;
  const Message& request;
  std::string id;
};

// A target: announces itself to the daemon of its machine and runs requests. It checks the expected
// instance, runs at most `slots` requests at a time and refuses more as not executed.
class Upstream {
 public:
  // Runs one request and sends the answer. Returns false to end the connection.
  using Work = std::function<bool(Upstream&, const Run&)>;

  Upstream(Machine of, int slot_count, Record& to, Work request_work);
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  ~Upstream();

  // Starts a new incarnation.
  bool Start();
  // Ends as by a crash: the listener is closed, connections are reset, heartbeats stop. Must not be
  // called by a run.
  void Crash();
  // Says that it leaves: announces itself as draining, and is no longer healthy. Returns whether
  // the daemon acknowledged it.
  bool Drain();
  // Body of the call that it has left.
  std::string MakeLeave() const { return "{\"born\":" + std::to_string(this->born) + "}"; }
  // Whether its connections are open.
  bool IsUp() const { return this->server != nullptr && this->server->IsRunning(); }
  const std::string& GetId() const { return this->id; }
  const Machine& GetMachine() const { return this->machine; }
  // Makes the answer of a run, with the echoed id and a signature.
  Message MakeAnswer(const Run& run, int status, const std::string& body) const;

 private:
  bool Handle(Stream& stream, const Message& request);
  void Announce();
  // Sends one heartbeat; returns whether it was acknowledged.
  bool Beat();
  std::string GetLoad() const;

  const Machine machine;
  const int slots;
  Record& record;
  const Work work;
  std::string id;
  std::int64_t born = 0;
  std::atomic<bool> up{false};
  std::atomic<bool> draining{false};
  std::atomic<int> running{0};
  std::mutex beat_mutex;
  std::uint64_t sequence = 0;
  std::unique_ptr<Server> server;
  std::thread announcer;
};

// What a client got.
struct Answer {
  // 0: none, because the connection ended or the deadline passed.
  int status = 0;
  bool whole = false;
  // The connection ended before the deadline.
  bool closed = false;
  std::string body;
  std::string signature;
  double seconds = 0;
  std::string Describe() const;
};

struct ClientRequest {
  std::string id;
  std::string method = "GET";
  std::string host = "svc.example";
  std::string path;
  std::string body;
  Milliseconds deadline{2000};
};

// Sends the request on a new connection to the daemon's address for clients and waits until the
// deadline.
Answer Send(const Machine& machine, const ClientRequest& request);

// Sends a call to the daemon's address for heartbeats. Returns the status of its answer, or 0.
int CallControl(const Machine& machine, const std::string& target, const std::string& body);

// Loopback addresses that no other process uses: one for each number.
class AddressPlan {
 public:
  AddressPlan();
  std::string GetIp(int number) const;

 private:
  std::string prefix;
};

struct CaseOptions {
  bool trouble = true;
  // For settings and logs; removed at the end.
  std::string folder;
};

// Runs a case with TROUBLE of the environment. `run` returns 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. Ends the process after `limit`.
int RunCase(const std::string& record_path, Milliseconds limit,
            const std::function<int(const CaseOptions&, Record&)>& run);

// Text of a configuration in the form of the platform.
struct RouteText {
  std::string name;
  std::string host = "svc.example";
  std::string prefix;
  std::string kind = "safe";
  std::string service;
  int timeout_ms = 1000;
  int max_attempts = 2;
};
std::string MakeConfig(std::uint64_t version, const std::vector<RouteText>& routes,
                       const std::vector<std::string>& services);

}  // namespace review

#endif  // LACEWINGBRIDGE_REVIEW_SUPPORT_STAND_INS_H_
