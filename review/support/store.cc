#include <cstdlib>

#include "support/json.h"
#include "support/stand_ins.h"

namespace review {

namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kAlphabet[group >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// A value of the query; the daemons send keys without escapes.
std::string GetQuery(const std::string& target, const std::string& name) {
  const std::string begin = name + "=";
  std::size_t position = target.find('?');
  while (position != std::string::npos) {
    ++position;
    if (target.compare(position, begin.size(), begin) == 0) {
      const std::size_t end = target.find('&', position);
      return target.substr(position + begin.size(), end - position - begin.size());
    }
    position = target.find('&', position);
  }
  return {};
}

std::string DescribeItem(const std::string& key, const std::string& value, std::uint64_t revision,
                         std::uint64_t created, std::uint64_t lease) {
  return "{\"key\":\"" + key + "\",\"value\":\"" + value +
         "\",\"revision\":" + std::to_string(revision) + ",\"created\":" + std::to_string(created) +
         ",\"lease\":" + std::to_string(lease);
}

Message MakeJson(int status, const std::string& body) {
  Message answer;
  answer.start = "HTTP/1.1 " + std::to_string(status) + " Answer";
  answer.fields.emplace_back("Content-Type", "application/json");
  answer.body = body;
  return answer;
}

Milliseconds ParseTime(const std::string& text) {
  const double number = std::strtod(text.c_str(), nullptr);
  return Milliseconds(static_cast<int>(text.ends_with("ms") ? number : number * 1000));
}

}  // namespace

Store::Store(const Address& at)
    : server(at,
             [this](Stream& stream, Message& request) { return this->Handle(stream, request); }) {}

bool Store::Start() { return this->server.Start(); }

void Store::Stop() {
  const std::lock_guard guard(this->mutex);
  this->stopped = true;
  this->changed.notify_all();
}

bool Store::Handle(Stream& stream, const Message& request) {
  const Message answer = this->Answer(request);
  {
    const std::lock_guard guard(this->mutex);
    if (Clock::now() >= this->silent_until) {
      return stream.Write(answer.Serialize());
    }
  }
  ++(request.GetTarget().starts_with("/-/kv-watch") ? this->lost_watches : this->lost_calls);
  while (!stream.HasPeerLeft() && this->server.IsRunning()) {
    std::this_thread::sleep_for(Milliseconds(20));
  }
  return false;
}

Message Store::Answer(const Message& request) {
  const std::string target = request.GetTarget();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/-/kv-key") {
    return this->GetKey(GetQuery(target, "key"));
  }
  if (path == "/-/kv-range") {
    return this->GetRange(GetQuery(target, "prefix"));
  }
  if (path == "/-/kv-watch") {
    return this->Watch(GetQuery(target, "prefix"),
                       std::strtoull(GetQuery(target, "after").c_str(), nullptr, 10),
                       Milliseconds(std::atoi(GetQuery(target, "wait_ms").c_str())));
  }
  if (path == "/-/kv-txn") {
    return this->Transact(request.body);
  }
  if (path == "/-/kv-lease") {
    return this->Grant(request.body);
  }
  const std::uint64_t lease = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  const std::lock_guard guard(this->mutex);
  this->Expire();
  const auto found = this->leases.find(lease);
  if (found == this->leases.end()) {
    return MakeJson(404, "{}");
  }
  if (path.starts_with("/-/kv-keep/")) {
    found->second.ends = Clock::now() + found->second.time;
    return MakeJson(200, "{\"ttl_time\":\"" + std::to_string(found->second.time.count()) + "ms\"}");
  }
  found->second.ends = Clock::now();
  this->Expire();
  return MakeJson(200, "{}");
}

Message Store::GetKey(const std::string& key) {
  const std::lock_guard guard(this->mutex);
  this->Expire();
  const auto found = this->items.find(key);
  if (found == this->items.end()) {
    return MakeJson(404, "{}");
  }
  const Item& item = found->second;
  return MakeJson(200, DescribeItem(key, item.value, item.revision, item.created, item.lease) +
                           ",\"as_of\":" + std::to_string(this->revision) + "}");
}

Message Store::GetRange(const std::string& prefix) {
  const std::lock_guard guard(this->mutex);
  this->Expire();
  std::string list;
  for (const auto& [key, item] : this->items) {
    if (key.starts_with(prefix)) {
      list += list.empty() ? "" : ",";
      list += DescribeItem(key, item.value, item.revision, item.created, item.lease) + "}";
    }
  }
  return MakeJson(200, "{\"items\":[" + list + "],\"has_more\":false,\"as_of\":" +
                           std::to_string(this->revision) + "}");
}

Message Store::Watch(const std::string& prefix, std::uint64_t after, Milliseconds wait) {
  const TimePoint until = Clock::now() + wait;
  std::unique_lock lock(this->mutex);
  while (true) {
    this->Expire();
    std::string list;
    for (const Event& event : this->events) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      list += list.empty() ? "" : ",";
      list += event.tombstone ? "{\"key\":\"" + event.key +
                                    "\",\"revision\":" + std::to_string(event.item.revision) +
                                    ",\"tombstone\":true}"
                              : DescribeItem(event.key, event.item.value, event.item.revision,
                                             event.item.created, event.item.lease) +
                                    "}";
    }
    if (!list.empty() || this->stopped || Clock::now() >= until) {
      return MakeJson(
          200, "{\"events\":[" + list + "],\"as_of\":" + std::to_string(this->revision) + "}");
    }
    // Leases end without a call.
    this->changed.wait_until(lock, std::min(until, Clock::now() + Milliseconds(100)));
  }
}

Message Store::Transact(const std::string& body) {
  const Json call = ParseJson(body);
  const std::lock_guard guard(this->mutex);
  this->Expire();
  for (const Json& row : call["precondition"].list) {
    const auto found = this->items.find(row["key"].text);
    const std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
    if (known != std::strtoull(row["revision"].text.c_str(), nullptr, 10)) {
      return MakeJson(412, "{\"items\":[]}");
    }
  }
  for (const Json& write : call["writes"].list) {
    const std::uint64_t lease = std::strtoull(write["lease"].text.c_str(), nullptr, 10);
    if (lease != 0 && !this->leases.contains(lease)) {
      return MakeJson(404, "{}");
    }
  }
  for (const Json& write : call["writes"].list) {
    this->Set(write["key"].text, write["value"].text,
              std::strtoull(write["lease"].text.c_str(), nullptr, 10));
  }
  for (const Json& key : call["deletes"].list) {
    this->Remove(key.text);
  }
  return MakeJson(200, "{\"revision\":" + std::to_string(this->revision) + "}");
}

Message Store::Grant(const std::string& body) {
  const Milliseconds time = ParseTime(ParseJson(body)["ttl_time"].text);
  const std::lock_guard guard(this->mutex);
  this->leases[++this->last_lease] = Lease{time, Clock::now() + time};
  return MakeJson(200, "{\"lease\":" + std::to_string(this->last_lease) + ",\"ttl_time\":\"" +
                           std::to_string(time.count()) + "ms\"}");
}

void Store::Set(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = this->items[key];
  item.revision = ++this->revision;
  item.created = item.created == 0 ? item.revision : item.created;
  item.value = value;
  item.lease = lease;
  this->events.push_back({key, item, false});
  this->changed.notify_all();
}

void Store::Remove(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->events.push_back({key, Item{{}, ++this->revision, 0, 0}, true});
    this->changed.notify_all();
  }
}

void Store::Expire() {
  std::erase_if(this->leases, [this](const auto& entry) {
    if (entry.second.ends > Clock::now()) {
      return false;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == entry.first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Remove(key);
    }
    return true;
  });
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard guard(this->mutex);
  this->Set(key, EncodeBase64(value), 0);
}

void Store::PutBeforeSilence(const std::string& key, const std::string& value,
                             Milliseconds silence) {
  const std::lock_guard guard(this->mutex);
  this->lost_watches = 0;
  this->lost_calls = 0;
  this->silent_until = Clock::now() + silence;
  this->Set(key, EncodeBase64(value), 0);
}

std::string MakeConfig(std::uint64_t version, const std::vector<RouteText>& routes,
                       const std::vector<std::string>& services) {
  std::string list;
  for (const RouteText& route : routes) {
    list += "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"" + route.name +
            "\"},\"spec\":{\"host\":\"" + route.host + "\",\"prefix\":\"" + route.prefix +
            "\",\"kind\":\"" + route.kind + "\",\"timeout\":\"" + std::to_string(route.timeout_ms) +
            "ms\",\"target_latency\":\"300ms\",\"priority\":1,\"service\":\"" + route.service +
            "\",\"max_attempts\":" + std::to_string(route.max_attempts) + "}},";
  }
  for (const std::string& service : services) {
    list += "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"" + service +
            "\"},\"spec\":{\"health_check_path\":\"/healthz\",\"max_connections\":120,"
            "\"protocol\":\"h1\",\"tls\":false}},";
  }
  return "{\"version\":" + std::to_string(version) + ",\"resources\":[" + list +
         "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
         "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
         "\"15000ms\"}}]}";
}

}  // namespace review
