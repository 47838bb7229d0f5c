#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <stop_token>
#include <utility>

namespace vanillaladder::runtime {

enum class push_result {
  accepted,
  /// The mailbox is full; the sender must reject the message or slow down.
  full,
  /// The receiver no longer takes messages.
  closed,
};

/// Bounded, thread-safe queue of messages to one task.
template <class Message>
class mailbox {
 public:
  /// @param capacity maximum number of queued messages; 0 counts as 1.
  explicit mailbox(std::size_t capacity)
      : capacity_(capacity == 0 ? 1 : capacity) {}
  mailbox(const mailbox&) = delete;
  mailbox& operator=(const mailbox&) = delete;

  /// Adds a message without blocking.
  /// @param message moved from only if the result is `accepted`.
  push_result push(Message&& message) {
    {
      std::lock_guard lock(mutex_);
      if (closed_) {
        return push_result::closed;
      }
      if (messages_.size() >= capacity_) {
        return push_result::full;
      }
      messages_.push_back(std::move(message));
    }
    state_changed_.notify_one();
    return push_result::accepted;
  }

  /// Blocks until a message is available.
  /// @return the oldest message; `std::nullopt` if the mailbox is closed and
  ///   empty, or once `stop` is requested.
  std::optional<Message> pop(std::stop_token stop = {}) {
    std::unique_lock lock(mutex_);
    state_changed_.wait(lock, stop,
                        [this] { return closed_ || !messages_.empty(); });
    if (stop.stop_requested()) {
      return std::nullopt;
    }
    return pop_locked();
  }

  /// @return the oldest message, or `std::nullopt` if the mailbox is empty.
  std::optional<Message> try_pop() {
    std::lock_guard lock(mutex_);
    return pop_locked();
  }

  /// Rejects further messages; queued ones can still be popped.
  void close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    state_changed_.notify_all();
  }

  /// @return the number of queued messages.
  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return messages_.size();
  }

 private:
  /// Requires `mutex_` to be held.
  std::optional<Message> pop_locked() {
    if (messages_.empty()) {
      return std::nullopt;
    }
    std::optional<Message> first(std::move(messages_.front()));
    messages_.pop_front();
    return first;
  }

  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable_any state_changed_;
  std::deque<Message> messages_;
  bool closed_ = false;
};

}  // namespace vanillaladder::runtime
