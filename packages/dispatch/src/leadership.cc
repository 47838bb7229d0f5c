#include "dispatch/leadership.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/clock.h"
#include "dispatch/work_timer.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

constexpr std::string_view lease_key = "leader";
/// Key of the list of lost workers. A record of its own: earlier versions of
/// the daemon read the lease record only in its own format.
constexpr std::string_view lost_workers_key = "lost";
/// Keys of the capacity of the holder and of a request to hand over. Records of
/// their own for the same reason.
constexpr std::string_view capacity_key = "capacity";
constexpr std::string_view hand_over_key = "hand_over";
/// How often the lease is checked; bounds the delay of a claim.
constexpr std::chrono::milliseconds check_interval{50};
/// Renewals that are sent or answered with a larger delay are logged.
constexpr std::chrono::milliseconds late_renewal_limit{150};
/// Pause before a failed append is retried.
constexpr std::chrono::milliseconds retry_pause{200};
/// Pause between reads of the lease's topic, shortly less than the interval of
/// the renewals, and on daemons that let others claim first. Each read has a
/// cost.
constexpr std::chrono::milliseconds read_lead_time{100};
constexpr std::chrono::milliseconds yielding_read_pause{1000};

}  // namespace

std::string encode(const lease_record& record) {
  return absl::StrCat(record.holder, " ", record.epoch, " ", record.sequence,
                      " ", record.released ? 1 : 0, " ",
                      record.highest_cpu_millis);
}

std::optional<lease_record> decode_lease(std::string_view value) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(value.data(), value.size()), ' ');
  lease_record record;
  int released = 0;
  // The previous version of the daemon wrote four fields.
  if (parts.size() < 4 || parts.size() > 5 ||
      !absl::SimpleAtoi(parts[1], &record.epoch) ||
      !absl::SimpleAtoi(parts[2], &record.sequence) ||
      !absl::SimpleAtoi(parts[3], &released) ||
      (parts.size() == 5 &&
       !absl::SimpleAtoi(parts[4], &record.highest_cpu_millis))) {
    return std::nullopt;
  }
  record.holder = std::move(parts[0]);
  record.released = released != 0;
  return record;
}

std::string encode(const capacity_record& record) {
  return absl::StrCat(record.daemon, " ", record.cpu_millis, " ", record.epoch);
}

std::optional<capacity_record> decode_capacity(std::string_view value) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(value.data(), value.size()), ' ');
  capacity_record record;
  if (parts.size() != 3 || parts[0].empty() ||
      !absl::SimpleAtoi(parts[1], &record.cpu_millis) ||
      !absl::SimpleAtoi(parts[2], &record.epoch) || record.cpu_millis < 0) {
    return std::nullopt;
  }
  record.daemon = std::move(parts[0]);
  return record;
}

void leader_lease::on_record(const lease_record& record,
                             model::time_point now) {
  last_record_ = record;
  last_record_at_ = now;
  superseded_ = superseded_ && record.holder == holder_id_;
  handing_over_ = handing_over_ && holds();
  if (record.holder != holder_id_) {
    return;
  }
  // Adopts the epoch of an earlier record of this daemon too, although its
  // sending time is no longer known: the next renewal must carry this epoch.
  epoch_ = record.epoch;
  if (record.sequence == sequence_) {
    valid_until_ =
        std::max(valid_until_, last_sent_at_ + lifetime_ - safety_margin);
  }
}

void leader_lease::on_loaded(model::time_point now) {
  if (!loaded_) {
    loaded_ = true;
    last_record_at_ = std::max(last_record_at_, now);
  }
}

void leader_lease::on_store_reachable(model::time_point now) {
  if (store_unreachable_) {
    store_unreachable_ = false;
    store_back_at_ = now;
  }
}

void leader_lease::set_able(bool able, model::time_point now) {
  if (able && !able_) {
    able_since_ = now;
  }
  able_ = able;
}

lease_record leader_lease::prepare_record(model::time_point now) {
  last_sent_at_ = now;
  lease_record record;
  record.holder = holder_id_;
  // The epoch of a claim must exceed the epochs of all earlier claims.
  record.epoch =
      holds() ? epoch_ : (last_record_ ? last_record_->epoch + 1 : 1);
  record.sequence = ++sequence_;
  record.released = resigned_ || handing_over_;
  record.highest_cpu_millis =
      std::max({cpu_millis_, handing_over_ ? successor_cpu_millis_ : 0,
                last_record_ ? last_record_->highest_cpu_millis : 0});
  return record;
}

bool leader_lease::may_claim(model::time_point now) const {
  if (!loaded_ || resigned_ || store_unreachable_ || holds()) {
    return false;
  }
  std::chrono::milliseconds claim_delay{0};
  if (yields()) {
    claim_delay += low_cpu_claim_delay;
  }
  if (reads_fail_) {
    claim_delay += failing_reads_claim_delay;
  }
  bool is_free = !last_record_ || last_record_->released;
  bool expired = is_free ? now - last_record_at_ >= claim_delay
                         : now - last_record_at_ > lifetime_ + claim_delay;
  // During an outage of the store the delays of all daemons expire, so they
  // start again when it ends.
  auto since_store_back = now - store_back_at_;
  return expired && now - able_since_ >= claim_delay &&
         since_store_back >=
             claim_delay +
                 (is_free ? std::chrono::milliseconds(0) : holder_grace_period);
}

bool leader_lease::yields() const {
  if (cpu_millis_ == 0) {
    return false;
  }
  int highest = last_record_ ? last_record_->highest_cpu_millis : 0;
  return highest == 0 ? cpu_millis_ < low_cpu_millis
                      : cpu_millis_ < low_cpu_share * highest;
}

void leader_lease::on_holder_capacity(const capacity_record& record) {
  holder_capacity_ = record;
}

bool leader_lease::on_hand_over_request(const capacity_record& record,
                                        model::time_point now) {
  hand_over_requested_at_ = now;
  // A request that is read again after a reload may be addressed to an earlier
  // claim.
  bool is_addressee = valid(now) && record.epoch == epoch_;
  if (!is_addressee || cpu_millis_ == 0 ||
      cpu_millis_ >= low_cpu_share * record.cpu_millis) {
    return false;
  }
  handing_over_ = true;
  successor_cpu_millis_ = record.cpu_millis;
  return true;
}

bool leader_lease::may_request_hand_over(model::time_point now) const {
  if (!loaded_ || resigned_ || store_unreachable_ || reads_fail_ || holds() ||
      !last_record_ || last_record_->released || !holder_capacity_ ||
      holder_capacity_->epoch != last_record_->epoch) {
    return false;
  }
  bool is_low = holder_capacity_->cpu_millis < low_cpu_share * cpu_millis_;
  return is_low && now - hand_over_requested_at_ >= hand_over_request_interval;
}

capacity_record leader_lease::prepare_hand_over_request(model::time_point now) {
  hand_over_requested_at_ = now;
  return {holder_id_, cpu_millis_, last_record_->epoch};
}

bool leader_lease::holds() const {
  return last_record_ && last_record_->holder == holder_id_ &&
         !last_record_->released;
}

struct leadership::impl : std::enable_shared_from_this<leadership::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       leadership_options options_in, listener handlers_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        options(std::move(options_in)),
        handlers(std::move(handlers_in)),
        report(report_in),
        timer_lag(report, "behind_timers"),
        lease(options.holder_id, options.lifetime, options.cpu_millis),
        lost_workers(options.holder_id),
        follower(loop, store,
                 {options.topic, std::chrono::milliseconds(1000),
                  options.renewal_interval - read_lead_time},
                 {[this](auto key, auto value) {
                    if (key == lost_workers_key) {
                      on_lost_workers_read(value);
                    } else if (key == capacity_key || key == hand_over_key) {
                      on_capacity_read(key, value);
                    } else {
                      on_record_read(value);
                    }
                  },
                  [this](const auto&) { lease.on_loaded(boot_now()); },
                  [this](bool store_reachable) {
                    if (store_reachable) {
                      lease.on_store_reachable(boot_now());
                    } else {
                      lease.on_store_unreachable();
                    }
                  }},
                 report) {}

  void on_record_read(std::string_view value);
  void on_lost_workers_read(std::string_view value);
  void on_capacity_read(std::string_view key, std::string_view value);
  void request_hand_over();
  void check();
  void append(std::function<void()> done);
  void finish_append();
  void log_append(model::time_point sent, const absl::Status& status);
  void announce_changes();
  void release(std::function<void()> done);

  http::event_loop& loop;
  external::keyed_store& store;
  leadership_options options;
  listener handlers;
  reporter report;
  /// Measures the delay with which the event loop runs due timers.
  work_timer timer_lag;
  leader_lease lease;
  lost_worker_list lost_workers;
  topic_follower follower;
  model::time_point next_check_at = boot_now();
  bool stopped = false;
  /// Sequence number of the record whose append is in flight.
  std::optional<std::int64_t> pending_sequence;
  /// Called once that append is known to have succeeded or failed.
  std::function<void()> on_append_finished;
  /// Epoch last passed to `on_won`; 0 after `on_lost`.
  model::epoch announced_epoch = 0;
  model::time_point next_append;
};

void leadership::impl::on_record_read(std::string_view value) {
  auto record = decode_lease(value);
  if (!record) {
    report.event("leadership", "record_unreadable");
    return;
  }
  bool is_own = record->holder == options.holder_id;
  bool changed =
      !lease.last_record() || lease.last_record()->holder != record->holder ||
      lease.last_record()->epoch != record->epoch || record->released;
  lease.on_record(*record, boot_now());
  // The answer to the append may be late or lost; the next renewal must not
  // wait for it.
  if (is_own && record->sequence == pending_sequence) {
    finish_append();
  }
  follower.set_read_pause(lease.yields() && !is_own
                              ? yielding_read_pause
                              : options.renewal_interval - read_lead_time);
  if (changed) {
    report.event("leadership", absl::StrCat("holder id=", record->holder,
                                            " epoch=", record->epoch,
                                            " released=", record->released));
  }
  announce_changes();
}

void leadership::impl::on_lost_workers_read(std::string_view value) {
  if (auto record = decode_lost_workers(value)) {
    lost_workers.on_record(*record, boot_now());
  } else {
    report.event("leadership", "lost_workers_unreadable");
  }
}

void leadership::impl::on_capacity_read(std::string_view key,
                                        std::string_view value) {
  auto record = decode_capacity(value);
  if (!record) {
    report.event("leadership",
                 absl::StrCat("record_unreadable key=", std::string(key)));
  } else if (key == capacity_key) {
    lease.on_holder_capacity(*record);
  } else if (lease.on_hand_over_request(*record, boot_now())) {
    report.event(
        "leadership",
        absl::StrCat("hands_over epoch=", lease.epoch(), " to=", record->daemon,
                     " cpu_millis=", record->cpu_millis));
    // Stops acting before the release can be read.
    announced_epoch = 0;
    handlers.on_lost();
    next_append = boot_now();
  }
}

/// Asks the holder to hand over. Of several daemons that ask at the same time,
/// one succeeds.
void leadership::impl::request_hand_over() {
  auto request = lease.prepare_hand_over_request(boot_now());
  report.event("leadership",
               absl::StrCat("hand_over_requested epoch=", request.epoch));
  std::vector<batch::topic_record> records = {
      {std::string(hand_over_key), encode(request)}};
  // The request is read like any other record.
  store.append(options.topic, records, {std::nullopt, follower.next()},
               [](const auto&) {});
}

/// Reports a gained or lost leadership to the listener.
void leadership::impl::announce_changes() {
  bool leads = lease.holds() && announced_epoch == lease.epoch();
  if (announced_epoch != 0 && !leads) {
    announced_epoch = 0;
    report.event("leadership", absl::StrCat("lost epoch=", lease.epoch()));
    handlers.on_lost();
  }
  if (!stopped && announced_epoch == 0 && lease.valid(boot_now())) {
    announced_epoch = lease.epoch();
    report.event("leadership", absl::StrCat("won epoch=", announced_epoch,
                                            " cpu_millis=", options.cpu_millis,
                                            " low_capacity=", lease.yields()));
    handlers.on_won(announced_epoch);
  }
}

void leadership::impl::check() {
  if (stopped) {
    return;
  }
  loop.call_after(check_interval,
                  [self = shared_from_this()] { self->check(); });
  auto now = boot_now();
  timer_lag.observe(
      std::max(now - next_check_at, model::time_point::duration(0)));
  next_check_at = now + check_interval;
  if (pending_sequence || now < next_append) {
    return;
  }
  // A holder whose lease has expired renews too: the append succeeds only if no
  // other daemon has claimed the lease meanwhile.
  if (lease.holds() && !lease.superseded()) {
    if (now - next_append > late_renewal_limit) {
      auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - next_append);
      report.event("leadership",
                   absl::StrCat("renewal_late epoch=", lease.epoch(), " ms=",
                                late.count(), " valid=", lease.valid(now)));
    }
    next_append = now + options.renewal_interval;
    append([] {});
    return;
  }
  lease.set_reads_fail(handlers.reads_fail && handlers.reads_fail());
  bool able = !handlers.can_lead || handlers.can_lead();
  lease.set_able(able, now);
  if (able && lease.may_claim(now)) {
    next_append = now + retry_pause;
    append([] {});
  } else if (able && lease.may_request_hand_over(now)) {
    request_hand_over();
  }
}

void leadership::impl::append(std::function<void()> done) {
  auto now = boot_now();
  auto record = lease.prepare_record(now);
  auto sequence = record.sequence;
  pending_sequence = sequence;
  on_append_finished = std::move(done);
  std::vector<batch::topic_record> records;
  // Before the lease record, so that a winner has read the list when it begins
  // to lead.
  auto lost = handlers.lost_workers ? handlers.lost_workers() : std::nullopt;
  if (auto list = lost_workers.prepare_record(std::move(lost), now)) {
    records.push_back({std::string(lost_workers_key), encode(*list)});
  }
  if (!lease.holds() && options.cpu_millis > 0) {
    records.push_back(
        {std::string(capacity_key),
         encode(capacity_record{options.holder_id, options.cpu_millis,
                                record.epoch})});
  }
  records.push_back({std::string(lease_key), encode(record)});
  auto expected_end = follower.next();
  store.append(options.topic, records, {std::nullopt, expected_end},
               [self = shared_from_this(), expected_end, records, now,
                sequence](absl::StatusOr<model::offset> end) {
                 self->log_append(now, end.status());
                 if (end.ok()) {
                   external::record_batch own;
                   own.first_offset = expected_end;
                   own.records = records;
                   self->follower.apply(own);
                 }
                 if (self->pending_sequence != sequence) {
                   return;
                 }
                 if (end.ok()) {
                   self->finish_append();
                   return;
                 }
                 // The record may have been stored nevertheless; a read of the
                 // topic shows it.
                 self->pending_sequence.reset();
                 self->next_append = boot_now() + retry_pause;
                 self->follower.refresh(
                     [done = std::exchange(self->on_append_finished, nullptr)](
                         bool) { done(); });
               });
}

/// Waits for the append in flight, then stores the release.
void leadership::impl::release(std::function<void()> done) {
  if (pending_sequence) {
    loop.call_after(check_interval,
                    [self = shared_from_this(), done = std::move(done)] {
                      self->release(done);
                    });
    return;
  }
  bool was_holder = lease.holds();
  lease.resign();
  announced_epoch = 0;
  if (!was_holder) {
    loop.call_after(std::chrono::milliseconds(0), std::move(done));
    return;
  }
  append(std::move(done));
}

/// Called when the outcome of the append in flight is known.
void leadership::impl::finish_append() {
  pending_sequence.reset();
  std::exchange(on_append_finished, nullptr)();
}

/// Logs the result of a claim or renewal that was slow or of a renewal that
/// failed.
void leadership::impl::log_append(model::time_point sent,
                                  const absl::Status& status) {
  auto took = boot_now() - sent;
  report.metrics()
      .histogram("vanillaladder_lease_append_seconds")
      .observe(took);
  // Failed claims are not logged: most claims fail while the store is
  // unavailable.
  if (took < late_renewal_limit && (status.ok() || !lease.holds())) {
    return;
  }
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took);
  report.event("leadership",
               absl::StrCat("append_answered epoch=", lease.epoch(),
                            " holds=", lease.holds(), " after_ms=", ms.count(),
                            " result=", runtime::error_message(status)));
}

leadership::leadership(http::event_loop& loop, external::keyed_store& store,
                       leadership_options options, listener handlers,
                       reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(options),
                                   std::move(handlers), report)) {}

leadership::~leadership() {
  impl_->stopped = true;
}

void leadership::start() {
  impl_->follower.start();
  impl_->check();
}

void leadership::release(std::function<void()> done) {
  impl_->stopped = true;
  impl_->release(std::move(done));
}

void leadership::on_superseded(std::string_view noticed_by) {
  impl_->report.event("leadership",
                      absl::StrCat("superseded epoch=", impl_->lease.epoch(),
                                   " noticed_by=", std::string(noticed_by)));
  impl_->lease.on_superseded();
  if (impl_->announced_epoch != 0) {
    impl_->announced_epoch = 0;
    impl_->handlers.on_lost();
  }
}

bool leadership::valid() const {
  return impl_->lease.valid(boot_now());
}

bool leadership::may_extend_lease(std::string_view worker) const {
  return impl_->lost_workers.may_extend_lease(worker);
}

std::vector<batch::lost_worker> leadership::lost_workers() const {
  return impl_->lost_workers.workers();
}

model::epoch leadership::epoch() const {
  return impl_->lease.epoch();
}

}  // namespace vanillaladder::dispatch
