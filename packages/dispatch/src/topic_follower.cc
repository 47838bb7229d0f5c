#include "dispatch/topic_follower.h"

#include <absl/strings/str_cat.h>

#include <memory>
#include <vector>

#include "dispatch/clock.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

// A store that refuses is asked again at this pace.
constexpr std::chrono::milliseconds retry_pause{150};

}  // namespace

struct topic_follower::impl
    : std::enable_shared_from_this<topic_follower::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       follow_options options_in, listener to_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        options(std::move(options_in)),
        to(std::move(to_in)),
        report(report_in) {}

  void load(const std::string& after);
  void finish_load();
  void read();
  void later(std::chrono::milliseconds pause, void (impl::*step)());
  void restart() { load(""); }
  void apply(const external::record_batch& batch);
  void release_waiting();
  void failed(const absl::Status& status);
  void succeeded(model::time_point sent);

  http::event_loop& loop;
  external::keyed_store& store;
  follow_options options;
  listener to;
  reporter report;
  bool stopped = false;
  bool loaded = false;
  bool in_touch = true;
  model::offset next = 0;
  model::offset load_end = 0;
  std::set<std::string> keys;
  model::time_point fresh_at;
  model::time_point answered_at;
  std::vector<std::pair<model::offset, std::function<void()>>> waiting;
};

void topic_follower::impl::later(std::chrono::milliseconds pause,
                                 void (impl::*step)()) {
  loop.call_after(pause, [self = shared_from_this(), step] {
    if (!self->stopped) {
      (self.get()->*step)();
    }
  });
}

void topic_follower::impl::failed(const absl::Status& status) {
  if (in_touch) {
    in_touch = false;
    report.event("follower",
                 absl::StrCat("dependency_lost topic=", options.topic,
                              " error=", runtime::error_message(status)));
    if (to.touch) {
      to.touch(false);
    }
  }
  report.count("vanillaladder_store_read_failures_total", "topic",
               options.topic);
}

void topic_follower::impl::succeeded(model::time_point sent) {
  fresh_at = std::max(fresh_at, sent);
  answered_at = boot_now();
  if (!in_touch) {
    in_touch = true;
    report.event("follower", absl::StrCat("dependency_regained topic=",
                                          options.topic, " next=", next));
    if (to.touch) {
      to.touch(true);
    }
  }
}

void topic_follower::impl::load(const std::string& after) {
  if (after.empty()) {
    keys.clear();
  }
  store.newest(options.topic, after,
               [self = shared_from_this(), after,
                sent = boot_now()](absl::StatusOr<external::newest_page> page) {
                 if (self->stopped) {
                   return;
                 }
                 if (!page.ok()) {
                   self->failed(page.status());
                   self->later(retry_pause, &impl::restart);
                   return;
                 }
                 // Later pages may hold newer records; reading on from the
                 // first page's end brings all changes made meanwhile.
                 if (after.empty()) {
                   self->load_end = page->end;
                 }
                 self->succeeded(sent);
                 std::string last;
                 for (const auto& record : page->records) {
                   self->keys.insert(record.key);
                   self->to.record(record.key, record.value);
                   last = record.key;
                 }
                 if (page->more && !last.empty()) {
                   self->load(last);
                 } else {
                   self->finish_load();
                 }
               });
}

void topic_follower::impl::finish_load() {
  next = load_end;
  loaded = true;
  report.event("follower", absl::StrCat("topic_loaded topic=", options.topic,
                                        " keys=", keys.size(), " next=", next));
  if (to.loaded) {
    to.loaded(keys);
  }
  keys.clear();
  release_waiting();
  read();
}

void topic_follower::impl::apply(const external::record_batch& batch) {
  auto at = batch.from;
  for (const auto& record : batch.records) {
    // An earlier read may have brought it already.
    if (at == next) {
      ++next;
      to.record(record.key, record.value);
    }
    ++at;
  }
  release_waiting();
}

void topic_follower::impl::release_waiting() {
  std::erase_if(waiting, [this](auto& each) {
    if (next < each.first) {
      return false;
    }
    loop.call_after(std::chrono::milliseconds(0), std::move(each.second));
    return true;
  });
}

void topic_follower::impl::read() {
  store.read(options.topic, next, options.wait,
             [self = shared_from_this(),
              sent = boot_now()](absl::StatusOr<external::record_batch> batch) {
               if (self->stopped) {
                 return;
               }
               if (absl::IsOutOfRange(batch.status())) {
                 self->report.event(
                     "follower",
                     absl::StrCat("history_gone topic=", self->options.topic,
                                  " next=", self->next));
                 self->load("");
                 return;
               }
               if (!batch.ok()) {
                 self->failed(batch.status());
                 self->later(retry_pause, &impl::read);
                 return;
               }
               self->succeeded(sent);
               bool found = !batch->records.empty();
               self->apply(*batch);
               if (found) {
                 self->later(self->options.pause, &impl::read);
               } else {
                 self->read();
               }
             });
}

topic_follower::topic_follower(http::event_loop& loop,
                               external::keyed_store& store,
                               follow_options options, listener to,
                               reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(options),
                                   std::move(to), report)) {}

topic_follower::~topic_follower() {
  impl_->stopped = true;
}

void topic_follower::start() {
  impl_->restart();
}

void topic_follower::set_pause(std::chrono::milliseconds pause) {
  impl_->options.pause = pause;
}

void topic_follower::refresh(std::function<void(bool)> done) {
  impl_->store.read(
      impl_->options.topic, impl_->next, std::chrono::milliseconds(0),
      [self = impl_, done = std::move(done),
       sent = boot_now()](absl::StatusOr<external::record_batch> batch) {
        if (self->stopped) {
          return;
        }
        if (batch.ok()) {
          self->succeeded(sent);
          self->apply(*batch);
        }
        done(batch.ok() && self->loaded);
      });
}

void topic_follower::accept(const external::record_batch& batch) {
  impl_->apply(batch);
}

void topic_follower::when_reached(model::offset offset,
                                  std::function<void()> done) {
  if (impl_->loaded && impl_->next >= offset) {
    impl_->loop.call_after(std::chrono::milliseconds(0), std::move(done));
    return;
  }
  impl_->waiting.emplace_back(offset, std::move(done));
}

bool topic_follower::loaded() const {
  return impl_->loaded;
}

bool topic_follower::in_touch() const {
  return impl_->in_touch;
}

model::offset topic_follower::next() const {
  return impl_->next;
}

model::time_point topic_follower::fresh_at() const {
  return impl_->fresh_at;
}

model::time_point topic_follower::answered_at() const {
  return impl_->answered_at;
}

}  // namespace vanillaladder::dispatch
