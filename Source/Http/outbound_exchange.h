#ifndef LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_EXCHANGE_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "Http/outbound_connection.h"
#include "Http/socket_timer.h"

namespace lacewingbridge {

class IoShard;

// State of an exchange after a step.
enum class ExchangeStatus {
  kOk,
  kNotConnected,  // nothing was sent
  kLost,          // the connection ended, or bytes came that are no answer
  kTimedOut,
  kCancelled,
};

// Word for logs.
std::string_view GetName(ExchangeStatus status);

enum class BodyStatus { kMore, kComplete, kBroken };

struct OutboundOptions {
  // Longest time to establish a connection.
  Duration connect_limit{0};
  // Oldest idle connection that may carry the request; 0 always opens a new one.
  Duration max_idle{0};
  // Idle time after which the other side may close, unless it states another.
  Duration assumed_idle_limit{0};
};

// One request to another process and its answer. Runs on its shard's thread.
class OutboundExchange {
 public:
  using Request = http::request<http::string_body>;
  // Writes the rest of a long request body to the socket; an error breaks the request off.
  using BodyWriter = std::function<Awaitable<ErrorCode>(TcpSocket&)>;

  OutboundExchange(IoShard& io_shard, std::string_view to_address);
  OutboundExchange(const OutboundExchange&) = delete;
  OutboundExchange& operator=(const OutboundExchange&) = delete;

  // Sends the request and reads the head of the answer. With a body writer, the request
  // states the length or chunks of a body that only begins with the given one.
  Awaitable<ExchangeStatus> Start(const Request& request, const BodyWriter* rest, Duration limit,
                                  const OutboundOptions& options);
  // Opens a connection and closes it again, to see whether anything listens.
  Awaitable<ExchangeStatus> Probe(Duration connect_limit);

  // Reads the head of the next answer on the connection, after the body of the present one.
  Awaitable<ExchangeStatus> ReadNextHead();

  const http::response_header<>& GetHead() const { return this->parser->get().base(); }
  // Length of the answer's body, if it is stated.
  std::optional<std::uint64_t> GetLength() const;

  // Appends at most max_bytes of the body.
  Awaitable<BodyStatus> ReadBody(std::string& body, std::size_t max_bytes);
  // Each further read may take this long, within the time limit of the exchange.
  void LimitSilence(Duration limit) { this->silence_limit = limit; }
  // Replaces the time limit of the exchange; empty: only silence ends it.
  void SetEnd(std::optional<TimePoint> new_end) { this->end_at = new_end; }
  // The end of the connection ends the body, so a body that broke off cannot be told from a
  // complete one.
  bool EndsWithConnection() const { return this->parser->need_eof(); }
  // The request went out on a connection that had carried others before.
  bool WasConnectionKept() const { return this->kept; }

  // Breaks the exchange off; a pending step returns at once.
  void Cancel();
  // Returns the connection to the pool if it is in a known state, and closes it otherwise.
  void Finish();

  // Why there is no connection or no head of an answer, for logs.
  std::string GetFailureText() const { return this->failure.message(); }
  // After kNotConnected: nothing listens at the address.
  bool WasRefused() const { return this->failure == asio::error::connection_refused; }

 private:
  // Bounds the head of an answer; targets of today send a few hundred bytes.
  static constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
  static_assert(kMaxHeadBytes < OutboundConnection::kMaxHeldBytes);
  // Interim answers to one request; a faulty target may send them without end.
  static constexpr int kMaxInterimAnswers = 8;

  Awaitable<ExchangeStatus> Connect(const OutboundOptions& options);
  Awaitable<ExchangeStatus> ReadHead();
  // Reads until the buffer begins with a whole head, and returns the size of the head.
  Awaitable<std::optional<std::size_t>> ReadHeadBytes();
  // Checks the head at the begin of the buffer and gives it to the parser.
  bool ParseHead(std::size_t size);
  ExchangeStatus GetFailure(ExchangeStatus otherwise) const;
  // Starts the limit of the next read of the body.
  void StartReadLimit();
  void NoteIdleLimit(Duration assumed);
  // Marks the exchange as broken. The connection is closed when the exchange finishes.
  void NoteBroken(const ErrorCode& code);

  IoShard& shard;
  std::string address;
  std::unique_ptr<OutboundConnection> connection;
  std::optional<http::response_parser<http::buffer_body>> parser;
  SocketTimer timer;
  Duration silence_limit{0};
  std::optional<TimePoint> end_at;
  Duration idle_limit{0};
  ErrorCode failure;
  bool is_head_request = false;
  bool request_sent = false;
  // Whether the connection was reset cannot be told from reading it.
  bool end_is_unknown = false;
  bool cancelled = false;
  bool broken = false;
  bool kept = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_EXCHANGE_H_
