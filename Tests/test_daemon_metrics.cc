// Guards against wrong or unreadable metrics: counts that are lost between shards, buckets
// that are not cumulative, and lines that are not in the text format.
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "Observe/metrics_registry.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

bool HasLine(const std::string& text, const std::string& wanted) {
  for (const std::string& line : SplitLines(text)) {
    if (line == wanted) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(metrics, counts_of_all_threads_are_added_up) {
  MetricsRegistry metrics(4);
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&metrics] {
      for (int count = 0; count < 1000; ++count) {
        metrics.AddCount("requests_total", "route=\"a\"");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  metrics.AddCount("requests_total", "route=\"a\"", 5);
  const std::string text = metrics.Format("gauge 1\n");
  cr_assert(HasLine(text, "lacewingbridge_requests_total{route=\"a\"} 8005"), "%s", text.c_str());
  cr_assert(HasLine(text, "gauge 1"));
}

Test(metrics, buckets_are_cumulative_and_end_with_the_count) {
  MetricsRegistry metrics(2);
  // The latencies lie below, within and above the bounds of the buckets.
  for (const Duration latency :
       {Duration{1}, Duration{3000}, Duration{3000}, Duration{std::chrono::minutes(5)}}) {
    metrics.AddLatency("request_seconds", "route=\"a\"", latency);
  }
  const std::string text = metrics.Format("");
  const std::regex bucket(
      R"re(lacewingbridge_request_seconds_bucket\{route="a",le="(.+)"\} (\d+))re");
  double last_bound = 0;
  int last_count = -1;
  std::string last_label;
  for (const std::string& line : SplitLines(text)) {
    std::smatch parts;
    if (!std::regex_match(line, parts, bucket)) {
      continue;
    }
    last_label = parts[1];
    const double bound = last_label == "+Inf" ? 1e9 : std::stod(last_label);
    cr_assert_gt(bound, last_bound, "%s", line.c_str());
    cr_assert_geq(std::stoi(parts[2]), last_count, "%s", line.c_str());
    cr_assert_geq(std::stoi(parts[2]), 1, "a latency below the bounds is not counted");
    last_bound = bound;
    last_count = std::stoi(parts[2]);
  }
  cr_assert_eq(last_label, "+Inf");
  cr_assert_eq(last_count, 4);
  cr_assert(HasLine(text, "lacewingbridge_request_seconds_count{route=\"a\"} 4"));
  cr_assert(HasLine(text, "lacewingbridge_request_seconds_sum{route=\"a\"} 300.006001"), "%s",
            text.c_str());
}

Test(metrics, every_line_is_in_the_text_format) {
  MetricsRegistry metrics(2);
  metrics.AddCount("a_total", "");
  metrics.AddCount("b_total", "x=\"1\",y=\"2\"", 3);
  metrics.AddLatency("c_seconds", "", Duration{500});
  const std::regex line_form(
      R"re([a-z_]+(\{([a-z]+="[^"]*"(,[a-z]+="[^"]*")*)?\})? [0-9][0-9.e+-]*)re"
      R"re(|# TYPE [a-z_]+ (counter|histogram))re");
  for (const std::string& line : SplitLines(metrics.Format("lacewingbridge_members 3\n"))) {
    cr_assert(std::regex_match(line, line_form), "%s", line.c_str());
  }
}

Test(metrics, the_type_of_each_metric_is_written_once_before_its_series) {
  MetricsRegistry metrics(2);
  metrics.AddCount("a_total", "x=\"1\"");
  metrics.AddCount("a_total", "x=\"2\"");
  metrics.AddCount("a_total_b", "");
  metrics.AddLatency("c_seconds", "", Duration{500});
  const std::string text = metrics.Format("");
  for (const char* wanted :
       {"# TYPE lacewingbridge_a_total counter", "# TYPE lacewingbridge_a_total_b counter",
        "# TYPE lacewingbridge_c_seconds histogram"}) {
    const std::vector<std::string> lines = SplitLines(text);
    cr_assert_eq(std::count(lines.begin(), lines.end(), wanted), 1, "%s", text.c_str());
  }
}
