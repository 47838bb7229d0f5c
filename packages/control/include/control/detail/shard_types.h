#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/shard_messages.h"
#include "scheduling/interference.h"

namespace vanillaladder::control::detail {

using coordination::job_number;
using coordination::worker_number;
using model::milliseconds;
using model::time_point;
/// Job and index of the task within it.
using task_key = std::pair<job_number, std::uint32_t>;

/// Without a response to a read of the shard's stream for this long, the
/// process may have been paused and another one may own the shard.
inline constexpr milliseconds max_log_read_age{3'000};
inline constexpr milliseconds list_interval{2'000};
/// While an attempt starts or ends.
inline constexpr milliseconds busy_list_interval{500};
inline constexpr milliseconds retry_interval{1'000};
/// After a change of domains or instances the free room of other shards, which
/// comes with their heartbeats, is not used for this time.
inline constexpr milliseconds capacity_settle_time{2'000};
inline constexpr milliseconds placement_interval{50};
/// What blocks a job can end by time alone, such as probation or the ramp of a
/// returning domain.
inline constexpr milliseconds blocked_placement_interval{200};
/// A stop is repeated if the task is still listed as running.
inline constexpr milliseconds stop_repeat_interval{5'000};
/// A start that is not listed after this long may have been lost.
inline constexpr milliseconds start_listing_timeout{5'000};
/// A job blocked for this long gets a worker kept free for it.
inline constexpr milliseconds worker_reservation_delay{30'000};
/// The rest of an unmeasured job waits at most this long for the measurement of
/// its first task, which takes the settling time, the lag and two lists.
inline constexpr milliseconds max_measurement_wait{30'000};
/// A task fails with this many failed attempts; fewer may be the fault of
/// their workers.
inline constexpr std::size_t max_failures = 3;
inline constexpr std::size_t max_starts_per_pass = 64;
/// A job that has run or moved before must be blocked for this long before it
/// moves: a hand-over closes the workers for a moment, and two shards must not
/// pass a job back and forth on lagging room reports.
inline constexpr milliseconds min_blocked_before_delegation{5'000};
/// A job with more started tasks than this stays, which bounds the record of a
/// move to about 300 KB.
inline constexpr std::size_t max_attempted_tasks_to_delegate = 5'000;
/// An attempt is a straggler beyond this multiple of its expected run time.
inline constexpr std::int64_t straggler_factor = 3;

/// Combines lambdas into one visitor.
template <class... Visitors>
struct overload : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overload(Visitors...) -> overload<Visitors...>;

enum class attempt_stage {
  /// The start record has not been read back.
  intent,
  /// Read back as valid; the start has not been sent.
  accepted,
  /// The start was sent, or a former owner may have sent it.
  sent,
  running,
  /// The end is proved; its record has not been read back.
  ended,
};

enum class eviction_reason {
  none,
  cancelled,
  domain_out,
  instance_leaving,
  overcommitted,
  interference,
  straggler,
};

enum class eviction_step { wanted, checkpointing, ready_to_stop, stopping };

/// One attempt to run a task that has not been recorded as ended.
struct attempt {
  model::worker_id worker;
  std::uint32_t number = 0;
  attempt_stage stage = attempt_stage::intent;
  model::team_id team;
  model::class_id job_class;
  bool urgent = false;
  model::resources declared;
  /// Counted on the worker until the end is proved.
  model::resources reserved;
  /// Leases of this process that it may run under.
  std::set<lease_id> leases;
  /// Whether it may run under a lease of a former owner.
  bool under_former_owner_lease = false;
  /// Epoch of the start record.
  model::epoch epoch = 0;
  std::optional<time_point> sent_at;
  std::optional<time_point> running_since;
  /// When it began to run without a throttle, under which it uses less.
  std::optional<time_point> unthrottled_since;
  /// Tries to move it to the current lease.
  int adopt_attempts = 0;
  int throttle = 100;
  bool straggler = false;
  eviction_reason evict_reason = eviction_reason::none;
  eviction_step evict_step = eviction_step::wanted;
  int checkpoint_attempts = 0;
  time_point next_eviction_at;
  std::string checkpoint;
  /// Whether the worker listed the end, and so waits for an acknowledgement.
  bool listed_end = false;
};

/// A lease of this process; see the time rule in section 5 of the design.
struct own_lease {
  /// When the response to the last answered renewal arrived.
  time_point last_renewed;
  time_point next_renewal;
  /// Renewals without an answer; never reset, since each may be in transit
  /// still and extend the lease once more.
  std::int64_t unanswered = 0;
  /// Not renewed any more; deleted after its tasks have been adopted.
  bool retired = false;
};

struct worker_entry {
  model::worker_info info;
  bool in_instance_list = false;
  std::optional<worker_number> number;
  bool registering = false;

  std::map<lease_id, own_lease> leases;
  lease_id current_lease;
  /// Whether leases of former owners may exist.
  bool has_former_owner_leases = true;
  /// Whether starts are allowed as far as leases are concerned.
  bool accepts_starts = false;
  /// Calls that must be answered before the next list.
  std::set<call_id> pending_calls;
  bool lease_call_failed = false;
  time_point next_list;
  /// When a list was last answered.
  std::optional<time_point> last_report_at;
  /// Number of running tasks that are not recorded as running here.
  std::size_t orphans = 0;
  time_point next_expiry_check;

  std::set<task_key> attempts;
  model::resources reserved;
  model::resources services;
  scheduling::class_counts neighbours;
  time_point neighbours_changed;
  scheduling::throttle_control throttle;
  /// When the last slowdown that was taken into account was measured.
  time_point last_measured;
};

enum class call_kind {
  list,
  acquire,
  renew,
  delete_lease,
  start,
  adopt,
  checkpoint,
  throttle,
  stop,
  acknowledge,
};

struct worker_call {
  call_kind kind = call_kind::list;
  model::worker_id worker;
  lease_id lease;
  task_key task;
  std::uint32_t attempt = 0;
};

/// A job with pending tasks.
struct pending_job {
  model::team_id team;
  model::class_id job_class;
  model::resources declared;
  bool urgent = false;
  std::set<std::uint32_t> pending;
  std::optional<time_point> blocked_since;
};

/// Failed attempts of a task.
struct task_failures {
  std::size_t count = 0;
  std::set<model::worker_id> workers;
};

struct former_owner {
  coordination::owner_claimed claim;
  std::optional<time_point> released;
};

/// What a record in the tracker stands for.
struct pending_record {
  coordination::shard_body body;
  /// Callers to answer.
  std::vector<request_token> tokens;
  /// Requested by `events::append_body`.
  bool caller_record = false;
};

}  // namespace vanillaladder::control::detail
