#include "runtime/metrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <variant>
#include <vector>

namespace vanillaladder::runtime {
namespace {

namespace histogram_lib = boost::histogram;

constexpr unsigned bucket_count = 36;
constexpr double min_bound_s = 1e-4;
constexpr double max_bound_s = 100.0;

using log_axis =
    histogram_lib::axis::regular<double, histogram_lib::axis::transform::log>;
// Thread-safe accumulators allow concurrent fills because the axis has a fixed
// size.
using storage = histogram_lib::dense_storage<
    histogram_lib::accumulators::thread_safe<std::uint64_t>>;
using histogram_type = histogram_lib::histogram<std::tuple<log_axis>, storage>;

std::string format_number(double value) {
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  std::array<char, 32> buffer{};
  auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return error == std::errc() ? std::string(buffer.data(), end) : "NaN";
}

/// Escapes a label value or a help text for the Prometheus text format.
/// @param quotes whether to escape double quotes, as label values require.
std::string escape(std::string_view text, bool quotes) {
  std::string result;
  for (char c : text) {
    if (c == '\\') {
      result += "\\\\";
    } else if (c == '\n') {
      result += "\\n";
    } else if (c == '"' && quotes) {
      result += "\\\"";
    } else {
      result += c;
    }
  }
  return result;
}

}  // namespace

struct latency_histogram::impl {
  histogram_type buckets{
      std::make_tuple(log_axis(bucket_count, min_bound_s, max_bound_s))};
  std::atomic<double> sum_s{0};

  /// @return observations in bucket `index`; -1 is the underflow bucket,
  ///   `bucket_count` the overflow bucket.
  std::uint64_t observations_in(int index) const {
    return buckets.at(index).load();
  }
  static double upper_bound(int index) {
    return index < 0
               ? min_bound_s
               : std::exp(std::log(min_bound_s) +
                          (std::log(max_bound_s) - std::log(min_bound_s)) *
                              (index + 1) / bucket_count);
  }
};

latency_histogram::latency_histogram() : impl_(std::make_unique<impl>()) {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::observe(std::chrono::nanoseconds latency) {
  double seconds = std::chrono::duration<double>(latency).count();
  impl_->buckets(seconds);
  impl_->sum_s.fetch_add(seconds, std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const {
  std::uint64_t total = 0;
  for (int index = -1; index <= static_cast<int>(bucket_count); ++index) {
    total += impl_->observations_in(index);
  }
  return total;
}

double latency_histogram::quantile(double q) const {
  auto total = count();
  if (total == 0) {
    return 0;
  }
  double target_rank = q * static_cast<double>(total);
  std::uint64_t cumulative_count = 0;
  for (int index = -1; index < static_cast<int>(bucket_count); ++index) {
    cumulative_count += impl_->observations_in(index);
    if (cumulative_count > 0 &&
        static_cast<double>(cumulative_count) >= target_rank) {
      return impl::upper_bound(index);
    }
  }
  return std::numeric_limits<double>::infinity();
}

std::span<const std::string_view> refusal_reasons() {
  static constexpr std::array<std::string_view, 12> reasons{
      "queue-full",     "team-share",      "retry-budget",
      "deadline",       "no-backend",      "stale-view",
      "draining",       "log-unavailable", "key-owner-unavailable",
      "connect-failed", "unknown-service", "bad-request"};
  return reasons;
}

std::span<const std::string_view> retry_reasons() {
  static constexpr std::array<std::string_view, 3> reasons{"not-sent",
                                                           "refused", "closed"};
  return reasons;
}

namespace {

using series = std::variant<std::unique_ptr<counter>, std::unique_ptr<gauge>,
                            std::unique_ptr<latency_histogram>>;

struct family {
  std::string label;
  std::map<std::string, series, std::less<>> by_value;
};

std::string_view type_name(const series& metric) {
  static constexpr std::array<std::string_view, 3> names{"counter", "gauge",
                                                         "histogram"};
  return names[metric.index()];
}

std::string format_labels(const std::string& label, std::string_view value,
                          std::string_view upper_bound = "") {
  std::string text;
  if (!label.empty()) {
    text += label + "=\"" + escape(value, true) + "\"";
  }
  if (!upper_bound.empty()) {
    text += text.empty() ? "" : ",";
    text.append("le=\"").append(upper_bound).append("\"");
  }
  return text.empty() ? text : "{" + text + "}";
}

}  // namespace

struct metrics::impl {
  template <class Metric>
  Metric& find_or_create(std::string_view name, std::string_view label,
                         std::string_view value);

  mutable std::mutex mutex;
  std::map<std::string, family, std::less<>> families;
  std::map<std::string, std::string, std::less<>> help;
};

/// Appends the sample lines of one series to `text`.
struct metrics::series_writer {
  const std::string& name;
  const std::string& label;
  const std::string& value;
  std::string& text;

  void line(std::string_view suffix, const std::string& labels,
            const std::string& amount) const {
    text.append(name).append(suffix).append(labels);
    text.append(" ").append(amount).append("\n");
  }

  void operator()(const std::unique_ptr<runtime::counter>& metric) const {
    line("", format_labels(label, value), std::to_string(metric->value()));
  }

  void operator()(const std::unique_ptr<runtime::gauge>& metric) const {
    line("", format_labels(label, value), format_number(metric->value()));
  }

  void operator()(const std::unique_ptr<latency_histogram>& metric) const {
    const auto& histogram_state = *metric->impl_;
    std::uint64_t total = 0;
    for (int index = -1; index <= static_cast<int>(bucket_count); ++index) {
      total += histogram_state.observations_in(index);
      auto bound = index == static_cast<int>(bucket_count)
                       ? std::numeric_limits<double>::infinity()
                       : histogram_state.upper_bound(index);
      line("_bucket", format_labels(label, value, format_number(bound)),
           std::to_string(total));
    }
    line("_sum", format_labels(label, value),
         format_number(histogram_state.sum_s.load()));
    line("_count", format_labels(label, value), std::to_string(total));
  }
};

template <class Metric>
Metric& metrics::impl::find_or_create(std::string_view name,
                                      std::string_view label,
                                      std::string_view value) {
  std::lock_guard lock(mutex);
  auto& group = families[std::string(name)];
  auto& series_by_value = group.by_value;
  if (series_by_value.empty()) {
    group.label = label;
  }
  auto found = series_by_value.find(value);
  if (found == series_by_value.end()) {
    bool full = series_by_value.size() >= max_series;
    found = series_by_value
                .try_emplace(full ? "other" : std::string(value),
                             std::make_unique<Metric>())
                .first;
  }
  auto* metric = std::get_if<std::unique_ptr<Metric>>(&found->second);
  if (metric == nullptr) {
    throw std::logic_error("metric " + std::string(name) +
                           " is used as two types");
  }
  return **metric;
}

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

runtime::counter& metrics::counter(std::string_view name,
                                   std::string_view label,
                                   std::string_view value) {
  return impl_->find_or_create<runtime::counter>(name, label, value);
}

runtime::gauge& metrics::gauge(std::string_view name, std::string_view label,
                               std::string_view value) {
  return impl_->find_or_create<runtime::gauge>(name, label, value);
}

runtime::latency_histogram& metrics::histogram(std::string_view name,
                                               std::string_view label,
                                               std::string_view value) {
  return impl_->find_or_create<latency_histogram>(name, label, value);
}

void metrics::declare_counters(std::string_view name, std::string_view label,
                               std::span<const std::string_view> values) {
  for (auto value : values) {
    counter(name, label, value);
  }
}

void metrics::declare_reasons() {
  describe(requests_refused_total, "Requests refused as not run, by reason.");
  declare_counters(requests_refused_total, "reason", refusal_reasons());
  describe(requests_retried_total,
           "Further attempts of requests, by the reason of the previous end.");
  declare_counters(requests_retried_total, "reason", retry_reasons());
}

void metrics::describe(std::string_view name, std::string_view help) {
  std::lock_guard lock(impl_->mutex);
  impl_->help[std::string(name)] = help;
}

std::string metrics::prometheus_text() const {
  std::lock_guard lock(impl_->mutex);
  std::string text;
  for (const auto& [name, group] : impl_->families) {
    if (auto help = impl_->help.find(name); help != impl_->help.end()) {
      text += "# HELP " + name + " " + escape(help->second, false) + "\n";
    }
    text.append("# TYPE ").append(name).append(" ");
    text.append(type_name(group.by_value.begin()->second)).append("\n");
    for (const auto& [value, metric] : group.by_value) {
      std::visit(series_writer{name, group.label, value, text}, metric);
    }
  }
  return text;
}

}  // namespace vanillaladder::runtime
