#include "batch/disturbance_model.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace vanillaladder::batch {
namespace {

const time_point start{std::chrono::seconds(100)};

constexpr std::array<std::string_view, 9> filling = {"a", "b", "c", "d", "e",
                                                     "f", "g", "h", "i"};
constexpr std::array<std::string_view, 3> serving = {"x", "y", "z"};

bool disturbs(std::string_view image, std::string_view served) {
  return served == "x" && (image == "c" || image == "h");
}

// Pattern: filling tasks of nine images share workers at random with serving
// tasks of three; two of the nine press on one of the three.
TEST_CASE("the pairs that press are told from those beside them") {
  disturbance_model model;
  std::mt19937 random(7);
  std::uniform_int_distribution<std::size_t> pick(0, filling.size() - 1);
  std::uniform_real_distribution<double> own(0.3, 0.7);
  for (int n = 0; n < 400; ++n) {
    std::vector<active_image> present;
    for (int k = 0; k < 3; ++k) {
      auto image = filling[pick(random)];
      if (std::ranges::find(present, image, &active_image::image) ==
          present.end()) {
        present.push_back({image, 1});
      }
    }
    for (auto served : serving) {
      double pressure = own(random);
      for (const auto& each : present) {
        pressure += disturbs(each.image, served) ? 2 : 0;
      }
      model.learn(served, present, pressure, start);
    }
  }
  for (auto served : serving) {
    for (auto image : filling) {
      INFO(image << " on " << served << ": "
                 << model.weight(served, image, start));
      REQUIRE(model.is_heavy(served, image, start) == disturbs(image, served));
    }
  }
}

TEST_CASE("an unknown pair is not kept apart") {
  disturbance_model model;
  REQUIRE_FALSE(model.is_heavy("x", "a", start));
}

// One report far over the target is enough to act on.
TEST_CASE("one image alone is blamed by one report") {
  disturbance_model model;
  std::array one = {active_image{"a", 1}};
  model.learn("x", one, 3, start);
  REQUIRE(model.is_heavy("x", "a", start));
}

// The effect of an image changes within seconds.
TEST_CASE("an image that has stopped pressing is let in again") {
  disturbance_model model;
  std::array one = {active_image{"a", 1}};
  for (int n = 0; n < 10; ++n) {
    model.learn("x", one, 3, start);
  }
  REQUIRE(model.is_heavy("x", "a", start));
  for (int n = 0; n < 10; ++n) {
    model.learn("x", one, 0.4, start);
  }
  REQUIRE_FALSE(model.is_heavy("x", "a", start));
}

// A pair that is kept apart gives no reports; it must be tried again.
TEST_CASE("what is known of a pair fades") {
  disturbance_model model;
  std::array one = {active_image{"a", 1}};
  for (int n = 0; n < 20; ++n) {
    model.learn("x", one, 3, start);
  }
  REQUIRE(model.is_heavy("x", "a", start + disturbance_model::half_life));
  REQUIRE_FALSE(
      model.is_heavy("x", "a", start + 5 * disturbance_model::half_life));
}

TEST_CASE("an image that stood still is not blamed") {
  disturbance_model model;
  std::array still = {active_image{"a", 0}};
  model.learn("x", still, 3, start);
  REQUIRE_FALSE(model.is_heavy("x", "a", start));
}

}  // namespace
}  // namespace vanillaladder::batch
