#ifndef LACEWINGBRIDGE_SOURCE_HTTP_ASIO_TYPES_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_ASIO_TYPES_H_

// Boost 1.74 uses std::exchange in its coroutine headers without including <utility>.
// clang-format off
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>

namespace lacewingbridge {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using TcpSocket = asio::ip::tcp::socket;
using ErrorCode = boost::system::error_code;

template <typename Value>
using Awaitable = asio::awaitable<Value>;

// Completion token that reports an error by its argument instead of an exception.
inline auto AwaitInto(ErrorCode& code) { return asio::redirect_error(asio::use_awaitable, code); }

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_ASIO_TYPES_H_
