#include "dispatch/leadership.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "dispatch/clock.h"
#include "dispatch/work_timer.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

constexpr std::string_view lease_key = "leader";
/// How often the state is looked at; bounds the delay of a claim.
constexpr std::chrono::milliseconds check_interval{50};
/// A renewal that is sent or answered later than this is logged.
constexpr std::chrono::milliseconds renewal_late{150};
/// Pause before an append is tried again.
constexpr std::chrono::milliseconds retry_pause{200};

}  // namespace

std::string encode(const lease_record& record) {
  return absl::StrCat(record.holder, " ", record.epoch, " ", record.sequence,
                      " ", record.released ? 1 : 0, " ", record.most_processor);
}

std::optional<lease_record> decode_lease(std::string_view value) {
  std::vector<std::string> parts =
      absl::StrSplit(absl::string_view(value.data(), value.size()), ' ');
  lease_record record;
  int released = 0;
  // Daemons of the version before wrote four parts.
  if (parts.size() < 4 || parts.size() > 5 ||
      !absl::SimpleAtoi(parts[1], &record.epoch) ||
      !absl::SimpleAtoi(parts[2], &record.sequence) ||
      !absl::SimpleAtoi(parts[3], &released) ||
      (parts.size() == 5 &&
       !absl::SimpleAtoi(parts[4], &record.most_processor))) {
    return std::nullopt;
  }
  record.holder = std::move(parts[0]);
  record.released = released != 0;
  return record;
}

void lease_rule::on_record(const lease_record& record, model::time_point now) {
  last_ = record;
  seen_at_ = now;
  superseded_ = superseded_ && record.holder == self_;
  if (record.holder != self_) {
    return;
  }
  // Also of an earlier record of ours, whose sending time is not known any
  // more: the next renewal must name this epoch.
  epoch_ = record.epoch;
  if (record.sequence == sequence_) {
    valid_until_ = std::max(valid_until_, sent_at_ + lifetime_ - margin);
  }
}

void lease_rule::on_loaded(model::time_point now) {
  if (!loaded_) {
    loaded_ = true;
    seen_at_ = std::max(seen_at_, now);
  }
}

void lease_rule::on_seen(model::time_point now) {
  if (blind_) {
    blind_ = false;
    returned_at_ = now;
  }
}

lease_record lease_rule::on_sending(model::time_point now) {
  sent_at_ = now;
  lease_record record;
  record.holder = self_;
  // A claim's epoch must exceed that of every earlier claim.
  record.epoch = holds() ? epoch_ : (last_ ? last_->epoch + 1 : 1);
  record.sequence = ++sequence_;
  record.released = resigned_;
  record.most_processor =
      std::max(processor_, last_ ? last_->most_processor : 0);
  return record;
}

bool lease_rule::may_claim(model::time_point now) const {
  if (!loaded_ || resigned_ || blind_ || holds()) {
    return false;
  }
  auto pause = is_weak() ? weak_pause : std::chrono::milliseconds(0);
  bool is_free = !last_ || last_->released;
  bool lapsed =
      is_free ? now - seen_at_ >= pause : now - seen_at_ > lifetime_ + pause;
  // An outage of the store lets all pauses pass at once.
  auto since_return = now - returned_at_;
  return lapsed &&
         since_return >=
             pause + (is_free ? std::chrono::milliseconds(0) : return_pause);
}

bool lease_rule::is_weak() const {
  if (processor_ == 0) {
    return false;
  }
  int most = last_ ? last_->most_processor : 0;
  return most == 0 ? processor_ < weak_processor
                   : processor_ < weak_share * most;
}

bool lease_rule::holds() const {
  return last_ && last_->holder == self_ && !last_->released;
}

struct leadership::impl : std::enable_shared_from_this<leadership::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       leadership_options options_in, listener to_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        options(std::move(options_in)),
        to(std::move(to_in)),
        report(report_in),
        loop_lag(report, "behind_timers"),
        rule(options.self, options.lifetime, options.processor),
        follower(loop, store,
                 {options.topic, std::chrono::milliseconds(1000),
                  options.renewal - std::chrono::milliseconds(100)},
                 {[this](auto, auto value) { take(value); },
                  [this](const auto&) { rule.on_loaded(boot_now()); },
                  [this](bool in_touch) {
                    if (in_touch) {
                      rule.on_seen(boot_now());
                    } else {
                      rule.on_blind();
                    }
                  }},
                 report) {}

  void take(std::string_view value);
  void check();
  void append(std::function<void()> done);
  void settle();
  void answered(model::time_point sent, const absl::Status& status);
  void update();

  http::event_loop& loop;
  external::keyed_store& store;
  leadership_options options;
  listener to;
  reporter report;
  /// How late the loop runs a timer that is due.
  work_timer loop_lag;
  lease_rule rule;
  topic_follower follower;
  model::time_point check_due = boot_now();
  bool stopped = false;
  /// Sequence of the record that is being appended.
  std::optional<std::int64_t> awaited;
  /// Called once that is known to be stored, or has failed.
  std::function<void()> on_settled;
  /// Epoch of the leadership that was announced; 0 is none.
  model::epoch announced = 0;
  model::time_point next_append;
};

void leadership::impl::take(std::string_view value) {
  auto record = decode_lease(value);
  if (!record) {
    report.event("leadership", "record_unreadable");
    return;
  }
  bool other = !rule.last() || rule.last()->holder != record->holder ||
               rule.last()->epoch != record->epoch || record->released;
  rule.on_record(*record, boot_now());
  // Its answer may be late or lost; the next renewal must not wait for it.
  if (record->holder == options.self && record->sequence == awaited) {
    settle();
  }
  if (other) {
    report.event("leadership", absl::StrCat("holder id=", record->holder,
                                            " epoch=", record->epoch,
                                            " released=", record->released));
  }
  update();
}

/// Announces what has changed.
void leadership::impl::update() {
  bool leads = rule.holds() && announced == rule.epoch();
  if (announced != 0 && !leads) {
    announced = 0;
    report.event("leadership", absl::StrCat("lost epoch=", rule.epoch()));
    to.lost();
  }
  if (!stopped && announced == 0 && rule.valid(boot_now())) {
    announced = rule.epoch();
    report.event("leadership", absl::StrCat("won epoch=", announced));
    to.won(announced);
  }
}

void leadership::impl::check() {
  if (stopped) {
    return;
  }
  loop.call_after(check_interval,
                  [self = shared_from_this()] { self->check(); });
  auto now = boot_now();
  loop_lag.observe(std::max(now - check_due, model::time_point::duration(0)));
  check_due = now + check_interval;
  if (awaited || now < next_append) {
    return;
  }
  // A holder whose time has lapsed renews too: the append succeeds only if
  // nobody has claimed in between.
  if (rule.holds() && !rule.superseded()) {
    if (now - next_append > renewal_late) {
      auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
          now - next_append);
      report.event("leadership",
                   absl::StrCat("renewal_late epoch=", rule.epoch(), " ms=",
                                late.count(), " valid=", rule.valid(now)));
    }
    next_append = now + options.renewal;
    append([] {});
  } else if (rule.may_claim(now)) {
    next_append = now + retry_pause;
    append([] {});
  }
}

void leadership::impl::append(std::function<void()> done) {
  auto now = boot_now();
  auto record = rule.on_sending(now);
  auto sequence = record.sequence;
  awaited = sequence;
  on_settled = std::move(done);
  std::array records = {
      batch::topic_record{std::string(lease_key), encode(record)}};
  auto at = follower.next();
  store.append(
      options.topic, records, {std::nullopt, at},
      [self = shared_from_this(), at, records, now,
       sequence](absl::StatusOr<model::offset> end) {
        self->answered(now, end.status());
        if (end.ok()) {
          self->follower.accept({at, {records.begin(), records.end()}});
        }
        if (self->awaited != sequence) {
          return;
        }
        if (end.ok()) {
          self->settle();
          return;
        }
        // It may be stored all the same; the topic tells.
        self->awaited.reset();
        self->next_append = boot_now() + retry_pause;
        self->follower.refresh(
            [done = std::exchange(self->on_settled, nullptr)](bool) {
              done();
            });
      });
}

/// The outcome of the append is known.
void leadership::impl::settle() {
  awaited.reset();
  std::exchange(on_settled, nullptr)();
}

/// Logs how a claim or renewal ended if that was slow or not as hoped.
void leadership::impl::answered(model::time_point sent,
                                const absl::Status& status) {
  auto took = boot_now() - sent;
  report.metrics()
      .histogram("vanillaladder_lease_append_seconds")
      .observe(took);
  // Most claims end without success while the store refuses.
  if (took < renewal_late && (status.ok() || !rule.holds())) {
    return;
  }
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took);
  report.event("leadership",
               absl::StrCat("append_answered epoch=", rule.epoch(),
                            " holds=", rule.holds(), " after_ms=", ms.count(),
                            " result=", runtime::error_message(status)));
}

leadership::leadership(http::event_loop& loop, external::keyed_store& store,
                       leadership_options options, listener to, reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(options),
                                   std::move(to), report)) {}

leadership::~leadership() {
  impl_->stopped = true;
}

void leadership::start() {
  impl_->follower.start();
  impl_->check();
}

void leadership::leave(std::function<void()> done) {
  impl_->stopped = true;
  if (impl_->awaited) {
    impl_->loop.call_after(check_interval,
                           [this, done = std::move(done)] { leave(done); });
    return;
  }
  bool held = impl_->rule.holds();
  impl_->rule.resign();
  impl_->announced = 0;
  if (!held) {
    impl_->loop.call_after(std::chrono::milliseconds(0), std::move(done));
    return;
  }
  impl_->append(std::move(done));
}

void leadership::superseded(std::string_view by_whom) {
  impl_->report.event("leadership",
                      absl::StrCat("superseded epoch=", impl_->rule.epoch(),
                                   " noticed_by=", std::string(by_whom)));
  impl_->rule.on_superseded();
  if (impl_->announced != 0) {
    impl_->announced = 0;
    impl_->to.lost();
  }
}

bool leadership::valid() const {
  return impl_->rule.valid(boot_now());
}

model::epoch leadership::epoch() const {
  return impl_->rule.epoch();
}

}  // namespace vanillaladder::dispatch
