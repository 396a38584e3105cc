#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_STORE_STAND_IN_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_STORE_STAND_IN_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "stand_ins/http_server.h"

namespace lacewingbridge::review {

class Record;

// The platform's metadata store: items, watches, leases and writes under conditions. It keeps its
// whole history. Each machine reaches it at an address of its own, so that it can leave the calls
// of some machines without an answer.
class StoreStandIn {
 public:
  explicit StoreStandIn(Record& case_record);
  ~StoreStandIn();

  // Serves a machine at the address.
  void Listen(const std::string& address);

  // What the operator does: writes the value of a key. The return is the acknowledgement.
  void Put(const std::string& key, std::string_view value);

  // While silent, calls from the machine are not carried out and not answered, and the answers of
  // its waiting watches are lost. A connection on which an answer was lost returns nothing further.
  void SetSilent(const std::string& address, bool silent);

  // Time of the last lease renewal that was answered at the address.
  Clock::time_point GetLastRenewal(const std::string& address);
  // Whether the key exists.
  bool Has(const std::string& key);
  // Leases do not run out while they are paused.
  void PauseLeases(bool pause);

 private:
  struct Item {
    std::string key;
    std::string base64;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
    bool deleted = false;
  };
  struct Lease {
    Milliseconds duration{0};
    Clock::time_point ends;
  };
  struct Side {
    std::unique_ptr<HttpServer> server;
    bool silent = false;
    // Rises with each begin of a silence.
    int silences = 0;
    Clock::time_point last_renewal;
  };
  using Lock = std::unique_lock<std::mutex>;

  bool Handle(const std::string& address, const HttpMessage& request, HttpStream& stream);
  HttpMessage Carry(Lock& lock, Side& side, const HttpMessage& request);
  HttpMessage Get(const std::string& key);
  HttpMessage List(const std::string& prefix);
  HttpMessage Watch(Lock& lock, const HttpMessage& request);
  HttpMessage Transact(const std::string& body);
  HttpMessage GrantLease(const std::string& body);
  HttpMessage RenewLease(Side& side, std::uint64_t lease);
  HttpMessage EndLease(std::uint64_t lease);
  void Write(const std::string& key, const std::string& base64, std::uint64_t lease);
  void Delete(const std::string& key);
  void RemoveLease(std::uint64_t lease);
  void ExpireLeases();
  const Item* Find(const std::string& key) const;

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Item> history;
  std::map<std::uint64_t, Lease> leases;
  std::map<std::string, Side> sides;
  std::uint64_t revision = 1;
  std::uint64_t last_lease = 1000;
  bool leases_paused = false;
  bool ended = false;
  std::thread expiring;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_STORE_STAND_IN_H_
