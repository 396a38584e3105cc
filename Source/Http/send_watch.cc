#include "Http/send_watch.h"

#include <optional>

#include "Http/send_state_reader.h"
#include "Http/socket_options.h"
#include "Transfer/send_state.h"

namespace lacewingbridge {

namespace {

// A fraction of the limit of the operating system, so that late timers do not matter.
constexpr Duration kCheckInterval = std::chrono::milliseconds(300);

}  // namespace

void SendWatch::Entry::NoteWrite() { this->watch.Add(*this); }

void SendWatch::Entry::Hold() {
  this->held = true;
  this->watch.Add(*this);
}

void SendWatch::Entry::Release() {
  this->held = false;
  this->watch.Remove(*this);
}

void SendWatch::Add(Entry& entry) {
  if (!entry.listed) {
    entry.listed = true;
    this->entries.push_back(entry.weak_from_this());
  }
  this->Schedule();
}

void SendWatch::Remove(Entry& entry) {
  if (!entry.listed) {
    return;
  }
  entry.listed = false;
  if (entry.extended && entry.socket.is_open()) {
    SetSilenceLimit(entry.socket, SilenceLimit::kShort);
  }
  entry.extended = false;
  std::erase_if(this->entries, [&entry](const std::weak_ptr<Entry>& other) {
    return other.expired() || other.lock().get() == &entry;
  });
  if (this->entries.empty()) {
    this->timer.cancel();
  }
}

void SendWatch::Schedule() {
  if (this->scheduled) {
    return;
  }
  this->scheduled = true;
  this->timer.expires_after(kCheckInterval);
  this->timer.async_wait([this](const ErrorCode& /*code*/) {
    this->scheduled = false;
    this->CheckAll();
  });
}

void SendWatch::CheckAll() {
  // Closing a socket runs no handlers, so the list does not change meanwhile.
  std::erase_if(this->entries, [](const std::weak_ptr<Entry>& weak) {
    const std::shared_ptr<Entry> entry = weak.lock();
    if (entry == nullptr) {
      return true;
    }
    entry->listed = entry->socket.is_open() && Check(*entry);
    return !entry->listed;
  });
  if (!this->entries.empty()) {
    this->Schedule();
  }
}

bool SendWatch::Check(Entry& entry) {
  const std::optional<SendState> state = ReadSendState(entry.socket.native_handle());
  if (!state.has_value()) {
    return false;
  }
  const SendVerdict verdict = JudgeSend(*state);
  if (verdict == SendVerdict::kSilent) {
    ErrorCode ignored;
    entry.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    entry.socket.close(ignored);
    return false;
  }
  // A target that has already responded need not read the rest of the upload.
  ErrorCode unreadable;
  const bool has_response = entry.held && entry.socket.available(unreadable) > 0;
  const bool extend = verdict == SendVerdict::kPaused && !has_response;
  if (extend != entry.extended) {
    SetSilenceLimit(entry.socket, extend ? SilenceLimit::kPaused : SilenceLimit::kShort);
    entry.extended = extend;
  }
  return entry.held || verdict != SendVerdict::kDelivered;
}

}  // namespace lacewingbridge
