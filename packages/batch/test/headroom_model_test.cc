#include "batch/headroom_model.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

namespace vanillaladder::batch {
namespace {

using namespace std::chrono_literals;

const time_point start{100s};

constexpr std::array<std::string_view, 9> best_effort_images = {
    "a", "b", "c", "d", "e", "f", "g", "h", "i"};
constexpr std::array<std::string_view, 3> serving_images = {"x", "y", "z"};

/// Weight from which a pair counts as interfering: the mean of the two true
/// weights.
constexpr double interference_threshold = 7;

double true_weight(std::string_view image, std::string_view serving_image) {
  return serving_image == "x" && (image == "c" || image == "h") ? 13 : 1;
}

/// The load of a serving task varies by 50% with a period of 10 s.
double headroom_without_interference(double phase, int report) {
  double load = 0.42 * (1 + 0.5 * std::sin(phase + report * 0.5 * 0.628));
  return 4.5 * (1 - load);
}

// Best-effort tasks of nine images run on random workers next to serving tasks
// of three images with varying loads. Two of the nine images interfere with one
// of the three.
TEST_CASE("interfering pairs are told apart from others on the same worker") {
  headroom_model model;
  std::mt19937 random(7);
  std::uniform_int_distribution<std::size_t> pick(
      0, best_effort_images.size() - 1);
  std::uniform_real_distribution<double> phase(0, 6.28);
  for (int worker = 0; worker < 20; ++worker) {
    std::array<estimate, 3> own_headroom;
    std::array<double, 3> phases{};
    for (std::size_t n = 0; n < own_headroom.size(); ++n) {
      own_headroom[n] = headroom_model::initial_estimate(start);
      phases[n] = phase(random);
    }
    std::vector<std::string_view> present;
    for (int report = 0; report < 30; ++report) {
      if (report % 4 == 0) {
        present.clear();
        for (int k = 0; k < 3; ++k) {
          present.push_back(best_effort_images[pick(random)]);
        }
      }
      std::vector<best_effort_load> neighbours;
      for (auto image : present) {
        auto number = model.number_of(image);
        auto known =
            std::ranges::find(neighbours, number, &best_effort_load::image);
        if (known == neighbours.end()) {
          neighbours.push_back({number, 0.08});
        } else {
          known->share += 0.08;
        }
      }
      for (std::size_t n = 0; n < own_headroom.size(); ++n) {
        double headroom = headroom_without_interference(phases[n], report);
        for (auto image : present) {
          headroom -= 0.08 * true_weight(image, serving_images[n]);
        }
        model.learn(own_headroom[n], model.number_of(serving_images[n]),
                    neighbours, std::max(0.1, headroom),
                    start + report * 500ms);
      }
    }
  }
  for (auto serving_image : serving_images) {
    for (auto image : best_effort_images) {
      double weight =
          model.weight(model.number_of(serving_image), model.number_of(image));
      INFO(image << " on " << serving_image << ": " << weight);
      REQUIRE((weight >= interference_threshold) ==
              (true_weight(image, serving_image) >= interference_threshold));
    }
  }
}

// A pair without data must be tried out.
TEST_CASE("an unknown pair does not count as interfering") {
  headroom_model model;
  REQUIRE(model.weight(model.number_of("x"), model.number_of("a")) <
          interference_threshold);
}

/// One serving and one best-effort task, with a report every 0.5 s.
class single_pair_fixture {
 public:
  void report(int times, double headroom) {
    for (int n = 0; n < times; ++n) {
      now_ += 500ms;
      model_.learn(own_headroom_, serving_image_, neighbours_, headroom, now_);
    }
  }
  double weight() const {
    return model_.weight(serving_image_, neighbours_[0].image);
  }

 private:
  headroom_model model_;
  time_point now_ = start;
  image_number serving_image_ = model_.number_of("x");
  std::array<best_effort_load, 1> neighbours_ = {
      best_effort_load{model_.number_of("a"), 0.12}};
  estimate own_headroom_ = headroom_model::initial_estimate(start);
};

// Late responses next to a single image must not be attributed to the serving
// task's own load for long.
TEST_CASE("a single interfering image is detected within two reports") {
  single_pair_fixture pair;
  pair.report(2, 0.5);
  REQUIRE(pair.weight() >= interference_threshold);
}

// The interference of an image can change within seconds.
TEST_CASE("an image that no longer interferes is accepted again") {
  single_pair_fixture pair;
  pair.report(10, 0.5);
  REQUIRE(pair.weight() >= interference_threshold);
  pair.report(20, 2.5);
  REQUIRE(pair.weight() < interference_threshold);
}

// Otherwise a pair whose best-effort task was stopped would never be tried
// again.
TEST_CASE("a report next to a stopped task does not change its weight") {
  headroom_model model;
  auto x = model.number_of("x");
  std::array stopped = {best_effort_load{model.number_of("a"), 0}};
  auto own_headroom = headroom_model::initial_estimate(start);
  model.learn(own_headroom, x, stopped, 0.5, start + 500ms);
  REQUIRE(model.weight(x, stopped[0].image) ==
          Approx(headroom_model::initial_weight));
}

// Without best-effort tasks the estimate follows the task's own load.
TEST_CASE("the estimate follows the headroom of a task that runs alone") {
  headroom_model model;
  auto x = model.number_of("x");
  auto own_headroom = headroom_model::initial_estimate(start);
  for (int report = 0; report < 40; ++report) {
    double truth = headroom_without_interference(1, report);
    model.learn(own_headroom, x, {}, truth, start + report * 500ms);
    if (report > 2) {
      REQUIRE(std::abs(own_headroom.mean - truth) < 0.35);
    }
  }
}

// The response time of an overloaded queue does not show by how much it is
// overloaded.
TEST_CASE("the report of an overloaded task does not lower the weight") {
  headroom_model model;
  auto x = model.number_of("x");
  std::array many = {best_effort_load{model.number_of("a"), 0.3}};
  auto own_headroom = headroom_model::initial_estimate(start);
  for (int report = 1; report <= 10; ++report) {
    model.learn(own_headroom, x, many, 0.5, start + report * 500ms);
  }
  double before = model.weight(x, many[0].image);
  std::array more = {best_effort_load{model.number_of("a"), 0.6}};
  model.learn(own_headroom, x, more, 0.1, start + 5500ms);
  REQUIRE(model.weight(x, many[0].image) >= before);
}

}  // namespace
}  // namespace vanillaladder::batch
