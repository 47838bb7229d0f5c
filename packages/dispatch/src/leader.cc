#include "dispatch/leader.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <span>
#include <utility>
#include <variant>

#include "batch/job_records.h"
#include "batch/work_budget.h"
#include "dispatch/clock.h"
#include "dispatch/rising_timeout.h"
#include "dispatch/work_timer.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

constexpr std::chrono::milliseconds retry_pause{100};
/// A plan that exceeds the budget of one event-loop turn continues in later
/// turns. Its parts share one append unless that would delay the first start by
/// more than this.
constexpr std::chrono::milliseconds max_planning_time{200};
/// Orders sent and workers linked in one event-loop turn: each takes up to 1 ms
/// on the slowest instances and delays the renewal of the lease.
constexpr std::size_t max_orders_per_turn = 32;
constexpr std::size_t max_links_per_turn = 64;
/// No task is placed while more starts wait to be sent: they would leave late,
/// and urgent tasks behind them. The slowest instances send as many in 0.3 s.
constexpr std::size_t max_unsent_starts = 128;
/// Starts of one plan, for the same reason. Enough for 700 starts/s while the
/// store takes 0.7 s for an append.
constexpr std::size_t max_starts_per_plan = 512;
/// Progress that is read before the jobs are known.
constexpr std::size_t max_early_bytes = 4U << 20;
/// How often the states of jobs that ended long ago are removed.
constexpr std::chrono::seconds sweep_interval{10};
constexpr std::chrono::seconds organisation_report_interval{1};

}  // namespace

struct leader::impl : std::enable_shared_from_this<leader::impl> {
  impl(leader_context context_in, const leader_options& options_in,
       std::unique_ptr<external::worker_gateway> gateway_in,
       model::epoch epoch_in)
      : context(std::move(context_in)),
        options(options_in),
        gateway(std::move(gateway_in)),
        epoch(epoch_in),
        scheduler(options.scheduling, boot_now(),
                  [report = context.report](std::string line) {
                    report.routine("scheduler", line);
                  }),
        progress_writer(context.loop, context.store,
                        std::string(batch::progress_topic), "leader", epoch,
                        context.may_act, context.report, options.store_limits),
        jobs_writer(context.loop, context.store, std::string(batch::jobs_topic),
                    "leader", epoch, context.may_act, context.report,
                    options.store_limits),
        restore_timer(context.report, "restore"),
        link_timer(context.report, "link_workers"),
        plan_timer(context.report, "plan"),
        send_timer(context.report, "send_orders") {}

  void open_writers();
  bool on_writer_opened(const absl::Status& status);
  void on_topic_loaded(std::string_view topic);
  model::milliseconds since_start() const;
  void load_progress(const std::string& after);
  void begin_restore();
  void restore_records(std::span<const batch::topic_record> records);
  bool restore_record(const batch::topic_record& record);
  void finish_restore();
  void apply_config();
  void take_over();
  void link_workers(std::vector<model::worker_id> ids);
  void update_closed_domains();
  void restore_jobs();
  void restore_job(const batch::job_directory::entry& job);
  void request_plan();
  std::size_t allowed_starts() const;
  bool may_place_again() const {
    return placement_put_off && allowed_starts() > 0;
  }
  batch::commit make_plan();
  bool has_unsent_orders() const {
    return !unsent_orders.empty() || !unsent_starts.empty();
  }
  void queue_orders(std::vector<batch::order> orders);
  void send_next_orders();
  void send_unplanned_orders();
  void plan();
  void plan_slice();
  void store(batch::commit commit);
  void store_job_records();
  void drop_unstored(std::vector<batch::order>& orders);
  bool check_stored(const absl::Status& status);
  void on_progress_stored();
  void plan_changes();
  void tick();
  void report_organisations();
  void report_look_ahead();
  void report_memory();
  void sweep();
  void on_superseded(std::string_view noticed_by);
  void defer(std::chrono::milliseconds pause, std::function<void()> step);

  leader_context context;
  leader_options options;
  std::unique_ptr<external::worker_gateway> gateway;
  model::epoch epoch;
  batch::scheduler scheduler;
  batch::work_budget budget;
  /// Orders that may be sent now, in sending order. Stops and paces are sent
  /// before starts: cancelled tasks have to end, and tasks beside serving ones
  /// to slow down, within seconds.
  std::deque<batch::order> unsent_orders;
  std::deque<batch::order> unsent_starts;
  /// Accumulated parts of an incomplete plan.
  batch::commit partial_plan;
  record_writer progress_writer;
  record_writer jobs_writer;
  work_timer restore_timer;
  work_timer link_timer;
  work_timer plan_timer;
  work_timer send_timer;
  std::unique_ptr<worker_links> links;
  /// Progress that was read before the jobs were known.
  std::vector<batch::topic_record> early_records;
  std::size_t early_bytes = 0;
  /// Reads the next page of the progress, held until the jobs are known.
  std::function<void()> held_page;
  bool jobs_restored = false;
  std::int64_t records_restored = 0;
  std::int64_t records_unreadable = 0;
  rising_timeout page_timeout = make_page_timeout();
  absl::flat_hash_map<std::string, batch::worker_entry> workers;
  model::time_point started = boot_now();
  /// When the current or the last plan was started.
  model::time_point plan_started_at;
  int topics_to_open = 2;
  int topics_to_load = 2;
  bool active = false;
  bool stopped = false;
  bool plan_requested = false;
  /// Whether the current plan continues in the next event-loop turn.
  bool plan_incomplete = false;
  /// Whether the last plan placed nothing, because starts wait to be sent.
  bool placement_put_off = false;
  bool progress_in_flight = false;
  bool jobs_in_flight = false;
  /// Records of jobs that wait for the append in flight, and the number of the
  /// last plan among theirs.
  std::vector<batch::topic_record> unsent_job_records;
  std::int64_t last_unsent_plan = 0;
  model::time_point last_sweep_at = boot_now();
  model::time_point organisations_reported_at;
};

void leader::impl::defer(std::chrono::milliseconds pause,
                         std::function<void()> step) {
  context.loop.call_after(pause,
                          [self = shared_from_this(), step = std::move(step)] {
                            if (!self->stopped) {
                              step();
                            }
                          });
}

void leader::impl::on_superseded(std::string_view noticed_by) {
  if (stopped) {
    return;
  }
  stopped = true;
  // Deferred because the callback destroys the callers of this function.
  context.loop.call_after(std::chrono::milliseconds(0),
                          [notify = context.on_superseded,
                           who = std::string(noticed_by)] { notify(who); });
}

/// Registers with both topics in parallel: each registration may take as long
/// as a lease while answers of the store are lost.
void leader::impl::open_writers() {
  progress_writer.open(
      [self = shared_from_this()](const absl::StatusOr<model::offset>& end) {
        if (self->on_writer_opened(end.status())) {
          self->load_progress("");
        }
      });
  jobs_writer.open(
      [self = shared_from_this()](const absl::StatusOr<model::offset>& end) {
        if (self->on_writer_opened(end.status())) {
          self->context.jobs_follower.refresh([](bool) {});
          self->context.jobs_follower.when_reached(*end, [self] {
            if (!self->stopped) {
              self->begin_restore();
              self->on_topic_loaded("jobs");
            }
          });
        }
      });
}

/// @return whether the takeover continues.
bool leader::impl::on_writer_opened(const absl::Status& status) {
  if (stopped) {
    return false;
  }
  if (!status.ok()) {
    on_superseded("store");
    return false;
  }
  if (--topics_to_open == 0) {
    context.report.event("leader",
                         absl::StrCat("earlier_leaders_fenced epoch=", epoch,
                                      " after_ms=", since_start().count()));
  }
  return true;
}

/// Completes the takeover once both topics have been read up to the
/// registrations.
void leader::impl::on_topic_loaded(std::string_view topic) {
  if (stopped) {
    return;
  }
  context.report.event("leader",
                       absl::StrCat("loaded topic=", std::string(topic),
                                    " after_ms=", since_start().count()));
  if (--topics_to_load == 0) {
    take_over();
  }
}

model::milliseconds leader::impl::since_start() const {
  return std::chrono::duration_cast<model::milliseconds>(boot_now() - started);
}

void leader::impl::load_progress(const std::string& after) {
  context.store.read_newest(
      std::string(batch::progress_topic), after, page_timeout.value(),
      [self = shared_from_this(),
       after](absl::StatusOr<external::newest_page> page) {
        if (self->stopped) {
          return;
        }
        if (!page.ok()) {
          if (absl::IsUnknown(page.status())) {
            self->page_timeout.on_unanswered();
          }
          self->defer(retry_pause,
                      [self, after] { self->load_progress(after); });
          return;
        }
        self->page_timeout.on_answered();
        self->restore_records(page->records);
        if (!page->more || page->records.empty()) {
          self->on_topic_loaded("progress");
          return;
        }
        auto next = [self = self.get(), last = page->records.back().key] {
          self->load_progress(last);
        };
        if (self->early_bytes > max_early_bytes) {
          self->held_page = next;
        } else {
          next();
        }
      });
}

void leader::impl::restore_job(const batch::job_directory::entry& job) {
  if (job.spec == nullptr) {
    return;
  }
  scheduler.add_job(job.spec, boot_now(), wall_now());
  if (job.status.state == batch::job_state::running) {
    scheduler.restore_begun(job.spec->id);
  }
}

/// Restores the jobs in the order of their acceptance, which decides which of
/// an organisation are beyond its rate.
void leader::impl::restore_jobs() {
  std::vector<const batch::job_directory::entry*> jobs;
  context.jobs.for_each([&jobs](const auto&, const auto& job) {
    if (job.spec != nullptr) {
      jobs.push_back(&job);
    }
  });
  if (context.config.requires_keys()) {
    std::ranges::sort(jobs, {},
                      [](const auto* job) { return job->spec->accepted_at; });
  }
  for (const auto* job : jobs) {
    restore_job(*job);
  }
}

void leader::impl::apply_config() {
  scheduler.set_queues(context.config.policies());
  scheduler.set_organisations(context.config.organisation_policies());
  update_closed_domains();
}

/// Restores the jobs, and the progress that was read before them.
void leader::impl::begin_restore() {
  auto timing = restore_timer.begin();
  apply_config();
  scheduler.inherit_lost_workers(context.lost_workers);
  restore_jobs();
  jobs_restored = true;
  restore_records(std::exchange(early_records, {}));
  early_bytes = 0;
  if (auto next = std::exchange(held_page, nullptr)) {
    next();
  }
}

/// Restores a page of the progress. All pages together may take more memory
/// than what they are restored to.
void leader::impl::restore_records(
    std::span<const batch::topic_record> records) {
  if (!jobs_restored) {
    early_records.insert(early_records.end(), records.begin(), records.end());
    for (const auto& record : records) {
      early_bytes += external::record_bytes(record);
    }
    return;
  }
  auto timing = restore_timer.begin();
  for (const auto& record : records) {
    ++records_restored;
    records_unreadable += restore_record(record) ? 0 : 1;
  }
}

/// @return false if the record can't be read.
bool leader::impl::restore_record(const batch::topic_record& record) {
  if (auto completed = batch::parse_completed_key(record.key)) {
    auto occurrences = batch::parse_occurrence_set(record.value);
    if (occurrences &&
        !scheduler.restore_completed(completed->job, *occurrences)) {
      scheduler.remove_progress(*completed);
    }
    return occurrences.has_value();
  }
  auto key = batch::parse_progress_key(record.key);
  auto progress = batch::decode_progress(record.value);
  if (!key || !progress.ok()) {
    return false;
  }
  auto wall = wall_now();
  bool has_age = progress->stored_at > 0 && progress->stored_at < wall;
  batch::milliseconds age(has_age ? wall - progress->stored_at : 0);
  if (!scheduler.restore_progress(key->step, progress->tasks, boot_now(),
                                  key->part, age)) {
    scheduler.remove_progress(*key);
  }
  return true;
}

/// Completes the restored state with what has changed since `begin_restore`.
void leader::impl::finish_restore() {
  auto timing = restore_timer.begin();
  apply_config();
  restore_jobs();
  for (const auto& entry : context.unlisted_workers) {
    scheduler.on_earlier_entry(entry.info.id, entry.incarnation, boot_now());
  }
  context.jobs.for_each([this](const auto& id, const auto& job) {
    if (job.spec == nullptr) {
      return;
    }
    if (batch::has_ended(job.status.state)) {
      scheduler.end_job(id, job.status.state, boot_now());
    } else if (job.cancelled) {
      scheduler.cancel_job(id, boot_now());
    }
  });
  if (records_unreadable > 0) {
    context.report.event("leader", absl::StrCat("progress_unreadable records=",
                                                records_unreadable));
  }
}

void leader::impl::take_over() {
  finish_restore();
  context.report.event(
      "leader",
      absl::StrCat("took_over epoch=", epoch, " jobs=", scheduler.jobs(),
                   " steps=", records_restored, " workers=", workers.size(),
                   " state_bytes=", scheduler.state_bytes(),
                   " took_ms=", since_start().count()));
  links = std::make_unique<worker_links>(
      context.loop, *gateway, scheduler, epoch, options.links,
      link_permissions{context.may_act,
                       [this] { return context.starts.is_open(boot_now()); },
                       context.may_extend_lease},
      worker_links::listener{[this] { request_plan(); },
                             [this] { on_superseded("worker"); }},
      context.report);
  active = true;
  std::vector<model::worker_id> known;
  for (const auto& [id, entry] : workers) {
    known.push_back(id);
  }
  link_workers(std::move(known));
  tick();
}

/// Opens the links to known workers in batches, one per event-loop turn.
void leader::impl::link_workers(std::vector<model::worker_id> ids) {
  auto timing = link_timer.begin();
  auto count = std::min(ids.size(), max_links_per_turn);
  for (std::size_t n = 0; n < count; ++n) {
    if (auto found = workers.find(ids[n]); found != workers.end()) {
      scheduler.update_worker(found->second, boot_now());
      links->update(found->second);
    }
  }
  ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(count));
  if (!ids.empty()) {
    defer(std::chrono::milliseconds(0),
          [this, ids = std::move(ids)] { link_workers(ids); });
  }
}

void leader::impl::update_closed_domains() {
  const auto& closed = context.config.closed_domains();
  scheduler.set_closed_domains({closed.begin(), closed.end()});
}

void leader::impl::tick() {
  defer(options.max_plan_interval, [this] { tick(); });
  if (boot_now() - last_sweep_at > sweep_interval) {
    sweep();
  }
  report_organisations();
  report_look_ahead();
  report_memory();
  send_unplanned_orders();
  plan();
}

/// Updates the metrics of the organisations.
void leader::impl::report_organisations() {
  if (!context.config.requires_keys() ||
      boot_now() - organisations_reported_at < organisation_report_interval) {
    return;
  }
  organisations_reported_at = boot_now();
  auto& metrics = context.report.metrics();
  for (const auto& each : scheduler.organisation_reports()) {
    auto set = [&](std::string_view name, double value) {
      metrics.gauge(name, "organisation", each.name).set(value);
    };
    set("vanillaladder_organisation_cpu_millis",
        static_cast<double>(each.usage.cpu_millis));
    set("vanillaladder_organisation_cpu_limit_millis",
        static_cast<double>(each.limit.cpu_millis));
    set("vanillaladder_organisation_memory_mib",
        static_cast<double>(each.usage.memory_mib));
    set("vanillaladder_organisation_memory_limit_mib",
        static_cast<double>(each.limit.memory_mib));
    set("vanillaladder_organisation_dominant_share", each.dominant_share);
    set("vanillaladder_organisation_fair_share", each.fair_share);
  }
}

void leader::impl::report_look_ahead() {
  if (!options.scheduling.look_ahead) {
    return;
  }
  const auto& counts = scheduler.look_ahead_decisions();
  auto& metrics = context.report.metrics();
  metrics.gauge("vanillaladder_held_steps")
      .set(static_cast<double>(counts.held_steps));
  metrics.gauge("vanillaladder_backfilled_starts")
      .set(static_cast<double>(counts.backfilled_starts));
}

void leader::impl::report_memory() {
  auto& metrics = context.report.metrics();
  metrics.gauge("vanillaladder_job_state_bytes")
      .set(static_cast<double>(scheduler.state_bytes()));
  metrics.gauge("vanillaladder_deferred_jobs")
      .set(static_cast<double>(scheduler.deferred_jobs()));
}

/// Sends the orders that need no stored record, such as stops. They don't wait
/// for the append in flight, which may have no answer for long.
void leader::impl::send_unplanned_orders() {
  if (active && context.may_act()) {
    queue_orders(scheduler.take_orders());
  }
}

/// Removes the states of jobs that ended long ago.
void leader::impl::sweep() {
  last_sweep_at = boot_now();
  auto oldest = wall_now() - options.scheduling.state_retention.count();
  context.jobs.for_each([&](const auto& id, const auto& job) {
    bool has_ended =
        batch::has_ended(job.status.state) && job.status.changed_at < oldest;
    bool never_came = !job.is_submitted() && job.cancelled_at < oldest;
    if (has_ended || never_came) {
      scheduler.remove_job_state(id);
    }
  });
}

void leader::impl::request_plan() {
  if (plan_requested || progress_in_flight || plan_incomplete || !active) {
    return;
  }
  plan_requested = true;
  auto next = plan_started_at + options.min_plan_interval;
  auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(next - boot_now());
  defer(std::max(wait, std::chrono::milliseconds(1)), [this] {
    plan_requested = false;
    plan();
  });
}

/// @return how many tasks may start in the next part of the plan.
std::size_t leader::impl::allowed_starts() const {
  auto planned = partial_plan.orders.size();
  return unsent_starts.size() > max_unsent_starts
             ? 0
             : max_starts_per_plan - std::min(planned, max_starts_per_plan);
}

batch::commit leader::impl::make_plan() {
  auto timing = plan_timer.begin();
  auto now = boot_now();
  scheduler.hold_starts(!context.starts.is_open(now));
  auto starts = allowed_starts();
  placement_put_off = starts == 0;
  auto commit = scheduler.plan(now, wall_now(), budget.units(), starts);
  budget.observe(scheduler.units_spent(), boot_now() - now);
  return commit;
}

void leader::impl::queue_orders(std::vector<batch::order> orders) {
  bool is_sending = has_unsent_orders();
  for (auto& order : orders) {
    bool is_start = std::holds_alternative<batch::start_order>(order);
    (is_start ? unsent_starts : unsent_orders).push_back(std::move(order));
  }
  if (!is_sending && has_unsent_orders()) {
    send_next_orders();
  }
}

/// Sends up to `max_orders_per_turn` orders and defers the rest.
void leader::impl::send_next_orders() {
  auto timing = send_timer.begin();
  for (std::size_t n = 0; n < max_orders_per_turn && has_unsent_orders(); ++n) {
    auto& queue = unsent_orders.empty() ? unsent_starts : unsent_orders;
    links->send(queue.front());
    queue.pop_front();
  }
  if (has_unsent_orders()) {
    defer(std::chrono::milliseconds(0), [this] { send_next_orders(); });
  }
  if (may_place_again()) {
    request_plan();
  }
}

void leader::impl::plan() {
  if (progress_in_flight || plan_incomplete || !active || !context.may_act()) {
    return;
  }
  plan_started_at = boot_now();
  plan_slice();
}

/// Plans until the budget of this event-loop turn is spent, so that lease
/// renewals, reports and callers are served before the next part.
void leader::impl::plan_slice() {
  partial_plan.append(make_plan());
  queue_orders(scheduler.take_orders());
  plan_incomplete = scheduler.is_budget_exhausted() && allowed_starts() > 0 &&
                    boot_now() - plan_started_at < max_planning_time;
  if (plan_incomplete) {
    defer(std::chrono::milliseconds(0), [this] { plan_slice(); });
    return;
  }
  auto commit = std::exchange(partial_plan, {});
  if (commit.empty()) {
    on_progress_stored();
    if (scheduler.is_budget_exhausted()) {
      request_plan();
    }
    return;
  }
  store(std::move(commit));
}

void leader::impl::store(batch::commit commit) {
  if (!commit.jobs.empty()) {
    unsent_job_records.insert(unsent_job_records.end(),
                              std::make_move_iterator(commit.jobs.begin()),
                              std::make_move_iterator(commit.jobs.end()));
    last_unsent_plan = commit.plan;
    store_job_records();
  }
  if (commit.progress.empty()) {
    on_progress_stored();
    queue_orders(std::move(commit.orders));
    plan_changes();
    return;
  }
  progress_in_flight = true;
  if (!commit.orders.empty()) {
    context.report.routine("leader",
                           absl::StrCat("starts_planned plan=", commit.plan,
                                        " starts=", commit.orders.size(),
                                        context.starts.ages(boot_now())));
  }
  progress_writer.append(
      commit.progress,
      [self = shared_from_this(), orders = std::move(commit.orders)](
          absl::StatusOr<model::offset> end) mutable {
        self->progress_in_flight = false;
        if (self->check_stored(end.status())) {
          self->on_progress_stored();
          self->drop_unstored(orders);
          self->queue_orders(std::move(orders));
          self->plan_changes();
        }
      });
}

/// Drops the starts whose record the store has refused.
void leader::impl::drop_unstored(std::vector<batch::order>& orders) {
  const auto& refused = progress_writer.refused_keys();
  if (refused.empty()) {
    return;
  }
  std::erase_if(orders, [&](const batch::order& order) {
    const auto* start = std::get_if<batch::start_order>(&order);
    if (start == nullptr) {
      return false;
    }
    auto key = to_string(batch::progress_key{
        start->task.step, batch::progress_part_of(start->task.index)});
    if (std::ranges::find(refused, key) == refused.end()) {
      return false;
    }
    scheduler.on_start_result(start->worker, start->task, start->run,
                              batch::start_outcome::not_run, boot_now());
    return true;
  });
}

/// Stores the records of jobs that are not stored yet. Plans don't wait for
/// them: callers append to the same topic, and while the store is slow their
/// appends take seconds.
void leader::impl::store_job_records() {
  if (jobs_in_flight || unsent_job_records.empty()) {
    return;
  }
  jobs_in_flight = true;
  auto records = std::exchange(unsent_job_records, {});
  jobs_writer.append(
      records, [self = shared_from_this(),
                plan = last_unsent_plan](absl::StatusOr<model::offset> end) {
        self->jobs_in_flight = false;
        if (self->check_stored(end.status())) {
          self->scheduler.on_jobs_committed(plan);
          self->store_job_records();
          self->plan_changes();
        }
      });
}

/// @return whether this leader continues after an append.
bool leader::impl::check_stored(const absl::Status& status) {
  if (stopped) {
    return false;
  }
  if (!status.ok()) {
    context.report.event(
        "leader",
        absl::StrCat("append_refused error=", runtime::error_message(status)));
    on_superseded("store");
    return false;
  }
  return true;
}

void leader::impl::on_progress_stored() {
  scheduler.on_progress_committed();
  links->on_ends_stored();
}

void leader::impl::plan_changes() {
  if (scheduler.has_changes() || may_place_again()) {
    request_plan();
  }
}

leader::leader(leader_context context, const leader_options& options,
               std::unique_ptr<external::worker_gateway> gateway,
               model::epoch epoch)
    : impl_(std::make_shared<impl>(std::move(context), options,
                                   std::move(gateway), epoch)) {}

leader::~leader() {
  impl_->stopped = true;
  impl_->links.reset();
  impl_->gateway.reset();
}

void leader::start() {
  impl_->open_writers();
}

void leader::on_job(const model::job_id& id,
                    batch::job_directory::change change) {
  if (!impl_->active) {
    return;
  }
  const auto* job = impl_->context.jobs.find(id);
  using kind = batch::job_directory::change;
  if (job != nullptr && change == kind::job_added) {
    impl_->scheduler.add_job(job->spec, boot_now(), wall_now());
    if (job->cancelled) {
      impl_->scheduler.cancel_job(id, boot_now());
    }
  } else if (change == kind::job_cancelled) {
    impl_->scheduler.cancel_job(id, boot_now());
    impl_->send_unplanned_orders();
  } else if (change == kind::duplicate_job) {
    impl_->scheduler.remove_duplicate_job(id);
  } else {
    return;
  }
  impl_->request_plan();
}

void leader::on_config() {
  if (impl_->active) {
    impl_->apply_config();
    impl_->request_plan();
  }
}

void leader::on_worker(const batch::worker_entry& entry) {
  impl_->workers.insert_or_assign(entry.info.id, entry);
  if (impl_->active) {
    impl_->scheduler.update_worker(entry, boot_now());
    impl_->links->update(entry);
    impl_->request_plan();
  }
}

void leader::on_worker_removed(const model::worker_id& id) {
  auto found = impl_->workers.find(id);
  if (found != impl_->workers.end()) {
    if (!impl_->active) {
      impl_->context.unlisted_workers.push_back(std::move(found->second));
    }
    impl_->workers.erase(found);
  }
  if (impl_->active) {
    impl_->scheduler.remove_worker(id, boot_now());
  }
}

std::optional<std::vector<batch::lost_worker>> leader::lost_workers() const {
  if (!impl_->active) {
    return std::nullopt;
  }
  return impl_->scheduler.lost_workers(boot_now());
}

bool leader::active() const {
  return impl_->active;
}

}  // namespace vanillaladder::dispatch
