#include <string>
#include <vector>

#include "batch/job_records.h"
#include "check_property.h"

namespace vanillaladder::batch {
namespace {

using testing::check_property;
using testing::damage_bytes;
using testing::random_below;
using testing::random_bytes;
using testing::random_element;

constexpr std::uint64_t seed = 28;
/// Cases of each property; all of them take a few seconds with sanitizers.
constexpr int cases = 3000;
/// The length of a key in the store is one byte.
constexpr std::size_t max_key_bytes = 255;
constexpr const char* job = "5c0e7a21d94b36f8";

int random_int(int limit) {
  return static_cast<int>(random_below(static_cast<std::size_t>(limit)));
}

/// @return one of the numbers at the edges of the types, or a small one.
std::int64_t odd_number() {
  static const std::vector<std::int64_t> numbers = {
      -1,
      0,
      1,
      50'001,
      2147483647,
      -2147483648,
      1'000'000'001,
      max_unix_time + 1,
      std::numeric_limits<std::int64_t>::max(),
      std::numeric_limits<std::int64_t>::min()};
  return random_element(numbers);
}

job_spec random_job() {
  job_spec spec;
  spec.id = job;
  spec.queue = random_bytes();
  spec.payload = random_bytes();
  for (int n = 0, end = 1 + random_int(4); n < end; ++n) {
    step_spec step;
    step.count = 1 + random_int(10'000);
    step.required_resources = {random_int(100'000), random_int(100'000),
                               random_int(100)};
    step.estimated_run_time = milliseconds(random_int(1'000'000));
    step.response_time_target = milliseconds(random_int(1'000'000));
    step.checkpoints = random_int(2) == 1;
    step.gang = random_int(2) == 1;
    step.same_rack = random_int(2) == 1;
    step.speculative = random_int(2) == 1;
    step.long_running = random_int(2) == 1;
    step.best_effort = random_int(2) == 1;
    step.required_label = random_bytes();
    step.data_rack = random_bytes();
    step.image = random_bytes();
    step.per_worker_limit = random_int(10);
    step.max_unavailable = random_int(10);
    if (n > 0) {
      step.depends_on = {random_int(n)};
    }
    spec.steps.push_back(std::move(step));
  }
  spec.repeat_count = random_int(100);
  spec.first_run_at = random_int(1'000'000'000);
  spec.interval = milliseconds(random_int(1'000'000));
  spec.accepted_at = random_int(1'000'000'000);
  spec.policy = {random_bytes(), random_int(10), random_int(10),
                 random_int(100) / 4.0, milliseconds(random_int(100'000))};
  return spec;
}

/// Sets one number of the job to one that no submission has.
void set_odd_number(job_spec& spec) {
  auto value = odd_number();
  auto small = static_cast<int>(value);
  auto& step = spec.steps[random_below(spec.steps.size())];
  switch (random_below(11)) {
    case 0:
      step.count = small;
      break;
    case 1:
      step.required_resources.cpu_millis = value;
      break;
    case 2:
      step.required_resources.memory_mib = value;
      break;
    case 3:
      step.required_resources.accelerators = value;
      break;
    case 4:
      step.estimated_run_time = milliseconds(value);
      break;
    case 5:
      step.response_time_target = milliseconds(value);
      break;
    case 6:
      step.depends_on = {small};
      break;
    case 7:
      spec.repeat_count = small;
      break;
    case 8:
      spec.first_run_at = value;
      break;
    case 9:
      spec.interval = milliseconds(value);
      break;
    default:
      spec.steps.clear();
  }
}

std::vector<task_record> random_tasks() {
  std::vector<task_record> tasks;
  for (auto left = random_below(5); left > 0; --left) {
    task_record task{random_int(50'000), random_int(2) == 1, random_int(100),
                     random_int(100),    random_bytes(),     {}};
    for (auto runs = random_below(3); runs > 0; --runs) {
      task.runs.push_back({random_int(100), "i-1", random_int(1'000'000'000)});
    }
    tasks.push_back(std::move(task));
  }
  return tasks;
}

/// Sets one number of the tasks to one that no leader writes.
void set_odd_number(std::vector<task_record>& tasks) {
  if (tasks.empty()) {
    tasks.emplace_back();
  }
  auto& task = tasks[random_below(tasks.size())];
  auto value = odd_number();
  auto small = static_cast<int>(value);
  switch (random_below(5)) {
    case 0:
      task.index = small;
      break;
    case 1:
      task.last_run = small;
      break;
    case 2:
      task.failures = small;
      break;
    case 3:
      task.runs.push_back({small, "i-1", 1});
      break;
    default:
      task.runs.push_back({1, "i-1", value});
  }
}

std::string cut(std::string_view bytes) {
  return std::string(bytes.substr(0, random_below(bytes.size())));
}

TEST_CASE("any job is unchanged by its record, and no part of it is a job") {
  check_property(
      "values", seed,
      [] {
        auto spec = random_job();
        auto bytes = encode(spec);
        auto read = decode_job(job, bytes);
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == spec);
        RC_ASSERT(!decode_job(job, cut(bytes)).ok());
      },
      cases / 5);
}

// Guards against a job of another writer that fills the memory of each leader:
// the bounds of a submission hold for what a leader loads.
TEST_CASE("an accepted job lies within the bounds of a submission") {
  check_property(
      "bounds", seed,
      [] {
        auto spec = random_job();
        auto kind = random_below(10);
        if (kind > 3) {
          set_odd_number(spec);
        }
        auto bytes = encode(spec);
        if (kind < 4) {
          bytes = kind == 0 ? random_bytes() : damage_bytes(std::move(bytes));
        }
        auto read = decode_job(job, bytes);
        if (read.ok()) {
          RC_ASSERT(find_problem(*read) == std::string());
        }
      },
      cases);
}

TEST_CASE("any progress is unchanged by its record, and no part of it is one") {
  check_property(
      "values", seed,
      [] {
        auto tasks = random_tasks();
        auto bytes = encode(tasks);
        auto read = decode_progress(bytes);
        RC_ASSERT(read.ok());
        RC_ASSERT(read->tasks == tasks);
        RC_ASSERT(!decode_progress(cut(bytes)).ok());
      },
      cases / 5);
}

// Guards against progress of another writer with indices of no task, and with
// a run number after which no further run can be numbered.
TEST_CASE("accepted progress lies within its bounds") {
  check_property(
      "bounds", seed,
      [] {
        auto tasks = random_tasks();
        auto kind = random_below(10);
        if (kind > 3) {
          set_odd_number(tasks);
        }
        auto bytes = encode(tasks);
        if (kind < 4) {
          bytes = kind == 0 ? random_bytes() : damage_bytes(std::move(bytes));
        }
        auto read = decode_progress(bytes);
        if (!read.ok()) {
          return;
        }
        for (const auto& task : read->tasks) {
          RC_ASSERT(task.index >= 0);
          RC_ASSERT(task.index < max_tasks_per_job);
          RC_ASSERT(task.last_run >= 0);
          RC_ASSERT(task.last_run < std::numeric_limits<int>::max());
          RC_ASSERT(task.failures >= 0);
          RC_ASSERT(task.failures < std::numeric_limits<int>::max());
          for (const auto& run : task.runs) {
            RC_ASSERT(run.number >= 0);
            RC_ASSERT(run.incarnation >= 0);
            RC_ASSERT(run.incarnation <= max_unix_time);
          }
        }
      },
      cases);
}

// Guards against a state that no job has.
TEST_CASE("an accepted status has a known state") {
  check_property(
      "status", seed,
      [] {
        job_status status{static_cast<job_state>(random_below(5)),
                          random_int(1'000'000'000), random_bytes()};
        auto bytes = encode(status);
        auto read = decode_status(bytes);
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == status);
        RC_ASSERT(!decode_status(cut(bytes)).ok());
        auto other = decode_status(random_below(10) == 0
                                       ? random_bytes()
                                       : damage_bytes(std::move(bytes)));
        if (other.ok()) {
          RC_ASSERT(name_of(other->state) != "unknown");
        }
        status.state = static_cast<job_state>(5 + random_below(1000));
        RC_ASSERT(!decode_status(encode(status)).ok());
      },
      cases);
}

std::string random_number_text() {
  static const std::vector<std::string> texts = {"0",
                                                 "7",
                                                 "49999",
                                                 "2147483647",
                                                 "-1",
                                                 "-0",
                                                 "+1",
                                                 " 1",
                                                 "1 ",
                                                 "01",
                                                 "",
                                                 "1\n",
                                                 "x",
                                                 "1.5",
                                                 "1e3",
                                                 "2147483648",
                                                 "99999999999999999999",
                                                 std::string("1\0", 2)};
  return random_element(texts);
}

// Guards against two keys that name the same step or task: a leader removes a
// record under the key that it writes, not under the one that it read.
TEST_CASE("an accepted key is the only text of its step or task") {
  check_property(
      "keys", seed,
      [] {
        auto id = random_below(4) == 0 ? random_bytes() : job;
        auto text =
            id + "/" + random_number_text() + "/" + random_number_text();
        if (random_below(4) == 0) {
          text = damage_bytes(std::move(text));
        }
        if (auto key = parse_step_key(text)) {
          RC_ASSERT(to_string(*key) == text);
          RC_ASSERT(key->occurrence >= 0);
          RC_ASSERT(key->step >= 0);
        }
        text = id + "." + random_number_text() + "." + random_number_text() +
               "." + random_number_text();
        if (auto key = parse_task_key(text)) {
          RC_ASSERT(to_string(*key) == text);
          RC_ASSERT(key->step.occurrence >= 0);
          RC_ASSERT(key->step.step >= 0);
          RC_ASSERT(key->index >= 0);
        }
      },
      cases);
}

TEST_CASE("any key of a job's record is unchanged by its text") {
  check_property(
      "keys", seed,
      [] {
        static const std::vector<std::string> prefixes = {
            "j/", "c/", "s/", "J/", "j", "/", "", "x/", "j//"};
        auto text = random_element(prefixes) +
                    (random_below(2) == 0 ? random_bytes() : job);
        auto key = parse_job_record_key(text);
        if (key) {
          RC_ASSERT(!key->job.empty());
          RC_ASSERT(to_string(*key) == text);
          RC_ASSERT(text.size() <= max_key_bytes);
        }
        job_record_key valid{random_element(std::vector<record_kind>{
                                 record_kind::job, record_kind::cancellation,
                                 record_kind::state}),
                             job};
        RC_ASSERT(parse_job_record_key(to_string(valid)) == valid);
        step_key step{job, random_int(100'000), random_int(50'000)};
        RC_ASSERT(parse_step_key(to_string(step)) == step);
        task_key task{step, random_int(50'000)};
        RC_ASSERT(parse_task_key(to_string(task)) == task);
      },
      cases);
}

}  // namespace
}  // namespace vanillaladder::batch
