#include "dispatch/scheduling_daemon.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

#include "batch/job_records.h"
#include "batch/lease_bound.h"
#include "dispatch/clock.h"
#include "dispatch/job_admission.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

// Pauses between reads of a topic with frequent records. Each read of each
// daemon has a cost, so only the leader, whose copies determine what starts
// where, reads often. The others read when a caller asks for a job whose copy
// is old, and when they begin to lead.
constexpr std::chrono::milliseconds follower_jobs_pause{1000};
constexpr std::chrono::milliseconds leader_jobs_pause{15};
constexpr std::chrono::milliseconds follower_workers_pause{2000};
constexpr std::chrono::milliseconds leader_workers_pause{250};
constexpr std::chrono::milliseconds read_wait{1000};
/// A read that waits shows the topic as of its sending, so the leader's wait is
/// a part of the age of its copies.
constexpr std::chrono::milliseconds leader_read_wait{500};

// Ages of the leader's copies above which nothing starts. A cancel holds 3 s
// after its confirmation and a domain is empty of new work 5 s after its
// closing; a configuration is in force, and a leaving worker gets no more work,
// after 2 s. An order that is sent reaches its worker within 0.5 s.
constexpr std::chrono::milliseconds max_jobs_age{2500};
constexpr std::chrono::milliseconds max_operator_age{1500};
constexpr std::chrono::milliseconds max_workers_age{1500};

/// Longer than the runs of a lost worker may go on.
constexpr std::chrono::seconds unlisted_retention{60};
/// Timeout of an additional read of a copy that grows old.
constexpr std::chrono::milliseconds refresh_timeout{1200};

/// Additional time for which an earlier leader may send orders after a
/// takeover, beyond the lease that its last order may have granted.
constexpr std::chrono::milliseconds handover_slack{300};

/// Longer than the outages of the store that runs should survive, shorter than
/// the 6 s after which an unreachable long-running task counts as lost.
constexpr std::chrono::milliseconds preferred_lease{5500};

constexpr std::string_view lease_topic = "keyed.lease";

std::chrono::milliseconds duration_on_slowest_clock(
    std::chrono::milliseconds lease) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(lease.count()) / batch::lease_bound::min_clock_rate));
}

watched_copy watch(topic_follower& follower, std::string topic,
                   std::chrono::milliseconds max_age) {
  return {std::move(topic), max_age,
          [&follower] { return follower.current_as_of(); },
          [&follower](std::function<void()> done) {
            follower.refresh([done = std::move(done)](bool) { done(); },
                             refresh_timeout);
          }};
}

std::size_t jobs_budget(const daemon_settings& settings) {
  return job_admission::budget_of(settings.memory_mib << 20U);
}

leadership_options leadership_options_of(const daemon_settings& settings) {
  leadership_options options;
  // A restarted process must have a different id than its predecessor.
  options.holder_id = absl::StrCat(settings.instance, "-",
                                   boot_now().time_since_epoch().count());
  options.topic = lease_topic;
  options.cpu_millis = static_cast<int>(1000 * settings.processor_share *
                                        settings.processor_speed);
  return options;
}

}  // namespace

scheduling_daemon::scheduling_daemon(http::event_loop& loop,
                                     const daemon_settings& settings,
                                     external::keyed_store& store,
                                     const record_decoder& decoder,
                                     gateway_factory make_gateway,
                                     reporter report)
    : loop_(loop),
      settings_(settings),
      store_(store),
      decoder_(decoder),
      make_gateway_(std::move(make_gateway)),
      report_(report),
      jobs_follower_(
          loop, store,
          {std::string(batch::jobs_topic), read_wait, follower_jobs_pause},
          {[this](auto key, auto value) { apply_job(key, value); },
           [this](const auto& keys) { retain_jobs(keys); }},
          report),
      operator_follower_(
          loop, store, {decoder.operator_topic(), read_wait, {}},
          {[this](auto key, auto value) { apply_operator(key, value); },
           [this](const auto& keys) { retain_closed_domains(keys); }},
          report),
      worker_follower_(
          loop, store,
          {decoder.worker_topic(), read_wait, follower_workers_pause},
          {[this](auto key, auto value) { apply_worker(key, value); },
           [this](const auto& keys) { retain_workers(keys); }},
          report),
      starts_(
          {watch(jobs_follower_, std::string(batch::jobs_topic), max_jobs_age),
           watch(operator_follower_, decoder.operator_topic(),
                 max_operator_age),
           watch(worker_follower_, decoder.worker_topic(), max_workers_age)},
          report),
      service_(
          loop, store, jobs_, config_, jobs_follower_,
          [this](auto key, auto value) {
            jobs_follower_.note_stored(key);
            apply_job(key, value);
          },
          report, settings.store_limits, &operator_follower_, settings.access,
          job_admission(jobs_budget(settings))),
      leadership_(loop, store, leadership_options_of(settings),
                  {[this](model::epoch epoch) { start_leader(epoch); },
                   [this] { stop_leader(); }, [this] { return can_lead(); },
                   [this] { return reads_fail(); },
                   [this] {
                     return leader_ == nullptr ? std::nullopt
                                               : leader_->lost_workers();
                   }},
                  report) {}

scheduling_daemon::~scheduling_daemon() = default;

void scheduling_daemon::start() {
  operator_follower_.start();
  jobs_follower_.start();
  worker_follower_.start();
  leadership_.start();
}

void scheduling_daemon::leave(std::function<void()> done) {
  leaving_ = true;
  report_.event("daemon", absl::StrCat("leaving leads=", leader_ != nullptr));
  stop_leader();
  leadership_.release(std::move(done));
}

void scheduling_daemon::apply_job(std::string_view key,
                                  std::string_view value) {
  auto change = jobs_.apply(key, value);
  if (change == batch::job_directory::change::unreadable) {
    report_.count("vanillaladder_records_unreadable_total", "topic",
                  batch::jobs_topic);
    report_.event("daemon", absl::StrCat("record_unreadable topic=",
                                         std::string(batch::jobs_topic),
                                         " key=", std::string(key)));
    return;
  }
  if (leader_ != nullptr) {
    if (auto parsed = batch::parse_job_record_key(key)) {
      leader_->on_job(parsed->job, change);
    }
  }
}

/// Drops jobs that were removed while their records were not read: the history
/// of the topic is limited, and a leader would start them again.
void scheduling_daemon::retain_jobs(const std::set<std::string>& keys) {
  auto before = jobs_.size();
  if (int changed = jobs_.retain(keys); changed > 0) {
    report_.event("daemon",
                  absl::StrCat("jobs_retained before=", before,
                               " after=", jobs_.size(), " changed=", changed));
  }
}

void scheduling_daemon::apply_operator(std::string_view key,
                                       std::string_view value) {
  auto record = decoder_.decode_operator(key, value);
  if (!record.ok()) {
    report_.count("vanillaladder_records_unreadable_total", "topic",
                  decoder_.operator_topic());
    report_.event(
        "daemon",
        absl::StrCat("record_unreadable key=", std::string(key),
                     " error=", runtime::error_message(record.status())));
    return;
  }
  if (auto* config = std::get_if<fleet_config>(&*record)) {
    auto version = config->version;
    bool applied = config_.apply(std::move(*config));
    report_.event("daemon",
                  absl::StrCat("config version=", version, " taken=", applied,
                               " in_force=", config_.version()));
  } else if (auto* closure = std::get_if<domain_closure>(&*record)) {
    if (value.empty()) {
      config_.open_domain(closure->domain);
    } else {
      config_.close_domain(closure->domain);
    }
    report_.event("daemon", absl::StrCat("domain name=", closure->domain,
                                         " closed=", !value.empty()));
  }
  if (leader_ != nullptr) {
    leader_->on_config();
  }
}

void scheduling_daemon::retain_closed_domains(
    const std::set<std::string>& keys) {
  std::set<model::domain_id> closed;
  for (const auto& key : keys) {
    // The value is not needed to recognize the kind of record.
    auto record = decoder_.decode_operator(key, "");
    if (record.ok()) {
      if (auto* closure = std::get_if<domain_closure>(&*record)) {
        closed.insert(closure->domain);
      }
    }
  }
  config_.open_all_except(closed);
  if (leader_ != nullptr) {
    leader_->on_config();
  }
}

void scheduling_daemon::apply_worker(std::string_view key,
                                     std::string_view value) {
  model::worker_id id(key);
  if (value.empty()) {
    refused_workers_.erase(id);
    remove_worker(id);
    return;
  }
  auto entry = decoder_.decode_worker(key, value);
  if (!entry.ok()) {
    report_.count("vanillaladder_records_unreadable_total", "topic",
                  decoder_.worker_topic());
    // Logged for the first, second, fourth, ... time: another writer may repeat
    // its entry.
    auto count = ++refused_workers_[id];
    if (std::has_single_bit(count)) {
      report_.event(
          "daemon",
          absl::StrCat("record_unreadable topic=", decoder_.worker_topic(),
                       " key=", id, " count=", count,
                       " listed_before=", workers_.contains(id),
                       " error=", runtime::error_message(entry.status())));
    }
    // The newest entry of this id names no worker to use.
    remove_worker(id);
    return;
  }
  refused_workers_.erase(id);
  auto& known = workers_[id];
  if (known == *entry) {
    return;
  }
  known = std::move(*entry);
  if (leader_ != nullptr) {
    leader_->on_worker(known);
  }
}

void scheduling_daemon::note_unlisted(const batch::worker_entry& entry) {
  auto now = boot_now();
  std::erase_if(unlisted_workers_, [now](const auto& each) {
    return now - each.second.at > unlisted_retention;
  });
  unlisted_workers_.insert_or_assign(entry.info.id,
                                     unlisted_worker{entry, now});
}

void scheduling_daemon::remove_worker(const model::worker_id& id) {
  auto found = workers_.find(id);
  if (found == workers_.end()) {
    return;
  }
  note_unlisted(found->second);
  workers_.erase(found);
  if (leader_ != nullptr) {
    leader_->on_worker_removed(id);
  }
}

void scheduling_daemon::retain_workers(const std::set<std::string>& keys) {
  std::erase_if(refused_workers_,
                [&](const auto& each) { return !keys.contains(each.first); });
  std::erase_if(workers_, [&](const auto& each) {
    if (keys.contains(each.first)) {
      return false;
    }
    note_unlisted(each.second);
    if (leader_ != nullptr) {
      leader_->on_worker_removed(each.first);
    }
    return true;
  });
}

/// @return whether the operators' records and the list of workers are known. A
///   leader without them would use workers and domains that are closed.
bool scheduling_daemon::can_lead() const {
  return operator_follower_.loaded() && worker_follower_.loaded() &&
         jobs_follower_.loaded();
}

/// @return whether reads of a topic that a leader needs fail. Starts rest on
///   recent copies, the lease of the leadership on appends alone.
bool scheduling_daemon::reads_fail() const {
  return !operator_follower_.store_reachable() ||
         !worker_follower_.store_reachable() ||
         !jobs_follower_.store_reachable();
}

void scheduling_daemon::start_leader(model::epoch epoch) {
  stop_leader();
  leader_options options;
  auto lease = std::min(settings_.longest_lease, preferred_lease);
  options.scheduling.given_lease = lease;
  options.scheduling.longest_lease = settings_.longest_lease;
  options.scheduling.previous_leader_lease = leadership_options().lifetime +
                                             duration_on_slowest_clock(lease) +
                                             handover_slack;
  options.scheduling.state_retention = 2 * settings_.state_retention;
  options.scheduling.early_start = settings_.early_start / 2;
  options.scheduling.look_ahead = settings_.look_ahead;
  options.scheduling.max_state_bytes = jobs_budget(settings_);
  options.scheduling.move_cost =
      settings_.run_stop_time + settings_.restore_time;
  options.links.lease_duration = lease;
  options.store_limits = settings_.store_limits;
  leader_context context{loop_,
                         store_,
                         jobs_,
                         config_,
                         jobs_follower_,
                         report_,
                         [this] { return leadership_.valid(); },
                         starts_,
                         [this](std::string_view noticed_by) {
                           leadership_.on_superseded(noticed_by);
                         },
                         [this](std::string_view worker) {
                           return leadership_.may_extend_lease(worker);
                         },
                         leadership_.lost_workers()};
  for (const auto& [id, unlisted] : unlisted_workers_) {
    context.unlisted_workers.push_back(unlisted.last_entry);
  }
  jobs_follower_.set_read_pause(leader_jobs_pause);
  worker_follower_.set_read_pause(leader_workers_pause);
  set_read_wait(leader_read_wait);
  leader_ = std::make_unique<leader>(std::move(context), options,
                                     make_gateway_(), epoch);
  for (const auto& [id, entry] : workers_) {
    leader_->on_worker(entry);
  }
  leader_->start();
}

void scheduling_daemon::stop_leader() {
  if (leader_ == nullptr) {
    return;
  }
  report_.event("daemon",
                absl::StrCat("leading_ended epoch=", leadership_.epoch()));
  leader_.reset();
  jobs_follower_.set_read_pause(follower_jobs_pause);
  worker_follower_.set_read_pause(follower_workers_pause);
  set_read_wait(read_wait);
}

void scheduling_daemon::set_read_wait(std::chrono::milliseconds wait) {
  for (auto* follower :
       {&jobs_follower_, &operator_follower_, &worker_follower_}) {
    follower->set_read_wait(wait);
  }
}

}  // namespace vanillaladder::dispatch
