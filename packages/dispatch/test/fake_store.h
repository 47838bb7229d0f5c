#pragma once

#include <absl/status/status.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
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
    auto current_end = static_cast<model::offset>(topic.size());
    if (options.expected_end && *options.expected_end != current_end) {
      loop_->post([done] { done(absl::FailedPreconditionError("end")); });
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
            std::optional<std::chrono::milliseconds>,
            read_callback done) override {
    ++reads;
    if (unresponsive) {
      return;
    }
    if (unreachable) {
      loop_->post([done] { done(absl::UnknownError("reset")); });
      return;
    }
    if (from < first_retained) {
      loop_->post([done] { done(absl::OutOfRangeError("gone")); });
      return;
    }
    external::record_batch batch;
    batch.first_offset = from;
    batch.end = static_cast<model::offset>(topic.size());
    auto available = topic.size() - static_cast<std::size_t>(from);
    auto count = records_per_read == 0 ? available
                                       : std::min(available, records_per_read);
    batch.records.assign(
        topic.begin() + from,
        topic.begin() + from + static_cast<std::ptrdiff_t>(count));
    // Simulates the wait of a read that finds nothing.
    loop_->call_after(std::chrono::milliseconds(1),
                      [done, batch = std::move(batch)] { done(batch); });
  }

  void read_newest(const std::string& name, const std::string& after,
                   std::optional<std::chrono::milliseconds> timeout,
                   newest_callback done) override {
    pages_requested.push_back(after);
    if (after == held_after) {
      held_pages.emplace_back([this, name, after, timeout, done] {
        read_newest(name, after, timeout, done);
      });
      return;
    }
    if (name == unreadable_topic) {
      loop_->post([done] { done(absl::UnavailableError("busy")); });
      return;
    }
    if (after == unreadable_after) {
      loop_->post([done] { done(absl::UnknownError("timed out")); });
      return;
    }
    external::newest_page page;
    page.records = topic;
    page.end = static_cast<model::offset>(topic.size());
    if (keys_per_page > 0) {
      page.records = page_after(after, page.more);
    }
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
  /// Number of keys on a page of the newest records; 0 for one page with all
  /// records.
  std::size_t keys_per_page = 0;
  /// The page after this key is not answered in time.
  std::optional<std::string> unreadable_after;
  /// The pages after this key are read once the test calls `held_pages`.
  std::optional<std::string> held_after;
  std::vector<std::function<void()>> held_pages;
  /// Keys after which pages were requested.
  std::vector<std::string> pages_requested;
  /// Records of a read, at most; 0 for all.
  std::size_t records_per_read = 0;
  /// Reads before this offset fail, since the records are gone.
  model::offset first_retained = 0;
  int appends = 0;
  int reads = 0;
  std::vector<batch::topic_record> topic;

 private:
  std::vector<batch::topic_record> page_after(const std::string& after,
                                              bool& more) const {
    std::map<std::string, std::string> newest;
    for (const auto& record : topic) {
      newest[record.key] = record.value;
    }
    std::vector<batch::topic_record> records;
    for (auto each = newest.upper_bound(after); each != newest.end(); ++each) {
      if (records.size() == keys_per_page) {
        more = true;
        break;
      }
      records.push_back({each->first, each->second});
    }
    return records;
  }

  http::event_loop* loop_;
};

}  // namespace vanillaladder::dispatch
