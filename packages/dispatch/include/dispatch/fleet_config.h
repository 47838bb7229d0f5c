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
#include "batch/organisation_shares.h"
#include "batch/worker.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Maps a host and a path prefix of caller requests to a queue.
struct queue_route {
  std::string name;
  std::string host;
  std::string path_prefix;
  batch::queue_policy policy;
  /// Whether callers may use the queue without a key.
  bool allows_anonymous = false;

  bool operator==(const queue_route&) const = default;
};

/// An organisation whose callers use keys.
struct organisation {
  std::string name;
  /// Secrets; never logged.
  std::vector<std::string> keys;
  batch::organisation_policy policy;

  bool operator==(const organisation&) const = default;
};

/// One version of the configuration that operators write.
struct fleet_config {
  std::int64_t version = 0;
  std::vector<queue_route> queues;
  std::size_t max_body_bytes = 1U << 18;
  /// If there are none, callers need no keys.
  std::vector<organisation> organisations;

  bool operator==(const fleet_config&) const = default;
};

/// A record of the operators' topic that this daemon does not use.
struct ignored_record {};

/// Marks a failure domain as closed to new work.
struct domain_closure {
  model::domain_id domain;
};

using operator_record =
    std::variant<fleet_config, domain_closure, ignored_record>;

/// Decodes the records that operators and workers write. Implemented by the
/// platform adapter.
class record_decoder {
 public:
  virtual ~record_decoder() = default;
  /// Topic of the operators' records.
  virtual std::string operator_topic() const = 0;
  /// Topic with one record per worker, keyed by worker id.
  virtual std::string worker_topic() const = 0;
  /// @param value empty if the record was deleted.
  virtual absl::StatusOr<operator_record> decode_operator(
      std::string_view key, std::string_view value) const = 0;
  virtual absl::StatusOr<batch::worker_entry> decode_worker(
      std::string_view key, std::string_view value) const = 0;
};

/// The configuration that this daemon currently applies.
class config_view {
 public:
  /// Applies a configuration of a higher version and ignores any other.
  /// @return whether `config` was applied.
  bool apply(fleet_config config);
  void close_domain(const model::domain_id& domain);
  void open_domain(const model::domain_id& domain);
  /// Opens all domains except `domains`.
  void open_all_except(const std::set<model::domain_id>& domains);

  bool has_config() const { return config_.has_value(); }
  std::int64_t version() const { return config_ ? config_->version : 0; }
  const fleet_config& config() const { return *config_; }
  const std::set<model::domain_id>& closed_domains() const {
    return closed_domains_;
  }
  /// @return the queue on `host` whose path prefix is the longest match for
  ///   `path`, or null.
  const queue_route* find_queue(std::string_view host,
                                std::string_view path) const;
  std::map<std::string, batch::queue_policy> policies() const;
  /// @return whether callers need keys.
  bool requires_keys() const {
    return config_ && !config_->organisations.empty();
  }
  /// @return the organisation with this key, or null. The time taken does not
  ///   depend on how much of a key is right.
  const organisation* find_organisation(std::string_view key) const;
  std::map<std::string, batch::organisation_policy> organisation_policies()
      const;

 private:
  std::optional<fleet_config> config_;
  std::set<model::domain_id> closed_domains_;
};

}  // namespace vanillaladder::dispatch
