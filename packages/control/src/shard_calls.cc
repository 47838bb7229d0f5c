#include <nlohmann/json.hpp>
#include <utility>

#include "control/shard_set.h"
#include "control/wire_convert.h"
#include "runtime/error.h"

namespace vanillaladder::control {
namespace {

using model::milliseconds;

/// Allows for a record to be appended to the log and read back.
constexpr milliseconds job_call_timeout{10000};
constexpr milliseconds query_timeout{2000};

call_outcome outcome_from_http_status(int status) {
  if (status == 200 || status == 201) {
    return call_outcome::ok;
  }
  return status >= 400 && status < 500 ? call_outcome::refused
                                       : call_outcome::unknown;
}

wire::key_result key_not_run(const std::string& reason) {
  wire::key_result result;
  result.outcome = wire::call_outcome::NOT_RUN;
  result.reason = reason;
  return result;
}

std::string_view name_of(coordination::key_outcome outcome) {
  switch (outcome) {
    case coordination::key_outcome::answered:
      return "answered";
    case coordination::key_outcome::not_run:
      return "not-run";
    case coordination::key_outcome::unknown:
      break;
  }
  return "unknown";
}

coordination::key_outcome parse_key_outcome(std::string_view name) {
  if (name == "answered") {
    return coordination::key_outcome::answered;
  }
  return name == "not-run" ? coordination::key_outcome::not_run
                           : coordination::key_outcome::unknown;
}

model::shard_id shard_of_key(const wire::key_claim& claim) {
  return static_cast<model::shard_id>(
      static_cast<std::uint64_t>(claim.key_hash) % model::shard_count);
}

/// Collects the responses of all shards to one list call.
struct list_collector {
  nlohmann::json jobs = nlohmann::json::array();
  nlohmann::json unavailable_shards = nlohmann::json::array();
  std::size_t pending_shards = model::placement_shard_count;
  shard_set::http_reply done;

  void add(model::shard_id shard, const http::response& answer) {
    auto shard_jobs = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status == 200 && shard_jobs.is_array()) {
      jobs.insert(jobs.end(), shard_jobs.begin(), shard_jobs.end());
    } else {
      unavailable_shards.push_back(shard);
    }
    if (--pending_shards == 0) {
      done(http::json_response(
          200, nlohmann::json(
                   {{"jobs", jobs}, {"unavailable_shards", unavailable_shards}})
                   .dump()));
    }
  }
};

}  // namespace

peer_mesh::http_callback shard_set::post_to_loop(http_reply done) {
  return [&loop = environment_.loop, alive = alive_,
          done = std::move(done)](const auto& result) {
    http::response answer;
    if (const auto* failure = std::get_if<call_failure>(&result)) {
      answer = failure->possibly_sent
                   ? unknown_response("shard-owner-silent")
                   : not_run_response("shard-owner-unavailable");
    } else {
      answer = from_wire(std::get<wire::http_result>(result));
    }
    loop.post([done, answer = std::move(answer), alive] {
      if (*alive) {
        done(answer);
      }
    });
  };
}

void shard_set::submit(const std::string& body, http_reply done) {
  auto job = parse_job(body);
  if (!job.ok()) {
    done(error_response(400, runtime::error_message(job.status())));
    return;
  }
  auto key = *key_of_job(job->id);
  auto shard = coordination::home_shard(key);
  auto call = [this, job, key, body, shard](const http_reply& reply) {
    if (auto* driver = owned_driver(shard)) {
      submit_locally(*driver, job, reply);
    } else if (const auto& owner = shards_.at(shard).peer_owner) {
      mesh_.submit_job(*owner, shard, key, body, job_call_timeout,
                       post_to_loop(reply));
    } else {
      reply(not_run_response("shard-owner-unavailable"));
    }
  };
  owner_retry_.run(call, done);
}

void shard_set::submit_locally(shard_driver& driver,
                               const absl::StatusOr<job_request>& job,
                               http_reply done) {
  if (!job.ok()) {
    done(error_response(400, runtime::error_message(job.status())));
    return;
  }
  driver.submit(*job, job->moves > 0,
                [job = *job, done = std::move(done)](
                    submit_result result, const std::string& reason) {
                  done(submit_response(job, result, reason));
                });
}

void shard_set::cancel(const std::string& id, http_reply done) {
  auto key = key_of_job(id);
  if (!key) {
    done(error_response(404, "no such job"));
    return;
  }
  auto call = [this, key = *key](const http_reply& reply) {
    auto shard = coordination::home_shard(key);
    if (owned_driver(shard) != nullptr) {
      on_job_call(peer_handler::job_call::cancel, shard, key, "", reply);
    } else if (const auto& owner = shards_.at(shard).peer_owner) {
      mesh_.cancel_job(*owner, shard, key, job_call_timeout,
                       post_to_loop(reply));
    } else {
      reply(not_run_response("shard-owner-unavailable"));
    }
  };
  owner_retry_.run(call, done);
}

void shard_set::query(const std::string& id, http_reply done) {
  auto key = key_of_job(id);
  if (!key) {
    done(error_response(404, "no such job"));
    return;
  }
  auto shard = coordination::home_shard(*key);
  if (owned_driver(shard) != nullptr) {
    on_job_call(peer_handler::job_call::get, shard, *key, "", std::move(done));
  } else if (const auto& owner = shards_.at(shard).peer_owner) {
    mesh_.get_job(*owner, shard, *key, query_timeout,
                  post_to_loop(std::move(done)));
  } else {
    done(not_run_response("shard-owner-unavailable"));
  }
}

void shard_set::list(http_reply done) {
  auto collector = std::make_shared<list_collector>();
  collector->done = std::move(done);
  for (model::shard_id shard = 0; shard < model::placement_shard_count;
       ++shard) {
    auto add = [collector, shard](const http::response& answer) {
      collector->add(shard, answer);
    };
    if (auto* driver = owned_driver(shard)) {
      add(http::json_response(200, list_local_jobs(*driver)));
    } else if (const auto& owner = shards_.at(shard).peer_owner) {
      mesh_.list_jobs(*owner, shard, query_timeout, post_to_loop(add));
    } else {
      add(not_run_response("shard-owner-unavailable"));
    }
  }
}

std::string shard_set::list_local_jobs(shard_driver& driver) const {
  // The driver answers a query synchronously, or after this function returns if
  // it is handling an earlier event. The list is shared so that a late answer
  // does not access a destroyed object.
  auto jobs = std::make_shared<nlohmann::json>(nlohmann::json::array());
  for (const auto& [number, entry] : driver.machine().state().jobs()) {
    if (entry.job.home) {
      continue;  // The home shard lists this job.
    }
    driver.query(entry.job.id, [jobs](bool found, const job_status& status) {
      if (found) {
        jobs->push_back(nlohmann::json::parse(format_status(status)));
      }
    });
  }
  return jobs->dump();
}

void shard_set::on_job_call(peer_handler::job_call call, model::shard_id shard,
                            const std::string& key, const std::string& body,
                            http_reply done) {
  auto* driver = owned_driver(shard);
  if (driver == nullptr) {
    done(not_run_response("not-shard-owner"));
    return;
  }
  auto id = coordination::make_job_id(key);
  switch (call) {
    case peer_handler::job_call::submit:
      submit_locally(*driver, parse_delegated_job(body), std::move(done));
      return;
    case peer_handler::job_call::cancel:
      driver->cancel(id, [id, done = std::move(done)](cancel_result result) {
        done(cancel_response(id, result));
      });
      return;
    case peer_handler::job_call::get:
      driver->query(id, [this, key, done = std::move(done)](
                            bool found, const job_status& status) {
        if (!found) {
          done(error_response(404, "no such job"));
        } else if (status.delegated_to >= 0) {
          query_delegated(key, status, done);
        } else {
          done(http::json_response(200, format_status(status)));
        }
      });
      return;
    case peer_handler::job_call::list:
      done(http::json_response(200, list_local_jobs(*driver)));
      return;
  }
}

void shard_set::query_delegated(const std::string& key,
                                const job_status& home_status,
                                http_reply done) {
  auto shard = static_cast<model::shard_id>(home_status.delegated_to);
  // Falls back to the status of the home shard while the other owner does not
  // have the job yet or does not respond.
  http_reply reply = [home_status,
                      done = std::move(done)](const http::response& answer) {
    done(answer.status == 200
             ? answer
             : http::json_response(200, format_status(home_status)));
  };
  if (owned_driver(shard) != nullptr) {
    on_job_call(peer_handler::job_call::get, shard, key, "", std::move(reply));
  } else if (const auto& owner = shards_.at(shard).peer_owner) {
    mesh_.get_job(*owner, shard, key, query_timeout,
                  post_to_loop(std::move(reply)));
  } else {
    reply(not_run_response("shard-owner-unavailable"));
  }
}

void shard_set::delegate(model::shard_id shard, const job_request& job,
                         outcome_callback done) {
  auto key = key_of_job(job.id).value_or("");
  http_reply reply = [done = std::move(done)](const http::response& answer) {
    done(outcome_from_http_status(answer.status));
  };
  if (auto* driver = owned_driver(shard)) {
    submit_locally(*driver, job, std::move(reply));
  } else if (const auto& owner = shards_.at(shard).peer_owner) {
    mesh_.submit_job(*owner, shard, key, format_job(job), job_call_timeout,
                     post_to_loop(std::move(reply)));
  } else {
    reply(not_run_response("shard-owner-unavailable"));
  }
}

void shard_set::cancel_delegated(model::shard_id shard,
                                 const model::job_id& job,
                                 outcome_callback done) {
  auto key = key_of_job(job).value_or("");
  http_reply reply = [done = std::move(done)](const http::response& answer) {
    done(outcome_from_http_status(answer.status));
  };
  if (owned_driver(shard) != nullptr) {
    on_job_call(peer_handler::job_call::cancel, shard, key, "",
                std::move(reply));
  } else if (const auto& owner = shards_.at(shard).peer_owner) {
    mesh_.cancel_job(*owner, shard, key, job_call_timeout,
                     post_to_loop(std::move(reply)));
  } else {
    reply(not_run_response("shard-owner-unavailable"));
  }
}

void shard_set::claim_key(const wire::key_claim& claim, milliseconds timeout,
                          claim_reply done) {
  auto shard = shard_of_key(claim);
  if (owned_driver(shard) != nullptr) {
    on_claim_key(claim, std::move(done));
    return;
  }
  const auto& owner = shards_.at(shard).peer_owner;
  if (!owner) {
    done(key_not_run("key-owner-unavailable"));
    return;
  }
  mesh_.claim_key(*owner, claim, timeout,
                  [&loop = environment_.loop, alive = alive_,
                   done = std::move(done)](const auto& answer) {
                    const auto* result = std::get_if<wire::key_result>(&answer);
                    auto reply = result != nullptr
                                     ? *result
                                     : key_not_run("key-owner-unavailable");
                    loop.post([done, reply, alive] {
                      if (*alive) {
                        done(reply);
                      }
                    });
                  });
}

void shard_set::on_claim_key(const wire::key_claim& claim, claim_reply done) {
  auto* driver = owned_driver(shard_of_key(claim));
  if (driver == nullptr) {
    done(key_not_run("key-owner-unavailable"));
    return;
  }
  if (!freshness_.log_reachable) {
    done(key_not_run("log-unavailable"));
    return;
  }
  coordination::key_claimed body;
  body.key = static_cast<std::uint64_t>(claim.key_hash);
  body.instance = claim.claimant;
  body.incarnation = static_cast<std::uint64_t>(claim.claimant_incarnation);
  body.nonce = ++last_nonce_;
  driver->append(
      body, [done = std::move(done)](coordination::append_outcome outcome,
                                     const coordination::shard_result& result) {
        wire::key_result reply;
        if (outcome == coordination::append_outcome::unknown ||
            (outcome == coordination::append_outcome::invalid &&
             !result.first_claim)) {
          done(key_not_run("log-unavailable"));
          return;
        }
        reply.outcome = wire::call_outcome::DONE;
        reply.claimed = outcome == coordination::append_outcome::valid;
        if (!reply.claimed) {
          const auto& first = *result.first_claim;
          reply.recorded_outcome =
              first.finished ? name_of(first.finished->outcome) : "unknown";
        }
        done(reply);
      });
}

void shard_set::finish_key(const wire::key_claim& claim,
                           const std::string& outcome) {
  auto shard = shard_of_key(claim);
  if (owned_driver(shard) != nullptr) {
    on_finish_key(claim, outcome);
  } else if (const auto& owner = shards_.at(shard).peer_owner) {
    mesh_.finish_key(*owner, claim, outcome, job_call_timeout);
  }
}

void shard_set::on_finish_key(const wire::key_claim& claim,
                              const std::string& outcome) {
  auto* driver = owned_driver(shard_of_key(claim));
  if (driver == nullptr) {
    return;
  }
  auto key = static_cast<std::uint64_t>(claim.key_hash);
  const auto* entry = driver->machine().state().find_key(key);
  bool same_claimant =
      entry != nullptr && entry->claim.instance == claim.claimant &&
      entry->claim.incarnation ==
          static_cast<std::uint64_t>(claim.claimant_incarnation);
  if (!same_claimant) {
    return;
  }
  coordination::key_finished body;
  body.key = key;
  body.nonce = entry->claim.nonce;
  body.outcome = parse_key_outcome(outcome);
  driver->append(body, [](auto, const auto&) {});
}

}  // namespace vanillaladder::control
