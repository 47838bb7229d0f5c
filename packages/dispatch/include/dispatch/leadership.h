#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "batch/worker.h"
#include "dispatch/lost_worker_list.h"
#include "dispatch/reporter.h"
#include "dispatch/topic_follower.h"
#include "external/keyed_store.h"
#include "http/event_loop.h"
#include "model/types.h"

namespace vanillaladder::dispatch {

/// Stored record of a claim, a renewal or the release of the leadership.
struct lease_record {
  std::string holder;
  /// Identifies the claim; each claim has a higher epoch than the one before.
  model::epoch epoch = 0;
  /// Sequence number of the record among those of its holder.
  std::int64_t sequence = 0;
  bool released = false;
  /// Largest processor capacity of any holder so far, in thousandths of a core;
  /// 0 if unknown.
  int highest_cpu_millis = 0;

  bool operator==(const lease_record&) const = default;
};

std::string encode(const lease_record& record);
std::optional<lease_record> decode_lease(std::string_view value);

/// Stored record of a daemon's processor capacity: of the holder, written with
/// its claim, or of a daemon that asks the holder to hand over.
struct capacity_record {
  std::string daemon;
  /// In thousandths of a core.
  int cpu_millis = 0;
  /// Claim of the holder that the record is of or that it is addressed to.
  model::epoch epoch = 0;

  bool operator==(const capacity_record&) const = default;
};

std::string encode(const capacity_record& record);
std::optional<capacity_record> decode_capacity(std::string_view value);

/// Leader election by a lease that is stored in a topic which all daemons read.
///
/// Each record is appended on the condition that the topic ends where its
/// writer has read to, so there is one holder at a time. The lease of a holder
/// is valid for `lifetime` from the time it *sent* its last record; others may
/// claim it once no record has *arrived* for `lifetime`. Pure state machine: it
/// reads no clock and sends nothing.
class leader_lease {
 public:
  /// The holder stops acting this long before others may claim the lease.
  /// Covers the time between a check of the lease and the order that relies on
  /// it.
  static constexpr std::chrono::milliseconds safety_margin{150};
  /// How long a daemon with low processor capacity waits before it claims, to
  /// let others claim first. They need a few store calls, which take 4 ms each,
  /// or some tens of milliseconds while the store is slow.
  static constexpr std::chrono::milliseconds low_cpu_claim_delay{500};
  /// The same for a daemon whose reads of other topics fail: it could renew the
  /// lease, which takes appends alone, but start nothing.
  static constexpr std::chrono::milliseconds failing_reads_claim_delay{500};
  /// A daemon has low capacity if it has less than this fraction of the largest
  /// known capacity.
  static constexpr double low_cpu_share = 0.5;
  /// Pause between two requests to hand over. A claim and the takeover after
  /// it take less.
  static constexpr std::chrono::milliseconds hand_over_request_interval{2000};
  /// How long other daemons wait for the last holder to renew after the store
  /// has become reachable again. A holder retries every 150 to 200 ms.
  static constexpr std::chrono::milliseconds holder_grace_period{400};
  /// Limit of low capacity in thousandths of a core while no holder is known.
  /// The leader of 490 workers uses 400.
  static constexpr int low_cpu_millis = 250;

  /// @param cpu_millis processor capacity of this daemon in thousandths of a
  ///   core; 0 if unknown.
  leader_lease(std::string holder_id, std::chrono::milliseconds lifetime,
               int cpu_millis = 0)
      : holder_id_(std::move(holder_id)),
        lifetime_(lifetime),
        cpu_millis_(cpu_millis) {}

  /// Applies a record of the topic; records are passed in order.
  void on_record(const lease_record& record, model::time_point now);
  /// Called when the topic has been read to its end for the first time.
  void on_loaded(model::time_point now);
  /// Called when reads of the topic begin to fail, so that new records may be
  /// missed.
  void on_store_unreachable() { store_unreachable_ = true; }
  /// Called when the topic can be read; ends an outage.
  void on_store_reachable(model::time_point now);
  /// Sets whether this daemon is able to lead. The delays that give precedence
  /// to other daemons count from when it became able: what kept it from leading
  /// may have kept them too.
  void set_able(bool able, model::time_point now);
  /// Sets whether reads of the topics that a leader needs fail.
  void set_reads_fail(bool fail) { reads_fail_ = fail; }
  /// Prepares a claim, renewal or release that the caller sends at `now`.
  /// @return the record to append.
  lease_record prepare_record(model::time_point now);
  /// Gives up the lease; it is never claimed again.
  void resign() { resigned_ = true; }
  /// Applies the capacity of a holder, which is stored with its claim.
  void on_holder_capacity(const capacity_record& record);
  /// Applies a daemon's request that the holder hands over to it. A holder with
  /// low capacity compared to it stops acting; its next record is a release.
  /// @return whether this daemon hands over.
  bool on_hand_over_request(const capacity_record& record,
                            model::time_point now);
  /// @return whether this daemon should ask the holder to hand over: the holder
  ///   has low capacity compared to it, and nobody has asked shortly before.
  bool may_request_hand_over(model::time_point now) const;
  /// Prepares a request that the caller sends at `now`.
  capacity_record prepare_hand_over_request(model::time_point now);
  bool is_handing_over() const { return handing_over_; }
  /// Called when another component has found a later leader whose record has
  /// not been read yet.
  void on_superseded() { superseded_ = true; }
  bool superseded() const { return superseded_; }

  /// @return whether this daemon, if able to lead, should try to claim the
  ///   lease. A daemon with low processor capacity or failing reads waits
  ///   longer than the others.
  bool may_claim(model::time_point now) const;
  /// @return whether the last record of the topic is a claim or renewal by this
  ///   daemon.
  bool holds() const;
  /// @return whether this daemon lets others claim first, because it has low
  ///   processor capacity.
  bool yields() const;
  /// @return whether this daemon may act as leader at `now`.
  bool valid(model::time_point now) const {
    return holds() && !resigned_ && !superseded_ && !handing_over_ &&
           now < valid_until_;
  }
  model::epoch epoch() const { return epoch_; }
  const std::optional<lease_record>& last_record() const {
    return last_record_;
  }

 private:
  std::string holder_id_;
  std::chrono::milliseconds lifetime_;
  int cpu_millis_ = 0;
  std::optional<lease_record> last_record_;
  bool loaded_ = false;
  bool resigned_ = false;
  bool superseded_ = false;
  bool handing_over_ = false;
  bool store_unreachable_ = false;
  bool reads_fail_ = false;
  bool able_ = false;
  model::time_point able_since_;
  model::time_point last_record_at_;
  /// When the last outage of the store ended. The delays that give precedence
  /// to other daemons count from then on.
  model::time_point store_back_at_;
  /// Capacity of the last holder that has stored one.
  std::optional<capacity_record> holder_capacity_;
  model::time_point hand_over_requested_at_;
  /// Capacity of the daemon that this one hands over to.
  int successor_cpu_millis_ = 0;
  model::epoch epoch_ = 0;
  std::int64_t sequence_ = 0;
  model::time_point last_sent_at_;
  model::time_point valid_until_;
};

struct leadership_options {
  /// Identifies this process; never reused by another process.
  std::string holder_id;
  std::string topic;
  /// Processor capacity of this daemon, in thousandths of a core.
  int cpu_millis = 0;
  std::chrono::milliseconds lifetime{1500};
  std::chrono::milliseconds renewal_interval{450};
};

/// Claims, renews and releases the leadership through the store.
class leadership {
 public:
  struct listener {
    /// Called when a leadership with this epoch begins. Earlier leaders are not
    /// fenced yet.
    std::function<void(model::epoch)> on_won;
    std::function<void()> on_lost;
    /// Called before a claim; returns whether this daemon is able to lead.
    std::function<bool()> can_lead = {};
    /// Returns whether reads of the topics that a leader needs fail; asked
    /// before a claim.
    std::function<bool()> reads_fail = {};
    /// Returns the workers that the leader has no contact with, or nothing
    /// while it does not order workers yet. Asked before each renewal.
    std::function<std::optional<std::vector<batch::lost_worker>>()>
        lost_workers = {};
  };

  leadership(http::event_loop& loop, external::keyed_store& store,
             leadership_options options, listener handlers, reporter report);
  ~leadership();
  leadership(const leadership&) = delete;
  leadership& operator=(const leadership&) = delete;

  void start();
  /// Releases the leadership so that another daemon can claim it immediately.
  /// @param done called once the release is stored, or after a short time.
  void release(std::function<void()> done);
  /// Called when the store or a worker has rejected this daemon because a later
  /// leader exists.
  void on_superseded(std::string_view noticed_by);
  bool valid() const;
  model::epoch epoch() const;
  /// @return whether a lease on the worker may be ordered. Not while a stored
  ///   list names it as lost, since a successor would rely on that list.
  bool may_extend_lease(std::string_view worker) const;
  /// @return the workers that the last leader had no contact with.
  std::vector<batch::lost_worker> lost_workers() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace vanillaladder::dispatch
