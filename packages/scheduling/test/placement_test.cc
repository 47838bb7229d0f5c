#include "scheduling/placement.h"

#include <catch2/catch.hpp>
#include <vector>

namespace vanillaladder::scheduling {
namespace {

placement_worker worker(const std::string& id, const std::string& domain) {
  placement_worker result;
  result.id = id;
  result.domain = domain;
  result.rack = "r";
  result.capacity = {10'000, 10'000, 0};
  result.accepts_starts = true;
  return result;
}

placement_task task(const model::resources& size) {
  placement_task result;
  result.job_class = "sync";
  result.declared = result.size = size;
  return result;
}

const placement_limits limits{10, 120};

}  // namespace

TEST_CASE("services, reservations and the urgent reserve limit placement",
          "[placement]") {
  std::vector<placement_worker> workers{worker("w", "d")};
  const interference_model no_interference;
  workers[0].reserved = {4'000, 0, 0};
  workers[0].services = {3'000, 0, 0};
  auto small = task({2'000, 100, 0});
  CHECK(choose_worker(small, workers, no_interference, limits) == 0u);
  small.size.cpu_millis = 2'001;  // 1,000 of the 3,000 left are reserved.
  CHECK_FALSE(choose_worker(small, workers, no_interference, limits));
  small.urgent = true;
  CHECK(choose_worker(small, workers, no_interference, limits) == 0u);
  workers[0].accepts_starts = false;
  CHECK_FALSE(choose_worker(small, workers, no_interference, limits));
}

TEST_CASE("a task larger than the unreserved capacity gets an empty worker",
          "[placement]") {
  std::vector<placement_worker> workers{worker("w", "d")};
  const interference_model no_interference;
  auto large = task({9'500, 100, 0});
  CHECK(choose_worker(large, workers, no_interference, limits) == 0u);
  large.size = {20'000, 100, 0};  // The learned size exceeds every worker.
  CHECK(choose_worker(large, workers, no_interference, limits) == 0u);
  CHECK(reservation_size(large, workers[0]).cpu_millis == 10'000);
  workers[0].reserved = {1, 1, 0};
  CHECK_FALSE(choose_worker(large, workers, no_interference, limits));
}

TEST_CASE("tasks of a job are spread over failure domains", "[placement]") {
  std::vector<placement_worker> workers{worker("w0", "d0"), worker("w1", "d1")};
  auto small = task({1'000, 100, 0});
  small.spread = {{"d0", 1}, {"d0/r", 1}};
  CHECK(choose_worker(small, workers, {}, limits) == 1u);
  CHECK(choose_first_fit(small, workers, limits) == 0u);
  small.avoid = {"w1"};
  CHECK(choose_worker(small, workers, {}, limits) == 0u);
}

TEST_CASE("a class that slows down services is not placed next to them",
          "[placement]") {
  std::vector<placement_worker> workers{worker("w0", "d"), worker("w1", "d")};
  workers[0].neighbours = {{services_class, 1}};
  interference_model interference;
  for (int i = 0; i < 50; ++i)
    interference.observe(services_class, {{"sync", 1}}, 160);
  const auto small = task({1'000, 100, 0});
  CHECK(choose_worker(small, workers, interference, limits) == 1u);
  workers[1].accepts_starts = false;
  CHECK_FALSE(choose_worker(small, workers, interference, limits));
}

TEST_CASE("a size that fits no worker is reported with the reason",
          "[placement]") {
  const std::vector<model::worker_info> workers{
      {"a", "", 0, "d", "r", {1'000, 9'000, 0}, {}},
      {"b", "", 0, "d", "r", {9'000, 1'000, 0}, {}}};
  CHECK_FALSE(unschedulable_reason({9'000, 1'000, 0}, workers));
  CHECK(unschedulable_reason({1, 1, 1}, workers)->find("accelerators") == 0);
  CHECK(unschedulable_reason({5'000, 5'000, 0}, workers) ==
        "no worker has this much of every resource");
}

}  // namespace vanillaladder::scheduling
