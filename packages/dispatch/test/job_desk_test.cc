#include "dispatch/job_desk.h"

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>

#include "batch/job_records.h"
#include "fake_store.h"

namespace vanillaladder::dispatch {
namespace {

using namespace std::chrono_literals;

struct fixture {
  http::event_loop loop;
  fake_store store{loop};
  int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
  runtime::event_log log{sink, "a"};
  runtime::metrics metrics;
  reporter report{log, metrics};
  batch::job_directory jobs;
  config_view config;
  queue_route queue{"q", "host", "/q/", {}};
  std::optional<bool> touch;
  topic_follower follower{
      loop,
      store,
      {"jobs", 1ms, 1ms},
      {[this](auto key, auto value) { jobs.apply(key, value); },
       {},
       [this](bool in_touch) {
         touch = in_touch;
         loop.stop();
       }},
      report};
  job_desk desk{store,
                jobs,
                config,
                follower,
                [this](auto key, auto value) { jobs.apply(key, value); },
                report};

  fixture() {
    follower.start();
    run_until([this] { return follower.loaded(); });
  }
  ~fixture() { close(sink); }
  fixture(const fixture&) = delete;
  fixture& operator=(const fixture&) = delete;

  void run_until(const std::function<bool()>& reached) {
    while (!reached()) {
      loop.call_after(1ms, [this] { loop.stop(); });
      loop.run();
    }
  }

  submit_result submit(const std::string& id) {
    batch::job_spec spec;
    spec.id = id;
    std::optional<submit_result> result;
    desk.submit(queue, spec, [&](submit_result made) { result = made; });
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

// Guards against answers that leave open whether a job will run while the
// store is known to be away; callers can't simply come back after those.
TEST_CASE("submissions are refused at once while the store is away") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.away = true;
  f.run_until([&] { return f.touch == false; });
  auto before = f.store.appends;
  REQUIRE(f.submit("b") == submit_result::refused);
  // The refusal says that the job won't run.
  REQUIRE(f.store.appends == before);
  // What is stored already stays accepted.
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.away = false;
  f.run_until([&] { return f.touch == true; });
  REQUIRE(f.submit("b") == submit_result::accepted);
}

}  // namespace
}  // namespace vanillaladder::dispatch
