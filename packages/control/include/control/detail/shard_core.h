#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/detail/shard_types.h"
#include "control/shard_machine.h"
#include "coordination/append_tracker.h"
#include "scheduling/evacuation.h"
#include "scheduling/interference.h"
#include "scheduling/placement.h"
#include "scheduling/probation.h"
#include "scheduling/quota.h"
#include "scheduling/usage_model.h"

namespace vanillaladder::control {

/// State and event handlers of `shard_machine`.
struct shard_machine::impl {
  using task_key = detail::task_key;
  using attempt = detail::attempt;
  using worker_entry = detail::worker_entry;

  impl(model::shard_id shard_number, model::instance_id id,
       model::incarnation own_incarnation, const shard_limits& own_limits);

  std::vector<action> step(const event& input, model::time_point at);

  // Events, one handler each.
  void on(const events::log_read& input);
  void on(const events::append_answered& input);
  void on(const events::append_failed& input);
  void on(const events::append_body& input);
  void on(const events::worker_call_done& input);
  void on(const events::worker_listed& input);
  void on(const events::workers_changed& input);
  void on(const events::policy_changed& input);
  void on(const events::members_changed& input);
  void on(const events::view_freshness_changed& input);
  void on(const events::shards_changed& input);
  void on(const events::submit_job& input);
  void on(const events::cancel_job& input);
  void on(const events::query_job& input);
  void on(const events::delegation_done& input);
  void on(const events::delegated_cancel_done& input);
  void on(const events::tick& input);
  void on(const events::drain_requested& input);
  void on(const events::claim_shard& input);
  void on(const events::release_shard& input);

  // Log (shard_machine_log.cc).
  coordination::record_id append(coordination::shard_body body,
                                 std::optional<request_token> token = {});
  void on_record_applied(
      const coordination::shard_reader::applied_record& record);
  void on_append_resolved(const coordination::append_resolution& resolution,
                          const coordination::shard_result& result);
  void on_tasks_started(const coordination::tasks_started& body,
                        model::epoch writer_epoch,
                        const coordination::shard_result& result);
  void on_tasks_ended(const coordination::tasks_ended& body);
  void become_owner();
  void lose_ownership();
  void abandon_records();
  void continue_release();
  void poll_log();

  // Jobs (shard_machine_jobs.cc).
  void answer_submit(request_token token, submit_result result,
                     std::string reason = {});
  std::optional<submit_result> validate_submit(const job_request& job,
                                               std::string& reason) const;
  std::optional<model::shard_id> find_better_shard(const model::resources& size,
                                                   std::uint32_t tasks) const;
  bool try_delegate(coordination::job_number number);
  void on_job_submitted(coordination::job_number number);
  void on_job_delegated(coordination::job_number number);
  void delegate_blocked_jobs();
  void resend_delegations();
  void add_pending_tasks(coordination::job_number number);
  void update_pending_task(const task_key& key);
  void cancel_running(coordination::job_number number);
  job_status status_of(coordination::job_number number) const;
  bool is_urgent_class(const model::class_id& name) const;

  // Leases (shard_machine_leases.cc).
  call_id new_call(detail::worker_call entry);
  void advance_worker(worker_entry& worker);
  void renew_leases(worker_entry& worker);
  void expire_leases(worker_entry& worker);
  void end_attempts_without_lease(worker_entry& worker);
  bool should_list(const worker_entry& worker) const;
  void request_list(worker_entry& worker);
  void reconcile_leases(worker_entry& worker,
                        const external::worker_report& report);
  bool adopt_running_tasks(worker_entry& worker,
                           const external::worker_report& report);
  bool delete_old_leases(worker_entry& worker,
                         const external::worker_report& report);
  void on_lease_call_done(const detail::worker_call& call,
                          const events::worker_call_done& done);
  void retire_lease(worker_entry& worker, const lease_id& lease);
  bool all_former_leases_expired(model::epoch since) const;
  bool former_leases_expired(const detail::former_owner& owner) const;
  bool may_renew() const;
  bool is_log_current() const;
  model::milliseconds max_lease_lifetime() const;

  // Reports (shard_machine_report.cc).
  void handle_report(worker_entry& worker,
                     const external::worker_report& report);
  void handle_task_report(worker_entry& worker,
                          const external::task_report& report);
  void handle_running_task(worker_entry& worker, const task_key& key,
                           const external::task_report& report);
  void handle_ended_task(worker_entry& worker, const task_key& key,
                         const external::task_report& report);
  void handle_absent_attempts(worker_entry& worker,
                              const external::worker_report& report);
  void update_models(worker_entry& worker,
                     const external::worker_report& report);
  void record_usage(const task_key& key, const attempt& entry,
                    const external::usage_report& measured);
  void record_slowdowns(worker_entry& worker,
                        const external::worker_report& report,
                        const scheduling::class_counts& running);
  void relieve_overcommitment(worker_entry& worker);
  template <class Score>
  std::optional<task_key> select_eviction_candidate(const worker_entry& worker,
                                                    Score score) const;
  void control_interference(worker_entry& worker,
                            const external::worker_report& report);
  void sync_throttles(worker_entry& worker);
  std::optional<task_key> parse_task_name(const std::string& name) const;

  // Attempts (shard_machine_tasks.cc).
  attempt* find_attempt(const task_key& key);
  void add_attempt(const task_key& key, attempt entry);
  void set_reserved(attempt& entry, const model::resources& size);
  void release_resources(const task_key& key, attempt& entry);
  void end_attempt(const task_key& key, coordination::task_outcome outcome,
                   std::string checkpoint);
  void remove_attempt(const task_key& key);
  void send_starts();
  void send_start(const task_key& key, attempt& entry);
  void evict(const task_key& key, detail::eviction_reason reason);
  void continue_evictions();
  void continue_eviction(const task_key& key, attempt& entry);
  void on_task_call_done(const detail::worker_call& call,
                         const events::worker_call_done& done);
  void flush_ends();
  std::string task_name(const task_key& key) const;
  attempt_id attempt_id_of(const task_key& key, const attempt& entry) const;

  // Placement (shard_machine_place.cc).
  bool may_start() const;
  bool is_schedulable(const worker_entry& worker) const;
  void place_tasks();
  void place_jobs(bool urgent, std::vector<scheduling::placement_worker>& view);
  bool place_task(coordination::job_number number, detail::pending_job& job,
                  std::vector<scheduling::placement_worker>& view);
  bool should_await_measurement(coordination::job_number number,
                                const detail::pending_job& job,
                                const scheduling::placement_task& task) const;
  std::vector<scheduling::placement_worker> placement_workers();
  std::set<model::worker_id> workers_to_avoid(const task_key& key,
                                              bool urgent) const;
  void update_reserved_worker();
  void flush_starts();
  void evict_from_unschedulable_workers();
  void find_stragglers();
  void refresh_capacity();
  void count(const char* name, std::string reason, std::uint64_t amount = 1);
  model::time_point next_tick() const;

  const coordination::shard_state& state() const { return reader.state(); }

  // Identity and inputs.
  model::shard_id shard;
  model::instance_id own_id;
  model::incarnation incarnation;
  shard_limits limits;
  model::time_point now;
  std::optional<model::time_point> first_step_at;
  bool view_fresh = false;
  bool log_reachable = false;
  bool log_reachable_by_peer = false;
  /// Last time that a change of owner would have been noticed.
  model::time_point last_contact;
  batch_policy policy;
  std::map<model::instance_id, model::time_point> dead_since;
  std::map<std::pair<model::instance_id, model::incarnation>, model::time_point>
      superseded_since;
  std::map<model::instance_id, model::incarnation> members;
  std::map<model::shard_id, events::shards_changed::room> shards;
  /// Until then the capacity reports in `shards` are ignored.
  model::time_point shard_capacity_valid_at;

  // Log.
  coordination::shard_reader reader;
  coordination::append_tracker tracker;
  /// Keyed by the sequence number of the record.
  std::map<std::uint64_t, detail::pending_record> pending_records;
  std::map<model::epoch, detail::former_owner> owners_by_epoch;
  /// Epoch of the owner that recorded the start.
  std::map<task_key, model::epoch> start_epochs;
  bool owner = false;
  model::epoch epoch = 0;
  model::time_point owned_since;
  bool releasing = false;
  bool was_released = false;
  bool snapshot_pending = false;
  bool claim_pending = false;
  bool release_pending = false;
  bool draining = false;
  model::time_point last_log_read;

  // Workers, calls, attempts and jobs. Cleared when ownership is lost, except
  // for the workers and the leases of this process.
  std::map<model::worker_id, worker_entry> workers;
  std::map<call_id, detail::worker_call> open_calls;
  call_id last_call_id = 0;
  std::map<task_key, attempt> attempts;
  std::set<task_key> unsent_starts;
  std::set<task_key> evicting;
  std::vector<coordination::task_end> pending_ends;
  std::vector<coordination::task_start> pending_starts;
  std::map<coordination::job_number, detail::pending_job> pending_jobs;
  /// Number of attempts of a job by domain and by `domain/rack`.
  std::map<coordination::job_number, std::map<std::string, std::int64_t>>
      spread;
  std::map<task_key, detail::task_failures> failures;
  /// Worker that a straggler was moved away from; avoided for its next attempt.
  std::map<task_key, model::worker_id> moved_away_from;
  std::map<coordination::job_number, model::time_point> delegations;
  std::map<coordination::job_number, model::time_point> delegated_cancels;
  /// Blocked job that `reserved_worker` is kept free for; urgent tasks may
  /// still use the worker.
  std::optional<coordination::job_number> reserved_for_job;
  model::worker_id reserved_worker;

  // Decisions.
  scheduling::usage_model usage;
  scheduling::interference_model interference;
  scheduling::team_quotas quotas;
  scheduling::start_probation probation;
  scheduling::checkpoint_rate_limiter checkpoint_limiter;
  scheduling::capacity_ramp ramp;
  /// Whether the next pass is due before `next_blocked_placement_pass`.
  bool placement_due = false;
  model::time_point next_placement_pass;
  model::time_point next_blocked_placement_pass;
  model::time_point next_straggler_check;
  /// Moving average of the run time of finished attempts, by class.
  std::map<model::class_id, model::milliseconds> mean_run_times;

  std::vector<action> output_actions;
  model::time_point last_tick;
};

}  // namespace vanillaladder::control
