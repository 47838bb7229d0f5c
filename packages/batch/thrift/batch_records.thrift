// Values of the keyed records that describe batch jobs in the store.
namespace cpp vanillaladder.batch.wire

struct step {
  1: i32 count
  2: i64 cpu_millis
  3: i64 memory_mib
  4: i64 accelerators
  5: i64 estimate_ms
  6: list<i32> after
  7: bool checkpoints
  8: bool gang
  9: bool same_rack
  10: bool speculative
  11: bool lasting
  12: bool fills
  13: string required_label
  14: string data_rack
  15: string image
  16: i32 per_worker_limit
  17: i32 max_away
  18: i64 target_ms
}

struct queue_policy {
  1: string service_name
  2: i32 priority
  3: i32 max_attempts
  4: double stretch
  5: i64 target_latency_ms
}

struct job {
  1: string queue
  2: string payload
  3: list<step> steps
  4: i32 repeat_count
  5: i64 first_run_unix_ms
  6: i64 interval_ms
  7: i64 accepted_unix_ms
  8: queue_policy policy
  9: optional string organisation
}

struct run {
  1: i32 number
  2: string worker
  3: i64 life
  4: optional bool settled
}

struct task {
  1: i32 index
  2: bool done
  3: i32 last_run
  4: i32 failures
  5: string checkpoint
  6: list<run> runs
}

struct step_progress {
  1: list<task> tasks
  2: optional i64 stored_unix_ms
}

struct job_state {
  1: i32 state
  2: i64 since_unix_ms
  3: string queue
}
