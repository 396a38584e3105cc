// Generated from Source/Schema/quota.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

enum class QuotaStatus {
  kNone = 0,
  kGranted = 1,
  kUsedUp = 2,
  kNotGranting = 3,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(QuotaStatus value) {
  switch (value) {
    case QuotaStatus::kNone:
      return "none";
    case QuotaStatus::kGranted:
      return "granted";
    case QuotaStatus::kUsedUp:
      return "used_up";
    case QuotaStatus::kNotGranting:
      return "not_granting";
  }
  return "invalid";
}

struct QuotaAsk {
  std::string workspace;
  std::uint32_t share = 0;
  std::uint64_t holder = 0;
  std::uint64_t serial = 0;
  std::uint64_t received = 0;
  std::uint32_t held = 0;
  std::uint32_t returned = 0;
  std::uint32_t wanted = 0;
  std::uint32_t waiting = 0;
  std::uint64_t table_version = 0;
  std::uint32_t rate_per_s = 0;
  std::uint32_t burst = 0;

  bool operator==(const QuotaAsk&) const = default;
};

struct QuotaReply {
  std::uint64_t serial = 0;
  QuotaStatus status = QuotaStatus::kNone;
  std::uint32_t granted = 0;
  std::uint32_t wait_ms = 0;

  bool operator==(const QuotaReply&) const = default;
};

}  // namespace lacewingbridge
