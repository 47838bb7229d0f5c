#include "runtime/metrics.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <stdexcept>
#include <thread>
#include <vector>

namespace vanillaladder::runtime {

using namespace std::chrono_literals;

namespace {

bool contains(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

// Guards against reasons that alerts cannot see because they are not exported
// before their first use.
TEST_CASE("declared reasons are exported as 0") {
  metrics registry;
  registry.declare_reasons();
  registry.counter(requests_refused_total, "reason", "stale-view").increment(2);
  auto text = registry.prometheus_text();
  CHECK(contains(text, "# TYPE vanillaladder_requests_refused_total counter"));
  CHECK(contains(
      text, "vanillaladder_requests_refused_total{reason=\"stale-view\"} 2"));
  for (auto reason : refusal_reasons()) {
    auto start = "vanillaladder_requests_refused_total{reason=\"" +
                 std::string(reason) + "\"} ";
    CHECK(text.find(start) != std::string::npos);
  }
  CHECK(contains(text,
                 "vanillaladder_requests_retried_total{reason=\"refused\"} 0"));
}

// Guards against text that a Prometheus server cannot parse.
TEST_CASE("gauges, plain names and escaped label values are written") {
  metrics registry;
  registry.describe("g", "line 1\nline 2");
  registry.gauge("g").set(1.5);
  registry.counter("c", "l", "a\"b\\c\n").increment();
  CHECK(registry.prometheus_text() ==
        "# TYPE c counter\nc{l=\"a\\\"b\\\\c\\n\"} 1\n"
        "# HELP g line 1\\nline 2\n# TYPE g gauge\ng 1.5\n");
}

// Guards against bucket counts that are not cumulative or that omit
// observations below or above the bucket range.
TEST_CASE("a histogram counts every latency in cumulative buckets") {
  metrics registry;
  auto& latency = registry.histogram("d_seconds", "class", "quote");
  CHECK(latency.quantile(0.5) == 0);
  latency.observe(0ns);
  latency.observe(10ms);
  latency.observe(10ms);
  latency.observe(1000s);
  CHECK(latency.count() == 4);
  CHECK(latency.quantile(0.1) == Approx(1e-4));
  CHECK(latency.quantile(0.5) >= 0.01);
  CHECK(latency.quantile(0.5) < 0.016);
  CHECK(std::isinf(latency.quantile(1)));
  auto text = registry.prometheus_text();
  CHECK(contains(text, "d_seconds_bucket{class=\"quote\",le=\"1e-04\"} 1"));
  CHECK(contains(text, "d_seconds_bucket{class=\"quote\",le=\"+Inf\"} 4"));
  CHECK(contains(text, "d_seconds_count{class=\"quote\"} 4"));
  CHECK(contains(text, "d_seconds_sum{class=\"quote\"} 1000.02"));
}

// Guards against lost updates.
TEST_CASE("concurrent updates are all counted") {
  metrics registry;
  {
    std::vector<std::jthread> threads;
    threads.reserve(4);
    for (int n = 0; n < 4; ++n) {
      threads.emplace_back([&registry] {
        for (int i = 0; i < 1000; ++i) {
          registry.counter("c").increment();
          registry.histogram("h").observe(1ms);
          registry.gauge("g").add(1);
        }
      });
    }
  }
  CHECK(registry.counter("c").value() == 4000);
  CHECK(registry.histogram("h").count() == 4000);
  CHECK(registry.gauge("g").value() == 4000);
}

// Guards against unbounded memory use by label values that callers choose.
TEST_CASE("label values above the limit share one series") {
  metrics registry;
  for (int n = 0; n < 1000; ++n) {
    registry.counter("c", "team", std::to_string(n)).increment();
  }
  CHECK(registry.counter("c", "team", "other").value() ==
        1000 - metrics::max_series);
  CHECK_THROWS_AS(registry.gauge("c", "team", "1"), std::logic_error);
}

}  // namespace vanillaladder::runtime
