#include "dispatch/topic_follower.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "dispatch/clock.h"
#include "dispatch/rising_timeout.h"
#include "runtime/error.h"

namespace vanillaladder::dispatch {
namespace {

/// Pause before a failed read is retried.
constexpr std::chrono::milliseconds retry_pause{150};
/// A pause is not extended by less than this.
constexpr std::chrono::milliseconds min_read_pause{5};

}  // namespace

struct topic_follower::impl
    : std::enable_shared_from_this<topic_follower::impl> {
  impl(http::event_loop& loop_in, external::keyed_store& store_in,
       follower_options options_in, listener handlers_in, reporter report_in)
      : loop(loop_in),
        store(store_in),
        options(std::move(options_in)),
        handlers(std::move(handlers_in)),
        report(report_in) {}

  void load();
  void load_page(const std::string& after);
  void finish_load();
  void read();
  void defer(std::chrono::milliseconds pause, std::function<void()> step);
  void pause_reads();
  void apply(const external::record_batch& batch);
  void apply_read(const external::record_batch& batch, model::time_point sent);
  void notify_waiters();
  void on_history_gone();
  void on_read_failed(const absl::Status& status);
  void on_read_succeeded(model::time_point sent);

  http::event_loop& loop;
  external::keyed_store& store;
  follower_options options;
  listener handlers;
  reporter report;
  bool stopped = false;
  bool loaded = false;
  /// Whether the pages of a load are being read. The copy lacks records until
  /// the last one is there.
  bool loading = false;
  bool store_reachable = true;
  rising_timeout page_timeout = make_page_timeout();
  /// Number of the last load. Reads sent before it are of no use.
  int load_number = 0;
  /// Timer that ends the pause between two reads; empty while a read is in
  /// flight.
  std::optional<http::event_loop::timer_id> pause_timer;
  model::offset next = 0;
  model::offset load_end = 0;
  model::time_point load_sent_at;
  int pages_loaded = 0;
  /// Keys on the pages of a load, and those stored by this daemon meanwhile.
  std::set<std::string> keys;
  model::time_point last_read_sent_at;
  model::time_point last_read_answered_at;
  /// The copy contains all records that the topic had at this time.
  model::time_point current_as_of;
  std::vector<std::pair<model::offset, std::function<void()>>> waiters;
};

void topic_follower::impl::defer(std::chrono::milliseconds pause,
                                 std::function<void()> step) {
  loop.call_after(pause, [self = shared_from_this(), step = std::move(step)] {
    if (!self->stopped) {
      step();
    }
  });
}

void topic_follower::impl::on_read_failed(const absl::Status& status) {
  if (store_reachable) {
    store_reachable = false;
    report.event("follower",
                 absl::StrCat("dependency_lost topic=", options.topic,
                              " next=", next, " loading=", loading,
                              " error=", runtime::error_message(status)));
    if (handlers.on_reachability) {
      handlers.on_reachability(false);
    }
  }
  report.count("vanillaladder_store_read_failures_total", "topic",
               options.topic);
}

void topic_follower::impl::on_read_succeeded(model::time_point sent) {
  last_read_sent_at = std::max(last_read_sent_at, sent);
  last_read_answered_at = boot_now();
  if (!store_reachable) {
    store_reachable = true;
    report.event("follower", absl::StrCat("dependency_regained topic=",
                                          options.topic, " next=", next));
    if (handlers.on_reachability) {
      handlers.on_reachability(true);
    }
  }
}

/// Reads the newest record of each key.
void topic_follower::impl::load() {
  loading = true;
  ++load_number;
  pages_loaded = 0;
  keys.clear();
  load_page("");
}

void topic_follower::impl::load_page(const std::string& after) {
  store.read_newest(options.topic, after, page_timeout.value(),
                    [self = shared_from_this(), after, sent = boot_now()](
                        absl::StatusOr<external::newest_page> page) {
                      if (self->stopped) {
                        return;
                      }
                      if (!page.ok()) {
                        self->on_read_failed(page.status());
                        if (absl::IsUnknown(page.status())) {
                          self->page_timeout.on_unanswered();
                        }
                        // Goes on with the same page: loads that begin anew at
                        // each failure may never end, and use up the store's
                        // rate of reads.
                        self->defer(retry_pause, [self = self.get(), after] {
                          self->load_page(after);
                        });
                        return;
                      }
                      // Later pages may contain newer records. Reading on from
                      // the end as of the first page delivers all later
                      // changes.
                      if (after.empty()) {
                        self->load_end = page->end;
                        self->load_sent_at = sent;
                      }
                      ++self->pages_loaded;
                      self->page_timeout.on_answered();
                      self->on_read_succeeded(sent);
                      std::string last;
                      for (const auto& record : page->records) {
                        self->keys.insert(record.key);
                        self->handlers.on_record(record.key, record.value);
                        last = record.key;
                      }
                      if (page->more && !last.empty()) {
                        self->load_page(last);
                      } else {
                        self->finish_load();
                      }
                    });
}

void topic_follower::impl::finish_load() {
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      boot_now() - load_sent_at);
  next = load_end;
  loaded = true;
  loading = false;
  current_as_of = std::max(current_as_of, load_sent_at);
  report.event("follower",
               absl::StrCat("topic_loaded topic=", options.topic,
                            " keys=", keys.size(), " next=", next,
                            " pages=", pages_loaded, " ms=", took.count()));
  if (handlers.on_loaded) {
    handlers.on_loaded(keys);
  }
  keys.clear();
  notify_waiters();
  read();
}

void topic_follower::impl::apply(const external::record_batch& batch) {
  auto at = batch.first_offset;
  for (const auto& record : batch.records) {
    // Skips records that were already applied.
    if (at == next) {
      ++next;
      handlers.on_record(record.key, record.value);
    }
    ++at;
  }
  notify_waiters();
}

void topic_follower::impl::notify_waiters() {
  std::erase_if(waiters, [this](auto& each) {
    if (next < each.first) {
      return false;
    }
    loop.call_after(std::chrono::milliseconds(0), std::move(each.second));
    return true;
  });
}

/// Continues to read after the pause. Reads by `refresh` count as well.
void topic_follower::impl::pause_reads() {
  auto since_read = std::chrono::duration_cast<std::chrono::milliseconds>(
      boot_now() - last_read_answered_at);
  pause_timer = loop.call_after(
      std::max(options.read_pause - since_read, std::chrono::milliseconds(0)),
      [self = shared_from_this()] {
        self->pause_timer.reset();
        if (self->stopped) {
          return;
        }
        if (boot_now() - self->last_read_answered_at <
            self->options.read_pause - min_read_pause) {
          self->pause_reads();
        } else {
          self->read();
        }
      });
}

/// Applies the answer to a read that was sent at `sent`.
void topic_follower::impl::apply_read(const external::record_batch& batch,
                                      model::time_point sent) {
  on_read_succeeded(sent);
  apply(batch);
  // An answer may be cut before the end of the topic.
  if (next >= batch.end) {
    current_as_of = std::max(current_as_of, sent);
  }
}

void topic_follower::impl::read() {
  // A read that follows a failure doesn't wait, so that it shows at once
  // whether the store answers.
  auto wait =
      store_reachable ? options.read_wait : std::chrono::milliseconds(0);
  store.read(options.topic, next, wait, std::nullopt,
             [self = shared_from_this(), number = load_number,
              sent = boot_now()](absl::StatusOr<external::record_batch> batch) {
               if (self->stopped || number != self->load_number) {
                 return;
               }
               if (absl::IsOutOfRange(batch.status())) {
                 self->on_history_gone();
                 return;
               }
               if (!batch.ok()) {
                 self->on_read_failed(batch.status());
                 self->defer(retry_pause, [self = self.get(), number] {
                   if (number == self->load_number) {
                     self->read();
                   }
                 });
                 return;
               }
               self->apply_read(*batch, sent);
               bool is_cut = self->next < batch->end;
               if (batch->records.empty() || is_cut) {
                 self->read();
               } else {
                 self->pause_reads();
               }
             });
}

void topic_follower::impl::on_history_gone() {
  report.event("follower", absl::StrCat("history_gone topic=", options.topic,
                                        " next=", next));
  if (auto timer = std::exchange(pause_timer, std::nullopt)) {
    loop.cancel(*timer);
  }
  load();
}

topic_follower::topic_follower(http::event_loop& loop,
                               external::keyed_store& store,
                               follower_options options, listener handlers,
                               reporter report)
    : impl_(std::make_shared<impl>(loop, store, std::move(options),
                                   std::move(handlers), report)) {}

topic_follower::~topic_follower() {
  impl_->stopped = true;
}

void topic_follower::start() {
  impl_->load();
}

void topic_follower::set_read_wait(std::chrono::milliseconds wait) {
  impl_->options.read_wait = wait;
}

void topic_follower::set_read_pause(std::chrono::milliseconds pause) {
  bool is_shorter = pause < impl_->options.read_pause;
  impl_->options.read_pause = pause;
  if (is_shorter && impl_->pause_timer) {
    impl_->loop.cancel(*std::exchange(impl_->pause_timer, std::nullopt));
    impl_->read();
  }
}

void topic_follower::refresh(std::function<void(bool)> done,
                             std::optional<std::chrono::milliseconds> timeout) {
  if (impl_->loading) {
    impl_->loop.call_after(std::chrono::milliseconds(0),
                           [done = std::move(done)] { done(false); });
    return;
  }
  impl_->store.read(
      impl_->options.topic, impl_->next, std::chrono::milliseconds(0), timeout,
      [self = impl_, done = std::move(done), number = impl_->load_number,
       sent = boot_now()](absl::StatusOr<external::record_batch> batch) {
        if (self->stopped) {
          return;
        }
        // A load that has begun meanwhile reads on from another offset.
        if (number != self->load_number) {
          done(false);
          return;
        }
        if (absl::IsOutOfRange(batch.status())) {
          // The regular read may hang on a silent connection.
          self->on_history_gone();
        }
        if (!batch.ok()) {
          done(false);
          return;
        }
        self->apply_read(*batch, sent);
        done(self->next >= batch->end);
      });
}

void topic_follower::apply(const external::record_batch& batch) {
  impl_->apply(batch);
}

void topic_follower::note_stored(std::string_view key) {
  if (impl_->loading) {
    impl_->keys.emplace(key);
  }
}

void topic_follower::when_reached(model::offset offset,
                                  std::function<void()> done) {
  if (impl_->loaded && impl_->next >= offset) {
    impl_->loop.call_after(std::chrono::milliseconds(0), std::move(done));
    return;
  }
  impl_->waiters.emplace_back(offset, std::move(done));
}

bool topic_follower::loaded() const {
  return impl_->loaded;
}

bool topic_follower::store_reachable() const {
  return impl_->store_reachable;
}

model::offset topic_follower::next() const {
  return impl_->next;
}

model::time_point topic_follower::last_read_sent_at() const {
  return impl_->last_read_sent_at;
}

model::time_point topic_follower::current_as_of() const {
  return impl_->current_as_of;
}

model::time_point topic_follower::last_read_answered_at() const {
  return impl_->last_read_answered_at;
}

}  // namespace vanillaladder::dispatch
