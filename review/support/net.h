#ifndef LACEWINGBRIDGE_REVIEW_SUPPORT_NET_H_
#define LACEWINGBRIDGE_REVIEW_SUPPORT_NET_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Address {
  std::string ip;
  int port = 0;
  std::string GetText() const { return this->ip + ":" + std::to_string(this->port); }
};

// A request or an answer of HTTP/1.1.
struct Message {
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  // Empty if there is no such field. The name is compared without case.
  std::string Get(std::string_view name) const;
  // Of a request line: its first and second word.
  std::string GetMethod() const;
  std::string GetTarget() const;
  // Of a status line; 0 if it has none.
  int GetStatus() const;
  // The head and the body, with a Content-Length unless a framing field is there.
  std::string Serialize() const;
};

// How reading a message ended.
enum class ReadEnd {
  kWhole,
  kClosed,   // the connection ended before its first byte
  kCut,      // the connection ended within it
  kTimeout,  // the time was over
};

// A connected socket and the bytes that were read ahead.
class Stream {
 public:
  explicit Stream(int descriptor) : fd(descriptor) {}
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream();

  bool Write(std::string_view bytes);
  ReadEnd ReadHead(Message& message, TimePoint until);
  // Reads the body that the head announces. An answer without a length ends with its connection.
  ReadEnd ReadBody(Message& message, bool is_answer, TimePoint until);
  ReadEnd Read(Message& message, bool is_answer, TimePoint until);
  // Whether the other side has closed or reset the connection.
  bool HasPeerLeft();
  void Close();
  // Resets the connection.
  void Reset();
  // Resets the connection from another thread; a pending read ends.
  void Shutdown();
  int GetDescriptor() const { return this->fd; }

 private:
  // Returns the number of bytes, 0 at the end, -1 on a reset, -2 when the time is over.
  int Fill(TimePoint until);
  ReadEnd ReadChunks(Message& message, TimePoint until);
  ReadEnd ReadLine(std::string& line, TimePoint until);

  int fd;
  std::string buffer;
};

// Returns a descriptor, or -1.
int Connect(const Address& to, Milliseconds limit);

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  // Returns false to end the connection.
  using Handler = std::function<bool(Stream&, Message&)>;

  Server(Address at, Handler request_handler)
      : address(std::move(at)), handler(std::move(request_handler)) {}
  ~Server();

  // False if the address cannot be used.
  bool Start();
  // Closes the listener and resets all connections, as the end of a process does.
  void Crash();
  bool IsRunning() const { return this->running; }

 private:
  void Accept();
  void Serve(int connection);

  const Address address;
  const Handler handler;
  int listener = -1;
  // Whether connections are served.
  std::atomic<bool> running{false};
  std::atomic<bool> ending{false};
  std::thread acceptor;
  std::mutex mutex;
  std::set<Stream*> streams;
  std::atomic<int> active{0};
};

}  // namespace review

#endif  // LACEWINGBRIDGE_REVIEW_SUPPORT_NET_H_
