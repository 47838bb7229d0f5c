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

/// Member `a` of three, which has read the log up to offset 5.
view_freshness three_members() {
  view_freshness view({"a", 1});
  view.set_members(view_of({"a", "b", "c"}));
  view.set_applied(5);
  view.on_log_end(at_ms(0), 6);
  return view;
}

}  // namespace

// Guards guarantee 4: a paused or partitioned daemon must stop by itself.
TEST_CASE("a view is stale two seconds after the question of its last proof") {
  auto view = three_members();
  CHECK(view.state(at_ms(1999)) == freshness::fresh);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 7);
  CHECK(view.state(at_ms(2000)) == freshness::stale);
  view.on_log_end(at_ms(1000), 6);
  CHECK(view.state(at_ms(2999)) == freshness::fresh);
}

// Guards against proofs by fewer than a majority, by members that know more, by
// late answers, by restarted members and by instances that aren't members.
TEST_CASE("a round of heartbeats proves the view only with a majority") {
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

// Guards guarantee 10: "accepted" needs a strict majority of the members.
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

// Guards against a restarted member that completes a majority with a view from
// before an accepted patch.
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

// Guards against a removed member that goes on sending.
TEST_CASE("an instance that is not a member is never fresh") {
  auto view = three_members();
  view.set_members(view_of({"b", "c"}));
  view.on_log_end(at_ms(0), 6);
  CHECK(view.state(at_ms(1)) == freshness::stale);
}

namespace {

using model::milliseconds;
using model::time_point;

/// Five members that read a log and ask each other, in virtual time. Members
/// pause, connections are cut and the log fails; messages take up to 1.5 s.
class propagation {
 public:
  propagation(std::uint64_t seed, milliseconds limit) : random_(seed) {
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

  /// Publishes a patch after 3 s and goes on for 12 s.
  /// @return whether a member had a fresh view without the patch later than
  ///   2 s after its acceptance.
  bool acts_on_old_view() {
    bool found = false;
    for (int step = 0; step < steps; ++step) {
      now_ += step_time;
      if (step == publish_step) {
        log_next_ = 2;
      }
      inject_fault();
      for (std::size_t at = 0; at < members_.size(); ++at) {
        run_member(at, step);
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
  struct one_member {
    one_member(member_key own, milliseconds limit)
        : key(std::move(own)), view(key, limit) {}

    void apply(model::offset at) {
      applied = std::max(applied, at);
      view.set_applied(applied);
    }

    member_key key;
    view_freshness view;
    model::offset applied = -1;
    time_point paused_until;
    time_point cut_until;
    time_point log_cut_until;
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
        target.cut_until = until;
        break;
      case 2:
        target.log_cut_until = until;
        break;
      default:
        log_down_until_ = until;
    }
  }

  milliseconds delay() {
    return milliseconds(draw(4) == 0 ? draw(1500) : draw(60));
  }

  void run_member(std::size_t at, int step) {
    auto& self = members_[at];
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
    if ((step + static_cast<int>(at)) % send_interval == 0) {
      read_log(self);
      ask_peers(self);
    }
    // The publisher is member 0; it reports acceptance once a majority has it.
    if (at == 0 && !accepted_at_ && self.view.majority_applied(1)) {
      accepted_at_ = now_;
    }
  }

  void read_log(one_member& self) {
    if (now_ < log_down_until_ || now_ < self.log_cut_until) {
      return;
    }
    self.inbox.push_back(
        {now_ + delay(), [this, &self, sent = now_, next = log_next_] {
           self.apply(next - 1);
           self.view.on_log_end(sent, next);
         }});
  }

  /// A question is answered when it arrives, the answer arrives later.
  void ask_peers(one_member& self) {
    auto round = self.view.start_round(now_);
    for (auto& peer : members_) {
      if (&peer == &self || now_ < self.cut_until || now_ < peer.cut_until) {
        continue;
      }
      peer.inbox.push_back(
          {now_ + delay(), [this, &self, &peer, round] {
             self.inbox.push_back(
                 {now_ + delay(),
                  [&self, key = peer.key, at = peer.applied, round] {
                    self.view.on_heartbeat_response(round, {key, at, true});
                  }});
           }});
    }
  }

  bool old_view_in_use() const {
    return accepted_at_ && now_ >= *accepted_at_ + fresh_limit_ms &&
           std::ranges::any_of(members_, [&](const one_member& item) {
             return item.applied < 1 &&
                    item.view.state(now_) == freshness::fresh;
           });
  }

  std::mt19937_64 random_;
  time_point now_ = at_ms(100000);
  time_point log_down_until_;
  model::offset log_next_ = 1;
  std::optional<time_point> accepted_at_;
  std::vector<one_member> members_;
};

}  // namespace

// Guards guarantee 4: a daemon that starts a task in a failure domain later
// than 2 s after the patch that took it out was accepted.
TEST_CASE("no view without an accepted patch is fresh after two seconds") {
  int accepted = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    CAPTURE(seed);
    propagation run(seed, fresh_limit_ms);
    REQUIRE_FALSE(run.acts_on_old_view());
    accepted += run.accepted() ? 1 : 0;
  }
  CHECK(accepted >= 200);
}

// Shows that the check above fails when proofs count for longer.
TEST_CASE("a longer freshness limit lets an old view be used") {
  int found = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    propagation run(seed, 3 * fresh_limit_ms);
    found += run.acts_on_old_view() ? 1 : 0;
  }
  CHECK(found > 0);
}

}  // namespace vanillaladder::coordination
