#include "world.hpp"

namespace review {
namespace {

/// Many small tasks of each runner end while the store is down.
void ends_in_outage(world& scene) {
  scene.add_runners(2, "parnu-a");
  scene.start_daemons();
  std::vector<std::string> ids;
  for (int n = 0; n < 40; ++n) {
    auto id = scene.new_id();
    // Tasks of 2.6 to 4.2 s, so that the ends are spread.
    json step = {{"count", 32}, {"cpu", 45}, {"memMb", 150},
                 {"estRuntimeMs", 3500}};
    int status = scene.submit("/sheet/", id,
                              {{"taskSpec", "2600+50"}, {"steps", {step}}});
    if (status == 200) {
      ids.push_back(id);
    }
    pause_for(ms(20));
  }
  if (!wait_until(ms(3000),
                  [&] { return scene.runners.starts("5c0e") >= 1200; })) {
    throw cannot_run("the tasks do not start in time");
  }
  if (scene.trouble) {
    scene.record.line("the store is down");
    scene.store.set_down(true);
  }
  pause_for(ms(4200));
  if (scene.trouble) {
    scene.record.line(
        "the store is back; ends that wait: " +
        std::to_string(scene.runners.unseen_ends(world::runner(1))) + " and " +
        std::to_string(scene.runners.unseen_ends(world::runner(2))));
    scene.store.set_down(false);
  }
  wait_until(ms(20000), [&] {
    return std::ranges::all_of(ids, [&](const auto& id) {
      return scene.state("/sheet/", id) == "completed";
    });
  }, ms(500));
  pause_for(ms(2000));
}

/// A gang ends while the runner of one member is cut off, and this runner
/// crashes behind the cut.
void gang_behind_cut(world& scene) {
  scene.add_runners(6, "parnu-a");
  scene.start_daemons();
  auto id = scene.new_id();
  json step = {{"count", 4},     {"cpu", 2800}, {"memMb", 5600},
               {"gang", true},   {"estRuntimeMs", 2200},
               {"antiAffinity", 1}};
  scene.submit("/sheet/", id, {{"taskSpec", "2200+0x4"}, {"steps", {step}}});
  if (!wait_until(ms(5000), [&] { return scene.runners.running(id) == 4; })) {
    throw cannot_run("the gang does not start");
  }
  std::string chosen;
  for (int n = 1; n <= 6 && chosen.empty(); ++n) {
    if (scene.runners.running_on(world::runner(n), id) > 0) {
      chosen = world::runner(n);
    }
  }
  pause_for(ms(800));
  if (scene.trouble) {
    scene.runners.set_cut(chosen, true);
  }
  pause_for(ms(3000));
  if (scene.trouble) {
    scene.runners.crash_behind_cut(chosen);
  }
  pause_for(ms(2500));
  if (scene.trouble) {
    scene.runners.set_cut(chosen, false);
  }
  wait_until(ms(20000),
             [&] { return scene.state("/sheet/", id) == "completed"; },
             ms(500));
  pause_for(ms(1000));
}

/// The write of a submission is late, and its consumer cancels it.
void cancelled_but_run(world& scene) {
  scene.add_runners(6, "parnu-a");
  scene.start_daemons();
  auto id = scene.new_id();
  json step = {{"count", 6}, {"cpu", 6400}, {"memMb", 13000},
               {"estRuntimeMs", 500}, {"perpetual", true}};
  json body = {{"taskSpec", "lasts"}, {"steps", {step}}};
  if (scene.trouble) {
    scene.store.lose_append("keyed.jobs", "j/" + id, ms(5900));
  }
  auto& daemon = scene.next_daemon();
  int handed_in = scene.call(daemon, "POST", "/sync/" + id, body.dump());
  pause_for(ms(200));
  int cancelled = 0;
  for (int attempt = 0; attempt < 5 && cancelled != 200 && cancelled != 410;
       ++attempt) {
    cancelled = scene.call(daemon, "DELETE", "/sync/" + id, "");
  }
  auto acknowledged = steady::now();
  scene.record.line("handed in: " + std::to_string(handed_in) +
                    ", cancelled: " + std::to_string(cancelled));
  if (cancelled != 200 && cancelled != 410) {
    throw cannot_run("the cancelling has no answer");
  }
  // After the late write: contactMs, then cancel_ms and stopTimeoutMs.
  pause_for(ms(15000));
  auto seconds =
      std::chrono::duration<double>(steady::now() - acknowledged).count();
  int running = scene.runners.running(id);
  scene.record.line("tasks at work " + std::to_string(seconds) +
                    " s after the cancelling was acknowledged: " +
                    std::to_string(running));
  if (running > 0) {
    scene.record.broken("UNASKED " + id + " is at work though cancelled");
  }
  scene.state("/sync/", id);
}

/// A runner loses power and starts again at once, under its id and at another
/// port.
void returned_elsewhere(world& scene) {
  scene.add_runners(7, "parnu-a");
  scene.add_runners(1, "parnu-a", "b");
  auto chosen = world::runner(8);
  scene.start_daemons();
  json plain = world::step(4);
  json special = world::step(2);
  special["requiredLabels"] = "b";
  std::vector<std::string> ids;
  auto hand_in = [&](const json& step) {
    auto id = scene.new_id();
    scene.submit("/quote/", id, {{"taskSpec", "800+0"}, {"steps", {step}}});
    ids.push_back(id);
  };
  for (int n = 0; n < 6; ++n) {
    hand_in(n % 3 == 0 ? special : plain);
    pause_for(ms(400));
  }
  if (scene.trouble) {
    scene.runners.power_off(chosen);
  }
  pause_for(ms(500));
  if (scene.trouble) {
    scene.runners.power_on(chosen, true);
  }
  // Work for the returned runner at first, and again after a pause that is
  // longer than its lease.
  for (int n = 0; n < 32; ++n) {
    bool needs_it = (n < 9 && n % 3 == 0) || n >= 28;
    hand_in(needs_it ? special : plain);
    pause_for(ms(500));
  }
  scene.record.line("end of the traffic");
  pause_for(ms(14000));
  std::set<std::string> waiting;
  for (const auto& id : ids) {
    if (scene.state("/quote/", id) != "completed") {
      waiting.insert(id);
    }
  }
  std::set<std::string> idle = waiting;
  for (int n = 0; n < 32 && !idle.empty(); ++n) {
    std::erase_if(idle, [&](const auto& id) {
      return scene.runners.running(id) > 0;
    });
    pause_for(ms(100));
  }
  scene.record.line(
      "the last hold that reached " + chosen + " came " +
      std::to_string(scene.runners.since_hold(chosen).count()) + " ms ago");
  for (const auto& id : idle) {
    int starts = scene.runners.starts(id);
    auto state = scene.state("/quote/", id);
    scene.record.line(id + " is shown as " + state + ", " +
                      std::to_string(starts) + " starts, nothing at work");
    if (starts == 0 && state != "completed") {
      scene.record.broken("LOST " + id +
                          " was accepted and has never been started");
    }
  }
}

/// An idle runner crashes, starts again under its id, and is cut off soon
/// after, while tasks that last work on it.
void cut_after_return(world& scene) {
  scene.add_runners(8, "parnu-a");
  auto chosen = world::runner(8);
  scene.start_daemons();
  pause_for(ms(8000));
  if (scene.trouble) {
    scene.runners.power_off(chosen);
  }
  pause_for(ms(4000));
  // Fills the other runners for 5.4 s.
  json sheet = {{"count", 9}, {"cpu", 3500}, {"memMb", 6400},
                {"estRuntimeMs", 5400}};
  for (int n = 0; n < 7; ++n) {
    scene.submit("/sheet/", scene.new_id(),
                 {{"taskSpec", "5400+0"}, {"steps", {sheet}}});
  }
  pause_for(ms(400));
  if (scene.trouble) {
    scene.runners.power_on(chosen, false);
  }
  auto id = scene.new_id();
  json step = {{"count", 3},           {"cpu", 6400}, {"memMb", 13000},
               {"estRuntimeMs", 500}, {"perpetual", true}};
  scene.submit("/sync/", id, {{"taskSpec", "lasts"}, {"steps", {step}}});
  if (!wait_until(ms(5000),
                  [&] { return scene.runners.running(id) == 3; })) {
    throw cannot_run("the tasks do not start");
  }
  if (scene.trouble && scene.runners.running_on(chosen, id) == 0) {
    throw cannot_run("nothing starts on the runner that is back");
  }
  pause_for(ms(300));
  if (scene.trouble) {
    scene.runners.set_cut(chosen, true);
  }
  pause_for(ms(5500));
  if (scene.trouble) {
    scene.runners.set_cut(chosen, false);
  }
  pause_for(ms(4000));
  scene.call(scene.next_daemon(), "DELETE", "/sync/" + id, "");
  pause_for(ms(1000));
}

/// The only runner with accelerators fails what it starts for a while.
void failed_once(world& scene) {
  scene.add_runners(11, "parnu-a");
  scene.add_runners(1, "parnu-a", "a", 4);
  auto chosen = world::runner(12);
  scene.start_daemons();
  json lasting = {{"count", 1}, {"cpu", 6400},         {"memMb", 13000},
                  {"gpu", 1},   {"estRuntimeMs", 500}, {"perpetual", true}};
  json finite = {{"count", 1}, {"cpu", 2800}, {"memMb", 5600},
                 {"gpu", 1},   {"estRuntimeMs", 800}};
  auto sync = scene.new_id();
  auto quote = scene.new_id();
  if (scene.trouble) {
    scene.runners.set_failing(chosen, true);
  }
  scene.submit("/sync/", sync, {{"taskSpec", "lasts"}, {"steps", {lasting}}});
  scene.submit("/quote/", quote, {{"taskSpec", "800+0"}, {"steps", {finite}}});
  pause_for(ms(1000));
  if (scene.trouble) {
    scene.runners.set_failing(chosen, false);
  }
  // Other work goes on, also on this runner.
  std::vector<std::string> others;
  for (int n = 0; n < 20; ++n) {
    others.push_back(scene.new_id());
    scene.submit("/quote/", others.back(),
                 {{"taskSpec", "800+0"},
                  {"steps", {n % 4 == 0 ? finite : world::step(4)}}});
    pause_for(ms(500));
  }
  scene.record.line("end of the traffic");
  pause_for(ms(14000));
  int completed = 0;
  for (const auto& id : others) {
    completed += scene.state("/quote/", id) == "completed" ? 1 : 0;
  }
  scene.record.line(std::to_string(completed) + " of " +
                    std::to_string(others.size()) +
                    " other submissions are completed");
  bool sync_idle = true;
  bool quote_idle = true;
  for (int n = 0; n < 32; ++n) {
    sync_idle = sync_idle && scene.runners.running(sync) == 0;
    quote_idle = quote_idle && scene.runners.running(quote) == 0;
    pause_for(ms(100));
  }
  auto sync_state = scene.state("/sync/", sync);
  auto quote_state = scene.state("/quote/", quote);
  if (sync_idle && sync_state == "running") {
    scene.record.broken("LOST " + sync + " lasts and has nothing at work, " +
                        std::to_string(scene.runners.starts(sync)) +
                        " starts in all");
  }
  if (quote_idle && quote_state == "running") {
    scene.record.broken("LOST " + quote + " has nothing at work, " +
                        std::to_string(scene.runners.starts(quote)) +
                        " starts in all");
  }
  scene.call(scene.next_daemon(), "DELETE", "/sync/" + sync, "");
}

const std::map<std::string, std::function<void(world&)>> cases = {
    {"ends-in-outage", ends_in_outage},
    {"failed-once", failed_once},
    {"gang-behind-cut", gang_behind_cut},
    {"cancelled-but-run", cancelled_but_run},
    {"returned-elsewhere", returned_elsewhere},
    {"cut-after-return", cut_after_return},
};

int run_case(const std::string& name, const std::string& record) {
  const char* logs = std::getenv("REVIEW_LOGS");
  int result = 2;
  {
    std::unique_ptr<world> scene;
    try {
      scene = std::make_unique<world>(record, logs == nullptr ? "" : logs);
      cases.at(name)(*scene);
      result = scene->record.broken_rules() > 0 ? 1 : 0;
      scene->record.line("rules broken: " +
                         std::to_string(scene->record.broken_rules()));
    } catch (const std::exception& error) {
      std::cerr << "the case could not run: " << error.what() << "\n";
      if (scene != nullptr) {
        scene->record.line(std::string("could not run: ") + error.what());
      }
    }
    // Closes the daemons; the threads of the stand-ins end with the process.
    if (scene != nullptr) {
      scene->finish();
    }
    (void)scene.release();
  }
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: cases NAME RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  int result = review::run_case(argv[1], argv[2]);
  std::cout.flush();
  _exit(result);
}
