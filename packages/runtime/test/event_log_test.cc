#include "runtime/event_log.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>

namespace vanillaladder::runtime {
namespace {

struct pipe_ends {
  std::array<int, 2> fds{};
  pipe_ends() { REQUIRE(pipe(fds.data()) == 0); }
  ~pipe_ends() {
    close(fds[0]);
    close(fds[1]);
  }
  std::string read_all() const {
    std::array<char, 65536> buffer{};
    auto count = read(fds[0], buffer.data(), buffer.size());
    return {buffer.data(),
            static_cast<std::size_t>(std::max<ssize_t>(0, count))};
  }
};

const event_log::time_point start{std::chrono::seconds(100)};

TEST_CASE("a line names its time, instance, part and event") {
  pipe_ends ends;
  event_log log(ends.fds[1], "front-1");
  log.write("leader", "elected epoch=7", start, 1234);
  log.flush();
  REQUIRE(ends.read_all() == "1234 front-1 leader elected epoch=7\n");
}

// Guards against text from outside that forges a line or fills the log.
TEST_CASE("control characters are escaped and long texts are cut") {
  pipe_ends ends;
  event_log log(ends.fds[1], "a");
  log.write("p", std::string_view("host=x\n1 a p forged\0y\x7f", 22), start, 1);
  log.flush();
  REQUIRE(ends.read_all() == "1 a p host=x\\x0a1 a p forged\\x00y\\x7f\n");
  log.write("p", std::string(70000, 'x'), start, 1);
  log.flush();
  auto line = ends.read_all();
  REQUIRE(line.size() < 2100);
  REQUIRE(line.ends_with("...(68000 bytes left out)\n"));
}

// Guards against unbounded log volume under load and against silent loss.
TEST_CASE("lines over the rate are dropped and counted") {
  pipe_ends ends;
  event_log log(ends.fds[1], "a", {10, 5, 0, 1U << 16});
  for (int n = 0; n < 8; ++n) {
    log.write("p", "e", start, 1);
  }
  REQUIRE(log.dropped() == 3);
  log.write("p", "e", start + std::chrono::seconds(1), 2);
  log.flush();
  REQUIRE(ends.read_all().find("lines_dropped n=3") != std::string::npos);
}

// A takeover logs thousands of decisions; the line that reports the takeover
// itself must not be dropped.
TEST_CASE("important lines pass when routine ones are dropped") {
  pipe_ends ends;
  event_log log(ends.fds[1], "a", {0, 10, 0.2, 1U << 16});
  for (int n = 0; n < 20; ++n) {
    log.write("p", "routine", start, 1);
  }
  REQUIRE(log.dropped() == 12);
  log.write("p", "first", start, 1, importance::important);
  log.write("p", "second", start, 1, importance::important);
  log.flush();
  auto text = ends.read_all();
  REQUIRE(text.find("first") != std::string::npos);
  REQUIRE(text.find("second") != std::string::npos);
}

// Guards against a stalled reader that blocks the process.
TEST_CASE("a full pipe drops lines and does not block") {
  pipe_ends ends;
  event_log log(ends.fds[1], "a", {1e9, 1e9, 0, 1000});
  std::string line(500, 'x');
  for (int n = 0; n < 1000; ++n) {
    log.write("p", line, start, 1);
    log.flush();
  }
  REQUIRE(log.dropped() > 0);
}

}  // namespace
}  // namespace vanillaladder::runtime
