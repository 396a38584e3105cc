// Sends requests at a fixed rate to one or more daemons, as callers would: a request
// whose connection is lost is sent again, with the same key, to the next daemon.
#include <fmt/core.h>
#include <getopt.h>
#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Daemon/daemon_clock.h"

namespace lacewingbridge {
namespace {

using Clock = std::chrono::steady_clock;

// Resends of one request before the caller gives up.
constexpr int kMaxResends = 20;
constexpr std::chrono::milliseconds kResendDelay{100};

struct LoadOptions {
  std::vector<std::string> addresses;
  std::string path = "/";
  std::string method = "GET";
  std::string key_prefix;
  // Sends version 7 UUIDs as keys; they carry their creation time.
  bool timed_keys = false;
  double rate_per_second = 100;
  double seconds = 5;
  unsigned threads = 8;
  std::size_t body_bytes = 0;
};

// Results of all threads.
class LoadReport {
 public:
  void AddAnswer(const std::string& label, double microseconds, int resends) {
    const std::lock_guard guard(this->mutex);
    ++this->answers[label];
    this->resend_count += static_cast<std::uint64_t>(resends);
    this->latencies.push_back(microseconds);
  }

  void Print() {
    std::sort(this->latencies.begin(), this->latencies.end());
    fmt::print("requests {} resends {}", this->latencies.size(), this->resend_count);
    for (const auto& [label, count] : this->answers) {
      fmt::print(" {}={}", label, count);
    }
    fmt::print(" p50_us={:.0f} p99_us={:.0f} max_us={:.0f}\n", this->GetPercentile(0.50),
               this->GetPercentile(0.99), this->GetPercentile(1.0));
  }

 private:
  double GetPercentile(double share) const {
    if (this->latencies.empty()) {
      return 0;
    }
    const auto index =
        static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
    return this->latencies[index];
  }

  std::mutex mutex;
  std::map<std::string, std::uint64_t> answers;
  std::vector<double> latencies;
  std::uint64_t resend_count = 0;
};

class LoadThread {
 public:
  LoadThread(const LoadOptions& given, LoadReport& shared_report, unsigned first)
      : options(given), report(shared_report), current(first) {}

  // Sends requests number first, first + threads, ... at their planned times.
  void Run(unsigned first) {
    const auto started = Clock::now();
    const auto total =
        static_cast<std::uint64_t>(this->options.rate_per_second * this->options.seconds);
    for (std::uint64_t i = first; i < total; i += this->options.threads) {
      const std::chrono::duration<double> due(static_cast<double>(i) /
                                              this->options.rate_per_second);
      std::this_thread::sleep_until(started + std::chrono::duration_cast<Clock::duration>(due));
      this->SendOne(i);
    }
  }

 private:
  void SendOne(std::uint64_t number) {
    httplib::Request request;
    request.method = this->options.method;
    request.path = this->options.path;
    request.body = std::string(this->options.body_bytes, 'x');
    if (this->options.timed_keys) {
      request.headers.emplace("Idempotency-Key", this->DrawTimedKey());
    } else if (!this->options.key_prefix.empty()) {
      request.headers.emplace("Idempotency-Key", this->options.key_prefix + std::to_string(number));
    }
    const auto sent = Clock::now();
    int resends = 0;
    std::string label = "gave-up";
    for (; resends <= kMaxResends; ++resends) {
      httplib::Result answer = this->GetClient().send(request);
      if (answer) {
        const std::string outcome = answer->get_header_value("Lacewing-Outcome");
        label = outcome.empty() ? std::to_string(answer->status) : outcome;
        if (outcome != "not-run") {
          break;
        }
      } else {
        this->client.reset();
        ++this->current;
      }
      std::this_thread::sleep_for(kResendDelay);
    }
    const std::chrono::duration<double, std::micro> latency = Clock::now() - sent;
    this->report.AddAnswer(label, latency.count(), resends);
  }

  // A version 7 UUID: 48 bits of Unix milliseconds, version, variant and 74 random bits.
  std::string DrawTimedKey() {
    const std::uint64_t unix_ms = GetUnixMilliseconds();
    const std::uint64_t high = this->random();
    const std::uint64_t low = this->random();
    return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", unix_ms >> 16U, unix_ms & 0xffffU,
                       high & 0xfffU, 0x8000U | (low >> 48U & 0x3fffU), low & 0xffff'ffff'ffffU);
  }

  httplib::Client& GetClient() {
    if (this->client == nullptr) {
      const auto& addresses = this->options.addresses;
      this->client = std::make_unique<httplib::Client>("http://" +
                                                       addresses[this->current % addresses.size()]);
      this->client->set_keep_alive(true);
      this->client->set_tcp_nodelay(true);
      this->client->set_connection_timeout(1);
      this->client->set_read_timeout(10);
    }
    return *this->client;
  }

  const LoadOptions& options;
  LoadReport& report;
  std::size_t current;
  std::unique_ptr<httplib::Client> client;
  std::mt19937_64 random{std::random_device{}()};
};

void SplitAddresses(const std::string& text, std::vector<std::string>& addresses) {
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    addresses.push_back(text.substr(start, end - start));
    start = end + 1;
  }
}

bool ParseOptions(int argc, char** argv, LoadOptions& parsed) {
  const option table[] = {{"addresses", required_argument, nullptr, 'a'},
                          {"path", required_argument, nullptr, 'p'},
                          {"method", required_argument, nullptr, 'm'},
                          {"key-prefix", required_argument, nullptr, 'k'},
                          {"timed-keys", no_argument, nullptr, 'u'},
                          {"rate", required_argument, nullptr, 'r'},
                          {"seconds", required_argument, nullptr, 's'},
                          {"threads", required_argument, nullptr, 't'},
                          {"body-bytes", required_argument, nullptr, 'b'},
                          {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", table, nullptr)) != -1) {
    switch (choice) {
      case 'a':
        SplitAddresses(optarg, parsed.addresses);
        break;
      case 'p':
        parsed.path = optarg;
        break;
      case 'm':
        parsed.method = optarg;
        break;
      case 'k':
        parsed.key_prefix = optarg;
        break;
      case 'u':
        parsed.timed_keys = true;
        break;
      case 'r':
        parsed.rate_per_second = std::strtod(optarg, nullptr);
        break;
      case 's':
        parsed.seconds = std::strtod(optarg, nullptr);
        break;
      case 't':
        parsed.threads = static_cast<unsigned>(std::strtoul(optarg, nullptr, 10));
        break;
      case 'b':
        parsed.body_bytes = std::strtoul(optarg, nullptr, 10);
        break;
      default:
        return false;
    }
  }
  return !parsed.addresses.empty() && parsed.threads > 0 && parsed.rate_per_second > 0;
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  lacewingbridge::LoadOptions options;
  if (!lacewingbridge::ParseOptions(argc, argv, options)) {
    fmt::print(stderr,
               "usage: {} --addresses IP:PORT[,IP:PORT...] [--path P] [--method M] "
               "[--key-prefix K | --timed-keys] [--rate PER_SECOND] [--seconds N] [--threads N] "
               "[--body-bytes N]\n",
               argv[0]);
    return 2;
  }
  lacewingbridge::LoadReport report;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < options.threads; ++i) {
    threads.emplace_back([&, i] { lacewingbridge::LoadThread(options, report, i).Run(i); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  report.Print();
  return 0;
}
