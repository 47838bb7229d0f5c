#include "control/shard_driver.h"

#include <absl/status/status.h>
#include <absl/strings/str_format.h>

#include <chrono>
#include <optional>
#include <type_traits>

#include "control/detail/log_read.h"
#include "external/error.h"

namespace vanillaladder::control {
namespace {

using model::milliseconds;
using clock = std::chrono::steady_clock;

constexpr std::size_t max_records_per_read = 512;
/// The log responds as soon as a record is available. A longer wait means fewer
/// empty responses, but must stay below the 3 s after which the machine
/// considers the log unreachable.
constexpr milliseconds max_read_wait{2000};
constexpr milliseconds read_retry_delay{250};
constexpr std::chrono::hours key_retention{24};
constexpr std::chrono::minutes offset_sample_interval{10};

call_outcome outcome_from_status(const absl::Status& status,
                                 bool refused_if_not_sent) {
  if (status.ok()) {
    return call_outcome::ok;
  }
  if (status.code() == absl::StatusCode::kFailedPrecondition ||
      status.code() == absl::StatusCode::kNotFound ||
      status.code() == absl::StatusCode::kUnimplemented) {
    return call_outcome::refused;
  }
  // A start that was not sent cannot take effect later, so it
  // counts as refused. A renewal that was not sent does not tell whether the
  // lease is valid.
  return refused_if_not_sent && !external::possibly_sent(status)
             ? call_outcome::refused
             : call_outcome::unknown;
}

template <class Map>
std::optional<typename Map::mapped_type> extract_callback(Map& map,
                                                          request_token token) {
  auto node = map.extract(token);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

}  // namespace

/// Executes the actions of the machine.
class shard_driver::action_executor {
 public:
  explicit action_executor(shard_driver& driver) : driver_(driver) {}

  void operator()(const actions::append& request) {
    auto& driver = driver_;
    driver.environment_.log.append(
        driver.stream_, request.batch.records,
        [&driver, number = request.batch.number,
         alive = driver.alive_](auto result) {
          if (!*alive) {
            return;
          }
          if (result.ok()) {
            driver.handle_event(events::append_answered{number, *result});
          } else {
            driver.environment_.metrics
                .counter("vanillaladder_log_failures_total", "call", "append")
                .increment();
            driver.handle_event(events::append_failed{number});
          }
        });
  }

  void operator()(const actions::body_resolved& request) {
    if (auto done =
            extract_callback(driver_.append_callbacks_, request.token)) {
      (*done)(request.outcome, request.result);
    }
  }

  void operator()(const actions::acquire_lease& request) {
    auto& driver = driver_;
    workers().acquire_lease(
        driver.address_of(request.worker), request.holder,
        milliseconds(request.duration_ms),
        [&driver, call = request.call, alive = driver.alive_](auto result) {
          if (!*alive) {
            return;
          }
          events::worker_call_done completion;
          completion.call = call;
          completion.outcome = outcome_from_status(result.status(), false);
          if (result.ok()) {
            completion.lease = *result;
          }
          driver.handle_event(completion);
        });
  }

  void operator()(const actions::renew_lease& request) {
    workers().renew_lease(address(request.worker), request.lease,
                          driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::delete_lease& request) {
    workers().delete_lease(address(request.worker), request.lease,
                           driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::list_worker& request) {
    auto& driver = driver_;
    workers().list(address(request.worker), [&driver, call = request.call,
                                             alive =
                                                 driver.alive_](auto result) {
      if (!*alive) {
        return;
      }
      if (result.ok()) {
        driver.handle_event(events::worker_listed{call, *std::move(result)});
      } else {
        events::worker_call_done completion;
        completion.call = call;
        completion.outcome = outcome_from_status(result.status(), false);
        driver.handle_event(completion);
      }
    });
  }

  void operator()(const actions::start_task& request) {
    workers().start(address(request.worker), request.start,
                    driver_.make_status_callback(request.call, true));
  }

  void operator()(const actions::adopt_task& request) {
    workers().adopt(address(request.worker), request.id, request.lease,
                    driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::checkpoint_task& request) {
    auto& driver = driver_;
    workers().checkpoint(
        address(request.worker), request.id,
        [&driver, call = request.call, alive = driver.alive_](auto result) {
          if (!*alive) {
            return;
          }
          events::worker_call_done completion;
          completion.call = call;
          completion.outcome = outcome_from_status(result.status(), false);
          if (result.ok()) {
            completion.checkpoint = *result;
          }
          driver.handle_event(completion);
        });
  }

  void operator()(const actions::throttle_task& request) {
    workers().throttle(address(request.worker), request.id, request.percent,
                       driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::stop_task& request) {
    workers().stop(address(request.worker), request.id,
                   driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::acknowledge_end& request) {
    workers().acknowledge_end(
        address(request.worker), request.id,
        driver_.make_status_callback(request.call, false));
  }

  void operator()(const actions::reply_submit& request) {
    if (auto done =
            extract_callback(driver_.submit_callbacks_, request.token)) {
      (*done)(request.result, request.reason);
    }
  }

  void operator()(const actions::reply_cancel& request) {
    if (auto done =
            extract_callback(driver_.cancel_callbacks_, request.token)) {
      (*done)(request.result);
    }
  }

  void operator()(const actions::reply_query& request) {
    if (auto done = extract_callback(driver_.query_callbacks_, request.token)) {
      (*done)(request.found, request.status);
    }
  }

  void operator()(const actions::delegate_job& request) {
    auto& driver = driver_;
    driver.peers_.delegate(
        request.shard, request.job,
        [&driver, job = request.job.id, moves = request.job.moves,
         alive = driver.alive_](auto result) {
          if (*alive) {
            driver.handle_event(events::delegation_done{job, moves, result});
          }
        });
  }

  void operator()(const actions::cancel_delegated& request) {
    auto& driver = driver_;
    driver.peers_.cancel_delegated(
        request.shard, request.job,
        [&driver, job = request.job, alive = driver.alive_](auto result) {
          if (*alive) {
            driver.handle_event(events::delegated_cancel_done{job, result});
          }
        });
  }

  void operator()(const actions::set_next_tick& request) {
    driver_.next_tick_ = request.at;
  }

  void operator()(const actions::count& request) {
    driver_.environment_.metrics
        .counter("vanillaladder_" + request.name + "_total", "reason",
                 request.reason)
        .increment(request.amount);
  }

 private:
  external::worker_service& workers() { return driver_.environment_.workers; }
  external::worker_address address(const model::worker_id& worker) {
    return driver_.address_of(worker);
  }

  shard_driver& driver_;
};

shard_driver::shard_driver(shard_environment environment, shard_peers& peers,
                           model::shard_id shard, const caller_identity& self,
                           const shard_limits& limits)
    : environment_(std::move(environment)),
      peers_(peers),
      shard_(shard),
      stream_(absl::StrFormat("shard-%02d", shard)),
      machine_(shard, self.id, self.incarnation, limits) {
  if (!environment_.trace_folder.empty()) {
    trace_ = std::make_unique<trace_writer>(environment_.trace_folder, shard,
                                            self.id, self.incarnation, limits);
  }
}

shard_driver::~shard_driver() {
  *alive_ = false;
}

void shard_driver::follow() {
  following_ = true;
  if (!read_in_progress_) {
    read_next();
  }
}

void shard_driver::read_next() {
  read_in_progress_ = following_;
  if (!read_in_progress_) {
    at_end_ = false;
    return;
  }
  // A shard is not claimed before the end of its stream has been reached, so
  // reads up to the end do not wait for new records.
  environment_.log.read(stream_, machine_.next_offset(), max_records_per_read,
                        at_end_ ? max_read_wait : milliseconds(0),
                        [this, alive = alive_](auto result) {
                          if (*alive) {
                            on_read(std::move(result));
                          }
                        });
}

void shard_driver::on_read(absl::StatusOr<external::read_result> result) {
  bool ok = result.ok();
  if (ok) {
    auto read = detail::to_read_result(*std::move(result));
    auto next = read.next;
    handle_event(events::log_read{std::move(read)});
    at_end_ = machine_.next_offset() >= next;
  }
  environment_.loop.call_after(ok ? milliseconds(0) : read_retry_delay,
                               [this, alive = alive_] {
                                 if (*alive) {
                                   read_next();
                                 }
                               });
}

void shard_driver::handle_event(const event& input) {
  if (const auto* changed = std::get_if<events::workers_changed>(&input)) {
    for (const auto& worker : changed->workers) {
      addresses_[worker.id] = {worker.id, worker.address, worker.port};
    }
  }
  pending_events_.push_back(input);
  if (pending_events_.size() > 1) {
    return;
  }
  // Actions can trigger further events. All actions of an event are executed
  // before the next event is handled, so that appends keep their order.
  action_executor executor(*this);
  while (!pending_events_.empty()) {
    auto now = clock::now();
    auto action_list = machine_.step(pending_events_.front(), now);
    if (trace_ != nullptr) {
      trace_->write(pending_events_.front(), now, action_list);
    }
    for (const auto& item : action_list) {
      std::visit(executor, item);
    }
    pending_events_.pop_front();
  }
}

void shard_driver::poll(model::time_point now) {
  if (!following_ && !machine_.is_owner()) {
    return;
  }
  if (now >= next_tick_) {
    next_tick_ = model::time_point::max();
    handle_event(events::tick{});
  }
  if (machine_.is_owner()) {
    expire_keys(now);
  } else {
    offset_samples_.clear();
  }
}

void shard_driver::expire_keys(model::time_point now) {
  auto applied = machine_.state().applied();
  if (offset_samples_.empty() ||
      now - offset_samples_.back().first > offset_sample_interval) {
    offset_samples_.emplace_back(now, applied);
  }
  if (now - offset_samples_.front().first > key_retention) {
    coordination::keys_expired body{offset_samples_.front().second};
    offset_samples_.pop_front();
    append(body, [](auto, const auto&) {});
  }
}

void shard_driver::submit(const job_request& job, bool delegated,
                          submit_callback done) {
  auto token = ++last_token_;
  submit_callbacks_[token] = std::move(done);
  handle_event(events::submit_job{token, job, delegated});
}

void shard_driver::cancel(const model::job_id& job, cancel_callback done) {
  auto token = ++last_token_;
  cancel_callbacks_[token] = std::move(done);
  handle_event(events::cancel_job{token, job});
}

void shard_driver::query(const model::job_id& job, query_callback done) {
  auto token = ++last_token_;
  query_callbacks_[token] = std::move(done);
  handle_event(events::query_job{token, job});
}

void shard_driver::append(coordination::shard_body body, append_callback done) {
  auto token = ++last_token_;
  append_callbacks_[token] = std::move(done);
  handle_event(events::append_body{token, std::move(body)});
}

external::worker_address shard_driver::address_of(
    const model::worker_id& worker) const {
  auto found = addresses_.find(worker);
  return found == addresses_.end() ? external::worker_address{worker, "", 0}
                                   : found->second;
}

external::worker_service::status_callback shard_driver::make_status_callback(
    call_id call, bool refused_if_not_sent) {
  return [this, call, refused_if_not_sent,
          alive = alive_](const absl::Status& status) {
    if (*alive) {
      events::worker_call_done done;
      done.call = call;
      done.outcome = outcome_from_status(status, refused_if_not_sent);
      handle_event(done);
    }
  };
}

}  // namespace vanillaladder::control
