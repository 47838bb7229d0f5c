#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dispatch/reporter.h"
#include "dispatch/topic_follower.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// A claim, a renewal or the release of the leadership, as it is stored.
struct lease_record {
  std::string holder;
  /// Offset of the claim; rises with each.
  model::epoch epoch = 0;
  /// Counts the holder's records.
  std::int64_t sequence = 0;
  bool released = false;
  /// Most processor that a holder up to now has had, in thousandths of a core;
  /// 0 is unknown.
  int highest_cpu_millis = 0;

  bool operator==(const lease_record&) const = default;
};

std::string encode(const lease_record& record);
std::optional<lease_record> decode_lease(std::string_view value);

/// Decides who leads, from a topic that all daemons read.
///
/// Each record is appended on condition that the topic ends where its writer
/// has read to, so there is one holder at a time. A holder leads for
/// `lifetime` from the moment it *sent* its last record; others claim once
/// they have seen no record for as long, counted from its *arrival*. Reads no
/// clock and sends nothing.
class leader_lease {
 public:
  /// Ends a leadership this much before others may claim it, for the time
  /// between a check and the order that relies on it.
  static constexpr std::chrono::milliseconds safety_margin{150};
  /// How long a daemon with little processor leaves the claim to others; they
  /// claim within a few store calls of 4 ms, or some tens while it is slow.
  static constexpr std::chrono::milliseconds low_cpu_claim_delay{500};
  /// Share of the strongest holder's processor below which a daemon is weak.
  static constexpr double low_cpu_share = 0.5;
  /// How long others leave the claim to the last holder once they see the
  /// topic again: a holder asks every 150 to 200 ms whether the store is back.
  static constexpr std::chrono::milliseconds holder_grace_period{400};
  /// Thousandths of a core below which it is while no holder is known: the
  /// leader of 490 workers uses 400.
  static constexpr int low_cpu_millis = 250;

  /// @param processor what this daemon may use, in thousandths of a core; 0
  ///   is unknown.
  leader_lease(std::string holder_id, std::chrono::milliseconds lifetime,
               int cpu_millis = 0)
      : holder_id_(std::move(holder_id)),
        lifetime_(lifetime),
        cpu_millis_(cpu_millis) {}

  /// Takes a record of the topic, in order.
  void on_record(const lease_record& record, model::time_point now);
  /// The topic has been read for the first time.
  void on_loaded(model::time_point now);
  /// The topic can't be read; what it holds meanwhile is not known.
  void on_store_unreachable() { store_unreachable_ = true; }
  /// The topic has been read to its end.
  void on_store_reachable(model::time_point now);
  /// A record of ours is about to be sent.
  /// @return the record.
  lease_record prepare_record(model::time_point now);
  /// Gives up the leadership; nothing is claimed afterwards.
  void resign() { resigned_ = true; }
  /// A later leader has been noticed elsewhere; its record is to come.
  void on_superseded() { superseded_ = true; }
  bool superseded() const { return superseded_; }

  /// @return whether this daemon should try to claim the leadership. One with
  ///   little processor waits a little longer than the others.
  bool may_claim(model::time_point now) const;
  /// @return whether the topic's last record is ours and no release.
  bool holds() const;
  /// @return whether an order may be sent at `now`.
  bool valid(model::time_point now) const {
    return holds() && !resigned_ && !superseded_ && now < valid_until_;
  }
  model::epoch epoch() const { return epoch_; }
  const std::optional<lease_record>& last_record() const {
    return last_record_;
  }

 private:
  bool has_low_cpu() const;

  std::string holder_id_;
  std::chrono::milliseconds lifetime_;
  int cpu_millis_ = 0;
  std::optional<lease_record> last_record_;
  bool loaded_ = false;
  bool resigned_ = false;
  bool superseded_ = false;
  bool store_unreachable_ = false;
  model::time_point last_record_at_;
  /// When the topic could be read again after it could not; claims that others
  /// have precedence for wait from then on.
  model::time_point store_back_at_;
  model::epoch epoch_ = 0;
  std::int64_t sequence_ = 0;
  model::time_point last_sent_at_;
  model::time_point valid_until_;
};

struct leadership_options {
  /// Names this process; never used again by another.
  std::string holder_id;
  std::string topic;
  /// Processor that this daemon may use, in thousandths of a core.
  int cpu_millis = 0;
  std::chrono::milliseconds lifetime{1500};
  std::chrono::milliseconds renewal_interval{450};
};

/// Claims, renews and releases the leadership.
class leadership {
 public:
  struct listener {
    /// A new leadership with this epoch; nothing is fenced yet.
    std::function<void(model::epoch)> on_won;
    std::function<void()> on_lost;
  };

  leadership(http::event_loop& loop, external::keyed_store& store,
             leadership_options options, listener handlers, reporter report);
  ~leadership();
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;

  void start();
  /// Releases the leadership, so that another daemon can claim it at once.
  /// @param done called once the store knows, or after a short time.
  void release(std::function<void()> done);
  /// The store or a worker has refused us in favour of a later leader.
  void on_superseded(std::string_view noticed_by);
  bool valid() const;
  model::epoch epoch() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
