#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SERVER_EXCHANGE_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SERVER_EXCHANGE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Http/answer_order.h"
#include "Http/asio_types.h"
#include "Http/connection_end.h"
#include "Http/inbound_bytes.h"
#include "Http/send_watch.h"
#include "Http/server_limits.h"
#include "Http/socket_timer.h"

namespace lacewingbridge {

// Why a request could not be read.
enum class ReadProblem { kNone, kEnded, kMalformed, kHeadTooLong, kBodyTooLong, kTimedOut };

// One request on a connection of a listener and its answer. Exactly one answer is sent,
// whole by Send or in parts by SendHead, SendPart and SendEnd.
class ServerExchange {
 public:
  using Answer = http::response<http::string_body>;

  // A body up to this size is held in memory, so that the request can be sent again.
  static constexpr std::size_t kMaxHeldBody = std::size_t{64} * 1024;

  ServerExchange(asio::io_context& context, TcpSocket& to, SendWatch::Entry& send_entry,
                 InboundBytes& from, AnswerOrder& answer_order, const ServerLimits& server_limits);
  ~ServerExchange();
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  // Reads the head and the begin of the body.
  Awaitable<ReadProblem> ReadRequest();

  // Gives the request, or the report that it cannot be read, its place among the answers.
  // From now on it has to be answered.
  void Take();

  const http::request_header<>& GetHead() const { return this->parser.get().base(); }
  std::string_view GetTarget() const;
  std::string_view GetHeader(std::string_view name) const;
  // The body up to kMaxHeldBody bytes.
  const std::string& GetBody() const { return this->body; }
  bool IsBodyComplete() const { return this->parser.is_done(); }
  std::optional<std::uint64_t> GetLength() const;
  // Replaces the contents by the next part of a long body; false if it cannot be read.
  Awaitable<bool> ReadBodyPart(std::string& part);

  // Whether the next request of the connection may be handled beside this one: its method
  // promises that it changes nothing, and nothing of it is left to read.
  bool MayRunBeside() const;

  // The connection ends with this answer, or with that to the last request that has been
  // taken when this answer is sent.
  void CloseAfter() { this->close_after = true; }
  Awaitable<bool> Send(Answer answer);
  // Begins an answer of a stated length, or of an unknown one.
  Awaitable<bool> SendHead(http::response_header<> head, std::optional<std::uint64_t> length);
  Awaitable<bool> SendPart(std::string_view part);
  Awaitable<bool> SendEnd();
  // The answer ends early and must not look complete.
  void Abort();
  // The caller stops waiting then. An answer that is late is delivered to a caller that reads it,
  // but no longer waits for one that does not.
  void SetEnd(TimePoint new_end) { this->end_at = new_end; }

  // Whether a further request may follow on the connection.
  bool IsReusable() const;

  // Whether an answer has been begun and not been completed.
  bool IsAnswerUnfinished() const { return this->answered && !this->complete; }

  // Whether the whole answer has been written.
  bool IsAnswerComplete() const { return this->answered && this->complete; }

  // Why an answer can no longer be sent; kNone while it can.
  ConnectionEnd GetConnectionEnd() const {
    const bool left = !this->order.IsClosed() && this->bytes.HasEnded();
    return left ? ConnectionEnd::kCallerLeft : this->order.GetEnd();
  }

  bool IsCallerGone() const { return this->bytes.HasEnded() || this->order.IsClosed(); }
  // The same, including an end of the connection that has arrived but has not been handled yet. On
  // a host without enough processor time that may take long.
  bool CheckCallerGone();
  void SetGoneListener(std::function<void()> listener) {
    this->bytes.SetEndListener(this, std::move(listener));
  }

 private:
  Awaitable<ReadProblem> ReadHead();
  // Tells a caller that waits for it to send the body.
  Awaitable<ReadProblem> SendContinue();
  Awaitable<ReadProblem> ReadBegin();
  Awaitable<ReadProblem> ReadSome(std::string& into, std::size_t max_bytes);
  ReadProblem GetProblem(const ErrorCode& code) const;
  template <typename Message>
  void Finalize(Message& answer);
  // Both write until everything is written or the caller accepts no byte for too long.
  template <typename Buffers>
  Awaitable<bool> Write(const Buffers& data);
  template <typename Serializer>
  Awaitable<bool> WriteMessage(Serializer& serializer);
  // Starts the limit of the next byte that is written.
  void StartWriteLimit();
  // The answer has been sent whole, or cannot be because the connection ends.
  bool EndAnswer(bool sound, ConnectionEnd otherwise);

  TcpSocket& socket;
  SendWatch::Entry& sends;
  InboundBytes& bytes;
  AnswerOrder& order;
  std::uint64_t ticket = 0;
  ServerLimits limits;
  SocketTimer write_timer;
  std::optional<TimePoint> end_at;
  http::request_parser<http::buffer_body> parser;
  std::string body;
  bool answered = false;
  bool complete = false;
  bool chunked = false;
  bool close_after = false;
  bool keeps_open = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SERVER_EXCHANGE_H_
