#include "cluster.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillaladder::bench {
namespace {

using namespace std::chrono_literals;
using namespace control;

constexpr std::int64_t worker_cpu_millis = 32'000;
constexpr std::int64_t worker_memory_mib = std::int64_t{125} * 1024;
const std::vector<model::class_id> classes = {"report", "sync", "sheet",
                                              "export"};
constexpr unsigned teams = 3;
constexpr double largest_pair_slowdown = 0.02;
/// Part of its memory that a growing task uses at its start.
constexpr double memory_part_at_start = 0.4;
/// Pending tasks kept in each shard, more than its workers finish in a minute.
constexpr std::uint64_t backlog = 200;
constexpr milliseconds delay = 1ms;
constexpr milliseconds poll_interval = 500ms;
constexpr milliseconds lease_duration = 10s;

events::worker_call_done done(call_id number, bool ok, lease_id lease = {},
                              std::string checkpoint = {}) {
  return {number, ok ? call_outcome::ok : call_outcome::refused,
          std::move(lease), std::move(checkpoint)};
}

std::string job_of(const std::string& task) {
  return task.substr(0, task.rfind(':'));
}

}  // namespace

cluster::cluster(const deployment& where, const scenario& what)
    : scenario_(what), random_(what.seed) {
  for (const auto& slowed : classes) {
    policy_.class_kinds[slowed] = class_kind::batch;
    for (const auto& by : classes)
      slowdowns_[slowed][by] = draw(0, largest_pair_slowdown);
  }
  add_workers(where);
  for (model::shard_id i = 0; i < model::placement_shard_count; ++i)
    shards_.push_back({i, nullptr, {}, {}});
  for (auto& owner : shards_)
    boot(owner);
}

void cluster::add_workers(const deployment& where) {
  for (unsigned i = 0; i < where.workers; ++i) {
    const auto domain = absl::StrCat("d", i % where.domains);
    const auto rack = i / where.domains / where.workers_per_rack;
    const double left = 1 - draw(0.3, 0.6);
    worker added;
    added.info = {
        absl::StrCat("w", i),
        "127.0.0.1",
        1,
        domain,
        absl::StrCat("r", rack),
        {std::llround(left * static_cast<double>(worker_cpu_millis)),
         std::llround(left * static_cast<double>(worker_memory_mib)), 0},
        model::instance_state::live};
    added.slowdowns = &slowdowns_;
    worker_index_[added.info.id] = i;
    workers_.push_back(std::move(added));
  }
  workers_.front().fails_everything = scenario_.one_fails;
}

void cluster::boot(shard& owner) {
  const auto id = absl::StrCat("i", owner.number);
  shard_limits limits;
  limits.first_fit = scenario_.first_fit;
  owner.machine = std::make_unique<shard_machine>(owner.number, id, 1, limits);
  std::vector<model::worker_info> own;
  for (const auto& entry : workers_)
    if (coordination::worker_shard(entry.info.id) == owner.number)
      own.push_back(entry.info);
  deliver(owner, events::workers_changed{own});
  deliver(owner, events::policy_changed{policy_});
  deliver(owner, events::view_freshness_changed{true, true, false});
  deliver(owner, events::members_changed{{{id, 1}}});
  read_log(owner);
  deliver(owner, events::claim_shard{});
  poll(owner);
}

void cluster::poll(shard& owner) {
  read_log(owner);
  submit_jobs(owner);
  after(poll_interval, [this, &owner] { poll(owner); });
}

void cluster::submit_jobs(shard& owner) {
  if (!refill || !owner.machine->is_owner())
    return;
  std::uint64_t running = 0;
  for (const auto& entry : workers_)
    if (coordination::worker_shard(entry.info.id) == owner.number)
      running += entry.running_count();
  while (owner.submitted - owner.finished < running + backlog)
    submit_job(owner);
}

double cluster::draw(double low, double high) {
  const double part = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  return low + (high - low) * part;
}

/// @return real over declared, evenly distributed on a logarithmic scale.
double cluster::draw_error(const model::class_id& job_class,
                           unsigned dimension) {
  const double own = std::exp(draw(std::log(0.5), std::log(3.0)));
  if (!scenario_.error_per_class)
    return own;
  return class_errors_.try_emplace({job_class, dimension}, own).first->second;
}

void cluster::submit_job(shard& owner) {
  const auto& job_class = classes[random_() % classes.size()];
  const model::resources use{
      std::llround(draw(500, 3'000)),
      std::llround(scenario_.growing_memory ? draw(2'048, 12'288)
                                            : draw(512, 5'120)),
      0};
  const double alone_ms = draw(60'000, 300'000);
  const auto declared = [&](double real, unsigned dimension) {
    return std::llround(real / draw_error(job_class, dimension));
  };
  job_request job;
  job.id = absl::StrCat("s0", owner.number, "-", ++owner.jobs);
  job.team = absl::StrCat("team", random_() % teams);
  job.job_class = job_class;
  job.tasks = static_cast<std::uint32_t>(4 + random_() % 21);
  job.size = {declared(static_cast<double>(use.cpu_millis), 0),
              declared(static_cast<double>(use.memory_mib), 1), 0};
  job.expected_run_ms = declared(alone_ms, 2);
  needs_[job.id] = {job_class, use, alone_ms,
                    scenario_.growing_memory ? memory_part_at_start : 1};
  for (std::uint32_t task = 0; task < job.tasks; ++task)
    ends_[absl::StrCat(job.id, ":", task)] = 0;
  owner.submitted += job.tasks;
  deliver(owner, events::submit_job{++last_token_, job, false});
}

void cluster::run_for(milliseconds duration) {
  const auto end = now_ + duration;
  while (!queue_.empty() && queue_.top().at <= end) {
    const auto next = queue_.top();
    queue_.pop();
    now_ = std::max(now_, next.at);
    next.task();
  }
  now_ = end;
  settle();
}

bool cluster::drain(milliseconds limit) {
  refill = false;
  const auto ended = [this] {
    return std::ranges::all_of(shards_, [](const auto& owner) {
      return std::ranges::all_of(
          owner.machine->state().jobs(),
          [](const auto& entry) { return entry.second.ended; });
    });
  };
  const auto end = now_ + limit;
  while (!ended() && now_ < end)
    run_for(10s);
  return ended();
}

void cluster::set_domain_out(const model::domain_id& domain, bool out) {
  if (out)
    policy_.domains_out.insert(domain);
  else
    policy_.domains_out.erase(domain);
  for (auto& owner : shards_)
    deliver(owner, events::policy_changed{policy_});
}

void cluster::settle() {
  for (auto& entry : workers_)
    advance(entry);
}

std::size_t cluster::finished_other_than_once() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      ends_, [](const auto& entry) { return entry.second != 1; }));
}

void cluster::after(milliseconds wait, std::function<void()> task) {
  queue_.push({now_ + wait, ++last_event_, std::move(task)});
}

void cluster::deliver(shard& owner, const event& input) {
  for (const auto& wanted : owner.machine->step(input, now_))
    std::visit([&](const auto& typed) { perform(owner, typed); }, wanted);
}

void cluster::read_log(shard& owner) {
  coordination::read_result read;
  read.next = static_cast<model::offset>(owner.log.size());
  for (auto at = owner.machine->next_offset(); at < read.next; ++at)
    read.records.push_back({at, owner.log[static_cast<std::size_t>(at)]});
  deliver(owner, events::log_read{read});
}

void cluster::advance(worker& target) {
  for (const auto& ended : target.advance(now_))
    finish(ended);
}

void cluster::schedule_end(worker& target) {
  const auto end = target.next_end();
  if (!end)
    return;
  queue_.push({std::max(*end, now_), ++last_event_, [this, &target] {
                 const auto before = target.running_count();
                 advance(target);
                 if (target.running_count() != before)
                   schedule_end(target);
               }});
}

void cluster::finish(const worker::run& ended) {
  const auto& need = ended.need;
  const auto cores = static_cast<double>(need.use.cpu_millis) / 1000;
  const auto size = static_cast<double>(std::max(need.use.cpu_millis,
                                                 ended.start.size.cpu_millis)) /
                    1000;
  ++ends_[ended.start.id.task];
  ++finished;
  ++shards_[static_cast<std::size_t>(ended.start.id.task[2] - '0')].finished;
  finished_cpu_ms += ended.cpu_ms;
  finished_work_ms += need.alone_ms * cores;
  finished_size_ms += ended.cpu_ms / cores * size;
}

void cluster::call(shard& owner, const model::worker_id& name,
                   std::function<event(worker&)> work) {
  after(delay, [this, &owner, name, work = std::move(work)] {
    worker& target = workers_[worker_index_.at(name)];
    advance(target);
    const event result = work(target);
    schedule_end(target);
    after(delay, [this, &owner, result] { deliver(owner, result); });
  });
}

void cluster::perform(shard& owner, const actions::append& wanted) {
  after(0ms, [this, &owner, wanted] {
    const auto at = static_cast<model::offset>(owner.log.size());
    owner.log.insert(owner.log.end(), wanted.batch.records.begin(),
                     wanted.batch.records.end());
    deliver(owner, events::append_answered{wanted.batch.number, at});
    read_log(owner);
  });
}

void cluster::perform(shard& owner, const actions::acquire_lease& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    const lease_id lease = absl::StrCat("l", ++last_lease_);
    target.leases[lease] = now_ + lease_duration;
    return done(wanted.call, true, lease);
  });
}

void cluster::perform(shard& owner, const actions::renew_lease& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    const auto found = target.leases.find(wanted.lease);
    const bool ok = found != target.leases.end() && found->second > now_;
    if (ok)
      found->second = now_ + lease_duration;
    return done(wanted.call, ok);
  });
}

void cluster::perform(shard& owner, const actions::delete_lease& wanted) {
  call(owner, wanted.worker, [=](worker& target) {
    return done(wanted.call, target.leases.erase(wanted.lease) > 0);
  });
}

void cluster::perform(shard& owner, const actions::list_worker& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    return events::worker_listed{wanted.call, target.report(now_)};
  });
}

void cluster::perform(shard& owner, const actions::start_task& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    const auto& need = needs_.at(job_of(wanted.start.id.task));
    return done(wanted.call, target.start(wanted.start, need, now_));
  });
}

void cluster::perform(shard& owner, const actions::adopt_task& wanted) {
  call(owner, wanted.worker, [=](worker& target) {
    auto* const task = target.running(wanted.id);
    if (task != nullptr)
      task->start.lease = wanted.lease;
    return done(wanted.call, task != nullptr);
  });
}

void cluster::perform(shard& owner, const actions::checkpoint_task& wanted) {
  call(owner, wanted.worker, [=](worker& target) {
    const auto* const task = target.running(wanted.id);
    return done(wanted.call, task != nullptr, {},
                task == nullptr ? "" : std::to_string(task->done_ms));
  });
}

void cluster::perform(shard& owner, const actions::throttle_task& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    return done(wanted.call, target.throttle(wanted.id, wanted.percent, now_));
  });
}

void cluster::perform(shard& owner, const actions::stop_task& wanted) {
  call(owner, wanted.worker, [=, this](worker& target) {
    return done(wanted.call, target.stop(wanted.id, now_));
  });
}

void cluster::perform(shard& owner, const actions::acknowledge_end& wanted) {
  call(owner, wanted.worker, [=](worker& target) {
    if (target.running(wanted.id) == nullptr)
      target.runs.erase(wanted.id);
    return done(wanted.call, true);
  });
}

void cluster::perform(shard& owner, const actions::set_next_tick& wanted) {
  if (owner.next_tick > now_ && owner.next_tick <= wanted.at)
    return;
  owner.next_tick = wanted.at;
  queue_.push({wanted.at, ++last_event_,
               [this, &owner] { deliver(owner, events::tick{}); }});
}

void cluster::perform(shard& /*owner*/, const actions::count& counted) {
  counts_[counted.name + "/" + counted.reason] += counted.amount;
}

void cluster::perform(shard& /*owner*/, const actions::reply_submit& reply) {
  if (reply.result != submit_result::created)
    ++counts_["submissions_not_created/" + reply.reason];
}

}  // namespace vanillaladder::bench
