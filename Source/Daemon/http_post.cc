#include "Daemon/http_post.h"

#include <fmt/core.h>

#include <utility>

#include "Http/io_shard.h"

namespace lacewingbridge {

namespace {

// Idle time after which a server may close a connection if it does not state its limit.
constexpr Duration kAssumedIdleLimit = std::chrono::seconds(4);

boost::string_view ToBoost(std::string_view text) { return {text.data(), text.size()}; }

}  // namespace

HttpPost::HttpPost(IoShard& connection, const std::string& to_address)
    : shard(connection), address(to_address), exchange(connection, to_address) {}

bool HttpPost::Send(std::string_view path, std::string_view body, std::string_view content_type,
                    Duration connect_limit, Duration limit) {
  OutboundExchange::Request request(http::verb::post, ToBoost(path), 11);
  request.set(http::field::host, this->address);
  request.set(http::field::content_type, ToBoost(content_type));
  request.body() = body;
  request.prepare_payload();
  const OutboundOptions options{connect_limit, kAssumedIdleLimit * 10, kAssumedIdleLimit};
  this->shard.GetContext().restart();
  asio::co_spawn(this->shard.GetContext(), this->Run(std::move(request), options, limit),
                 asio::detached);
  this->shard.GetContext().run();
  return this->status == ExchangeStatus::kOk && this->read == BodyStatus::kComplete;
}

Awaitable<void> HttpPost::Run(OutboundExchange::Request request, OutboundOptions options,
                              Duration limit) {
  this->status = co_await this->exchange.Start(request, nullptr, limit, options);
  if (this->status == ExchangeStatus::kOk) {
    this->read = co_await this->exchange.ReadBody(this->response_body, kMaxResponseBytes);
  }
  this->exchange.Finish();
}

void HttpPost::Cancel() {
  asio::post(this->shard.GetContext(), [this] { this->exchange.Cancel(); });
}

std::string HttpPost::GetFailureText() const {
  if (this->read == BodyStatus::kMore) {
    return fmt::format("the response is longer than {} bytes", kMaxResponseBytes);
  }
  return fmt::format("{}, {}", GetName(this->status), this->exchange.GetFailureText());
}

}  // namespace lacewingbridge
