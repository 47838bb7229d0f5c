// Records of the control and shard streams. A field is optional if its absence
// has a meaning. A new kind of record is a new optional field of control_record
// or shard_record.
namespace cpp vanillaladder.coordination.wire

struct record_id {
  1: string instance
  2: i64 incarnation
  3: i64 sequence
}

struct writer_history {
  1: i64 incarnation
  2: i64 highest
  3: list<i64> missing
  4: i64 last_offset
}

struct version_created {
  1: i64 version
  2: i64 base_version
  3: i64 base_revision
  4: string author
  5: map<string, string> set_keys
  6: list<string> remove_keys
}

struct patch_published {
  1: string id
  2: string author
  3: string branch
  4: i64 version
  5: i64 seen_revision
  6: map<string, string> set_keys
  7: list<string> remove_keys
}

struct member_info {
  1: string id
  2: i64 incarnation
  3: string address
  4: i32 peer_port
  5: i32 operator_port
  6: string domain
}

struct member_left {
  1: string instance
  2: i64 incarnation
  3: i32 reason
}

struct key_entry {
  1: optional string value
  2: i64 revision
  3: string author
  4: string patch
}

struct version_entry {
  1: version_created created
  2: i64 created_at
  3: map<string, string> keys
  4: i64 revision
}

struct patch_entry {
  1: i32 verdict
  2: i64 at
  3: i64 version
  4: i64 revision
}

struct member_key {
  1: string instance
  2: i64 incarnation
}

struct membership_change {
  1: i64 at
  2: list<member_key> members
  3: optional member_left left
}

struct control_snapshot {
  1: i64 covers
  2: i64 version
  3: i64 revision
  4: map<string, key_entry> entries
  5: map<i64, version_entry> versions
  6: map<string, patch_entry> patches
  7: map<string, member_info> members
  8: i64 view
  9: list<membership_change> changes
  10: map<string, writer_history> writers
}

struct control_record {
  1: record_id id
  2: optional version_created version
  3: optional patch_published patch
  4: optional member_info joined
  5: optional member_left left
  6: optional control_snapshot snapshot
}

struct owner_claimed {
  1: string owner
  2: i64 incarnation
}

struct owner_released {
}

// Progress of a task when its job moves to another shard.
struct task_progress {
  1: i64 task
  2: i32 state
  3: i64 attempt
  4: optional string checkpoint
}

struct job_submitted {
  1: string id
  2: string team
  3: string class_name
  4: i64 tasks
  5: i64 cpu_millis
  6: i64 memory_mib
  7: i64 accelerators
  8: string command
  9: i64 expected_run_ms
  10: optional i32 home
  11: optional i64 moves
  12: optional list<task_progress> progress
}

struct job_delegated {
  1: i64 job
  2: i32 to
  3: optional bool confirmed
}

// Flat list of job number, task index, worker number and attempt for each start,
// which avoids the field headers of a struct per start.
struct tasks_started {
  1: list<i64> starts
}

struct task_end {
  1: i64 job
  2: i64 task
  3: i64 attempt
  4: i32 outcome
  5: optional string checkpoint
}

struct tasks_ended {
  1: list<task_end> ends
}

struct key_claimed {
  1: i64 key
  2: string instance
  3: i64 incarnation
  4: i64 nonce
}

struct key_finished {
  1: i64 key
  2: i64 nonce
  3: i32 outcome
  4: i32 status
}

struct task_entry {
  1: i32 state
  2: i64 attempt
  3: i64 worker
  4: optional string checkpoint
}

struct job_entry {
  1: job_submitted job
  2: i64 submitted_at
  3: bool cancelled
  4: optional i32 delegated_to
  5: list<task_entry> tasks
  6: i64 finished
  7: i64 failed
  8: bool ended
}

struct key_claim_entry {
  1: key_claimed claim
  2: i64 claimed_at
  3: optional key_finished finished
}

struct shard_snapshot {
  1: i64 covers
  2: i64 epoch
  3: optional owner_claimed owner
  4: i64 owned_since
  5: i64 next_job
  6: map<i64, job_entry> jobs
  7: list<i64> ended_jobs
  8: list<string> workers
  9: map<i64, key_claim_entry> keys
  10: map<string, writer_history> writers
}

struct shard_record {
  1: record_id id
  2: i64 epoch
  3: optional owner_claimed claimed
  4: optional owner_released released
  5: optional job_submitted submitted
  6: optional job_delegated delegated
  7: optional i64 cancelled_job
  8: optional tasks_started started
  9: optional tasks_ended ended
  10: optional key_claimed key_claim
  11: optional key_finished key_finish
  12: optional i64 keys_claimed_until
  13: optional string worker
  14: optional shard_snapshot snapshot
}
