#include "dispatch/job_service.h"

#include <catch2/catch.hpp>
#include <optional>

#include "batch/job_records.h"
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
    spec.steps = {{.count = 1}};
    spec.id = id;
    std::optional<submit_result> result;
    service.submit(queue, spec, [&](submit_result made) { result = made; });
    run_until([&] { return result.has_value(); });
    return *result;
  }
};

// Guards against an append without an answer while the store is known to be
// unreachable, and against a refusal, which would mean that the job never runs:
// an earlier attempt at another daemon may still be stored.
TEST_CASE("nothing is sent or denied while the store is unreachable") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.unreachable = true;
  f.run_until([&] { return f.store_reachable == false; });
  auto before = f.store.appends;
  REQUIRE(f.submit("b") == submit_result::not_stored);
  REQUIRE(f.store.appends == before);
  // Jobs that are stored already stay accepted.
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.unreachable = false;
  f.run_until([&] { return f.store_reachable == true; });
  REQUIRE(f.submit("b") == submit_result::accepted);
}

// Guards against a job that runs after its caller was told that there is none:
// its append was late, and the cancel came before it.
TEST_CASE("a submission without a known outcome can be cancelled") {
  fixture f;
  auto cancel = [&](const std::string& id) {
    std::optional<cancel_result> result;
    f.service.cancel(id, [&](cancel_result made) { result = made; });
    f.run_until([&] { return result.has_value(); });
    return *result;
  };
  f.store.unreachable = true;
  REQUIRE(f.submit("a") == submit_result::unknown);
  f.store.unreachable = false;
  REQUIRE(cancel("a") == cancel_result::cancelled);
  auto before = f.store.appends;
  REQUIRE(cancel("b") == cancel_result::no_such_job);
  // It holds if a submission at another daemon takes effect later, but no job
  // is shown that nobody has submitted.
  REQUIRE(f.store.appends == before + 1);
  REQUIRE(f.jobs.find("b")->cancelled);
  std::optional<job_answer> shown;
  f.service.show("b", [&](job_answer answer) { shown = answer; });
  f.run_until([&] { return shown.has_value(); });
  REQUIRE(shown->outcome == job_answer::kind::no_such_job);
  REQUIRE(cancel("b") == cancel_result::no_such_job);
  REQUIRE(f.store.appends == before + 1);
  batch::job_spec spec;
  spec.steps = {{.count = 1}};
  spec.id = "a";
  f.store.topic.push_back({"j/a", batch::encode(spec)});
  f.run_until([&] {
    const auto* found = f.jobs.find("a");
    return found != nullptr && found->spec != nullptr;
  });
  REQUIRE(f.jobs.find("a")->cancelled);
  REQUIRE(f.jobs.find("a")->visible_state() == batch::job_state::cancelled);
}

// Guards against a job that runs although its cancel was acknowledged: the
// cancel reached another daemon before the append of the submission took
// effect.
TEST_CASE("a submission that comes after its cancel is cancelled") {
  fixture f;
  std::optional<cancel_result> result;
  f.service.cancel("a", [&](cancel_result made) { result = made; });
  f.run_until([&] { return result.has_value(); });
  REQUIRE(f.submit("a") == submit_result::accepted);
  REQUIRE(f.jobs.find("a")->visible_state() == batch::job_state::cancelled);
}

TEST_CASE("a cancel that can't be stored is not acknowledged") {
  fixture f;
  f.store.unreachable = true;
  std::optional<cancel_result> result;
  f.service.cancel("a", [&](cancel_result made) { result = made; });
  f.run_until([&] { return result.has_value(); });
  REQUIRE(*result == cancel_result::unavailable);
}

// Guards against a job that is accepted, but whose record the store refuses,
// together with the submissions in the same append.
TEST_CASE("a job whose record exceeds the store's limit is refused") {
  fixture f;
  batch::job_spec spec;
  spec.id = "a";
  spec.steps.assign(20'000, {.count = 1, .required_resources = {1000, 1, 0}});
  std::optional<submit_result> result;
  auto before = f.store.appends;
  f.service.submit(f.queue, spec, [&](submit_result made) { result = made; });
  REQUIRE(result == submit_result::too_large);
  REQUIRE(f.store.appends == before);
}

// Guards against jobs that together fill the memory of each daemon.
TEST_CASE("jobs beyond the memory for jobs are refused") {
  fixture f;
  int accepted = 0;
  submit_result last = submit_result::accepted;
  while (last == submit_result::accepted) {
    REQUIRE(accepted < 100);
    batch::job_spec spec;
    spec.id = "a" + std::to_string(accepted++);
    spec.steps = {{.count = batch::max_tasks_per_job}};
    std::optional<submit_result> result;
    f.service.submit(f.queue, spec, [&](submit_result made) { result = made; });
    f.run_until([&] { return result.has_value(); });
    last = *result;
  }
  REQUIRE(last == submit_result::no_memory);
  REQUIRE(f.jobs.memory_bytes() <= job_admission::max_budget);
}

// Guards against jobs that fill the memory before the store has answered: each
// is accepted as if the others were not on their way.
TEST_CASE("jobs that are about to be stored count against the memory") {
  fixture f;
  int not_stored = 0;
  int answers = 0;
  for (int n = 0; n < 100; ++n) {
    batch::job_spec spec;
    spec.id = "a" + std::to_string(n);
    spec.steps = {{.count = batch::max_tasks_per_job / 2}};
    f.service.submit(f.queue, spec, [&](submit_result made) {
      ++answers;
      not_stored += made == submit_result::no_memory ? 1 : 0;
    });
  }
  f.run_until([&] { return answers == 100; });
  CHECK(not_stored > 90);
  CHECK(f.jobs.memory_bytes() <= job_admission::max_budget);
}

// The same for jobs that other daemons have accepted since the last read.
TEST_CASE("a large job waits for a read of what other daemons accepted") {
  fixture f;
  auto elapse = [&](std::chrono::milliseconds time) {
    bool elapsed = false;
    f.loop.call_after(time, [&] { elapsed = true; });
    f.run_until([&] { return elapsed; });
  };
  // The read that waits for records is not answered any longer.
  f.store.unresponsive = true;
  elapse(2 * job_service::max_shown_age);
  f.store.unresponsive = false;
  batch::job_spec spec;
  spec.steps = {{.count = batch::max_tasks_per_job}};
  for (const char* id : {"b", "c"}) {
    spec.id = id;
    f.store.topic.push_back({"j/" + spec.id, batch::encode(spec)});
  }
  spec.id = "a";
  std::optional<submit_result> result;
  f.service.submit(f.queue, spec, [&](submit_result made) { result = made; });
  f.run_until([&] { return result.has_value(); });
  CHECK(result == submit_result::no_memory);
  CHECK(f.jobs.find("b") != nullptr);
}

// Guards against cancellations of jobs that nobody has submitted: they are kept
// in case that a submission takes effect later.
TEST_CASE("cancellations of unknown jobs are bounded") {
  fixture f;
  batch::job_spec spec;
  spec.steps = {{.count = batch::max_tasks_per_job}};
  for (int n = 0; n < 4; ++n) {
    f.jobs.apply("j/" + std::to_string(n), batch::encode(spec));
  }
  REQUIRE(f.jobs.memory_bytes() > job_admission::max_budget);
  auto cancel = [&](const std::string& id) {
    std::optional<cancel_result> result;
    f.service.cancel(id, [&](cancel_result made) { result = made; });
    f.run_until([&] { return result.has_value(); });
    return *result;
  };
  auto before = f.store.appends;
  CHECK(cancel("unknown") == cancel_result::unavailable);
  CHECK(f.store.appends == before);
  // A job that is known can always be cancelled.
  CHECK(cancel("0") == cancel_result::cancelled);
}

// Guards against a wrong count for callers while the store is away.
TEST_CASE("pending jobs are counted on a current copy or not at all") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  auto count = [&] {
    std::optional<std::optional<int>> answer;
    f.service.pending("q", [&](std::optional<int> made) { answer = made; });
    f.run_until([&] { return answer.has_value(); });
    return *answer;
  };
  REQUIRE(count() == 1);
  f.store.unresponsive = true;
  bool elapsed = false;
  f.loop.call_after(
      job_service::max_pending_age + std::chrono::milliseconds(50),
      [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(count() == std::nullopt);
  f.store.unresponsive = false;
}

// Guards against an append of a job that may be stored already.
TEST_CASE("nothing is sent again after an answer was lost") {
  fixture f;
  f.store.drops_answers = true;
  batch::job_spec spec;
  spec.steps = {{.count = 1}};
  spec.id = "a";
  f.service.submit(f.queue, spec, [](submit_result) {});
  auto before = f.store.appends;
  REQUIRE(before == 1);
  f.store.unreachable = true;
  f.run_until([&] { return f.store_reachable == false; });
  REQUIRE(f.submit("a") == submit_result::not_stored);
  REQUIRE(f.submit("b") == submit_result::not_stored);
  REQUIRE(f.store.appends == before);
}

// Other daemons' changes reach the copy with a delay; a caller that asks sees
// them at once.
TEST_CASE(
    "the state of an unfinished job is read before an old copy is shown") {
  fixture f;
  f.follower.set_read_pause(std::chrono::seconds(60));
  REQUIRE(f.submit("a") == submit_result::accepted);
  bool elapsed = false;
  f.loop.call_after(2 * job_service::max_shown_age, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  f.store.topic.push_back(
      {to_string(batch::job_record_key{batch::record_kind::state, "a"}),
       encode(batch::job_status{batch::job_state::completed, 1, "q"})});
  REQUIRE(f.jobs.find("a")->visible_state() == batch::job_state::queued);
  std::optional<job_answer> answer;
  f.service.show("a", [&](job_answer result) { answer = result; });
  f.run_until([&] { return answer.has_value(); });
  REQUIRE(answer->state == batch::job_state::completed);
}

TEST_CASE("the copy is shown while the store does not answer") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.unresponsive = true;
  bool elapsed = false;
  f.loop.call_after(2 * job_service::max_shown_age, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  std::optional<job_answer> answer;
  f.service.show("a", [&](job_answer result) { answer = result; });
  f.run_until([&] { return answer.has_value(); });
  REQUIRE(answer->outcome == job_answer::kind::known);
  REQUIRE(answer->age >= 2 * job_service::max_shown_age);
}

// Reads of an unresponsive store report no error until their wait is over.
TEST_CASE("nothing is sent soon after the store stops answering") {
  fixture f;
  REQUIRE(f.submit("a") == submit_result::accepted);
  f.store.unresponsive = true;
  batch::job_spec spec;
  spec.steps = {{.count = 1}};
  spec.id = "b";
  f.service.submit(f.queue, spec, [](submit_result) {});
  REQUIRE(f.service.store_responsive());
  f.run_until([&] { return !f.service.store_responsive(); });
  auto before = f.store.appends;
  REQUIRE(f.submit("c") == submit_result::not_stored);
  REQUIRE(f.store.appends == before);
}

// Guards against callers that spend all their attempts at once, within an
// outage that is about to end.
TEST_CASE("a submission waits for a store that is about to answer again") {
  fixture f;
  f.store.unreachable = true;
  f.run_until([&] { return f.store_reachable == false; });
  auto before = f.store.appends;
  batch::job_spec spec;
  spec.steps = {{.count = 1}};
  spec.id = "a";
  std::optional<submit_result> result;
  f.service.submit(f.queue, spec, [&](submit_result made) { result = made; });
  bool elapsed = false;
  f.loop.call_after(job_service::max_store_wait / 4, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE_FALSE(result.has_value());
  REQUIRE(f.store.appends == before);
  f.store.unreachable = false;
  f.run_until([&] { return result.has_value(); });
  REQUIRE(*result == submit_result::accepted);
  REQUIRE(f.store.appends == before + 1);
}

// Guards against refusals because of one lost answer while the store answers
// other calls.
TEST_CASE("one lost answer to an append does not cause refusals") {
  fixture f;
  f.store.drops_answers = true;
  batch::job_spec spec;
  spec.steps = {{.count = 1}};
  spec.id = "a";
  f.service.submit(f.queue, spec, [](submit_result) {});
  bool elapsed = false;
  f.loop.call_after(2 * job_service::silence_limit, [&] { elapsed = true; });
  f.run_until([&] { return elapsed; });
  REQUIRE(f.service.store_responsive());
}

}  // namespace
}  // namespace vanillaladder::dispatch
