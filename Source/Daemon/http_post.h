#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_POST_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_POST_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "Http/outbound_exchange.h"

namespace lacewingbridge {

class IoShard;

// One POST request to the store or to another daemon and its response. The thread that sends it
// runs the event loop of the shard until the response is complete.
class HttpPost {
 public:
  // Limit for the body of a response; the same as for requests between daemons. A version of the
  // rules with its text fits several times.
  static constexpr std::size_t kMaxResponseBytes = std::size_t{8} << 20U;

  // `connection` may hold an idle connection to the address.
  HttpPost(IoShard& connection, const std::string& to_address);
  HttpPost(const HttpPost&) = delete;
  HttpPost& operator=(const HttpPost&) = delete;

  // Blocks until the response is complete or the limit has passed. Returns whether the response was
  // received as a whole.
  bool Send(std::string_view path, std::string_view body, std::string_view content_type,
            Duration connect_limit, Duration limit);
  // Ends the request; may be called from another thread.
  void Cancel();

  // After Send has returned true.
  unsigned GetStatus() const { return this->exchange.GetHead().result_int(); }
  const http::response_header<>& GetHead() const { return this->exchange.GetHead(); }
  std::string& GetBody() { return this->response_body; }

  // After Send has returned false: whether nothing was sent, and why.
  bool WasNotConnected() const { return this->status == ExchangeStatus::kNotConnected; }
  std::string GetFailureText() const;

 private:
  Awaitable<void> Run(OutboundExchange::Request request, OutboundOptions options, Duration limit);

  IoShard& shard;
  const std::string address;
  OutboundExchange exchange;
  ExchangeStatus status = ExchangeStatus::kNotConnected;
  BodyStatus read = BodyStatus::kBroken;
  std::string response_body;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_POST_H_
