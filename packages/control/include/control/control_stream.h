#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/peer_mesh.h"
#include "coordination/append_tracker.h"
#include "coordination/control_state.h"
#include "coordination/stream_reader.h"
#include "external/log_service.h"
#include "http/event_loop.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

namespace vanillaladder::control {

/// Outcome of a control record that this daemon published.
struct publish_result {
  coordination::append_outcome outcome = coordination::append_outcome::unknown;
  /// Decision of the replicated state; valid unless `outcome` is `unknown`.
  coordination::control_result decision;
  model::offset offset = -1;
};

/// Follows the stream `control` and appends to it, on one event loop.
class control_stream {
 public:
  using applied_record = coordination::control_reader::applied_record;

  struct hooks {
    /// Called after records were applied, and once after a snapshot was loaded.
    std::function<void()> on_changed;
    /// Called when a read sent at `sent` reached the end of the stream.
    std::function<void(model::time_point sent, model::offset next)>
        on_stream_end;
  };

  /// @param log, loop, metrics must outlive the stream.
  control_stream(http::event_loop& loop, external::log_service& log,
                 runtime::metrics& metrics, caller_identity self,
                 hooks callbacks);
  ~control_stream();
  control_stream(const control_stream&) = delete;
  control_stream& operator=(const control_stream&) = delete;

  /// Starts to read the stream.
  void start();
  /// Sends due appends; must be called at least every 50 ms while records are
  /// pending.
  void poll(model::time_point now);

  /// Appends a record.
  /// @param deadline time at which the record is abandoned.
  /// @param done called once, when the record was read back or abandoned.
  void publish(coordination::control_body body, model::time_point deadline,
               std::function<void(publish_result)> done);

  /// Applies records that a peer relayed.
  void on_relayed_records(const std::vector<wire::log_record>& records);
  /// @return recent records from `first` on, for peers that lack them; empty if
  ///   `first` is not among the records kept.
  std::vector<wire::log_record> recent_records(model::offset first,
                                               std::size_t limit) const;

  const coordination::control_state& state() const { return reader_.state(); }
  /// @return whether the state was recovered from the log.
  bool has_state() const { return reader_.has_state(); }
  /// @return whether the last read reached the end of the stream.
  bool at_end() const {
    return reader_.status() == coordination::reader_status::at_end;
  }
  /// @return whether the last read succeeded and was recent.
  bool log_reachable(model::time_point now) const;

 private:
  struct pending_publish {
    model::time_point deadline;
    std::function<void(publish_result)> done;
  };

  void read_next();
  void on_read(model::time_point sent,
               absl::StatusOr<external::read_result> result);
  void handle_applied(const std::vector<applied_record>& records);
  void add_recent(model::offset offset, const std::string& bytes);
  void complete_publish(const applied_record& record);
  void abandon_overdue(model::time_point now);
  void publish_snapshot_if_due();

  http::event_loop& loop_;
  external::log_service& log_;
  runtime::metrics& metrics_;
  runtime::logger logger_{"control"};
  hooks hooks_;
  coordination::control_reader reader_;
  coordination::append_tracker tracker_;
  std::map<coordination::record_id, pending_publish> pending_publishes_;
  /// Raw records at consecutive offsets, newest last.
  std::deque<wire::log_record> recent_;
  model::time_point last_read_{};
  bool log_failed_ = false;
  bool snapshot_pending_ = false;
  /// Set to false on destruction, so that late responses are ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace vanillaladder::control
