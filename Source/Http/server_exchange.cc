#include "Http/server_exchange.h"

#include <algorithm>
#include <utility>

#include "Http/boot_clock.h"

namespace lacewingbridge {

namespace {

// Time for a caller to accept a byte of an answer after its deadline.
constexpr Duration kLateWriteLimit = std::chrono::seconds(1);
// Largest write, so that the time limit starts anew as the caller reads.
constexpr std::size_t kMaxWriteBytes = std::size_t{64} * 1024;

}  // namespace

ServerExchange::ServerExchange(asio::io_context& context, TcpSocket& to,
                               SendWatch::Entry& send_entry, InboundBytes& from,
                               AnswerOrder& answer_order, const ServerLimits& server_limits)
    : socket(to),
      sends(send_entry),
      bytes(from),
      order(answer_order),
      limits(server_limits),
      write_timer(context) {
  this->parser.header_limit(this->limits.max_header_bytes);
  this->parser.body_limit(this->limits.max_body_bytes);
  this->parser.eager(false);
}

ServerExchange::~ServerExchange() { this->bytes.SetEndListener(this, nullptr); }

void ServerExchange::Take() {
  this->ticket = this->order.TakeTicket();
  if (!this->parser.is_header_done() || !this->parser.keep_alive()) {
    this->order.EndWithLastTicket();
  }
}

bool ServerExchange::CheckCallerGone() {
  if (!this->IsCallerGone()) {
    this->bytes.ReadArrived();
  }
  return this->IsCallerGone();
}

bool ServerExchange::MayRunBeside() const {
  const http::verb method = this->GetHead().method();
  // An answer to HTTP/1.0 may have to end with the connection.
  return (method == http::verb::get || method == http::verb::head) && this->parser.is_done() &&
         this->GetHead().version() >= 11;
}

bool ServerExchange::EndAnswer(bool sound, ConnectionEnd otherwise) {
  this->complete = sound;
  if (this->IsReusable()) {
    this->order.Advance();
  } else {
    this->order.Close(sound ? ConnectionEnd::kLastResponse : otherwise);
  }
  return sound;
}

ReadProblem ServerExchange::GetProblem(const ErrorCode& code) const {
  if (code == http::error::header_limit) {
    return ReadProblem::kHeadTooLong;
  }
  return code == http::error::body_limit ? ReadProblem::kBodyTooLong : ReadProblem::kMalformed;
}

Awaitable<ReadProblem> ServerExchange::ReadHead() {
  const TimePoint until = GetNow() + this->limits.header_timeout;
  while (!this->parser.is_header_done()) {
    if (this->bytes.GetBytes().size() > 0) {
      ErrorCode code;
      const std::size_t consumed = this->parser.put(this->bytes.GetBytes(), code);
      this->bytes.Consume(consumed);
      if (this->parser.is_header_done()) {
        break;
      }
      if (code && code != http::error::need_more) {
        co_return this->GetProblem(code);
      }
    }
    if (this->bytes.HasEnded() || this->bytes.IsStopped()) {
      co_return ReadProblem::kEnded;
    }
    const bool arrived = co_await this->bytes.WaitForMore(until - GetNow());
    if (!arrived) {
      co_return ReadProblem::kTimedOut;
    }
  }
  co_return ReadProblem::kNone;
}

Awaitable<ReadProblem> ServerExchange::ReadRequest() {
  const ReadProblem problem = co_await this->ReadHead();
  if (problem != ReadProblem::kNone) {
    co_return problem;
  }
  if (!this->parser.is_done() && this->GetHeader("Expect") == "100-continue") {
    const ReadProblem unsent = co_await this->SendContinue();
    if (unsent != ReadProblem::kNone) {
      co_return unsent;
    }
  }
  co_return co_await this->ReadSome(this->body, kMaxHeldBody);
}

Awaitable<ReadProblem> ServerExchange::SendContinue() {
  // Within the answer to an earlier request it would be taken for a part of it.
  const bool has_turn = co_await this->order.WaitForTurn(this->order.GetNextTicket());
  if (!has_turn || this->order.IsEnding()) {
    co_return ReadProblem::kEnded;
  }
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  const asio::const_buffer data(kContinue.data(), kContinue.size());
  const bool written = co_await this->Write(data);
  co_return written ? ReadProblem::kNone : ReadProblem::kEnded;
}

Awaitable<ReadProblem> ServerExchange::ReadSome(std::string& into, std::size_t max_bytes) {
  constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;
  bool starved = false;
  while (!this->parser.is_done() && into.size() < max_bytes) {
    if (starved || this->bytes.GetBytes().size() == 0) {
      if (this->bytes.HasEnded() || this->bytes.IsStopped()) {
        co_return ReadProblem::kEnded;
      }
      const bool arrived = co_await this->bytes.WaitForMore(this->limits.idle_timeout);
      if (!arrived) {
        co_return ReadProblem::kTimedOut;
      }
      starved = false;
      continue;
    }
    const std::size_t old_size = into.size();
    const std::size_t room = std::min(kChunkBytes, max_bytes - old_size);
    into.resize(old_size + room);
    this->parser.get().body().data = into.data() + old_size;
    this->parser.get().body().size = room;
    ErrorCode code;
    const std::size_t consumed = this->parser.put(this->bytes.GetBytes(), code);
    into.resize(old_size + room - this->parser.get().body().size);
    this->bytes.Consume(consumed);
    if (code && code != http::error::need_more && code != http::error::need_buffer) {
      co_return this->GetProblem(code);
    }
    // The head of a chunk may be there in part only.
    starved = consumed == 0;
  }
  co_return ReadProblem::kNone;
}

Awaitable<bool> ServerExchange::ReadBodyPart(std::string& part) {
  part.clear();
  const ReadProblem problem = co_await this->ReadSome(part, kMaxHeldBody);
  co_return problem == ReadProblem::kNone;
}

std::string_view ServerExchange::GetTarget() const {
  const auto target = this->GetHead().target();
  return {target.data(), target.size()};
}

std::string_view ServerExchange::GetHeader(std::string_view name) const {
  const auto value = this->GetHead()[boost::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

std::optional<std::uint64_t> ServerExchange::GetLength() const {
  const boost::optional<std::uint64_t> length = this->parser.content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <typename Message>
void ServerExchange::Finalize(Message& answer) {
  // Bytes of an unread body would be taken for the next request.
  if (this->close_after || !this->parser.is_done()) {
    this->order.EndWithLastTicket();
  }
  this->keeps_open = !this->order.IsLast(this->ticket);
  answer.version(11);
  answer.keep_alive(this->keeps_open);
}

Awaitable<bool> ServerExchange::Send(Answer answer) {
  const bool has_turn = co_await this->order.WaitForTurn(this->ticket);
  if (!has_turn) {
    co_return false;
  }
  this->answered = true;
  this->Finalize(answer);
  if (this->GetHead().method() == http::verb::head) {
    http::response<http::empty_body> head(std::move(answer.base()));
    http::response_serializer<http::empty_body> serializer(head);
    serializer.split(true);
    const bool written = co_await this->WriteMessage(serializer);
    co_return this->EndAnswer(written, ConnectionEnd::kWriteFailed);
  }
  answer.prepare_payload();
  http::response_serializer<http::string_body> serializer(answer);
  const bool written = co_await this->WriteMessage(serializer);
  co_return this->EndAnswer(written, ConnectionEnd::kWriteFailed);
}

Awaitable<bool> ServerExchange::SendHead(http::response_header<> head,
                                         std::optional<std::uint64_t> length) {
  const bool has_turn = co_await this->order.WaitForTurn(this->ticket);
  if (!has_turn) {
    co_return false;
  }
  this->answered = true;
  http::response<http::empty_body> answer(std::move(head));
  if (!length.has_value() && this->GetHead().version() < 11) {
    this->close_after = true;
  }
  this->Finalize(answer);
  if (length.has_value()) {
    answer.content_length(*length);
  } else if (this->GetHead().version() >= 11) {
    answer.chunked(true);
    this->chunked = true;
  }
  http::response_serializer<http::empty_body> serializer(answer);
  serializer.split(true);
  co_return co_await this->WriteMessage(serializer);
}

void ServerExchange::StartWriteLimit() {
  Duration limit = this->limits.write_timeout;
  if (this->end_at.has_value()) {
    limit = std::min(limit, std::max(*this->end_at - GetNow(), kLateWriteLimit));
  }
  this->write_timer.Start(this->socket, limit);
}

template <typename Buffers>
Awaitable<bool> ServerExchange::Write(const Buffers& data) {
  this->sends.NoteWrite();
  const std::size_t size = asio::buffer_size(data);
  const auto limit_next = [this, size](const ErrorCode& code, std::size_t written) {
    if (code || written == size) {
      return std::size_t{0};
    }
    this->StartWriteLimit();
    return kMaxWriteBytes;
  };
  ErrorCode code;
  co_await asio::async_write(this->socket, data, limit_next, AwaitInto(code));
  this->write_timer.Stop();
  co_return !code;
}

template <typename Serializer>
Awaitable<bool> ServerExchange::WriteMessage(Serializer& serializer) {
  this->sends.NoteWrite();
  ErrorCode code;
  const bool head_only = serializer.split();
  while (!code && !(head_only ? serializer.is_header_done() : serializer.is_done())) {
    this->StartWriteLimit();
    co_await http::async_write_some(this->socket, serializer, AwaitInto(code));
  }
  this->write_timer.Stop();
  co_return !code;
}

Awaitable<bool> ServerExchange::SendPart(std::string_view part) {
  if (part.empty()) {
    co_return true;
  }
  const asio::const_buffer data(part.data(), part.size());
  if (!this->chunked) {
    co_return co_await this->Write(data);
  }
  const auto chunk = http::make_chunk(data);
  co_return co_await this->Write(chunk);
}

Awaitable<bool> ServerExchange::SendEnd() {
  bool written = true;
  if (this->chunked) {
    const auto last = http::make_chunk_last();
    written = co_await this->Write(last);
  }
  co_return this->EndAnswer(written, ConnectionEnd::kWriteFailed);
}

void ServerExchange::Abort() {
  this->answered = true;
  this->EndAnswer(false,
                  this->bytes.HasEnded() ? ConnectionEnd::kCallerLeft : ConnectionEnd::kAborted);
  // A reset cannot be taken for the end of an answer without a length.
  ErrorCode ignored;
  this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

bool ServerExchange::IsReusable() const {
  return this->answered && this->complete && this->keeps_open && this->parser.is_done();
}

}  // namespace lacewingbridge
