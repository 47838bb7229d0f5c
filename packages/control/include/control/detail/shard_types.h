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
/// Job number and index of the task within the job.
using task_key = std::pair<job_number, std::uint32_t>;

/// Without a response to a read of the shard's stream for this long, the
/// process may have been paused and another one may have claimed the shard.
inline constexpr milliseconds max_log_read_age{3'000};
inline constexpr milliseconds list_interval{2'000};
/// Used instead of `list_interval` while an attempt starts or ends.
inline constexpr milliseconds busy_list_interval{500};
inline constexpr milliseconds retry_interval{1'000};
/// After a change of domains or instances, the available resources that other
/// shards report with their heartbeats are ignored for this long, since they
/// may date from before the change.
inline constexpr milliseconds capacity_settle_time{2'000};
inline constexpr milliseconds placement_interval{50};
/// Blocked jobs are retried at this interval, since some causes end with time
/// alone, such as probation or the capacity ramp of a returning domain.
inline constexpr milliseconds blocked_placement_interval{200};
/// A stop is repeated after this time if the task is still listed as running.
inline constexpr milliseconds stop_repeat_interval{5'000};
/// A start whose task is not listed after this time is treated as possibly
/// lost.
inline constexpr milliseconds start_listing_timeout{5'000};
/// A job that is blocked for this long gets a worker reserved for it.
inline constexpr milliseconds worker_reservation_delay{30'000};
/// The remaining tasks of an unmeasured job wait at most this long for the
/// measurement of the first task, which takes its startup time, the measurement
/// lag and two lists.
inline constexpr milliseconds max_measurement_wait{30'000};
/// A task fails after this many failed attempts; fewer may be caused by their
/// workers.
inline constexpr std::size_t max_failures = 3;
inline constexpr std::size_t max_starts_per_pass = 64;
/// A job that has run or been delegated before must be blocked for this long
/// before it is delegated: a change of owner closes the workers to new starts
/// for a moment, and delayed capacity reports must not make two shards pass a
/// job back and forth.
inline constexpr milliseconds min_blocked_before_delegation{5'000};
/// A job with more attempted tasks than this is not delegated, which bounds the
/// record of a delegation to about 300 KB.
inline constexpr std::size_t max_attempted_tasks_to_delegate = 5'000;
/// An attempt is a straggler beyond this multiple of its expected run time.
inline constexpr std::int64_t straggler_factor = 3;

/// Combines lambdas into one visitor for `std::visit`.
template <class... Visitors>
struct overload : Visitors... {
  using Visitors::operator()...;
};
template <class... Visitors>
overload(Visitors...) -> overload<Visitors...>;

enum class attempt_stage {
  /// The start record has not been read back.
  unrecorded,
  /// The start record was read back as valid; the start has not been sent.
  recorded,
  /// The start was sent, or a former owner may have sent it.
  sent,
  running,
  /// The attempt has certainly ended; the end record has not been read back.
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

enum class eviction_step { requested, checkpointing, ready_to_stop, stopping };

/// An attempt to run a task, until its end is recorded.
struct attempt {
  model::worker_id worker;
  std::uint32_t number = 0;
  attempt_stage stage = attempt_stage::unrecorded;
  model::team_id team;
  model::class_id job_class;
  bool urgent = false;
  model::resources declared;
  /// Resources reserved on the worker until the attempt has certainly ended.
  model::resources reserved;
  /// Leases of this process that the task may run under.
  std::set<lease_id> leases;
  /// Whether the task may run under a lease of a former owner.
  bool under_former_owner_lease = false;
  /// Epoch of the start record.
  model::epoch epoch = 0;
  std::optional<time_point> sent_at;
  std::optional<time_point> running_since;
  /// Since when it has run without a throttle, which lowers its usage.
  std::optional<time_point> unthrottled_since;
  /// Attempts to move the task to the current lease.
  int adopt_attempts = 0;
  int throttle = 100;
  bool straggler = false;
  eviction_reason evict_reason = eviction_reason::none;
  eviction_step evict_step = eviction_step::requested;
  int checkpoint_attempts = 0;
  time_point next_eviction_at;
  std::string checkpoint;
  /// Whether the worker has listed the end and expects an acknowledgement.
  bool listed_end = false;
};

/// A lease held by this process. It has certainly expired once
/// `max_lease_lifetime()` has passed since `last_renewed`.
struct own_lease {
  /// Arrival of the response to the acquisition or the last answered renewal.
  time_point last_renewed;
  time_point next_renewal;
  /// Number of unanswered renewals. Never reset, since each may still be in
  /// transit and extend the lease once more.
  std::int64_t unanswered = 0;
  /// Whether renewals have stopped; the lease is deleted once its tasks have
  /// been adopted.
  bool retired = false;
};

/// A worker with its leases, attempts and measurements.
struct worker_entry {
  model::worker_info info;
  bool in_instance_list = false;
  std::optional<worker_number> number;
  bool registering = false;

  std::map<lease_id, own_lease> leases;
  lease_id current_lease;
  /// Whether the worker may hold leases of former owners.
  bool has_former_owner_leases = true;
  /// Whether the state of its leases allows starts.
  bool accepts_starts = false;
  /// List, acquire, delete and adopt calls that must complete before the next
  /// list.
  std::set<call_id> pending_calls;
  bool lease_call_failed = false;
  time_point next_list;
  /// Arrival of the last report.
  std::optional<time_point> last_report_at;
  /// Number of listed running tasks that are not recorded as running here.
  std::size_t orphans = 0;
  time_point next_expiry_check;

  std::set<task_key> attempts;
  model::resources reserved;
  model::resources services;
  scheduling::class_counts neighbours;
  time_point neighbours_changed;
  scheduling::throttle_controller throttle;
  /// Measurement time of the last slowdown that was taken into account.
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

/// A call to a worker that is in flight.
struct worker_call {
  call_kind kind = call_kind::list;
  model::worker_id worker;
  lease_id lease;
  task_key task;
  std::uint32_t attempt = 0;
};

/// A job with tasks that wait for placement.
struct pending_job {
  model::team_id team;
  model::class_id job_class;
  model::resources declared;
  bool urgent = false;
  std::set<std::uint32_t> pending;
  std::optional<time_point> blocked_since;
};

/// Number of failed attempts of a task and the workers they ran on.
struct task_failures {
  std::size_t count = 0;
  std::set<model::worker_id> workers;
};

/// An owner recorded in the log, and when its release was read.
struct former_owner {
  coordination::owner_claimed claim;
  std::optional<time_point> released;
};

/// An appended record whose outcome is not known yet.
struct pending_record {
  coordination::shard_body body;
  /// Requests to reply to once the outcome is known.
  std::vector<request_token> tokens;
  /// Requested by `events::append_body`.
  bool caller_record = false;
};

}  // namespace vanillaladder::control::detail
