#include "dispatch/leadership.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "dispatch/clock.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {

leadership_rule::change leadership_rule::on_place(
    const external::group_place& place, model::time_point sent) {
  bool same_generation = place.generation == generation_;
  bool was_valid = valid(sent);
  bool held = holds_;
  if (place.generation < generation_) {
    // An answer that was overtaken.
    return change::none;
  }
  generation_ = place.generation;
  holds_ = place.holds;
  if (!place.holds) {
    return held ? change::lost : change::none;
  }
  valid_until_ = std::max(valid_until_, sent + lifetime_ - margin);
  if (held && was_valid) {
    return change::none;
  }
  if (held && same_generation) {
    // Nobody else held the partition in between.
    return change::resumed;
  }
  epoch_ = place.generation;
  return change::proposed;
}

bool leadership_rule::on_superseded() {
  bool held = holds_;
  holds_ = false;
  generation_ = 0;
  return held;
}

struct leadership::impl : std::enable_shared_from_this<leadership::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       leadership_options options_in, listener to_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        options(std::move(options_in)),
        to(std::move(to_in)),
        report(report_in),
        rule(options.lifetime),
        member(options.member) {}

  void renew();
  void renew_later();
  void answered(const absl::StatusOr<external::group_place>& place,
                model::time_point sent);

  http::event_loop& loop;
  external::keyed_store& store;
  leadership_options options;
  listener to;
  reporter report;
  leadership_rule rule;
  std::string member;
  int names_used = 0;
  bool stopped = false;
  bool in_touch = true;
};

void leadership::impl::renew_later() {
  loop.call_after(options.renewal, [self = shared_from_this()] {
    if (!self->stopped) {
      self->renew();
    }
  });
}

void leadership::impl::renew() {
  store.join(options.group, member, options.topic, options.lifetime,
             rule.generation(),
             [self = shared_from_this(), sent = boot_now(), name = member](
                 absl::StatusOr<external::group_place> place) {
               if (self->stopped || name != self->member) {
                 return;
               }
               self->answered(place, sent);
             });
  renew_later();
}

void leadership::impl::answered(
    const absl::StatusOr<external::group_place>& place,
    model::time_point sent) {
  if (!place.ok()) {
    if (in_touch) {
      in_touch = false;
      report.event("leadership",
                   absl::StrCat("dependency_lost error=",
                                runtime::error_message(place.status())));
    }
    return;
  }
  if (!in_touch) {
    in_touch = true;
    report.event("leadership", "dependency_regained");
  }
  auto now = boot_now();
  auto age = std::chrono::duration_cast<model::milliseconds>(now - sent);
  auto fields = [&] {
    return absl::StrCat(" epoch=", rule.epoch(),
                        " generation=", rule.generation(),
                        " answer_age_ms=", age.count());
  };
  switch (rule.on_place(*place, sent)) {
    case leadership_rule::change::none:
      return;
    case leadership_rule::change::proposed:
      report.event("leadership", absl::StrCat("proposed", fields()));
      to.proposed(rule.epoch());
      return;
    case leadership_rule::change::resumed:
      report.event("leadership", absl::StrCat("resumed", fields()));
      return;
    case leadership_rule::change::lost:
      report.event("leadership", absl::StrCat("lost", fields()));
      to.lost();
      return;
  }
}

leadership::leadership(http::event_loop& loop, external::keyed_store& store,
                       leadership_options options, listener to,
                       reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(options),
                                   std::move(to), report)) {}

leadership::~leadership() {
  impl_->stopped = true;
}

void leadership::start() {
  impl_->renew();
}

void leadership::leave(std::function<void()> done) {
  impl_->stopped = true;
  impl_->rule.on_superseded();
  impl_->store.leave(impl_->options.group, impl_->member, std::move(done));
}

void leadership::superseded(std::string_view by_whom) {
  bool held = impl_->rule.on_superseded();
  impl_->report.event(
      "leadership", absl::StrCat("superseded epoch=", impl_->rule.epoch(),
                                 " noticed_by=", std::string(by_whom)));
  impl_->store.leave(impl_->options.group, impl_->member, [] {});
  // The old membership's answers must not be taken for the new one's.
  impl_->member = absl::StrCat(impl_->options.member, "-",
                               ++impl_->names_used);
  if (held) {
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
