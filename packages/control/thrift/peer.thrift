namespace cpp vanillaladder.control.wire

// Time limits that must be equal on all members for the protocol to be safe.
struct protocol_limits {
  1: i32 fresh_limit_ms
  2: i32 lease_ms
  3: i32 request_timeout_ms
  4: i32 blind_renewal_limit_s
}

struct service_load {
  1: string service_name
  2: i32 free_slots
}

struct shard_load {
  1: i16 shard
  2: i64 free_cpu_millis
  3: i64 free_memory_mib
  4: i64 free_accelerators
  5: i64 largest_cpu_millis
  6: i64 largest_memory_mib
  7: i64 largest_accelerators
}

struct heartbeat_message {
  1: string sender
  2: i64 incarnation
  3: i64 control_offset
  4: bool log_reachable
  5: i64 applied_view
  6: bool within_grant
  7: list<service_load> free_slots
  8: list<shard_load> owned_shards
  9: protocol_limits limits
  10: i64 version
  11: i64 revision
  12: bool fresh
  14: i64 config_since
  13: bool recovered
  15: bool draining
}

struct call_context {
  1: string sender
  2: i64 incarnation
  3: i32 deadline_ms
}

struct log_record {
  1: i64 offset
  2: binary data
}

struct header {
  1: string name
  2: string value
}

struct http_request {
  1: string method
  2: string target
  3: list<header> headers
  4: binary body
}

enum call_outcome {
  DONE = 0
  NOT_RUN = 1
  UNKNOWN = 2
}

struct http_result {
  1: call_outcome outcome
  2: i32 status
  3: list<header> headers
  4: binary body
  5: string reason
}

struct key_claim {
  1: i64 key_hash
  2: i64 digest
  3: string claimant
  4: i64 claimant_incarnation
}

struct key_result {
  1: call_outcome outcome
  2: bool claimed
  3: string recorded_outcome
  4: string reason
}

service peer {
  heartbeat_message heartbeat(1: heartbeat_message message)
  list<log_record> fetch_records(1: call_context context, 2: i64 first, 3: i32 limit)
  void push_records(1: call_context context, 2: list<log_record> records)
  http_result forward_request(1: call_context context, 2: http_request request)
  key_result claim_key(1: call_context context, 2: key_claim claim)
  void finish_key(1: call_context context, 2: key_claim claim, 3: string outcome)
  http_result submit_job(1: call_context context, 2: i16 shard, 3: string key, 4: string body)
  http_result cancel_job(1: call_context context, 2: i16 shard, 3: string key)
  http_result get_job(1: call_context context, 2: i16 shard, 3: string key)
  http_result list_jobs(1: call_context context, 2: i16 shard)
}
