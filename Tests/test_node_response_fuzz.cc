// Guards against bytes on a connection that become a complete response other than the one that the
// target sent, and against crashes of the reader. LACEWING_FUZZ_SEED selects the mutations.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Fakes/reference_response.h"
#include "Fakes/scripted_responder.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kDefaultSeed = 20261207;
// Each uses a port of the system for a minute.
constexpr std::size_t kMaxMutations = 4000;
constexpr auto kMutationTime = seconds(4);
constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;

const std::vector<std::string> kResponses = {
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 12\r\n\r\nhello, world",
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nServer: a\tb\r\n\r\nhello, world",
    "HTTP/1.0 404 Not Found\r\nContent-Type: text/plain\r\n\r\nmissing",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: r1\r\n\r\n",
};

const std::vector<std::string> kPieces = {"\r\n",
                                          "\n",
                                          "\r",
                                          " ",
                                          "\t",
                                          ":",
                                          ";",
                                          "0",
                                          "\x7f",
                                          std::string(1, '\0'),
                                          "\xff",
                                          "Content-Length: 3\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "\r\n folded: 1\r\n",
                                          "0\r\n\r\n",
                                          "HTTP/1.1 200 OK\r\n",
                                          "ffffffffffffffff\r\n",
                                          "X Y: 1\r\n"};

class ResponseReader {
 public:
  // Returns the response if the reader takes it for complete.
  std::optional<ReferenceResponse> Read(const ResponseScript& script) {
    this->responder.SetScript(script);
    this->response.reset();
    this->shard.GetContext().restart();
    asio::co_spawn(
        this->shard.GetContext(), [this]() -> Awaitable<void> { co_await this->Run(); },
        asio::detached);
    this->shard.GetContext().run();
    return this->response;
  }

 private:
  Awaitable<void> Run() {
    OutboundExchange exchange(this->shard, this->responder.GetAddress());
    OutboundExchange::Request request(http::verb::get, "/", 11);
    const OutboundOptions options{seconds(1), Duration{0}, Duration{0}};
    const ExchangeStatus status = co_await exchange.Start(request, nullptr, seconds(2), options);
    if (status == ExchangeStatus::kOk) {
      ReferenceResponse read;
      read.status = exchange.GetHead().result_int();
      for (const auto& field : exchange.GetHead()) {
        read.fields.emplace_back(field.name_string().to_string(), field.value().to_string());
      }
      const BodyStatus end = co_await exchange.ReadBody(read.body, kMaxBodyBytes);
      if (end == BodyStatus::kComplete) {
        read.SortFields();
        this->response = std::move(read);
      }
    }
    exchange.Finish();
  }

  ScriptedResponder responder;
  IoShard shard{1};
  std::optional<ReferenceResponse> response;
};

std::string Escape(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    const auto code = static_cast<unsigned char>(c);
    if (code >= 0x20 && code < 0x7f) {
      text += c;
    } else {
      constexpr std::string_view kDigits = "0123456789abcdef";
      text += {'\\', 'x', kDigits[code / 16], kDigits[code % 16]};
    }
  }
  return text;
}

std::string Mutate(std::string bytes, std::mt19937_64& random) {
  const auto draw = [&random](std::size_t count) {
    return random() % std::max<std::size_t>(count, 1);
  };
  for (std::size_t count = 1 + draw(3); count > 0; --count) {
    const std::size_t at = draw(bytes.size() + 1);
    switch (draw(5)) {
      case 0:
        bytes.insert(at, kPieces[draw(kPieces.size())]);
        break;
      case 1:
        bytes.insert(at, 1, static_cast<char>(draw(256)));
        break;
      case 2:
        bytes.erase(at, 1 + draw(4));
        break;
      case 3:
        bytes.insert(at, bytes.substr(draw(bytes.size()), 1 + draw(20)));
        break;
      default:
        if (at < bytes.size()) {
          bytes[at] = static_cast<char>(draw(256));
        }
    }
  }
  return bytes;
}

void ExpectFaithful(ResponseReader& reader, const ResponseScript& script, std::uint64_t seed) {
  const std::optional<ReferenceResponse> read = reader.Read(script);
  const std::optional<ReferenceResponse> expected =
      ReferenceReader::Read(script.bytes, script.reset);
  cr_assert(!read.has_value() || read == expected, "seed %llu, reset %d: %s read as %u: %s",
            static_cast<unsigned long long>(seed), static_cast<int>(script.reset),
            Escape(script.bytes).c_str(), read->status, Escape(read->body).c_str());
}

}  // namespace

Test(response_fuzz, whole_responses_are_read) {
  ResponseReader reader;
  for (const std::string& bytes : kResponses) {
    const std::optional<ReferenceResponse> read = reader.Read({bytes, 0, false});
    cr_assert(read.has_value() && read == ReferenceReader::Read(bytes, false), "%s",
              Escape(bytes).c_str());
  }
}

Test(response_fuzz, a_response_cut_anywhere_is_not_another_one) {
  ResponseReader reader;
  for (const std::string& bytes : kResponses) {
    for (std::size_t size = 0; size <= bytes.size(); ++size) {
      ExpectFaithful(reader, {bytes.substr(0, size), size / 2, false}, 0);
      ExpectFaithful(reader, {bytes.substr(0, size), size / 3, true}, 0);
    }
  }
}

Test(response_fuzz, mutated_bytes_are_refused_or_read_as_they_are) {
  const char* given = std::getenv("LACEWING_FUZZ_SEED");
  const std::uint64_t seed = given == nullptr ? kDefaultSeed : std::strtoull(given, nullptr, 10);
  std::mt19937_64 random(seed);
  ResponseReader reader;
  const auto end = std::chrono::steady_clock::now() + kMutationTime;
  std::size_t runs = 0;
  for (; runs < kMaxMutations && std::chrono::steady_clock::now() < end; ++runs) {
    ResponseScript script;
    script.bytes = Mutate(kResponses[random() % kResponses.size()], random);
    script.first_bytes = random() % (script.bytes.size() + 1);
    script.reset = random() % 2 == 0;
    ExpectFaithful(reader, script, seed);
  }
  cr_log_info("%zu mutated responses, seed %llu", runs, static_cast<unsigned long long>(seed));
}
