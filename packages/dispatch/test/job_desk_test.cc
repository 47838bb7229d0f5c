#include "dispatch/job_desk.h"

#include <catch2/catch.hpp>
#include <optional>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

struct fixture : daemon_fixture {
  queue_route queue{"q", "host", "/q/", {}};
  job_desk desk{
      loop,     store,
      jobs,     config,
      follower, [this](auto key, auto value) { jobs.apply(key, value); },
      report};

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
