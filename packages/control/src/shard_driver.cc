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

constexpr std::size_t read_limit = 512;
/// The log answers at once when there is a record; a longer wait saves empty
/// answers, but must stay below the 3 s after which the machine takes the log
/// for unreachable.
constexpr milliseconds read_wait{2000};
constexpr milliseconds retry_delay{250};
constexpr std::chrono::hours key_lifetime{24};
constexpr std::chrono::minutes key_mark_interval{10};

call_outcome outcome_of(const absl::Status& status, bool not_sent_is_refusal) {
  if (status.ok()) {
    return call_outcome::ok;
  }
  if (status.code() == absl::StatusCode::kFailedPrecondition ||
      status.code() == absl::StatusCode::kNotFound ||
      status.code() == absl::StatusCode::kUnimplemented) {
    return call_outcome::refused;
  }
  // A start that was never sent cannot take effect later. A renewal that was
  // never sent says nothing about the lease.
  return not_sent_is_refusal && !external::possibly_sent(status)
             ? call_outcome::refused
             : call_outcome::unknown;
}

template <class Map>
std::optional<typename Map::mapped_type> take(Map& map, request_token token) {
  auto node = map.extract(token);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

}  // namespace

/// Performs one action of the machine.
class shard_driver::performer {
 public:
  explicit performer(shard_driver& driver) : driver_(driver) {}

  void operator()(const actions::append& request) {
    auto& d = driver_;
    d.environment_.log.append(
        d.stream_, request.batch.records,
        [&d, number = request.batch.number, alive = d.alive_](auto result) {
          if (!*alive) {
            return;
          }
          if (result.ok()) {
            d.feed(events::append_answered{number, *result});
          } else {
            d.environment_.metrics
                .counter("vanillaladder_log_failures_total", "call", "append")
                .increment();
            d.feed(events::append_failed{number});
          }
        });
  }

  void operator()(const actions::body_resolved& request) {
    if (auto done = take(driver_.bodies_, request.token)) {
      (*done)(request.outcome, request.result);
    }
  }

  void operator()(const actions::acquire_lease& request) {
    auto& d = driver_;
    workers().acquire_lease(
        d.address_of(request.worker), request.holder,
        milliseconds(request.duration_ms),
        [&d, call = request.call, alive = d.alive_](auto result) {
          if (!*alive) {
            return;
          }
          events::worker_call_done finished;
          finished.call = call;
          finished.outcome = outcome_of(result.status(), false);
          if (result.ok()) {
            finished.lease = *result;
          }
          d.feed(finished);
        });
  }

  void operator()(const actions::renew_lease& request) {
    workers().renew_lease(address(request.worker), request.lease,
                          driver_.call_done(request.call, false));
  }

  void operator()(const actions::delete_lease& request) {
    workers().delete_lease(address(request.worker), request.lease,
                           driver_.call_done(request.call, false));
  }

  void operator()(const actions::list_worker& request) {
    auto& d = driver_;
    workers().list(address(request.worker),
                   [&d, call = request.call, alive = d.alive_](auto result) {
                     if (!*alive) {
                       return;
                     }
                     if (result.ok()) {
                       d.feed(events::worker_listed{call, *std::move(result)});
                     } else {
                       events::worker_call_done finished;
                       finished.call = call;
                       finished.outcome = outcome_of(result.status(), false);
                       d.feed(finished);
                     }
                   });
  }

  void operator()(const actions::start_task& request) {
    workers().start(address(request.worker), request.start,
                    driver_.call_done(request.call, true));
  }

  void operator()(const actions::adopt_task& request) {
    workers().adopt(address(request.worker), request.id, request.lease,
                    driver_.call_done(request.call, false));
  }

  void operator()(const actions::checkpoint_task& request) {
    auto& d = driver_;
    workers().checkpoint(
        address(request.worker), request.id,
        [&d, call = request.call, alive = d.alive_](auto result) {
          if (!*alive) {
            return;
          }
          events::worker_call_done finished;
          finished.call = call;
          finished.outcome = outcome_of(result.status(), false);
          if (result.ok()) {
            finished.checkpoint = *result;
          }
          d.feed(finished);
        });
  }

  void operator()(const actions::throttle_task& request) {
    workers().throttle(address(request.worker), request.id, request.percent,
                       driver_.call_done(request.call, false));
  }

  void operator()(const actions::stop_task& request) {
    workers().stop(address(request.worker), request.id,
                   driver_.call_done(request.call, false));
  }

  void operator()(const actions::acknowledge_end& request) {
    workers().acknowledge_end(address(request.worker), request.id,
                              driver_.call_done(request.call, false));
  }

  void operator()(const actions::reply_submit& request) {
    if (auto done = take(driver_.submits_, request.token)) {
      (*done)(request.result, request.reason);
    }
  }

  void operator()(const actions::reply_cancel& request) {
    if (auto done = take(driver_.cancels_, request.token)) {
      (*done)(request.result);
    }
  }

  void operator()(const actions::reply_query& request) {
    if (auto done = take(driver_.queries_, request.token)) {
      (*done)(request.found, request.status);
    }
  }

  void operator()(const actions::delegate_job& request) {
    auto& d = driver_;
    d.peers_.delegate(request.shard, request.job,
                      [&d, job = request.job.id, moves = request.job.moves,
                       alive = d.alive_](auto result) {
                        if (*alive) {
                          d.feed(events::delegation_done{job, moves, result});
                        }
                      });
  }

  void operator()(const actions::cancel_delegated& request) {
    auto& d = driver_;
    d.peers_.cancel_delegated(
        request.shard, request.job,
        [&d, job = request.job, alive = d.alive_](auto result) {
          if (*alive) {
            d.feed(events::delegated_cancel_done{job, result});
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
  if (!reading_) {
    read_next();
  }
}

void shard_driver::read_next() {
  reading_ = following_;
  if (!reading_) {
    at_end_ = false;
    return;
  }
  // Nothing is claimed before the end of the stream is known, so the reads up
  // to it do not wait for new records.
  environment_.log.read(stream_, machine_.next_offset(), read_limit,
                        at_end_ ? read_wait : milliseconds(0),
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
    feed(events::log_read{std::move(read)});
    at_end_ = machine_.next_offset() >= next;
  }
  environment_.loop.call_after(ok ? milliseconds(0) : retry_delay,
                               [this, alive = alive_] {
                                 if (*alive) {
                                   read_next();
                                 }
                               });
}

void shard_driver::feed(const event& input) {
  if (const auto* changed = std::get_if<events::workers_changed>(&input)) {
    for (const auto& worker : changed->workers) {
      addresses_[worker.id] = {worker.id, worker.address, worker.port};
    }
  }
  pending_events_.push_back(input);
  if (pending_events_.size() > 1) {
    return;
  }
  // Actions can raise further events; each event's actions are performed as a
  // whole before the next event, so that appends keep their order.
  performer perform(*this);
  while (!pending_events_.empty()) {
    auto now = clock::now();
    auto taken = machine_.step(pending_events_.front(), now);
    if (trace_ != nullptr) {
      trace_->write(pending_events_.front(), now, taken);
    }
    for (const auto& next : taken) {
      std::visit(perform, next);
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
    feed(events::tick{});
  }
  if (machine_.is_owner()) {
    expire_keys(now);
  } else {
    key_marks_.clear();
  }
}

void shard_driver::expire_keys(model::time_point now) {
  auto applied = machine_.state().applied();
  if (key_marks_.empty() || now - key_marks_.back().first > key_mark_interval) {
    key_marks_.emplace_back(now, applied);
  }
  if (now - key_marks_.front().first > key_lifetime) {
    coordination::keys_expired body{key_marks_.front().second};
    key_marks_.pop_front();
    append(body, [](auto, const auto&) {});
  }
}

void shard_driver::submit(const job_request& job, bool delegated,
                          submit_callback done) {
  auto token = ++last_token_;
  submits_[token] = std::move(done);
  feed(events::submit_job{token, job, delegated});
}

void shard_driver::cancel(const model::job_id& job, cancel_callback done) {
  auto token = ++last_token_;
  cancels_[token] = std::move(done);
  feed(events::cancel_job{token, job});
}

void shard_driver::query(const model::job_id& job, query_callback done) {
  auto token = ++last_token_;
  queries_[token] = std::move(done);
  feed(events::query_job{token, job});
}

void shard_driver::append(coordination::shard_body body, body_callback done) {
  auto token = ++last_token_;
  bodies_[token] = std::move(done);
  feed(events::append_body{token, std::move(body)});
}

external::worker_address shard_driver::address_of(
    const model::worker_id& worker) const {
  auto found = addresses_.find(worker);
  return found == addresses_.end() ? external::worker_address{worker, "", 0}
                                   : found->second;
}

external::worker_service::status_callback shard_driver::call_done(
    call_id call, bool not_sent_is_refusal) {
  return [this, call, not_sent_is_refusal,
          alive = alive_](const absl::Status& status) {
    if (*alive) {
      events::worker_call_done done;
      done.call = call;
      done.outcome = outcome_of(status, not_sent_is_refusal);
      feed(done);
    }
  };
}

}  // namespace vanillaladder::control
