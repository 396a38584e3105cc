#include "Fakes/fake_network.h"

#include <utility>

namespace lacewingbridge {

void FakeNetwork::SetPaused(std::string_view address, bool paused, TimePoint now) {
  if (paused) {
    this->paused_packets.try_emplace(std::string(address));
    return;
  }
  auto node = this->paused_packets.extract(std::string(address));
  if (!node.empty()) {
    for (FakePacket& packet : node.mapped()) {
      this->queue.push({now, this->next_order++, std::move(packet)});
    }
  }
}

void FakeNetwork::SetDown(std::string_view address, bool down) {
  if (down) {
    this->down_addresses.emplace(address);
  } else {
    this->down_addresses.erase(std::string(address));
  }
}

bool FakeNetwork::Draw(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

void FakeNetwork::Send(FakePacket packet, TimePoint now) {
  // 28 bytes of IP and UDP headers.
  this->sent_bytes[packet.from] += packet.bytes.size() + 28;
  if (this->is_partitioned && this->is_partitioned(packet.from, packet.to)) {
    return;
  }
  if (packet.kind == FakePacketKind::kDatagram) {
    if (this->Draw(this->loss)) {
      return;
    }
    if (this->Draw(this->duplicate)) {
      this->Enqueue(packet, now);
    }
  }
  this->Enqueue(std::move(packet), now);
}

void FakeNetwork::Enqueue(FakePacket packet, TimePoint now) {
  std::uniform_int_distribution<Duration::rep> delay(this->min_delay.count(),
                                                     this->max_delay.count());
  this->queue.push({now + Duration(delay(this->random)), this->next_order++, std::move(packet)});
}

std::optional<FakePacket> FakeNetwork::Take(TimePoint now) {
  while (!this->queue.empty() && this->queue.top().due <= now) {
    FakePacket packet = this->queue.top().packet;
    this->queue.pop();
    if (const auto paused = this->paused_packets.find(packet.to);
        paused != this->paused_packets.end()) {
      paused->second.push_back(std::move(packet));
      continue;
    }
    if (!this->IsDown(packet.to)) {
      return packet;
    }
    if (packet.kind == FakePacketKind::kFetch || packet.kind == FakePacketKind::kExchange) {
      this->Enqueue({FakePacketKind::kRefused, packet.to, packet.from, ""}, now);
    }
  }
  return std::nullopt;
}

std::uint64_t FakeNetwork::GetSentBytes(std::string_view address) const {
  const auto found = this->sent_bytes.find(address);
  return found == this->sent_bytes.end() ? 0 : found->second;
}

}  // namespace lacewingbridge
