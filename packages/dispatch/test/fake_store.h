#pragma once

#include <absl/status/status.h>

#include <vector>

#include "external/keyed_store.h"
#include "http/event_loop.h"

namespace vanillaladder::dispatch {

/// A store in memory with one topic and simulated failures.
class fake_store : public external::keyed_store {
 public:
  explicit fake_store(http::event_loop& loop) : loop_(&loop) {}

  void append(const std::string& name,
              std::span<const batch::topic_record> records,
              external::append_options options, append_callback done) override {
    ++appends;
    if (unresponsive || (name == stalled_topic && !records.empty())) {
      return;
    }
    if (unreachable) {
      loop_->post([done] { done(absl::UnknownError("reset")); });
      return;
    }
    topic.insert(topic.end(), records.begin(), records.end());
    auto end = static_cast<model::offset>(topic.size());
    if (drops_answers) {
      if (options.answer_timeout) {
        loop_->call_after(*options.answer_timeout,
                          [done] { done(absl::UnknownError("timed out")); });
      }
      return;
    }
    loop_->post([done, end] { done(end); });
  }

  void read(const std::string&, model::offset from, std::chrono::milliseconds,
            read_callback done) override {
    ++reads;
    if (unresponsive) {
      return;
    }
    if (unreachable) {
      loop_->post([done] { done(absl::UnknownError("reset")); });
      return;
    }
    external::record_batch batch;
    batch.first_offset = from;
    batch.records.assign(topic.begin() + from, topic.end());
    // Simulates the wait of a read that finds nothing.
    loop_->call_after(std::chrono::milliseconds(1),
                      [done, batch = std::move(batch)] { done(batch); });
  }

  void read_newest(const std::string& name, const std::string&,
                   newest_callback done) override {
    if (name == unreadable_topic) {
      loop_->post([done] { done(absl::UnavailableError("busy")); });
      return;
    }
    external::newest_page page;
    page.records = topic;
    page.end = static_cast<model::offset>(topic.size());
    loop_->post([done, page = std::move(page)] { done(page); });
  }

  /// Appends and reads fail without an effect.
  bool unreachable = false;
  /// Appends take effect but are not answered. Callers with an answer limit get
  /// an error after it.
  bool drops_answers = false;
  /// Appends and reads have no effect and are not answered.
  bool unresponsive = false;
  /// Topic whose appends of records have no effect and are not answered.
  std::string stalled_topic;
  /// Topic whose newest records cannot be read.
  std::string unreadable_topic;
  int appends = 0;
  int reads = 0;
  std::vector<batch::topic_record> topic;

 private:
  http::event_loop* loop_;
};

}  // namespace vanillaladder::dispatch
