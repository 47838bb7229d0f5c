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

/// What the shards need to know at each tick.
struct shard_context {
  std::span<const coordination::member_liveness> members;
  /// Whether the own view is fresh and the log can be reached.
  bool may_append = false;
  /// Whether this daemon stops and gives its shards away.
  bool draining = false;
};

/// All shards of this daemon: decides which to follow, claim and release, and
/// routes calls about jobs and idempotency keys to the owners of their shards.
/// Lives on one event loop.
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
  /// Notes which shards a peer owns, from its heartbeat.
  void on_peer_shards(const model::instance_id& peer,
                      const std::vector<wire::shard_load>& shards);

  /// Submits a job as its caller's entry daemon.
  void submit(const std::string& body, http_reply done);
  void cancel(const std::string& id, http_reply done);
  void query(const std::string& id, http_reply done);
  /// Lists the jobs of all shards whose owners answer.
  void list(http_reply done);

  /// Answers a peer's call about a job of a shard that this daemon owns.
  void on_job_call(peer_handler::job_call call, model::shard_id shard,
                   const std::string& key, const std::string& body,
                   http_reply done);

  /// Claims an idempotency key, here or with its owner.
  void claim_key(const wire::key_claim& claim, model::milliseconds timeout,
                 claim_reply done);
  /// Answers a peer's claim.
  void on_claim_key(const wire::key_claim& claim, claim_reply done);
  void finish_key(const wire::key_claim& claim, const std::string& outcome);
  void on_finish_key(const wire::key_claim& claim, const std::string& outcome);

  /// @return shards that this daemon owns, with their free room.
  std::vector<wire::shard_load> owned_shards() const;
  /// @return whether no shard is owned or being claimed any more.
  bool all_released() const;

  void delegate(model::shard_id shard, const job_request& job,
                outcome_callback done) override;
  void cancel_delegated(model::shard_id shard, const model::job_id& job,
                        outcome_callback done) override;

 private:
  struct slot {
    std::unique_ptr<shard_driver> driver;
    /// Peer that last reported to own the shard.
    std::optional<model::instance_id> peer_owner;
    events::shards_changed::room peer_room;
    model::time_point last_request{};
  };

  shard_driver& driver_of(model::shard_id shard);
  shard_driver* owned_driver(model::shard_id shard);
  void decide(slot& place, model::shard_id shard, const shard_context& context,
              model::time_point now);
  void share_rooms();
  peer_mesh::http_callback on_loop(http_reply done);
  static void submit_here(shard_driver& driver,
                          const absl::StatusOr<job_request>& job,
                          http_reply done);
  void query_delegated(const std::string& key, const job_status& at_home,
                       http_reply done);
  std::string list_here(shard_driver& driver) const;

  shard_environment environment_;
  peer_mesh& mesh_;
  caller_identity self_;
  shard_limits limits_;
  runtime::logger logger_{"shards"};
  detail::owner_retry owner_retry_;
  std::array<slot, model::shard_count> shards_;
  std::optional<model::time_point> last_release_;
  model::time_point last_rooms_{};
  std::uint64_t last_nonce_ = 0;
  std::vector<model::worker_info> workers_;
  batch_policy policy_;
  std::map<model::instance_id, model::incarnation> members_;
  events::view_freshness_changed freshness_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace vanillaladder::control
