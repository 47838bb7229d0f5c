#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

/// Identifiers and plain data types shared by all packages.
namespace vanillaladder::model {

/// A point on the monotonic clock, passed in by the caller; this package never
/// reads the clock.
using time_point = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

using instance_id = std::string;
using worker_id = std::string;
using backend_id = std::string;
using job_id = std::string;
using team_id = std::string;
using domain_id = std::string;
using class_id = std::string;

/// Position of a record in a log stream.
using offset = std::int64_t;
/// Number of a shard, 0 to `shard_count - 1`.
using shard_id = std::uint16_t;
/// Ownership epoch of a shard; 0 before the first owner.
using epoch = std::uint64_t;
/// Distinguishes successive processes of one instance.
using incarnation = std::uint64_t;

/// Number of shard streams.
inline constexpr shard_id shard_count = 16;
/// Number of shards that hold workers and jobs, starting at shard 0;
/// idempotency keys use all shards. With 50 workers in 4 failure domains, each
/// of 4 shards has about 3 workers per domain, so it can place its jobs
/// elsewhere when a domain is taken out of service. Each of 16 shards would
/// have less than one.
inline constexpr shard_id placement_shard_count = 4;

/// An amount of processor, memory and accelerators.
struct resources {
  std::int64_t cpu_millis = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  auto operator<=>(const resources&) const = default;

  resources& operator+=(const resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }

  resources& operator-=(const resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }

  friend resources operator+(resources a, const resources& b) { return a += b; }
  friend resources operator-(resources a, const resources& b) { return a -= b; }
};

/// @return whether `required` is at most `available` in every dimension.
inline bool fits_in(const resources& required, const resources& available) {
  return required.cpu_millis <= available.cpu_millis &&
         required.memory_mib <= available.memory_mib &&
         required.accelerators <= available.accelerators;
}

/// State of an instance in the platform's instance list.
enum class instance_state { live, leaving };

/// A worker as the instance list describes it.
struct worker_info {
  worker_id id;
  std::string address;
  std::uint16_t port = 0;
  domain_id domain;
  std::string rack;
  resources capacity;
  instance_state state = instance_state::live;

  bool operator==(const worker_info&) const = default;
};

/// A backend server as the instance list describes it.
struct backend_info {
  backend_id id;
  std::string address;
  std::uint16_t port = 0;
  domain_id domain;
  std::string rack;
  std::string service;
  std::uint32_t slots = 8;
  std::uint32_t connections = 64;
  instance_state state = instance_state::live;

  bool operator==(const backend_info&) const = default;
};

/// A daemon of the system, as its own `member_joined` record describes it.
struct member_info {
  instance_id id;
  model::incarnation incarnation = 0;
  std::string address;
  std::uint16_t peer_port = 0;
  std::uint16_t operator_port = 0;
  domain_id domain;

  bool operator==(const member_info&) const = default;
};

}  // namespace vanillaladder::model
