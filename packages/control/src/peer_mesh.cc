#include "control/peer_mesh.h"

#include <algorithm>
#include <utility>

#include "peer.h"
#include "runtime/error.h"

namespace vanillaladder::control {

using model::milliseconds;

peer_mesh::peer_mesh(caller_identity self) : self_(std::move(self)) {}

peer_mesh::~peer_mesh() = default;

void peer_mesh::update(const std::vector<model::member_info>& others) {
  // The destructor of a link joins its threads, which must not happen while the
  // mutex is held.
  std::vector<std::shared_ptr<peer_link>> dropped;
  std::lock_guard lock(mutex_);
  for (auto it = links_.begin(); it != links_.end();) {
    auto found = std::ranges::find(others, it->first, &model::member_info::id);
    bool keep = found != others.end() && *found == it->second.info;
    if (!keep) {
      dropped.push_back(std::move(it->second.link));
    }
    it = keep ? std::next(it) : links_.erase(it);
  }
  for (const auto& member : others) {
    if (!links_.contains(member.id) && member.id != self_.id) {
      links_.emplace(member.id,
                     peer_entry{member, std::make_shared<peer_link>(
                                            member.address, member.peer_port)});
    }
  }
}

std::shared_ptr<peer_link> peer_mesh::find_link(
    const model::instance_id& member) const {
  std::lock_guard lock(mutex_);
  auto found = links_.find(member);
  return found == links_.end() ? nullptr : found->second.link;
}

wire::call_context peer_mesh::make_context(milliseconds timeout) const {
  wire::call_context result;
  result.sender = self_.id;
  result.incarnation = static_cast<std::int64_t>(self_.incarnation);
  result.deadline_ms = static_cast<std::int32_t>(timeout.count());
  return result;
}

template <class Result>
void peer_mesh::call(const model::instance_id& member, call_kind kind,
                     milliseconds timeout,
                     std::function<void(wire::peerClient&, Result&)> run,
                     callback<Result> done) const {
  auto link = find_link(member);
  if (link == nullptr) {
    done(call_failure{runtime::make_error(absl::StatusCode::kNotFound,
                                          "call peer", member, "not a member"),
                      false});
    return;
  }
  link->enqueue(
      kind, timeout,
      [run = std::move(run), done](wire::peerClient& client) {
        // Not modified by calls without a return value.
        Result result{};
        run(client, result);
        done(std::move(result));
      },
      [done](const call_failure& failure) { done(failure); });
}

void peer_mesh::heartbeat(const model::instance_id& member,
                          const wire::heartbeat_message& message,
                          milliseconds timeout,
                          callback<wire::heartbeat_message> done) {
  call<wire::heartbeat_message>(
      member, call_kind::heartbeat, timeout,
      [message](auto& client, auto& result) {
        client.heartbeat(result, message);
      },
      std::move(done));
}

void peer_mesh::fetch_records(const model::instance_id& member,
                              model::offset first, std::int32_t limit,
                              milliseconds timeout,
                              callback<std::vector<wire::log_record>> done) {
  call<std::vector<wire::log_record>>(
      member, call_kind::coordination, timeout,
      [=, context = make_context(timeout)](auto& client, auto& result) {
        client.fetch_records(result, context, first, limit);
      },
      std::move(done));
}

void peer_mesh::push_records(const std::vector<wire::log_record>& records,
                             milliseconds timeout) {
  std::vector<model::instance_id> members;
  {
    std::lock_guard lock(mutex_);
    for (const auto& [id, link] : links_) {
      members.push_back(id);
    }
  }
  for (const auto& member : members) {
    call<bool>(
        member, call_kind::coordination, timeout,
        [records, context = make_context(timeout)](auto& client, bool&) {
          client.push_records(context, records);
        },
        [](const auto&) {});
  }
}

void peer_mesh::forward_request(const model::instance_id& member,
                                const wire::http_request& request,
                                milliseconds timeout, http_callback done) {
  call<wire::http_result>(
      member, call_kind::forward, timeout,
      [request, context = make_context(timeout)](auto& client, auto& result) {
        client.forward_request(result, context, request);
      },
      std::move(done));
}

void peer_mesh::claim_key(const model::instance_id& member,
                          const wire::key_claim& claim, milliseconds timeout,
                          callback<wire::key_result> done) {
  call<wire::key_result>(
      member, call_kind::coordination, timeout,
      [claim, context = make_context(timeout)](auto& client, auto& result) {
        client.claim_key(result, context, claim);
      },
      std::move(done));
}

void peer_mesh::finish_key(const model::instance_id& member,
                           const wire::key_claim& claim, std::string outcome,
                           milliseconds timeout) {
  call<bool>(
      member, call_kind::coordination, timeout,
      [claim, outcome = std::move(outcome), context = make_context(timeout)](
          auto& client, bool&) { client.finish_key(context, claim, outcome); },
      [](const auto&) {});
}

void peer_mesh::submit_job(const model::instance_id& member,
                           model::shard_id shard, std::string key,
                           std::string body, milliseconds timeout,
                           http_callback done) {
  call<wire::http_result>(
      member, call_kind::coordination, timeout,
      [=, key = std::move(key), body = std::move(body),
       context = make_context(timeout)](auto& client, auto& result) {
        client.submit_job(result, context, static_cast<std::int16_t>(shard),
                          key, body);
      },
      std::move(done));
}

void peer_mesh::cancel_job(const model::instance_id& member,
                           model::shard_id shard, std::string key,
                           milliseconds timeout, http_callback done) {
  call<wire::http_result>(
      member, call_kind::coordination, timeout,
      [=, key = std::move(key), context = make_context(timeout)](auto& client,
                                                                 auto& result) {
        client.cancel_job(result, context, static_cast<std::int16_t>(shard),
                          key);
      },
      std::move(done));
}

void peer_mesh::get_job(const model::instance_id& member, model::shard_id shard,
                        std::string key, milliseconds timeout,
                        http_callback done) {
  call<wire::http_result>(
      member, call_kind::coordination, timeout,
      [=, key = std::move(key), context = make_context(timeout)](auto& client,
                                                                 auto& result) {
        client.get_job(result, context, static_cast<std::int16_t>(shard), key);
      },
      std::move(done));
}

void peer_mesh::list_jobs(const model::instance_id& member,
                          model::shard_id shard, milliseconds timeout,
                          http_callback done) {
  call<wire::http_result>(
      member, call_kind::coordination, timeout,
      [=, context = make_context(timeout)](auto& client, auto& result) {
        client.list_jobs(result, context, static_cast<std::int16_t>(shard));
      },
      std::move(done));
}

}  // namespace vanillaladder::control
