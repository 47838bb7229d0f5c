#include "dispatch/job_service.h"

#include <catch2/catch.hpp>
#include <optional>

#include "daemon_fixture.h"

namespace vanillaladder::dispatch {
namespace {

struct fixture : daemon_fixture {
  queue_route queue{"q", "host", "/q/", {}};
  job_service service{
      loop,     store,
      jobs,     config,
      follower, [this](auto key, auto value) { jobs.apply(key, value); },
      report};

  submit_result submit(const std::string& id) {
    batch::job_spec spec;
    spec.id = id;
    std::optional<submit_result> result;
    service.submit(queue, spec, [&](submit_result made) { result = made; });
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
  f.run_until([&] { return f.store_reachable == false; });
  auto before = f.store.appends;
  REQUIRE(f.submit("b") == submit_result::refused);
  // The refusal says that the job won't run.
  REQUIRE(f.store.appends == before);
  // What is stored already stays accepted.
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.away = false;
  f.run_until([&] { return f.store_reachable == true; });
  REQUIRE(f.submit("b") == submit_result::accepted);
}

// A silent store shows no error for as long as a read may wait.
TEST_CASE("submissions are refused soon after the store falls silent") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.silent = true;
  batch::job_spec spec;
  spec.id = "b";
  f.service.submit(f.queue, spec, [](submit_result) {});
  REQUIRE(f.service.store_responsive());
  f.run_until([&] { return !f.service.store_responsive(); });
  auto before = f.store.appends;
  REQUIRE(f.submit("c") == submit_result::refused);
  REQUIRE(f.store.appends == before);
}

// A lost answer says nothing of a store that answers otherwise.
TEST_CASE("a lost answer to an append alone refuses nobody") {
  fixture f;
  f.store.loses_answers = true;
  batch::job_spec spec;
  spec.id = "a";
  f.service.submit(f.queue, spec, [](submit_result) {});
  bool passed = false;
  f.loop.call_after(2 * job_service::silence_limit, [&] { passed = true; });
  f.run_until([&] { return passed; });
  REQUIRE(f.service.store_responsive());
}

}  // namespace
}  // namespace vanillaladder::dispatch
