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
  void applied(const coordination::shard_reader::applied_record& record);
  void resolved(const coordination::append_resolution& resolution,
                const coordination::shard_result& result);
  void started_record(const coordination::tasks_started& body,
                      model::epoch writer_epoch,
                      const coordination::shard_result& result);
  void ended_record(const coordination::tasks_ended& body);
  void become_owner();
  void lose_ownership();
  void abandon_records();
  void continue_release();
  void poll_log();

  // Jobs (shard_machine_jobs.cc).
  void answer_submit(request_token token, submit_result result,
                     std::string reason = {});
  std::optional<submit_result> refuse_submit(const job_request& job,
                                             std::string& reason) const;
  std::optional<model::shard_id> better_shard(const model::resources& size,
                                              std::uint32_t tasks) const;
  bool delegate_if_better(coordination::job_number number);
  void job_arrived(coordination::job_number number);
  void job_left(coordination::job_number number);
  void delegate_blocked_jobs();
  void resend_delegations();
  void track_job(coordination::job_number number);
  void refresh_task(const task_key& key);
  void cancel_running(coordination::job_number number);
  job_status status_of(coordination::job_number number) const;
  bool urgent_class(const model::class_id& name) const;

  // Leases (shard_machine_leases.cc).
  call_id new_call(detail::call_entry entry);
  void advance_worker(worker_entry& worker);
  void renew_leases(worker_entry& worker);
  void apply_time_rule(worker_entry& worker);
  void end_without_lease(worker_entry& worker);
  bool worth_listing(const worker_entry& worker) const;
  void list(worker_entry& worker);
  void reconcile(worker_entry& worker, const external::worker_report& report);
  bool adopt_running(worker_entry& worker,
                     const external::worker_report& report);
  bool delete_old_leases(worker_entry& worker,
                         const external::worker_report& report);
  void lease_call_done(const detail::call_entry& call,
                       const events::worker_call_done& done);
  void retire_lease(worker_entry& worker, const lease_id& lease);
  bool former_owners_gone(model::epoch since) const;
  bool former_owner_gone(const detail::former_owner& owner) const;
  bool may_renew() const;
  bool log_current() const;
  model::milliseconds lease_end_delay() const;

  // Reports (shard_machine_report.cc).
  void take_report(worker_entry& worker, const external::worker_report& report);
  void take_task(worker_entry& worker, const external::task_report& report);
  void take_running(worker_entry& worker, const task_key& key,
                    const external::task_report& report);
  void take_end(worker_entry& worker, const task_key& key,
                const external::task_report& report);
  void take_absent(worker_entry& worker, const external::worker_report& report);
  void learn(worker_entry& worker, const external::worker_report& report);
  void learn_usage(const task_key& key, const attempt& entry,
                   const external::usage_report& measured);
  void learn_slowdowns(worker_entry& worker,
                       const external::worker_report& report,
                       const scheduling::class_counts& running);
  void relieve_overcommitment(worker_entry& worker);
  template <class Score>
  std::optional<task_key> victim(const worker_entry& worker, Score score) const;
  void control_pressure(worker_entry& worker,
                        const external::worker_report& report);
  void sync_throttles(worker_entry& worker);
  std::optional<task_key> known_task(const std::string& name) const;

  // Attempts (shard_machine_tasks.cc).
  attempt* find_attempt(const task_key& key);
  void add_attempt(const task_key& key, attempt entry);
  void set_reserved(attempt& entry, const model::resources& size);
  void release(const task_key& key, attempt& entry);
  void prove_end(const task_key& key, coordination::task_outcome outcome,
                 std::string checkpoint);
  void drop_attempt(const task_key& key);
  void send_starts();
  void send_start(const task_key& key, attempt& entry);
  void evict(const task_key& key, detail::evict_reason reason);
  void continue_evictions();
  void continue_eviction(const task_key& key, attempt& entry);
  void task_call_done(const detail::call_entry& call,
                      const events::worker_call_done& done);
  void flush_ends();
  std::string task_name(const task_key& key) const;
  attempt_id id_of(const task_key& key, const attempt& entry) const;

  // Placement (shard_machine_place.cc).
  bool may_start() const;
  bool allowed(const worker_entry& worker) const;
  void place();
  void place_kind(bool urgent, std::vector<scheduling::placement_worker>& view);
  bool place_one(coordination::job_number number, detail::job_track& job,
                 std::vector<scheduling::placement_worker>& view);
  bool awaits_measurement(coordination::job_number number,
                          const detail::job_track& job,
                          const scheduling::placement_task& task) const;
  std::vector<scheduling::placement_worker> placement_view();
  std::set<model::worker_id> workers_to_avoid(const task_key& key,
                                              bool urgent) const;
  void update_hold();
  void flush_starts();
  void evict_where_not_allowed();
  void find_stragglers();
  void refresh_capacity();
  void count(const char* name, std::string reason, std::uint64_t amount = 1);
  model::time_point next_tick() const;

  const coordination::shard_state& fold() const { return reader.state(); }

  // Identity and inputs.
  model::shard_id shard;
  model::instance_id self;
  model::incarnation incarnation;
  shard_limits limits;
  model::time_point now;
  std::optional<model::time_point> first_step;
  bool fresh = false;
  bool log_reachable = false;
  bool log_reachable_by_peer = false;
  model::time_point last_contact;
  batch_policy policy;
  std::map<model::instance_id, model::time_point> dead_since;
  std::map<std::pair<model::instance_id, model::incarnation>, model::time_point>
      superseded_since;
  std::map<model::instance_id, model::incarnation> members;
  std::map<model::shard_id, events::shards_changed::room> shards;
  model::time_point rooms_settle_at;

  // Log.
  coordination::shard_reader reader;
  coordination::append_tracker tracker;
  /// By sequence number of the record.
  std::map<std::uint64_t, detail::waiting_record> waiting;
  std::map<model::epoch, detail::former_owner> owners;
  std::map<task_key, model::epoch> start_epochs;
  bool owner = false;
  model::epoch epoch = 0;
  model::time_point owned_since;
  bool releasing = false;
  bool was_released = false;
  bool snapshot_waiting = false;
  bool claim_waiting = false;
  bool release_waiting = false;
  bool draining = false;
  model::time_point last_log_read;

  // Workers, calls, attempts and jobs; empty while not the owner, except for
  // the workers and their own leases.
  std::map<model::worker_id, worker_entry> workers;
  std::map<call_id, detail::call_entry> calls;
  call_id last_call = 0;
  std::map<task_key, attempt> attempts;
  std::set<task_key> unsent;
  std::set<task_key> evicting;
  std::vector<coordination::task_end> ends;
  std::vector<coordination::task_start> starts;
  std::map<coordination::job_number, detail::job_track> jobs;
  std::map<coordination::job_number, std::map<std::string, std::int64_t>>
      spread;
  std::map<task_key, detail::failure_entry> failures;
  /// Where a straggler was moved away from.
  std::map<task_key, model::worker_id> moved_from;
  std::map<coordination::job_number, model::time_point> delegations;
  std::map<coordination::job_number, model::time_point> delegated_cancels;
  std::optional<coordination::job_number> held_for;
  model::worker_id held_worker;

  // Decisions.
  scheduling::usage_model usage;
  scheduling::interference_model interference;
  scheduling::team_quotas quotas;
  scheduling::start_probation probation;
  scheduling::checkpoint_rate_limiter pacer;
  scheduling::capacity_ramp ramp;
  bool placement_due = false;
  model::time_point next_pass;
  model::time_point next_blocked_pass;
  model::time_point next_straggler_check;
  /// Mean run time by class, from finished attempts.
  std::map<model::class_id, model::milliseconds> run_times;

  std::vector<action> out;
  model::time_point last_tick;
};

}  // namespace vanillaladder::control
