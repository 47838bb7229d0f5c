#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "control/detail/owner_retry.h"
#include "control/job_api.h"
#include "control/peer_server.h"
#include "control/shard_driver.h"
#include "coordination/ownership.h"
#include "runtime/log.h"
#include "serving/ports.h"

namespace vanillaladder::control {

/// Input of `shard_set::tick`.
struct shard_context {
  std::span<const coordination::member_liveness> members;
  /// Whether the view of this daemon is fresh and the log is reachable.
  bool may_append = false;
  /// Whether this daemon is shutting down and releases its shards.
  bool draining = false;
};

/// Manages the shards of this daemon: decides which ones to follow, claim and
/// release, and routes job and idempotency key calls to the owners of their
/// shards. Must be used on one event loop only.
class shard_set : public shard_peers {
 public:
  using http_reply = std::function<void(http::response)>;
  using claim_reply = std::function<void(wire::key_result)>;

  shard_set(shard_environment environment, peer_mesh& mesh,
            caller_identity self, const shard_limits& limits);
  ~shard_set() override;
  shard_set(const shard_set&) = delete;
  shard_set& operator=(const shard_set&) = delete;

  void tick(const shard_context& context, model::time_point now);

  void on_workers(const std::vector<model::worker_info>& workers);
  void on_policy(const batch_policy& policy);
  void on_members(
      const std::map<model::instance_id, model::incarnation>& members);
  void on_freshness(const events::view_freshness_changed& freshness);
  /// Records which shards a peer owns according to its heartbeat.
  void on_peer_shards(const model::instance_id& peer,
                      const std::vector<wire::shard_load>& shards);

  /// Submits a job received from a caller.
  void submit(const std::string& body, http_reply done);
  void cancel(const std::string& id, http_reply done);
  void query(const std::string& id, http_reply done);
  /// Lists the jobs of all shards whose owners respond; names the other shards
  /// as unavailable.
  void list(http_reply done);

  /// Handles a job call from a peer; rejects it if this daemon does not own the
  /// shard.
  void on_job_call(peer_handler::job_call call, model::shard_id shard,
                   const std::string& key, const std::string& body,
                   http_reply done);

  /// Claims an idempotency key from the owner of its shard, which may be this
  /// daemon.
  void claim_key(const wire::key_claim& claim, model::milliseconds timeout,
                 claim_reply done);
  /// Handles a claim from a peer.
  void on_claim_key(const wire::key_claim& claim, claim_reply done);
  void finish_key(const wire::key_claim& claim, const std::string& outcome);
  void on_finish_key(const wire::key_claim& claim, const std::string& outcome);

  /// @return the shards owned by this daemon with their available resources.
  std::vector<wire::shard_load> owned_shards() const;
  /// @return whether this daemon neither owns nor is claiming any shard.
  bool all_released() const;

  void delegate(model::shard_id shard, const job_request& job,
                outcome_callback done) override;
  void cancel_delegated(model::shard_id shard, const model::job_id& job,
                        outcome_callback done) override;

 private:
  struct shard_entry {
    std::unique_ptr<shard_driver> driver;
    /// Peer that last reported ownership of the shard.
    std::optional<model::instance_id> peer_owner;
    events::shards_changed::room peer_capacity;
    model::time_point last_ownership_request{};
  };

  shard_driver& get_or_create_driver(model::shard_id shard);
  shard_driver* owned_driver(model::shard_id shard);
  void update_ownership(shard_entry& entry, model::shard_id shard,
                        const shard_context& context, model::time_point now);
  void distribute_capacities();
  peer_mesh::http_callback post_to_loop(http_reply done);
  static void submit_locally(shard_driver& driver,
                             const absl::StatusOr<job_request>& job,
                             http_reply done);
  void query_delegated(const std::string& key, const job_status& home_status,
                       http_reply done);
  std::string list_local_jobs(shard_driver& driver) const;

  shard_environment environment_;
  peer_mesh& mesh_;
  caller_identity self_;
  shard_limits limits_;
  runtime::logger logger_{"shards"};
  detail::owner_retry owner_retry_;
  std::array<shard_entry, model::shard_count> shards_;
  std::optional<model::time_point> last_release_;
  model::time_point last_capacity_update_{};
  std::uint64_t last_nonce_ = 0;
  std::vector<model::worker_info> workers_;
  batch_policy policy_;
  std::map<model::instance_id, model::incarnation> members_;
  events::view_freshness_changed freshness_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace vanillaladder::control
