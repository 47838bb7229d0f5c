#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "control/peer_link.h"
#include "model/types.h"
#include "peer_types.h"

namespace vanillaladder::control {

/// Identifies the calling instance; sent with every call.
struct caller_identity {
  model::instance_id id;
  model::incarnation incarnation = 0;
};

/// Client side of the peer protocol: one link to each other member.
///
/// Thread-safe. Callbacks run on threads of the links, so callers must post to
/// their own event loop.
class peer_mesh {
 public:
  template <class Result>
  using callback = std::function<void(std::variant<Result, call_failure>)>;
  using http_callback = callback<wire::http_result>;

  explicit peer_mesh(caller_identity self);
  ~peer_mesh();
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  /// Opens links to new members and closes those to members that left or whose
  /// information changed.
  void update(const std::vector<model::member_info>& others);

  void heartbeat(const model::instance_id& member,
                 const wire::heartbeat_message& message,
                 model::milliseconds timeout,
                 callback<wire::heartbeat_message> done);
  void fetch_records(const model::instance_id& member, model::offset first,
                     std::int32_t limit, model::milliseconds timeout,
                     callback<std::vector<wire::log_record>> done);
  /// Sends records to every member. Failures are ignored: members also read the
  /// log and fetch missing records.
  void push_records(const std::vector<wire::log_record>& records,
                    model::milliseconds timeout);
  void forward_request(const model::instance_id& member,
                       const wire::http_request& request,
                       model::milliseconds timeout, http_callback done);
  void claim_key(const model::instance_id& member, const wire::key_claim& claim,
                 model::milliseconds timeout, callback<wire::key_result> done);
  void finish_key(const model::instance_id& member,
                  const wire::key_claim& claim, std::string outcome,
                  model::milliseconds timeout);
  void submit_job(const model::instance_id& member, model::shard_id shard,
                  std::string key, std::string body,
                  model::milliseconds timeout, http_callback done);
  void cancel_job(const model::instance_id& member, model::shard_id shard,
                  std::string key, model::milliseconds timeout,
                  http_callback done);
  void get_job(const model::instance_id& member, model::shard_id shard,
               std::string key, model::milliseconds timeout,
               http_callback done);
  void list_jobs(const model::instance_id& member, model::shard_id shard,
                 model::milliseconds timeout, http_callback done);

 private:
  struct peer_entry {
    model::member_info info;
    std::shared_ptr<peer_link> link;
  };

  std::shared_ptr<peer_link> find_link(const model::instance_id& member) const;
  wire::call_context make_context(model::milliseconds timeout) const;

  /// Queues a call on the member's link. `run` stores the result in its second
  /// argument; `done` receives the result or the failure.
  template <class Result>
  void call(const model::instance_id& member, call_kind kind,
            model::milliseconds timeout,
            std::function<void(wire::peerClient&, Result&)> run,
            callback<Result> done) const;

  const caller_identity self_;
  mutable std::mutex mutex_;
  std::unordered_map<model::instance_id, peer_entry> links_;
};

}  // namespace vanillaladder::control
