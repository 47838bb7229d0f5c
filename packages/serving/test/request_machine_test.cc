#include "serving/request_machine.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace vanillaladder::serving {
namespace {

using namespace std::chrono_literals;
using scheduling::attempt_end;

/// Feeds random events to a request machine and checks every action against the
/// history of the request.
class random_run {
 public:
  explicit random_run(unsigned seed) : random_(seed) {
    view_.fresh = true;
    for (int n = 0; n < 4; ++n) {
      backend_grant grant;
      grant.info.id = "b" + std::to_string(n);
      grant.info.service = "quotes";
      grant.granted_slots = 2;
      view_.backends.push_back(grant);
    }
    view_.peers = {{"p1", {{"quotes", 3}}}, {"p2", {{"quotes", 1}}}};
    check(machine_.update(view_, now_));
  }

  void step() {
    now_ += milliseconds(pick(20));
    switch (pick(8)) {
      case 0:
      case 1:
      case 2:
        arrive();
        break;
      case 3:
        change_view();
        break;
      case 4:
        if (auto id = pick_from(claiming_)) {
          claiming_.erase(*id);
          check(machine_.claim_granted(*id, now_));
        }
        break;
      case 5:
        if (auto id = pick_from(open_)) {
          check(machine_.caller_disconnected(*id, now_));
        }
        break;
      case 6:
        check(machine_.tick(now_));
        break;
      default:
        end_attempt();
    }
  }

  void finish() {
    now_ += 60s;
    while (!attempts_.empty()) {
      end_attempt();
    }
    check(machine_.tick(now_));
    CHECK(open_.empty());
    CHECK(machine_.open_requests() == 0);
    CHECK(machine_.in_flight().empty());
  }

 private:
  struct attempt {
    request_id id;
    unsigned number;
    std::string backend;
  };
  struct history {
    bool idempotent = false;
    bool forwarded = false;
    bool may_have_run = false;
    bool may_be_running = false;
  };

  unsigned pick(unsigned limit) {
    return std::uniform_int_distribution<unsigned>(0, limit - 1)(random_);
  }
  std::optional<request_id> pick_from(const std::set<request_id>& ids) {
    if (ids.empty()) {
      return std::nullopt;
    }
    return *std::next(ids.begin(), pick(static_cast<unsigned>(ids.size())));
  }

  void arrive() {
    request_info info{.service = "quotes",
                      .request_class = "c",
                      .team = pick(2) == 0 ? "a" : "b",
                      .path = "/quotes/x",
                      .idempotent = pick(2) == 0,
                      .forwarded = pick(4) == 0,
                      .deadline = now_ + milliseconds(1 + pick(400))};
    info.needs_claim = !info.idempotent && !info.forwarded && pick(2) == 0;
    request_id id = ++last_id_;
    open_.insert(id);
    history_[id].idempotent = info.idempotent;
    history_[id].forwarded = info.forwarded;
    if (info.needs_claim) {
      claiming_.insert(id);
    }
    check(machine_.request_arrived(id, info, now_));
  }

  void change_view() {
    view_.fresh = pick(8) != 0;
    for (auto& grant : view_.backends) {
      grant.granted_slots = pick(4);
      grant.accepts_work = pick(4) != 0;
    }
    check(machine_.update(view_, now_));
  }

  void end_attempt() {
    if (attempts_.empty()) {
      return;
    }
    auto index = pick(static_cast<unsigned>(attempts_.size()));
    auto current = attempts_[index];
    attempts_.erase(attempts_.begin() + index);
    constexpr attempt_end ends[] = {
        attempt_end::responded, attempt_end::responded, attempt_end::not_sent,
        attempt_end::refused,   attempt_end::closed,    attempt_end::timed_out,
        attempt_end::abandoned};
    auto end = ends[pick(std::size(ends))];
    auto& record = history_[current.id];
    record.may_have_run =
        record.may_have_run ||
        (end != attempt_end::not_sent && end != attempt_end::refused);
    record.may_be_running =
        end == attempt_end::timed_out || end == attempt_end::abandoned;
    check(
        machine_.attempt_ended(current.id, current.number, {.end = end}, now_));
  }

  void check(const action_list& actions) {
    for (const auto& checked : actions) {
      std::visit([this](const auto& each) { check(each); }, checked);
    }
    for (const auto& id : claiming_) {
      CHECK(open_.contains(id));
    }
  }
  void check_send(request_id id) {
    const auto& record = history_[id];
    CHECK(open_.contains(id));
    CHECK_FALSE(claiming_.contains(id));
    CHECK(view_.fresh);
    CHECK_FALSE(record.may_be_running);
    CHECK((record.idempotent || !record.may_have_run));
    for (const auto& other : attempts_) {
      CHECK(other.id != id);
    }
  }
  void check(const send_action& checked) {
    check_send(checked.id);
    attempts_.push_back({checked.id, checked.attempt, checked.target.id});
    auto slots_in_use = std::count_if(
        attempts_.begin(), attempts_.end(),
        [&](const auto& other) { return other.backend == checked.target.id; });
    for (const auto& grant : view_.backends) {
      if (grant.info.id == checked.target.id) {
        CHECK(grant.accepts_work);
        CHECK(slots_in_use <= grant.granted_slots);
      }
    }
  }
  void check(const forward_action& checked) {
    check_send(checked.id);
    CHECK_FALSE(history_[checked.id].forwarded);
    // Without a response of the peer, the deadline ends the request.
    history_[checked.id].may_have_run = true;
    if (pick(2) == 0) {
      history_[checked.id].may_have_run = false;
      attempts_.push_back({checked.id, checked.attempt, ""});
    }
  }
  void check(const refuse_action& checked) {
    CHECK_FALSE(history_[checked.id].may_have_run);
    end(checked.id);
  }
  void check(const deliver_action& checked) { end(checked.id); }
  void check(const fail_action& checked) { end(checked.id); }
  void check(const drop_action& checked) {
    if (checked.outcome == key_outcome::not_run) {
      CHECK_FALSE(history_[checked.id].may_have_run);
    }
    end(checked.id);
  }
  void check(const claim_action& checked) {
    CHECK(claiming_.contains(checked.id));
  }
  void check(const retry_notice&) {}
  void check(const health_notice&) {}

  void end(request_id id) {
    CHECK(open_.erase(id) == 1);
    claiming_.erase(id);
  }

  std::mt19937 random_;
  request_machine machine_;
  serving_view view_;
  model::time_point now_ = model::time_point() + 1h;
  request_id last_id_ = 0;
  std::set<request_id> open_;
  std::set<request_id> claiming_;
  std::map<request_id, history> history_;
  std::vector<attempt> attempts_;
};

/// @return a fresh view with one server that has one slot.
serving_view one_slot() {
  serving_view view;
  view.fresh = true;
  backend_grant grant;
  grant.info.id = "b0";
  grant.info.service = "quotes";
  grant.granted_slots = 1;
  view.backends.push_back(grant);
  return view;
}

request_info quote(model::time_point deadline) {
  return {.service = "quotes",
          .request_class = "c",
          .team = "a",
          .path = "/quotes/x",
          .idempotent = true,
          .deadline = deadline};
}

template <typename Action>
std::vector<request_id> ids_of(const action_list& actions) {
  std::vector<request_id> ids;
  for (const auto& checked : actions) {
    if (const auto* found = std::get_if<Action>(&checked)) {
      ids.push_back(found->id);
    }
  }
  return ids;
}

}  // namespace

// Guards against sequences of events after which the machine has two attempts
// of a request in progress, retries a request that must not be retried, exceeds
// a grant, sends under a stale view or to a leaving server, ends a request
// twice or never, or answers "not run" for a request that may have run.
TEST_CASE("random events do not violate the delivery guarantees") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    random_run run(seed);
    for (int n = 0; n < 1500; ++n) {
      run.step();
    }
    run.finish();
  }
}

// Guards against sending requests that will time out: a timeout wastes the slot
// and counts against a healthy server.
TEST_CASE(
    "a waiting request is sent only with time left for three times its cost") {
  auto now = model::time_point() + 1h;
  request_machine machine;
  machine.update(one_slot(), now);
  machine.request_arrived(1, quote(now + 10s), now);
  constexpr auto cost = milliseconds(
      static_cast<int>(scheduling::cost_estimator::initial_cost_ms));
  machine.request_arrived(2, quote(now + 300ms + 3 * cost - 1ms), now);
  machine.request_arrived(3, quote(now + 300ms + 3 * cost), now);
  auto actions = machine.attempt_ended(1, 1, {}, now + 300ms);
  CHECK(ids_of<refuse_action>(actions) == std::vector<request_id>{2});
  CHECK(ids_of<send_action>(actions) == std::vector<request_id>{3});
}

}  // namespace vanillaladder::serving
