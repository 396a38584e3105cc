#include "Daemon/peer_traffic.h"

#include <fmt/core.h>
#include <httplib.h>

#include <string>

#include "Observe/metrics_registry.h"

namespace lacewingbridge {

namespace {

// Bytes of "HTTP/1.1 200 OK" and of "POST <path> HTTP/1.1" without the path, each with the
// line ends before and after the headers.
constexpr std::size_t kStatusLineBytes = 19;
constexpr std::size_t kRequestLineBytes = 18;
// Bytes of ": " and of the line end.
constexpr std::size_t kHeaderSeparatorBytes = 4;

std::size_t CountHeaderBytes(const httplib::Headers& headers) {
  std::size_t bytes = 0;
  for (const auto& [name, value] : headers) {
    // httplib adds these entries; they are not received.
    if (!name.starts_with("REMOTE_") && !name.starts_with("LOCAL_")) {
      bytes += name.size() + value.size() + kHeaderSeparatorBytes;
    }
  }
  return bytes;
}

}  // namespace

void CountPeerResponse(MetricsRegistry& metrics, const char* path,
                       const http::response_header<>& head, std::size_t body_bytes) {
  std::size_t header_bytes = 0;
  for (const auto& field : head) {
    header_bytes += field.name_string().size() + field.value().size() + kHeaderSeparatorBytes;
  }
  const std::string labels = fmt::format("path=\"{}\",part=\"answer\"", path);
  metrics.AddCount("peer_messages_received", labels);
  metrics.AddCount("peer_bytes_received", labels, kStatusLineBytes + header_bytes + body_bytes);
}

void CountPeerRequest(MetricsRegistry& metrics, const httplib::Request& request) {
  const std::string labels = fmt::format("path=\"{}\",part=\"request\"", request.path);
  metrics.AddCount("peer_messages_received", labels);
  metrics.AddCount("peer_bytes_received", labels,
                   kRequestLineBytes + request.path.size() + CountHeaderBytes(request.headers) +
                       request.body.size());
}

}  // namespace lacewingbridge
