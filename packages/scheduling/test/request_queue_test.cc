#include "scheduling/request_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace vanillaladder::scheduling {
namespace {

using namespace std::chrono_literals;

const model::time_point start = model::time_point() + 1h;

queued_request make(request_id id, const char* team,
                    std::chrono::milliseconds arrived, double cost_ms) {
  return {.id = id,
          .team = team,
          .expected_cost_ms = cost_ms,
          .arrived = start + arrived,
          .overdue_at = start + arrived + 10s};
}

std::vector<request_id> drain(request_queue& queue, model::time_point now) {
  std::vector<request_id> order;
  while (auto id = queue.front(now)) {
    queue.pop(*id, now);
    order.push_back(*id);
  }
  return order;
}

}  // namespace

// Guards against a team with many requests that starves another, and against
// weights that have no effect.
TEST_CASE("teams share slots by weight whatever their backlog") {
  request_queue queue;
  for (request_id id = 0; id < 90; ++id) {
    queue.push(make(id, "busy", 0ms, 10));
  }
  for (request_id id = 100; id < 130; ++id) {
    auto request = make(id, "heavy", 1ms, 10);
    request.team_weight = 30;
    queue.push(request);
  }
  auto order = drain(queue, start + 2ms);
  auto heavy = std::count_if(order.begin(), order.begin() + 40,
                             [](request_id id) { return id >= 100; });
  CHECK(heavy >= 29);
  CHECK(heavy <= 31);
}

// Guards against costly requests that are overtaken without bound.
TEST_CASE("alpha lets cheap requests overtake within a bounded time") {
  request_queue queue;
  queue.set_alpha(2);
  queue.push(make(1, "a", 0ms, 100));
  queue.push(make(2, "a", 150ms, 10));
  queue.push(make(3, "a", 190ms, 10));
  CHECK(drain(queue, start + 200ms) == std::vector<request_id>{2, 1, 3});
  request_queue in_arrival_order;
  in_arrival_order.push(make(1, "a", 0ms, 100));
  in_arrival_order.push(make(2, "a", 1ms, 10));
  CHECK(drain(in_arrival_order, start + 2ms) == std::vector<request_id>{1, 2});
}

// Guards against a class that waits beyond its limit, and against overdue
// requests that take every slot.
TEST_CASE("overdue requests get every second slot") {
  request_queue queue;
  queue.set_alpha(100);
  for (request_id id = 1; id <= 2; ++id) {
    auto costly = make(id, "a", 0ms, 1000);
    costly.overdue_at = start + 50ms;
    queue.push(costly);
  }
  for (request_id id = 11; id <= 13; ++id) {
    queue.push(make(id, "a", 60ms, 1));
  }
  CHECK(drain(queue, start + 61ms) ==
        std::vector<request_id>{1, 11, 2, 12, 13});
}

// Guards against sums that drift when requests leave without being served.
TEST_CASE("removed requests leave no backlog") {
  request_queue queue;
  queue.push(make(1, "a", 0ms, 100));
  queue.push(make(2, "b", 0ms, 50));
  CHECK(queue.active_weight() == 20);
  queue.remove(1);
  queue.remove(1);
  CHECK(queue.backlog_ms() == 50);
  CHECK(queue.backlog_ms("a") == 0);
  CHECK(queue.active_weight() == 10);
  queue.remove(2);
  CHECK(queue.empty());
  CHECK_FALSE(queue.front(start));
}

}  // namespace vanillaladder::scheduling
