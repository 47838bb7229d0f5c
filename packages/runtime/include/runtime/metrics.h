#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace vanillaladder::runtime {

/// Monotonic counter; thread-safe.
class counter {
 public:
  void increment(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Value that can rise and fall; thread-safe.
class gauge {
 public:
  void set(double value) { value_.store(value, std::memory_order_relaxed); }
  void add(double amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  double value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> value_{0};
};

/// Counts latencies in log-spaced buckets from 0.1 ms to 100 s; thread-safe
/// and of constant size.
class latency_histogram {
 public:
  latency_histogram();
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  void observe(std::chrono::nanoseconds latency);
  /// @return number of observed latencies.
  std::uint64_t count() const;
  /// @return upper bound in seconds of the bucket that holds quantile `q`
  ///   (0 to 1); 0 without observations, infinity above the last bucket.
  double quantile(double q) const;

 private:
  friend class metrics;
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Requests refused without having run, by the reason given in `x-reason`.
inline constexpr std::string_view requests_refused_total =
    "vanillaladder_requests_refused_total";
/// Retries of requests, by the reason why the previous attempt ended.
inline constexpr std::string_view requests_retried_total =
    "vanillaladder_requests_retried_total";

/// @return every refusal reason sent in `x-reason`.
std::span<const std::string_view> refusal_reasons();
/// @return every reason for a retry.
std::span<const std::string_view> retry_reasons();

/// Registry of the metrics of a process; thread-safe. References to metrics
/// stay valid for the lifetime of the registry.
///
/// A name has at most one label and at most `max_series` label values; further
/// values share the series with the value "other", which bounds memory use.
/// Using one name for two metric types throws `std::logic_error`.
class metrics {
 public:
  static constexpr std::size_t max_series = 128;

  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// @return the counter with this name and label value, created at 0. The
  ///   label passed on the first use of a name applies to all its series.
  runtime::counter& counter(std::string_view name, std::string_view label = "",
                            std::string_view value = "");
  runtime::gauge& gauge(std::string_view name, std::string_view label = "",
                        std::string_view value = "");
  runtime::latency_histogram& histogram(std::string_view name,
                                        std::string_view label = "",
                                        std::string_view value = "");

  /// Creates counters at 0, so that they are exported before their first use.
  void declare_counters(std::string_view name, std::string_view label,
                        std::span<const std::string_view> values);
  /// Declares a counter for each known refusal reason and retry reason.
  void declare_reasons();
  /// Sets the help text of a name.
  void describe(std::string_view name, std::string_view help);

  /// @return all metrics in the Prometheus text format, sorted by name.
  std::string prometheus_text() const;

 private:
  struct impl;
  struct series_writer;
  std::unique_ptr<impl> impl_;
};

}  // namespace vanillaladder::runtime
