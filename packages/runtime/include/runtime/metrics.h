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

/// A number that only grows; thread-safe.
class counter {
 public:
  void increment(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// A number that is set; thread-safe.
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
  /// @return latencies observed.
  std::uint64_t count() const;
  /// @return upper bound in seconds of the bucket that holds quantile `q`
  ///   (0 to 1); 0 without observations, infinity above the last bucket.
  double quantile(double q) const;

 private:
  friend class metrics;
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// A request that was refused as "not run", by `reason` of `x-reason`.
inline constexpr std::string_view requests_refused_total =
    "vanillaladder_requests_refused_total";
/// A further attempt of a request, by the reason of the previous one's end.
inline constexpr std::string_view requests_retried_total =
    "vanillaladder_requests_retried_total";

/// @return every value of `x-reason`.
std::span<const std::string_view> refusal_reasons();
/// @return every reason for a further attempt.
std::span<const std::string_view> retry_reasons();

/// Names and holds the metrics of a process; thread-safe. References stay
/// valid as long as the registry.
///
/// A name has at most one label and at most `max_series` label values; further
/// values share the series with the value "other", which bounds the memory.
/// Using one name as two types throws `std::logic_error`.
class metrics {
 public:
  static constexpr std::size_t max_series = 128;

  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  /// @return the counter of this name and label value, created at 0. The
  ///   label is that of the name's first use.
  runtime::counter& counter(std::string_view name, std::string_view label = "",
                            std::string_view value = "");
  runtime::gauge& gauge(std::string_view name, std::string_view label = "",
                        std::string_view value = "");
  runtime::latency_histogram& histogram(std::string_view name,
                                        std::string_view label = "",
                                        std::string_view value = "");

  /// Creates counters at 0, so that they are shown before their first use.
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
