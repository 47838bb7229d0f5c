#pragma once

#include <catch2/catch.hpp>
#include <string>

#include "shard_simulation.h"

/// Fixture of the tests of `shard_machine`.
namespace vanillaladder::control::testing {

inline const model::resources small{1000, 500, 0};

inline bool ended(simulation& sim, const std::string& key) {
  const auto* const job = sim.job(key);
  return job != nullptr && job->ended;
}

/// A simulation whose first owner has leased its workers and accepts jobs.
struct shard_fixture : simulation {
  explicit shard_fixture(std::size_t daemons = 1, std::size_t worker_count = 3)
      : simulation(1, daemons, worker_count) {
    run_for(std::chrono::seconds(2));
    REQUIRE(owner() != nullptr);
    first_owner = owner();
    next_owner = &daemon_at(first_owner == &daemon_at(0) ? 1 : 0);
  }

  /// The first owner and the daemon that takes over from it.
  daemon* first_owner = nullptr;
  daemon* next_owner = nullptr;
};

}  // namespace vanillaladder::control::testing
