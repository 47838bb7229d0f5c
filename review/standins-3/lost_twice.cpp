// LOST: a runner crashes, is back under its id, is cut off and lost for good, and
// the leader is stopped as planned. The next leader waits for a process that
// nobody has asked to do anything.
#include <map>
#include <set>

#include "trial.hpp"

namespace {

using trial::json;

constexpr std::int64_t second_us = 1000000;
constexpr std::int64_t contact_us = 3 * second_us;

std::string check(const std::string& record) {
  trial::world_options options;
  options.workers = 8;
  options.domains = 4;
  options.worker_cpu = 8000;
  trial::world world(options, record);
  const std::string job = "00000000000000d1";
  json steps = json::array({{{"count", 12},
                             {"cpu", 1000},
                             {"memMb", 64},
                             {"estRuntimeMs", 1000},
                             {"perpetual", true}}});
  world.submit(0, job, steps, -1);
  if (!trial::eventually(
          [&] { return world.events_of("start", job).size() == 12; }, 10000)) {
    throw trial::cannot_run("the tasks that last did not start");
  }
  trial::pass(8000);
  auto runner = world.events_of("start", job).at(0).at("worker").get<std::string>();
  std::set<std::string> tasks;
  for (const auto& each : world.events_of("start", job)) {
    if (each.at("worker") == runner) {
      tasks.insert(each.at("task").get<std::string>());
    }
  }
  int leader = world.leader();
  auto lost_at = trial::now_us();
  if (trial::has_trouble()) {
    world.set_worker(runner, {{"dead", true}});
    trial::pass(600);
    // Registers itself, and is cut off.
    world.set_worker(runner, {{"dead", false}, {"silent", true}});
  } else {
    trial::pass(600);
  }
  auto cut_at = trial::now_us();
  trial::pass(1900);
  world.note("platform: SIGTERM to front-" + std::to_string(leader + 1) +
             ", which leads");
  world.daemon(leader).send_signal(SIGTERM);
  if (!trial::eventually([&] { return !world.daemon(leader).running(); },
                         7000)) {
    throw trial::cannot_run("a daemon did not stop within graceS");
  }
  world.start_daemon(leader);
  world.note("platform: front-" + std::to_string(leader + 1) +
             " is started again");
  trial::eventually([&] { return world.is_ready(leader); }, 5000);
  auto cut_left = static_cast<int>((cut_at - trial::now_us()) / 1000) + 5400;
  trial::pass(std::max(0, cut_left));
  if (trial::has_trouble()) {
    world.set_worker(runner, {{"dead", true}});
  }
  auto calm_from = trial::now_us() + contact_us;
  // The 4 s before the 3 s have to be calm, and the last run 6 s ago.
  auto from = std::max(calm_from + 4 * second_us, lost_at + 6 * second_us);
  auto until = from + 3 * second_us;
  trial::pass(static_cast<int>((until - trial::now_us()) / 1000) + 14000);
  world.note_events();
  std::map<std::string, std::int64_t> restarted;
  for (const auto& each : world.events_of("start", job)) {
    auto task = each.at("task").get<std::string>();
    auto at = each.at("at_us").get<std::int64_t>();
    if (tasks.contains(task) && at > lost_at) {
      restarted.emplace(task, at);
    }
  }
  if (!trial::has_trouble()) {
    return restarted.empty() ? "" : "LOST: tasks started again without cause";
  }
  int away = 0;
  std::int64_t longest = 0;
  for (const auto& task : tasks) {
    auto found = restarted.find(task);
    auto at = found == restarted.end() ? trial::now_us() : found->second;
    longest = std::max(longest, at - lost_at);
    away += at >= until ? 1 : 0;
  }
  world.note("longest time without a run: " + std::to_string(longest / 1000) +
             " ms");
  if (away == 0) {
    return "";
  }
  return "LOST: " + std::to_string(away) + " of " +
         std::to_string(tasks.size()) +
         " tasks that last did not run in the 3 s after 4 calm ones, with seven "
         "of eight runners nearly empty; the longest for " +
         std::to_string(longest / 1000) + " ms";
}

}  // namespace

int main(int argc, char** argv) { return trial::run(argc, argv, check); }
