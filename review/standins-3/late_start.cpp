// TWICE: a start without an answer is carried out late, by the next process of
// its runner, after the leader has placed the task elsewhere.
#include <map>

#include "trial.hpp"

namespace {

using trial::json;

std::string check(const std::string& record) {
  trial::world world({.workers = 3}, record);
  bool trouble = trial::has_trouble();
  auto step = [](int count, int cpu, int estimate) {
    return json::array({{{"count", count},
                         {"cpu", cpu},
                         {"memMb", 64},
                         {"estRuntimeMs", estimate}}});
  };
  // Leaves room on one runner only, and on the others afterwards.
  const std::string filler = "00000000000000f1";
  const std::string job = "00000000000000a1";
  world.submit(0, filler, step(2, 4000, 1000), 1000);
  if (!trial::eventually(
          [&] { return world.events_of("start", filler).size() == 2; }, 5000)) {
    throw trial::cannot_run("the first submission did not start");
  }
  std::string late_runner;
  for (std::string each : {"worker-1", "worker-2", "worker-3"}) {
    bool used = false;
    for (const auto& start : world.events_of("start", filler)) {
      used = used || start.at("worker") == each;
    }
    if (!used) {
      late_runner = each;
    }
  }
  if (trouble) {
    // Both attempts of the start get no answer and are carried out 4 s later,
    // by the process that is there then.
    world.set_worker(late_runner, {{"late_orders", 2},
                                   {"late_order_ms", 4000},
                                   {"late_orders_outlast", true}});
  }
  world.submit(0, job, step(1, 1000, 20000), 20000);
  auto started = [&](std::size_t count) {
    return world.events_of("start", job).size() >= count;
  };
  if (!trial::eventually([&] { return started(1); }, 15000)) {
    throw trial::cannot_run("the task did not start");
  }
  if (trouble) {
    auto orders = world.events_of("late_order", job);
    if (orders.empty()) {
      throw trial::cannot_run("no order was late");
    }
    // The runner dies, and its next process is there 4.6 s after the order.
    world.set_worker(late_runner, {{"dead", true}, {"late_orders", 0}});
    auto due = orders.back().at("at_us").get<std::int64_t>() + 4200000;
    while (trial::now_us() < due) {
      trial::pass(10);
    }
    // Its clock starts anew.
    world.set_worker(late_runner, {{"dead", false}, {"next_clock_ms", 1000}});
  }
  trial::pass(4000);
  world.note_events();
  // Runs by task, on runners that are up.
  std::map<std::string, std::string> running;
  std::string broken;
  for (const auto& each : world.events()) {
    auto task = each.value("task", "");
    if (!task.starts_with(job + ".")) {
      continue;
    }
    auto run = std::to_string(each.at("run").get<int>()) + " on " +
               each.at("worker").get<std::string>();
    if (each.at("event") == "start") {
      if (!running[task].empty() && broken.empty()) {
        broken = "TWICE: " + task + " run " + run + " begins beside run " +
                 running[task];
      }
      running[task] = run;
    } else if ((each.at("event") == "end" || each.at("event") == "lost") &&
               running[task] == run) {
      running[task].clear();
    }
  }
  return broken;
}

}  // namespace

int main(int argc, char** argv) { return trial::run(argc, argv, check); }
