#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "batch/job.h"
#include "batch/worker.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// A queue as callers name it.
struct queue_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  batch::queue_policy policy;

  bool operator==(const queue_route&) const = default;
};

/// One version of the operators' configuration.
struct fleet_config {
  std::int64_t version = 0;
  std::vector<queue_route> queues;
  std::size_t max_body_bytes = 1U << 18;

  bool operator==(const fleet_config&) const = default;
};

/// A record of the operators' topic that is none of ours.
struct ignored_record {};

struct domain_closure {
  model::domain_id domain;
};

using operator_record =
    std::variant<fleet_config, domain_closure, ignored_record>;

/// Reads what operators and workers write; the platform's adapter has one.
class record_decoder {
 public:
  virtual ~record_decoder() = default;
  /// Topic with the operators' records.
  virtual std::string operator_topic() const = 0;
  /// Topic with one record for each worker, whose key is its id.
  virtual std::string worker_topic() const = 0;
  /// @param value empty if the record was removed.
  virtual absl::StatusOr<operator_record> decode_operator(
      std::string_view key, std::string_view value) const = 0;
  virtual absl::StatusOr<batch::worker_entry> decode_worker(
      std::string_view key, std::string_view value) const = 0;
};

/// The configuration in force on this daemon.
class config_view {
 public:
  /// Takes a higher version; an older one is passed over.
  /// @return whether it is in force now.
  bool apply(fleet_config config);
  void close_domain(const model::domain_id& domain);
  void open_domain(const model::domain_id& domain);
  /// Opens all domains but those named.
  void open_all_except(const std::set<model::domain_id>& domains);

  bool has_config() const { return config_.has_value(); }
  std::int64_t version() const { return config_ ? config_->version : 0; }
  const fleet_config& config() const { return *config_; }
  const std::set<model::domain_id>& closed_domains() const { return closed_; }
  /// @return the queue with the longest prefix of `path` on `host`, or null.
  const queue_route* find_queue(std::string_view host,
                                std::string_view path) const;
  std::map<std::string, batch::queue_policy> policies() const;

 private:
  std::optional<fleet_config> config_;
  std::set<model::domain_id> closed_;
};

}  // namespace vanillaladder::dispatch
