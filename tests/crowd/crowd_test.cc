#include "crowd.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>
#include <string>

#include "harness/cluster.h"
#include "harness/eventually.h"
#include "harness/platform_cluster.h"

// Callers that send too much, or stop just short of the end of a body, must not
// end a daemon or keep it from answering others. The crowds and the bounds are
// fixed: the daemon has to stay within them, whatever it does.
namespace vanillaladder::crowd {
namespace {

using harness::eventually;
using harness::json;

constexpr std::size_t callers = 256;
/// `maxBodyBytes` of the configuration.
constexpr std::size_t body_limit = 262'144;
/// A fifth of the smallest machine's memory.
constexpr std::size_t max_growth_mib = 32;
constexpr std::size_t max_descriptors = 256;
constexpr std::size_t piece_bytes = 16'384;

/// The sanitizers would keep freed memory and count it as used.
void limit_sanitizer_memory() {
  setenv("ASAN_OPTIONS", "quarantine_size_mb=1:malloc_context_size=1", 1);
}

/// One scheduling daemon on the stand-in of the platform.
struct schedule_scene {
  schedule_scene() : cluster(make()) {
    REQUIRE(cluster.wait_until_ready());
    cluster.wait_for_leader();
    complete_one("00000000000000a0");
    before = usage_of(pid());
  }

  static harness::platform_options make() {
    limit_sanitizer_memory();
    harness::platform_options options;
    options.daemons = 1;
    options.workers = 2;
    options.extra_limits = "max_descriptors = 512\n";
    return options;
  }

  pid_t pid() { return cluster.process(0).pid(); }
  std::uint16_t port() const { return cluster.caller_port(0); }

  std::string head(const std::string& id, std::size_t length) const {
    return post_head(standins::platform::queue_host,
                     standins::platform::queue_prefix + id, length);
  }

  /// One ordinary request, from its submission to the end of its job.
  void complete_one(const std::string& id) {
    json body = standins::platform::submission({{1, 1000, ""}}, {10, 0});
    REQUIRE(
        eventually([&] { return cluster.submit(0, id, body).status == 200; }));
    REQUIRE(eventually([&] { return cluster.state(0, id) == "completed"; }));
  }

  /// Checks what holds whatever callers send.
  void check_bounds() {
    REQUIRE(cluster.process(0).running());
    auto now = usage_of(pid());
    CHECK(now.peak_mib <= before.peak_mib + max_growth_mib);
    CHECK(now.descriptors <= max_descriptors);
  }

  void check_calm(const std::string& id) {
    check_bounds();
    complete_one(id);
    check_bounds();
    CHECK(cluster.faults().empty());
  }

  harness::platform_cluster cluster;
  usage before;
};

/// A submission of exactly `length` bytes.
std::string submission_of(std::size_t length) {
  auto body = standins::platform::submission({{1, 1000, ""}}, {10, 0}).dump();
  body.insert(1, length - body.size(), ' ');
  return body;
}

}  // namespace

// Guards against bodies that are kept until they are complete, whatever they
// add up to: such a crowd ended a daemon.
TEST_CASE("bodies that stop just short of their end don't fill the memory") {
  schedule_scene scene;
  caller_crowd crowd(scene.port(), callers);
  auto bytes = scene.head("00000000000000b0", body_limit) +
               submission_of(body_limit).substr(0, body_limit - 1);
  REQUIRE(crowd.send_all(bytes, piece_bytes));
  scene.check_calm("00000000000000c0");
}

// The same with bodies that each arrive at once instead of in turns.
TEST_CASE("large bodies one after the other don't fill the memory") {
  schedule_scene scene;
  caller_crowd crowd(scene.port(), callers);
  auto bytes = scene.head("00000000000000b0", body_limit) +
               submission_of(body_limit).substr(0, body_limit - 1);
  REQUIRE(crowd.send_all(bytes, bytes.size()));
  scene.check_calm("00000000000000c0");
}

// Guards against complete requests that wait in memory, here for a store that
// does not answer.
TEST_CASE("whole bodies at once don't fill the memory") {
  schedule_scene scene;
  caller_crowd crowd(scene.port(), callers);
  auto bytes =
      scene.head("00000000000000b0", body_limit) + submission_of(body_limit);
  REQUIRE(crowd.send_all(bytes, piece_bytes));
  scene.check_calm("00000000000000c0");
}

// Guards against a body over the limit that is held although it is refused.
TEST_CASE("bodies over the limit are not held") {
  schedule_scene scene;
  std::size_t length = 64 * body_limit;
  SECTION("announced") {
    caller_crowd crowd(scene.port(), 32);
    REQUIRE(crowd.send_all(
        scene.head("00000000000000b0", length) + std::string(length, ' '),
        piece_bytes));
    scene.check_calm("00000000000000c0");
  }
  SECTION("sent in chunks without an announcement") {
    caller_crowd crowd(scene.port(), 32);
    std::string head = scene.head("00000000000000b0", 0);
    head.replace(head.find("content-length: 0"), 17,
                 "transfer-encoding: chunked");
    std::string bytes = head;
    while (bytes.size() < length) {
      bytes += "4000\r\n" + std::string(0x4000, ' ') + "\r\n";
    }
    REQUIRE(crowd.send_all(bytes, piece_bytes));
    scene.check_calm("00000000000000c0");
  }
}

// Guards against headers without an end that are kept in memory.
TEST_CASE("headers without an end are not held") {
  schedule_scene scene;
  caller_crowd crowd(scene.port(), callers);
  std::string bytes = "GET / HTTP/1.1\r\n";
  while (bytes.size() < body_limit) {
    bytes += "x-" + std::to_string(bytes.size()) + ": " +
             std::string(1000, 'x') + "\r\n";
  }
  REQUIRE(crowd.send_all(bytes, piece_bytes));
  scene.check_calm("00000000000000c0");
}

// Guards against idle connections that take the descriptors which the daemon
// needs for the store and the workers.
TEST_CASE("idle connections leave descriptors for the daemon's own work") {
  schedule_scene scene;
  caller_crowd crowd(scene.port(), 2 * callers);
  scene.check_calm("00000000000000c0");
}

// Guards against a daemon that hangs when a request arrives before the answer
// to the one before it.
TEST_CASE("requests sent without waiting for answers don't hang the daemon") {
  schedule_scene scene;
  auto body = submission_of(200);
  auto one = scene.head("00000000000000b0", body.size()) + body;
  caller_crowd crowd(scene.port(), 4);
  REQUIRE(crowd.send_all(one + one + one, 3 * one.size()));
  scene.check_calm("00000000000000c0");
}

// A single large request inside the limits is served while nothing else is
// sent.
TEST_CASE("a body of the largest size allowed is accepted") {
  schedule_scene scene;
  auto body = submission_of(body_limit);
  harness::caller http;
  http::request message;
  message.method = "POST";
  message.host = standins::platform::queue_host;
  message.target =
      std::string(standins::platform::queue_prefix) + "00000000000000d0";
  message.headers = {{"content-type", "application/json"}};
  message.body = body;
  CHECK(http.call(scene.port(), message).status == 200);
}

// The same crowd at the caller port of a daemon of the stand-alone mode.
TEST_CASE("a crowd doesn't fill the memory of a stand-alone daemon") {
  limit_sanitizer_memory();
  harness::cluster_options options;
  options.daemons = 3;
  options.backends = 1;
  options.workers = 1;
  harness::cluster cluster(options);
  REQUIRE(cluster.wait_until_ready());
  REQUIRE(cluster.request(0, "x", 1).get().status == 200);
  auto& process = *cluster.at(0).process;
  auto before = usage_of(process.pid());
  caller_crowd crowd(cluster.at(0).caller_port, callers);
  auto bytes = post_head("127.0.0.1", "/", body_limit) +
               std::string(body_limit - 1, 'x');
  REQUIRE(crowd.send_all(bytes, piece_bytes));
  REQUIRE(process.running());
  auto now = usage_of(process.pid());
  CHECK(now.peak_mib <= before.peak_mib + max_growth_mib);
  REQUIRE(eventually(
      [&] { return cluster.request(0, "x", 1).get().status == 200; }));
  CHECK(cluster.faults().empty());
}

}  // namespace vanillaladder::crowd
