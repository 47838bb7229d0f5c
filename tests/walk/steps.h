#pragma once

#include <functional>
#include <string>
#include <vector>

#include "harness/cluster.h"

/// The walk through the main path that `make run` shows.
namespace vanillaladder::walk {

/// One step; throws `step_failure` or any other exception if it fails.
struct step {
  std::string name;
  /// @return what was seen, in a few words.
  std::function<std::string(harness::cluster&)> run;
};

/// Why a step failed, and which process it failed with.
struct step_failure {
  std::string peer;
  std::string message;
};

/// @return the steps in order.
std::vector<step> steps();

}  // namespace vanillaladder::walk
