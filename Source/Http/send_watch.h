#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SEND_WATCH_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SEND_WATCH_H_

#include <memory>
#include <vector>

#include "Http/asio_types.h"

namespace lacewingbridge {

// Lets receivers pause. The operating system ends a connection whose receiver has no room for as
// long as one whose receiver is gone, so this raises its limit while the receiver is alive. Where
// the state of a connection cannot be read, the limit of SetConnectionOptions holds.
class SendWatch {
 public:
  // One connection. Owned together with its socket.
  class Entry : public std::enable_shared_from_this<Entry> {
   public:
    Entry(SendWatch& send_watch, TcpSocket& watched) : watch(send_watch), socket(watched) {}
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    // Bytes are about to be written. Watches the connection until they have been delivered.
    void NoteWrite();
    // Watches the connection until Release.
    void Hold();
    void Release();

   private:
    friend class SendWatch;
    SendWatch& watch;
    TcpSocket& socket;
    bool listed = false;
    bool held = false;
    bool extended = false;
  };

  explicit SendWatch(asio::io_context& context) : timer(context) {}

  std::shared_ptr<Entry> MakeEntry(TcpSocket& socket) {
    return std::make_shared<Entry>(*this, socket);
  }

 private:
  void Add(Entry& entry);
  void Remove(Entry& entry);
  void Schedule();
  void CheckAll();
  // Returns whether the connection has to be watched further.
  static bool Check(Entry& entry);

  asio::steady_timer timer;
  std::vector<std::weak_ptr<Entry>> entries;
  bool scheduled = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SEND_WATCH_H_
