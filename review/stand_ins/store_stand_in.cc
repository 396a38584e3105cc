#include "stand_ins/store_stand_in.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>

#include "stand_ins/record.h"

namespace lacewingbridge::review {

namespace {

constexpr Milliseconds kAnswerTime{4};
constexpr Milliseconds kExpiryInterval{20};
constexpr Milliseconds kLostConnectionLimit = std::chrono::seconds(100);

std::string EncodeBase64(std::string_view bytes) {
  constexpr char kLetters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kLetters[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string GetQuery(const std::string& target, const std::string& name) {
  for (const char* before : {"?", "&"}) {
    const std::size_t found = target.find(before + name + "=");
    if (found != std::string::npos) {
      const std::size_t begin = found + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return {};
}

HttpMessage MakeJson(int status, const std::string& body) {
  HttpMessage answer = MakeAnswer(status, status == 200 ? "OK" : "Refused");
  answer.headers.emplace_back("Content-Type", "application/json");
  answer.body = body;
  return answer;
}

template <typename Item>
std::string FormatItem(const Item& item) {
  if (item.deleted) {
    return "{\"key\":\"" + item.key + "\",\"revision\":" + std::to_string(item.revision) +
           ",\"tombstone\":true}";
  }
  return "{\"key\":\"" + item.key + "\",\"value\":\"" + item.base64 +
         "\",\"revision\":" + std::to_string(item.revision) +
         ",\"created\":" + std::to_string(item.created) +
         ",\"lease\":" + std::to_string(item.lease) + "}";
}

}  // namespace

StoreStandIn::StoreStandIn(Record& case_record) : record(case_record) {
  this->expiring = std::thread([this] { this->ExpireLeases(); });
}

StoreStandIn::~StoreStandIn() {
  {
    const std::lock_guard guard(this->mutex);
    this->ended = true;
    this->changed.notify_all();
  }
  for (auto& [address, side] : this->sides) {
    side.server->Stop();
  }
  this->expiring.join();
}

void StoreStandIn::Listen(const std::string& address) {
  const std::lock_guard guard(this->mutex);
  this->sides[address].server = std::make_unique<HttpServer>(
      address, [this, address](const HttpMessage& request, HttpStream& stream) {
        return this->Handle(address, request, stream);
      });
}

void StoreStandIn::Put(const std::string& key, std::string_view value) {
  const std::lock_guard guard(this->mutex);
  this->Write(key, EncodeBase64(value), 0);
}

void StoreStandIn::SetSilent(const std::string& address, bool silent) {
  const std::lock_guard guard(this->mutex);
  Side& side = this->sides[address];
  side.silences += silent && !side.silent ? 1 : 0;
  side.silent = silent;
}

Clock::time_point StoreStandIn::GetLastRenewal(const std::string& address) {
  const std::lock_guard guard(this->mutex);
  return this->sides[address].last_renewal;
}

bool StoreStandIn::Has(const std::string& key) {
  const std::lock_guard guard(this->mutex);
  return this->Find(key) != nullptr;
}

void StoreStandIn::PauseLeases(bool pause) {
  const std::lock_guard guard(this->mutex);
  this->leases_paused = pause;
}

bool StoreStandIn::Handle(const std::string& address, const HttpMessage& request,
                          HttpStream& stream) {
  std::this_thread::sleep_for(kAnswerTime);
  Lock lock(this->mutex);
  Side& side = this->sides[address];
  bool lost = side.silent;
  HttpMessage answer;
  if (!lost) {
    answer = this->Carry(lock, side, request);
    // A watch may have waited into a silence.
    lost = side.silent;
  }
  lock.unlock();
  if (lost) {
    this->record.Write("store: no answer at " + address + " to " + request.GetMethod() + " " +
                       request.GetTarget());
    stream.WaitForClose(kLostConnectionLimit);
    return false;
  }
  return stream.Write(answer.Format());
}

HttpMessage StoreStandIn::Carry(Lock& lock, Side& side, const HttpMessage& request) {
  const std::string target = request.GetTarget();
  if (target.starts_with("/-/kv-key")) {
    return this->Get(GetQuery(target, "key"));
  }
  if (target.starts_with("/-/kv-range")) {
    return this->List(GetQuery(target, "prefix"));
  }
  if (target.starts_with("/-/kv-watch")) {
    return this->Watch(lock, request);
  }
  if (target == "/-/kv-txn") {
    return this->Transact(request.body);
  }
  if (target == "/-/kv-lease") {
    return this->GrantLease(request.body);
  }
  const std::uint64_t lease = std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
  if (target.starts_with("/-/kv-keep/")) {
    return this->RenewLease(side, lease);
  }
  return target.starts_with("/-/kv-lease-end/") ? this->EndLease(lease) : MakeJson(404, "{}");
}

const StoreStandIn::Item* StoreStandIn::Find(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second;
}

HttpMessage StoreStandIn::Get(const std::string& key) {
  const Item* item = this->Find(key);
  if (item == nullptr) {
    return MakeJson(404, "{}");
  }
  std::string json = FormatItem(*item);
  json.insert(json.size() - 1, ",\"as_of\":" + std::to_string(this->revision));
  return MakeJson(200, json);
}

HttpMessage StoreStandIn::List(const std::string& prefix) {
  std::string listed;
  for (const auto& [key, item] : this->items) {
    if (key.starts_with(prefix)) {
      listed += (listed.empty() ? "" : ",") + FormatItem(item);
    }
  }
  return MakeJson(200, "{\"items\":[" + listed + "],\"has_more\":false,\"as_of\":" +
                           std::to_string(this->revision) + "}");
}

HttpMessage StoreStandIn::Watch(Lock& lock, const HttpMessage& request) {
  const std::string target = request.GetTarget();
  const std::string prefix = GetQuery(target, "prefix");
  const std::uint64_t after = std::strtoull(GetQuery(target, "after").c_str(), nullptr, 10);
  const Clock::time_point until =
      Clock::now() + Milliseconds(std::atoi(GetQuery(target, "wait_ms").c_str()));
  std::string events;
  while (events.empty() && Clock::now() < until && !this->ended) {
    for (const Item& item : this->history) {
      if (item.revision > after && item.key.starts_with(prefix)) {
        events += (events.empty() ? "" : ",") + FormatItem(item);
      }
    }
    if (events.empty()) {
      this->changed.wait_until(lock, until);
    }
  }
  return MakeJson(200,
                  "{\"events\":[" + events + "],\"as_of\":" + std::to_string(this->revision) + "}");
}

HttpMessage StoreStandIn::Transact(const std::string& body) {
  rapidjson::Document json;
  json.Parse(body.c_str());
  if (json.HasParseError()) {
    return MakeJson(400, "{}");
  }
  for (const auto& row : json["precondition"].GetArray()) {
    const Item* item = this->Find(row["key"].GetString());
    if ((item == nullptr ? 0 : item->revision) != row["revision"].GetUint64()) {
      return MakeJson(412, "{\"items\":[]}");
    }
  }
  for (const auto& write : json["writes"].GetArray()) {
    const std::uint64_t lease = write["lease"].GetUint64();
    if (lease != 0 && !this->leases.contains(lease)) {
      return MakeJson(404, "{}");
    }
  }
  for (const auto& write : json["writes"].GetArray()) {
    this->Write(write["key"].GetString(), write["value"].GetString(), write["lease"].GetUint64());
  }
  for (const auto& key : json["deletes"].GetArray()) {
    this->Delete(key.GetString());
  }
  return MakeJson(200, "{\"revision\":" + std::to_string(this->revision) + "}");
}

HttpMessage StoreStandIn::GrantLease(const std::string& body) {
  rapidjson::Document json;
  json.Parse(body.c_str());
  const std::string text = json["ttl_time"].GetString();
  const double number = std::atof(text.c_str());
  const Milliseconds duration(
      static_cast<std::int64_t>(text.ends_with("ms") ? number : number * 1000));
  this->leases[++this->last_lease] = {duration, Clock::now() + duration};
  return MakeJson(
      200, "{\"lease\":" + std::to_string(this->last_lease) + ",\"ttl_time\":\"" + text + "\"}");
}

HttpMessage StoreStandIn::RenewLease(Side& side, std::uint64_t lease) {
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return MakeJson(404, "{}");
  }
  found->second.ends = Clock::now() + found->second.duration;
  side.last_renewal = Clock::now();
  return MakeJson(200,
                  "{\"ttl_time\":\"" + std::to_string(found->second.duration.count()) + "ms\"}");
}

HttpMessage StoreStandIn::EndLease(std::uint64_t lease) {
  if (!this->leases.contains(lease)) {
    return MakeJson(404, "{}");
  }
  this->RemoveLease(lease);
  return MakeJson(200, "{}");
}

void StoreStandIn::Write(const std::string& key, const std::string& base64, std::uint64_t lease) {
  Item item;
  item.key = key;
  item.base64 = base64;
  item.lease = lease;
  item.revision = ++this->revision;
  const Item* earlier = this->Find(key);
  item.created = earlier == nullptr ? item.revision : earlier->created;
  this->history.push_back(item);
  this->items[key] = item;
  this->changed.notify_all();
}

void StoreStandIn::Delete(const std::string& key) {
  if (this->items.erase(key) > 0) {
    Item item;
    item.key = key;
    item.revision = ++this->revision;
    item.deleted = true;
    this->history.push_back(item);
    this->changed.notify_all();
  }
}

void StoreStandIn::RemoveLease(std::uint64_t lease) {
  this->leases.erase(lease);
  std::vector<std::string> removed;
  for (const auto& [key, item] : this->items) {
    if (item.lease == lease) {
      removed.push_back(key);
    }
  }
  for (const std::string& key : removed) {
    this->record.Write("store: the lease of " + key + " has ended");
    this->Delete(key);
  }
}

void StoreStandIn::ExpireLeases() {
  Lock lock(this->mutex);
  while (!this->ended) {
    const Clock::time_point now = Clock::now();
    std::vector<std::uint64_t> over;
    for (auto& [id, lease] : this->leases) {
      if (this->leases_paused) {
        lease.ends += kExpiryInterval;
      } else if (lease.ends <= now) {
        over.push_back(id);
      }
    }
    for (const std::uint64_t id : over) {
      this->RemoveLease(id);
    }
    this->changed.wait_for(lock, kExpiryInterval, [this] { return this->ended; });
  }
}

}  // namespace lacewingbridge::review
