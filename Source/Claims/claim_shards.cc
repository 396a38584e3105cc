#include "Claims/claim_shards.h"

#include <algorithm>
#include <iterator>

#include "Core/hash.h"

namespace lacewingbridge {

Result<ClaimShards> ClaimShards::Create(std::string_view host, std::uint64_t incarnation,
                                        const ClaimLimits& limits, std::size_t shard_count,
                                        std::uint64_t started_unix_ms) {
  if (shard_count == 0) {
    return Error{ErrorKind::kInvalidArgument,
                 "the number of claim shards is 0; it has to be at least 1"};
  }
  ClaimLimits shard_limits = limits;
  shard_limits.key_capacity = (limits.key_capacity + shard_count - 1) / shard_count;
  shard_limits.byte_capacity = limits.byte_capacity / shard_count;
  const Result<ClaimTable> table =
      ClaimTable::Create(host, incarnation, shard_limits, started_unix_ms);
  if (!IsOk(table)) {
    return GetError(table);
  }
  return ClaimShards(Sharded<ClaimTable>(shard_count, [&] {
    return GetValue(ClaimTable::Create(host, incarnation, shard_limits, started_unix_ms));
  }));
}

void ClaimShards::AdoptMap(TimePoint now, const ClaimOwnerView& next) {
  this->shards.ForEachShard([&](ClaimTable& table) { table.AdoptMap(now, next); });
}

ClaimReply ClaimShards::Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
  return this->shards.WithShard(HashBytes(request.key), [&](ClaimTable& table) {
    return table.Claim(now, unix_ms, request);
  });
}

ClaimDoneReply ClaimShards::Finish(TimePoint now, const ClaimDoneRequest& request) {
  return this->shards.WithShard(HashBytes(request.key),
                                [&](ClaimTable& table) { return table.Finish(now, request); });
}

std::size_t ClaimShards::MarkCallerGone(TimePoint now, std::string_view caller_host,
                                        std::uint64_t incarnation) {
  std::size_t count = 0;
  this->shards.ForEachShard(
      [&](ClaimTable& table) { count += table.MarkCallerGone(now, caller_host, incarnation); });
  return count;
}

void ClaimShards::SetIsolated(bool isolated) {
  this->shards.ForEachShard([&](ClaimTable& table) { table.SetIsolated(isolated); });
}

void ClaimShards::SetConnected(bool connected) {
  this->shards.ForEachShard([&](ClaimTable& table) { table.SetConnected(connected); });
}

ClaimTransferReply ClaimShards::AcceptTransfer(TimePoint now, const ClaimTransferRequest& request) {
  const std::size_t count = this->shards.GetShardCount();
  std::vector<ClaimTransferRequest> parts(count);
  for (ClaimTransferRequest& part : parts) {
    part.owner_map_epoch = request.owner_map_epoch;
    part.from_host = request.from_host;
    part.complete = request.complete;
    part.change_epoch = request.change_epoch;
    part.part = request.part;
  }
  for (const ClaimRecord& record : request.claims) {
    parts[HashBytes(record.key) % count].claims.push_back(record);
  }
  ClaimTransferReply reply;
  reply.accepted = true;
  std::size_t index = 0;
  this->shards.ForEachShard([&](ClaimTable& table) {
    const ClaimTransferReply shard_reply = table.AcceptTransfer(now, parts[index]);
    reply.accepted = reply.accepted && shard_reply.accepted;
    reply.owner_map_epoch = index == 0
                                ? shard_reply.owner_map_epoch
                                : std::min(reply.owner_map_epoch, shard_reply.owner_map_epoch);
    reply.next_part =
        index == 0 ? shard_reply.next_part : std::min(reply.next_part, shard_reply.next_part);
    ++index;
  });
  return reply;
}

void ClaimShards::ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch) {
  this->shards.ForEachShard([&](ClaimTable& table) { table.ConfirmEpoch(now, from_host, epoch); });
}

std::vector<ClaimWait> ClaimShards::ListWaits(TimePoint now) {
  std::vector<ClaimWait> waits;
  this->shards.ForEachShard([&](ClaimTable& table) {
    for (const ClaimWait& wait : table.ListWaits(now)) {
      if (std::find(waits.begin(), waits.end(), wait) == waits.end()) {
        waits.push_back(wait);
      }
    }
  });
  return waits;
}

std::vector<ClaimRecord> ClaimShards::CollectClaims(TimePoint now, const ClaimOwnerView& view,
                                                    std::string_view to_host) {
  std::vector<ClaimRecord> records;
  this->shards.ForEachShard([&](ClaimTable& table) {
    std::vector<ClaimRecord> part = table.CollectClaims(now, view, to_host);
    records.insert(records.end(), std::make_move_iterator(part.begin()),
                   std::make_move_iterator(part.end()));
  });
  return records;
}

bool ClaimShards::IsReadyToHandOver(TimePoint now, std::uint64_t change_epoch) {
  bool is_ready = true;
  this->shards.ForEachShard([&](ClaimTable& table) {
    is_ready = table.IsReadyToHandOver(now, change_epoch) && is_ready;
  });
  return is_ready;
}

void ClaimShards::ForgetClaims(const ClaimOwnerView& view, std::string_view to_host) {
  this->shards.ForEachShard([&](ClaimTable& table) { table.ForgetClaims(view, to_host); });
}

std::size_t ClaimShards::GetKeyCount() {
  std::size_t count = 0;
  this->shards.ForEachShard([&](const ClaimTable& table) { count += table.GetKeyCount(); });
  return count;
}

std::size_t ClaimShards::GetByteCount() {
  std::size_t count = 0;
  this->shards.ForEachShard([&](const ClaimTable& table) { count += table.GetByteCount(); });
  return count;
}

}  // namespace lacewingbridge
