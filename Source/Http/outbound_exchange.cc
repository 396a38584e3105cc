#include "Http/outbound_exchange.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <limits>
#include <utility>

#include "Core/socket_address.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Http/socket_options.h"
#include "Observe/event_log.h"
#include "Transfer/response_head.h"

namespace lacewingbridge {

namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// A connection is no longer used this long before the other side may close it: a request
// that crosses the close would be lost.
constexpr Duration kIdleMargin = std::chrono::milliseconds(700);

std::string_view GetBytes(const boost::beast::flat_buffer& buffer) {
  const asio::const_buffer data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

std::optional<Duration> ReadKeepAliveTimeout(const http::response_header<>& head) {
  const std::string_view value(head["Keep-Alive"].data(), head["Keep-Alive"].size());
  constexpr std::string_view kKey = "timeout=";
  const std::size_t position = value.find(kKey);
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(position + kKey.size());
  int seconds = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

std::string_view GetName(ExchangeStatus status) {
  switch (status) {
    case ExchangeStatus::kOk:
      return "ok";
    case ExchangeStatus::kNotConnected:
      return "not_connected";
    case ExchangeStatus::kLost:
      return "lost";
    case ExchangeStatus::kTimedOut:
      return "timed_out";
    case ExchangeStatus::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

OutboundExchange::OutboundExchange(IoShard& io_shard, std::string_view to_address)
    : shard(io_shard), address(to_address), timer(io_shard.GetContext()) {}

ExchangeStatus OutboundExchange::GetFailure(ExchangeStatus otherwise) const {
  if (this->cancelled) {
    return ExchangeStatus::kCancelled;
  }
  return this->timer.HasExpired() ? ExchangeStatus::kTimedOut : otherwise;
}

Awaitable<ExchangeStatus> OutboundExchange::Connect(const OutboundOptions& options) {
  this->connection = this->shard.GetPool().Take(GetNow(), this->address, options.max_idle);
  if (this->connection != nullptr) {
    this->kept = true;
    co_return ExchangeStatus::kOk;
  }
  const Result<SocketAddress> parsed = SocketAddress::Parse(this->address);
  if (!IsOk(parsed)) {
    co_return ExchangeStatus::kNotConnected;
  }
  this->connection =
      std::make_unique<OutboundConnection>(this->shard.GetContext(), this->shard.GetSendWatch());
  ErrorCode code;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(GetValue(parsed).GetIp(), code),
                                         GetValue(parsed).GetPort());
  if (code) {
    co_return ExchangeStatus::kNotConnected;
  }
  SocketTimer connect_timer(this->shard.GetContext());
  connect_timer.Start(this->connection->socket, options.connect_limit);
  co_await this->connection->socket.async_connect(endpoint, AwaitInto(code));
  connect_timer.Stop();
  this->failure = code;
  if (code || !this->connection->socket.is_open()) {
    co_return this->cancelled ? ExchangeStatus::kCancelled : ExchangeStatus::kNotConnected;
  }
  SetConnectionOptions(this->connection->socket);
  co_return ExchangeStatus::kOk;
}

Awaitable<ExchangeStatus> OutboundExchange::Start(const Request& request, const BodyWriter* rest,
                                                  Duration limit, const OutboundOptions& options) {
  const ExchangeStatus connected = co_await this->Connect(options);
  if (connected != ExchangeStatus::kOk) {
    co_return connected;
  }
  this->idle_limit = options.assumed_idle_limit;
  this->is_head_request = request.method() == http::verb::head;
  this->timer.Start(this->connection->socket, limit);
  this->end_at = GetNow() + limit;
  if (rest != nullptr || !request.body().empty()) {
    this->connection->sends->Hold();
  }
  ErrorCode code;
  if (rest == nullptr) {
    co_await http::async_write(this->connection->socket, request, AwaitInto(code));
  } else {
    http::request_serializer<http::string_body> serializer(request);
    co_await http::async_write_header(this->connection->socket, serializer, AwaitInto(code));
    if (!code) {
      code = co_await (*rest)(this->connection->socket);
    }
  }
  this->request_sent = !code;
  // The failed write takes the error of the connection, and reading then shows an orderly end. A
  // broken pipe means that the orderly end came before the error.
  this->end_is_unknown = code && code != asio::error::broken_pipe;
  // An answer may already be there although the target stopped reading, so the head is
  // read even after a failed write.
  co_return co_await this->ReadHead();
}

Awaitable<ExchangeStatus> OutboundExchange::Probe(Duration connect_limit) {
  const OutboundOptions options{connect_limit, Duration{0}, Duration{0}};
  const ExchangeStatus status = co_await this->Connect(options);
  this->connection.reset();
  co_return status;
}

Awaitable<ExchangeStatus> OutboundExchange::ReadHead() {
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    this->parser.emplace();
    this->parser->header_limit(kMaxHeadBytes);
    // Without any limit, Boost 1.74 rejects every body of a stated length.
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->skip(this->is_head_request);
    this->parser->eager(false);
    const std::optional<std::size_t> size = co_await this->ReadHeadBytes();
    if (!size.has_value() || !this->ParseHead(*size)) {
      co_return this->GetFailure(ExchangeStatus::kLost);
    }
    // Interim answers come before the final one. The number, because the list of statuses of the
    // library is not complete.
    if (http::to_status_class(this->parser->get().result_int()) !=
        http::status_class::informational) {
      co_return ExchangeStatus::kOk;
    }
  }
  this->broken = true;
  co_return ExchangeStatus::kLost;
}

Awaitable<std::optional<std::size_t>> OutboundExchange::ReadHeadBytes() {
  boost::beast::flat_buffer& buffer = this->connection->buffer;
  std::size_t searched = 0;
  while (true) {
    const std::string_view bytes = GetBytes(buffer);
    const std::size_t end = bytes.find(kHeadEnd, searched);
    if (end != std::string_view::npos) {
      co_return end + kHeadEnd.size();
    }
    searched = bytes.size() - std::min(bytes.size(), kHeadEnd.size() - 1);
    ErrorCode code;
    if (!CanBeginResponse(bytes)) {
      code = http::error::bad_version;
    } else if (bytes.size() >= kMaxHeadBytes) {
      code = http::error::header_limit;
    } else {
      const auto space = buffer.prepare(boost::beast::read_size(buffer, kMaxHeadBytes));
      const std::size_t count =
          co_await this->connection->socket.async_read_some(space, AwaitInto(code));
      buffer.commit(count);
    }
    if (code) {
      this->NoteBroken(code);
      co_return std::nullopt;
    }
  }
}

bool OutboundExchange::ParseHead(std::size_t size) {
  const std::string_view head = GetBytes(this->connection->buffer).substr(0, size);
  const HeadFault fault = CheckResponseHead(head);
  ErrorCode code;
  if (fault == HeadFault::kNone) {
    this->parser->put(asio::const_buffer(head.data(), head.size()), code);
  } else {
    EventLog::Write(Event::kResponseMalformed, "address={} fault={}", this->address,
                    GetName(fault));
    code = http::error::bad_field;
  }
  if (!code && !this->parser->is_header_done()) {
    code = http::error::partial_message;
  }
  if (code) {
    this->NoteBroken(code);
    return false;
  }
  this->connection->buffer.consume(size);
  return true;
}

Awaitable<ExchangeStatus> OutboundExchange::ReadNextHead() {
  if (!this->parser->is_done() || !this->parser->keep_alive()) {
    co_return ExchangeStatus::kLost;
  }
  co_return co_await this->ReadHead();
}

std::optional<std::uint64_t> OutboundExchange::GetLength() const {
  const boost::optional<std::uint64_t> length = this->parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void OutboundExchange::StartReadLimit() {
  if (this->silence_limit == Duration{0}) {
    return;
  }
  Duration limit = this->silence_limit;
  if (this->end_at.has_value()) {
    limit = std::clamp(*this->end_at - GetNow(), Duration{0}, limit);
  }
  this->timer.Start(this->connection->socket, limit);
}

Awaitable<BodyStatus> OutboundExchange::ReadBody(std::string& body, std::size_t max_bytes) {
  constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;
  std::size_t read = 0;
  while (!this->parser->is_done() && read < max_bytes) {
    const std::size_t old_size = body.size();
    const std::size_t room = std::min(kChunkBytes, max_bytes - read);
    body.resize(old_size + room);
    this->parser->get().body().data = body.data() + old_size;
    this->parser->get().body().size = room;
    this->StartReadLimit();
    ErrorCode code;
    co_await http::async_read_some(this->connection->socket, this->connection->buffer,
                                   *this->parser, AwaitInto(code));
    if (this->silence_limit != Duration{0}) {
      // The limit is for this read. Between two reads the data waits for its reader.
      this->timer.Stop();
    }
    const std::size_t received = room - this->parser->get().body().size;
    body.resize(old_size + received);
    read += received;
    const bool cut = this->parser->is_done() && this->parser->need_eof() && this->end_is_unknown;
    if (cut) {
      code = http::error::partial_message;
    }
    if (code && code != http::error::need_buffer) {
      this->NoteBroken(code);
      co_return BodyStatus::kBroken;
    }
  }
  co_return this->parser->is_done() ? BodyStatus::kComplete : BodyStatus::kMore;
}

void OutboundExchange::Cancel() {
  this->cancelled = true;
  if (this->connection != nullptr) {
    ErrorCode ignored;
    // Bytes of the request that have not left this host must not be delivered any more.
    this->connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->connection->socket.close(ignored);
  }
}

void OutboundExchange::NoteBroken(const ErrorCode& code) {
  this->broken = true;
  this->failure = code;
  if (code == http::error::buffer_overflow || code == http::error::header_limit) {
    EventLog::Write(Event::kResponseOverLimit, "address={} reason=\"{}\"", this->address,
                    code.message());
  }
}

void OutboundExchange::NoteIdleLimit(Duration assumed) {
  const Duration limit = ReadKeepAliveTimeout(this->GetHead()).value_or(assumed);
  this->connection->usable_until = GetNow() + std::max(limit - kIdleMargin, Duration{0});
}

void OutboundExchange::Finish() {
  this->timer.Stop();
  if (this->connection == nullptr) {
    return;
  }
  this->connection->sends->Release();
  const bool reusable = !this->broken && !this->cancelled && !this->timer.HasExpired() &&
                        this->request_sent && this->parser.has_value() && this->parser->is_done() &&
                        this->parser->keep_alive() && this->connection->buffer.size() == 0 &&
                        this->connection->socket.is_open();
  if (reusable) {
    this->NoteIdleLimit(this->idle_limit);
    this->shard.GetPool().Return(GetNow(), this->address, std::move(this->connection));
  }
  this->connection.reset();
}

}  // namespace lacewingbridge
