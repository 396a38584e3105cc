#include "Observe/metrics_registry.h"

#include <fmt/core.h>

#include <functional>
#include <thread>

namespace lacewingbridge {

namespace {

constexpr double kLowestSeconds = 0.00005;
constexpr double kHighestSeconds = 50;
constexpr unsigned kBucketCount = 40;

std::string MakeKey(std::string_view name, std::string_view labels) {
  return fmt::format("lacewingbridge_{}{{{}}}", name, labels);
}

// Threads write to different shards; reading adds the shards up.
std::uint64_t GetThreadHash() { return std::hash<std::thread::id>()(std::this_thread::get_id()); }

// Splits "name{labels}" so that another label can be added.
std::pair<std::string, std::string> SplitKey(const std::string& key) {
  const std::size_t brace = key.find('{');
  return {key.substr(0, brace), key.substr(brace + 1, key.size() - brace - 2)};
}

// The line that begins the series of a metric; empty for its further series.
std::string FormatType(const std::string& key, std::string_view type, std::string& family) {
  std::string name = SplitKey(key).first;
  if (name == family) {
    return {};
  }
  family = std::move(name);
  return fmt::format("# TYPE {} {}\n", family, type);
}

// The value of a label in the text format.
std::string Quote(std::string_view value) {
  std::string quoted = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  return quoted + '"';
}

}  // namespace

MetricsRegistry::MetricsRegistry(std::size_t shard_count)
    : series(shard_count, [] { return Series(); }) {}

void MetricsRegistry::AddCount(std::string_view name, std::string_view labels,
                               std::uint64_t amount) {
  this->series.WithShard(GetThreadHash(),
                         [&](Series& shard) { shard.counts[MakeKey(name, labels)] += amount; });
}

std::string MetricsRegistry::LimitName(std::string_view label, std::string_view value) {
  const std::lock_guard guard(this->names_mutex);
  auto entry = this->names.find(label);
  if (entry == this->names.end()) {
    entry = this->names.emplace(std::string(label), std::set<std::string, std::less<>>()).first;
  }
  std::set<std::string, std::less<>>& known = entry->second;
  if (known.find(value) == known.end()) {
    if (known.size() >= kMaxNames) {
      return Quote("other");
    }
    known.emplace(value);
  }
  return Quote(value);
}

void MetricsRegistry::AddNamedCount(std::string_view name, std::string_view label,
                                    std::string_view value, std::string_view other_labels,
                                    std::uint64_t amount) {
  this->AddCount(name, fmt::format("{}={},{}", label, this->LimitName(label, value), other_labels),
                 amount);
}

void MetricsRegistry::AddLatency(std::string_view name, std::string_view labels, Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  this->series.WithShard(GetThreadHash(), [&](Series& shard) {
    auto [entry, added] = shard.latencies.try_emplace(MakeKey(name, labels), MakeLatencies());
    entry->second.histogram(seconds);
    entry->second.sum_seconds += seconds;
  });
}

std::string MetricsRegistry::Format(std::string_view gauge_lines) {
  Series total;
  this->series.ForEachShard([&total](Series& shard) {
    for (const auto& [key, count] : shard.counts) {
      total.counts[key] += count;
    }
    for (const auto& [key, latencies] : shard.latencies) {
      auto [entry, added] = total.latencies.try_emplace(key, MakeLatencies());
      entry->second.histogram += latencies.histogram;
      entry->second.sum_seconds += latencies.sum_seconds;
    }
  });
  std::string text(gauge_lines);
  std::string family;
  for (const auto& [key, count] : total.counts) {
    text += FormatType(key, "counter", family);
    text += fmt::format("{} {}\n", key, count);
  }
  for (const auto& [key, latencies] : total.latencies) {
    text += FormatType(key, "histogram", family);
    text += FormatLatencies(key, latencies);
  }
  return text;
}

MetricsRegistry::Latencies MetricsRegistry::MakeLatencies() {
  return {
      boost::histogram::make_histogram(LatencyAxis(kBucketCount, kLowestSeconds, kHighestSeconds)),
      0};
}

std::string MetricsRegistry::FormatLatencies(const std::string& key, const Latencies& latencies) {
  const auto [name, labels] = SplitKey(key);
  const std::string separator = labels.empty() ? "" : ",";
  const auto& axis = latencies.histogram.axis();
  // The first bucket of the text format also counts what lies below the axis.
  double cumulative = latencies.histogram.at(-1);
  std::string text;
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += latencies.histogram.at(i);
    text += fmt::format("{}_bucket{{{}{}le=\"{:.6g}\"}} {}\n", name, labels, separator,
                        axis.bin(i).upper(), cumulative);
  }
  cumulative += latencies.histogram.at(axis.size());
  text += fmt::format("{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, cumulative);
  text += fmt::format("{}_sum{{{}}} {}\n", name, labels, latencies.sum_seconds);
  text += fmt::format("{}_count{{{}}} {}\n", name, labels, cumulative);
  return text;
}

}  // namespace lacewingbridge
