#include "batch/job_order.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

constexpr time_point start{100s};

TEST_CASE("a job of an unknown queue is ranked by its deadline") {
  job_order order;
  REQUIRE(order.position("queue", start, 5000) == start);
}

TEST_CASE("a small job passes a large one that is due a little earlier") {
  job_order order;
  order.observe("queue", 1000, 10s);
  order.observe("queue", 3000, 10s);
  auto small = order.position("queue", start + 2s, 1000);
  auto large = order.position("queue", start, 3000);
  REQUIRE(small < large);
  // By a limited time, so that the large one does not starve.
  REQUIRE(order.position("queue", start + 60s, 1000) > large);
}

// pattern: jobs arrive in a backlog with a quarter more work than can be done
// in time. By earliest deadline, each one waits until it is late.
TEST_CASE("pattern: under overload more jobs are on time than by deadline") {
  struct job {
    time_point due_at;
    double work = 0;
  };
  constexpr double work_per_second = 2000;
  constexpr int count = 40;
  job_order order;
  std::vector<job> jobs;
  for (int n = 0; n < count; ++n) {
    double work = n % 4 == 0 ? 5000 : 1600;
    jobs.push_back({start + 10s + n * 1s, work});
    order.observe("queue", work, 10s);
  }
  auto count_on_time = [&](auto position) {
    auto waiting = jobs;
    time_point now = start + 10s;
    int on_time = 0;
    std::ranges::sort(waiting, {}, position);
    for (const auto& each : waiting) {
      now += std::chrono::duration_cast<time_point::duration>(
          std::chrono::duration<double>(each.work / work_per_second));
      on_time += now <= each.due_at ? 1 : 0;
    }
    return on_time;
  };
  int by_deadline = count_on_time([](const job& each) { return each.due_at; });
  int by_position = count_on_time([&](const job& each) {
    return order.position("queue", each.due_at, each.work);
  });
  REQUIRE(by_position > by_deadline);
}

}  // namespace
}  // namespace vanillaladder::batch
