// Generated from Source/Schema/store.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

struct StoreEntry {
  std::string value;
  std::uint64_t revision = 0;

  bool operator==(const StoreEntry&) const = default;
};

struct StoreGetRequest {
  std::string key;

  bool operator==(const StoreGetRequest&) const = default;
};

struct StoreGetReply {
  StoreEntry entry;

  bool operator==(const StoreGetReply&) const = default;
};

struct StoreSwapRequest {
  std::string key;
  std::string value;
  std::uint64_t expected_revision = 0;
  std::uint64_t lease_id = 0;

  bool operator==(const StoreSwapRequest&) const = default;
};

struct StoreSwapReply {
  bool succeeded = false;
  StoreEntry entry;

  bool operator==(const StoreSwapReply&) const = default;
};

struct StoreLeaseRequest {
  std::uint64_t lease_id = 0;
  std::uint32_t duration_ms = 0;

  bool operator==(const StoreLeaseRequest&) const = default;
};

struct StoreLeaseReply {
  bool granted = false;
  std::uint64_t lease_id = 0;

  bool operator==(const StoreLeaseReply&) const = default;
};

struct StoreWatchRequest {
  std::string key;
  std::uint64_t known_revision = 0;
  std::uint32_t wait_ms = 0;

  bool operator==(const StoreWatchRequest&) const = default;
};

struct StoreWatchReply {
  StoreEntry entry;

  bool operator==(const StoreWatchReply&) const = default;
};

struct WatchHolder {
  std::string host;
  std::uint64_t lease_id = 0;

  bool operator==(const WatchHolder&) const = default;
};

struct SeedList {
  std::vector<std::string> addresses;

  bool operator==(const SeedList&) const = default;
};

struct StoreCallCounts {
  std::uint64_t gets = 0;
  std::uint64_t swaps = 0;
  std::uint64_t leases = 0;
  std::uint64_t watches = 0;

  bool operator==(const StoreCallCounts&) const = default;
};

struct StoreFaults {
  bool down = false;
  std::uint32_t delay_ms = 0;
  std::uint32_t lose_swap_answers = 0;

  bool operator==(const StoreFaults&) const = default;
};

}  // namespace lacewingbridge
