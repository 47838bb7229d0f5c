#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "dispatch/reporter.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Decides from the answers of a group who may lead, and until when.
///
/// Reads no clock and sends nothing.
class leadership_rule {
 public:
  /// Ends a membership this much before the store may end it, for the time
  /// between a check and the order that relies on it.
  static constexpr std::chrono::milliseconds margin{150};

  /// @param lifetime of a membership from the arrival of its renewal.
  explicit leadership_rule(std::chrono::milliseconds lifetime)
      : lifetime_(lifetime) {}

  enum class change { none, proposed, resumed, lost };

  /// Takes the answer to a renewal.
  /// @param sent when the renewal was sent.
  change on_place(const external::group_place& place,
                  model::time_point sent);
  /// The store or a worker has refused us in favour of a later leader.
  /// @return whether we led.
  bool on_superseded();

  /// @return whether an order may be sent at `now`.
  bool valid(model::time_point now) const {
    return holds_ && now < valid_until_;
  }
  bool holds() const { return holds_; }
  /// Epoch of the present leadership; rises with each.
  model::epoch epoch() const { return epoch_; }
  model::epoch generation() const { return generation_; }

 private:
  std::chrono::milliseconds lifetime_;
  bool holds_ = false;
  model::epoch epoch_ = 0;
  model::epoch generation_ = 0;
  model::time_point valid_until_;
};

struct leadership_options {
  std::string group;
  std::string member;
  std::string topic;
  std::chrono::milliseconds lifetime{1500};
  std::chrono::milliseconds renewal{400};
};

/// Keeps this daemon in the group that names the leader.
class leadership {
 public:
  struct listener {
    /// A new leadership with this epoch; nothing is fenced yet.
    std::function<void(model::epoch)> proposed;
    std::function<void()> lost;
  };

  leadership(http::event_loop& loop, external::keyed_store& store,
             leadership_options options, listener to, reporter report);
  ~leadership();
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;

  void start();
  /// Gives up the leadership and the membership.
  /// @param done called once the store knows, or after a short time.
  void leave(std::function<void()> done);
  /// A later leader exists; joins anew under another name.
  void superseded(std::string_view by_whom);
  bool valid() const;
  model::epoch epoch() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
