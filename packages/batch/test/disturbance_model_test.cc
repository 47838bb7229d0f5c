#include "batch/disturbance_model.h"

#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace vanillaladder::batch {
namespace {

constexpr std::array<std::string_view, 9> images = {
    "a", "b", "c", "d", "e", "f", "g", "h", "i"};

bool disturbs(std::string_view image) {
  return image == "c" || image == "h";
}

// Pattern: filling tasks of nine images share workers at random with serving
// tasks; two of the images press on them, the others do not.
TEST_CASE("the images that press are told from those beside them") {
  disturbance_model model;
  std::mt19937 random(7);
  std::uniform_int_distribution<std::size_t> pick(0, images.size() - 1);
  std::uniform_real_distribution<double> own(0.3, 0.6);
  for (int n = 0; n < 300; ++n) {
    std::vector<std::string_view> present;
    for (int k = 0; k < 3; ++k) {
      auto image = images[pick(random)];
      if (std::find(present.begin(), present.end(), image) == present.end()) {
        present.push_back(image);
      }
    }
    double pressure = own(random);
    for (auto image : present) {
      pressure += disturbs(image) ? 2 : 0;
    }
    model.learn(present, pressure);
  }
  for (auto image : images) {
    INFO(image << " " << model.weight(image));
    REQUIRE(model.is_heavy(image) == disturbs(image));
  }
}

TEST_CASE("an unknown image is not kept apart") {
  disturbance_model model;
  REQUIRE_FALSE(model.is_heavy("x"));
}

// The effect of an image changes within seconds.
TEST_CASE("an image that has stopped pressing is let in again") {
  disturbance_model model;
  std::array<std::string_view, 1> one = {"a"};
  for (int n = 0; n < 10; ++n) {
    model.learn(one, 3);
  }
  REQUIRE(model.is_heavy("a"));
  for (int n = 0; n < 10; ++n) {
    model.learn(one, 0.4);
  }
  REQUIRE_FALSE(model.is_heavy("a"));
}

}  // namespace
}  // namespace vanillaladder::batch
