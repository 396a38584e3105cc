#ifndef LACEWINGBRIDGE_SOURCE_OBSERVE_METRICS_REGISTRY_H_
#define LACEWINGBRIDGE_SOURCE_OBSERVE_METRICS_REGISTRY_H_

#include <boost/histogram.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "Core/sharded.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Counters and latency histograms in shards, shown in the Prometheus text format.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(std::size_t shard_count);

  // name is without the "lacewingbridge_" prefix; labels are written as in the text
  // format, for example route="lookup".
  void AddCount(std::string_view name, std::string_view labels, std::uint64_t amount = 1);

  // The same with a label whose values are names that operators choose. Names beyond the first
  // kMaxNames of the label share the value "other", so the number of series is bounded.
  static constexpr std::size_t kMaxNames = 200;
  void AddNamedCount(std::string_view name, std::string_view label, std::string_view value,
                     std::string_view other_labels, std::uint64_t amount = 1);

  // Records a latency in the histogram with bounds from 0.05 ms to about 50 s.
  void AddLatency(std::string_view name, std::string_view labels, Duration latency);

  // Text of GET /metrics. Gauges are computed by the caller and given as further lines.
  std::string Format(std::string_view gauge_lines);

 private:
  using LatencyAxis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using LatencyHistogram = decltype(boost::histogram::make_histogram(std::declval<LatencyAxis>()));

  struct Latencies {
    LatencyHistogram histogram;
    double sum_seconds = 0;
  };

  struct Series {
    std::map<std::string, std::uint64_t> counts;
    std::map<std::string, Latencies> latencies;
  };

  static Latencies MakeLatencies();
  static std::string FormatLatencies(const std::string& key, const Latencies& latencies);

  // Returns the value to show for the name: itself or "other", with quotation marks.
  std::string LimitName(std::string_view label, std::string_view value);

  Sharded<Series> series;
  std::mutex names_mutex;
  // Names of each label that have series of their own.
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>> names;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_OBSERVE_METRICS_REGISTRY_H_
