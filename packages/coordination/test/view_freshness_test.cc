#include "coordination/view_freshness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <optional>
#include <random>
#include <vector>

#include "support.h"

namespace vanillaladder::coordination {
namespace {

membership_view view_of(std::initializer_list<const char*> ids) {
  membership_view view{0, {}};
  for (const char* id : ids) {
    view.members.push_back(member(id));
  }
  return view;
}

peer_position position(const char* id, model::offset applied,
                       bool recovered = true) {
  return {{id, 1}, applied, recovered};
}

/// View of member `a` of three, which has read the log up to offset 5.
view_freshness three_members() {
  view_freshness view({"a", 1});
  view.set_members(view_of({"a", "b", "c"}));
  view.set_applied(5);
  view.on_log_end(at_ms(0), 6);
  return view;
}

}  // namespace

// Guards against a paused or partitioned daemon that keeps acting on its view.
TEST_CASE("a view is stale two seconds after the last verifying request") {
  auto view = three_members();
  CHECK(view.state(at_ms(1999)) == freshness::fresh);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 7);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 6);
  CHECK(view.state(at_ms(2999)) == freshness::fresh);
}

// Guards against verification by less than a majority, by members that have
// applied more, by late responses, by restarted members and by instances that
// are not members.
TEST_CASE("a round of heartbeats verifies the view only with a majority") {
  auto view = three_members();
  auto old_round = view.start_round(at_ms(3000));
  auto round = view.start_round(at_ms(4000));
  view.on_heartbeat_response(old_round, position("b", 5));
  view.on_heartbeat_response(round, position("b", 6));
  view.on_heartbeat_response(round, position("c", 5, false));
  view.on_heartbeat_response(round, position("d", 5));
  view.on_heartbeat_response(round, {{"c", 2}, 5, true});
  CHECK(view.state(at_ms(4100)) == freshness::stale);
  REQUIRE(view.most_advanced_peer());
  CHECK(view.most_advanced_peer()->applied == 6);
  view.set_applied(6);
  CHECK(view.state(at_ms(4100)) == freshness::fresh);
  CHECK(view.state(at_ms(6000)) == freshness::stale);
}

// Guards against acceptance without a strict majority of the members.
TEST_CASE("an offset is confirmed by a strict majority") {
  auto view = three_members();
  CHECK_FALSE(view.majority_applied(0));
  view.on_position(position("b", 3));
  CHECK(view.majority_offset() == 3);
  view.on_position(position("c", 4));
  view.on_position(position("c", 1));
  CHECK(view.majority_offset() == 4);
  CHECK_FALSE(view.majority_applied(5));
}

// Guards against a restarted member that completes a majority although its view
// is older than an accepted patch.
TEST_CASE("a restarted member counts only after it has recovered") {
  view_freshness view({"a", 1});
  view.set_members(view_of({"a", "b", "c"}));
  view.set_applied(2);
  auto round = view.start_round(at_ms(0));
  view.on_heartbeat_response(round, position("b", 2));
  CHECK_FALSE(view.recovered());
  CHECK(view.state(at_ms(1)) == freshness::stale);
  view.on_heartbeat_response(round, position("c", 4));
  CHECK_FALSE(view.recovered());
  view.set_applied(4);
  CHECK(view.recovered());
}

// Guards against a removed member that continues to send requests.
TEST_CASE("an instance that is not a member is never fresh") {
  auto view = three_members();
  view.set_members(view_of({"b", "c"}));
  view.on_log_end(at_ms(0), 6);
  CHECK(view.state(at_ms(1)) == freshness::stale);
}

namespace {

using model::milliseconds;
using model::time_point;

/// Five members that read a log and exchange heartbeats, in simulated time.
/// Members pause, connections and the log fail, and messages take up to 1.5 s.
class propagation_simulation {
 public:
  propagation_simulation(std::uint64_t seed, milliseconds limit)
      : random_(seed) {
    auto view = view_of({"a", "b", "c", "d", "e"});
    for (const auto& info : view.members) {
      members_.emplace_back(member_key{info.id, info.incarnation}, limit);
      members_.back().view.set_members(view);
    }
    for (auto& one : members_) {
      for (auto& other : members_) {
        one.view.on_position({other.key, 0, true});
      }
      one.apply(0);
      one.view.on_log_end(now_, 1);
    }
  }

  /// Publishes a patch after 3 s and continues for 12 s.
  /// @return whether a member had a fresh view without the patch 2 s or more
  ///   after the patch was accepted.
  bool uses_old_view() {
    bool found = false;
    for (int step = 0; step < steps; ++step) {
      now_ += step_time;
      if (step == publish_step) {
        log_next_ = 2;
      }
      inject_fault();
      for (std::size_t index = 0; index < members_.size(); ++index) {
        run_member(index, step);
      }
      found |= old_view_in_use();
    }
    return found;
  }

  bool accepted() const { return accepted_at_.has_value(); }

 private:
  static constexpr milliseconds step_time{50};
  static constexpr int steps = 300;
  static constexpr int publish_step = 60;
  /// Reads and rounds are sent every 5 steps, which is every 250 ms.
  static constexpr int send_interval = 5;

  struct message {
    time_point due;
    std::function<void()> deliver;
  };
  struct simulated_member {
    simulated_member(member_key own, milliseconds limit)
        : key(std::move(own)), view(key, limit) {}

    void apply(model::offset offset) {
      applied = std::max(applied, offset);
      view.set_applied(applied);
    }

    member_key key;
    view_freshness view;
    model::offset applied = -1;
    time_point paused_until;
    time_point disconnected_until;
    time_point log_disconnected_until;
    std::vector<message> inbox;
  };

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  void inject_fault() {
    if (draw(10) != 0) {
      return;
    }
    auto& target = members_[draw(members_.size())];
    auto until = now_ + milliseconds(draw(6000));
    switch (draw(4)) {
      case 0:
        target.paused_until = until;
        break;
      case 1:
        target.disconnected_until = until;
        break;
      case 2:
        target.log_disconnected_until = until;
        break;
      default:
        log_down_until_ = until;
    }
  }

  milliseconds delay() {
    return milliseconds(draw(4) == 0 ? draw(1500) : draw(60));
  }

  void run_member(std::size_t index, int step) {
    auto& self = members_[index];
    if (now_ < self.paused_until) {
      return;
    }
    auto due = std::stable_partition(
        self.inbox.begin(), self.inbox.end(),
        [&](const auto& item) { return item.due > now_; });
    std::vector<message> arrived(std::make_move_iterator(due),
                                 std::make_move_iterator(self.inbox.end()));
    self.inbox.erase(due, self.inbox.end());
    for (const auto& item : arrived) {
      item.deliver();
    }
    if ((step + static_cast<int>(index)) % send_interval == 0) {
      read_log(self);
      send_heartbeats(self);
    }
    // Member 0 is the publisher. The patch is accepted once a majority has
    // applied it.
    if (index == 0 && !accepted_at_ && self.view.majority_applied(1)) {
      accepted_at_ = now_;
    }
  }

  void read_log(simulated_member& self) {
    if (now_ < log_down_until_ || now_ < self.log_disconnected_until) {
      return;
    }
    self.inbox.push_back(
        {now_ + delay(), [this, &self, sent = now_, next = log_next_] {
           self.apply(next - 1);
           self.view.on_log_end(sent, next);
         }});
  }

  /// Sends heartbeats; a peer responds on arrival, and the response is delayed
  /// as well.
  void send_heartbeats(simulated_member& self) {
    auto round = self.view.start_round(now_);
    for (auto& peer : members_) {
      if (&peer == &self || now_ < self.disconnected_until ||
          now_ < peer.disconnected_until) {
        continue;
      }
      peer.inbox.push_back(
          {now_ + delay(), [this, &self, &peer, round] {
             self.inbox.push_back(
                 {now_ + delay(),
                  [&self, key = peer.key, offset = peer.applied, round] {
                    self.view.on_heartbeat_response(round, {key, offset, true});
                  }});
           }});
    }
  }

  bool old_view_in_use() const {
    return accepted_at_ && now_ >= *accepted_at_ + fresh_limit_ms &&
           std::ranges::any_of(members_, [&](const simulated_member& item) {
             return item.applied < 1 &&
                    item.view.state(now_) == freshness::fresh;
           });
  }

  std::mt19937_64 random_;
  time_point now_ = at_ms(100000);
  time_point log_down_until_;
  model::offset log_next_ = 1;
  std::optional<time_point> accepted_at_;
  std::vector<simulated_member> members_;
};

}  // namespace

// Guards against a daemon that starts a task in a failure domain more than 2 s
// after the patch that took the domain out of service was accepted.
TEST_CASE("no view without an accepted patch is fresh after two seconds") {
  int accepted = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    propagation_simulation run(seed, fresh_limit_ms);
    REQUIRE_FALSE(run.uses_old_view());
    accepted += run.accepted() ? 1 : 0;
  }
  CHECK(accepted >= 200);
}

// Shows that the simulation detects the fault if the freshness limit is longer.
TEST_CASE("a longer freshness limit lets an old view be used") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    propagation_simulation run(seed, 3 * fresh_limit_ms);
    found += run.uses_old_view() ? 1 : 0;
  }
  CHECK(found > 0);
}

}  // namespace vanillaladder::coordination
