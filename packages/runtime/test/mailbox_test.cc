#include "runtime/mailbox.h"

#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

namespace vanillaladder::runtime {

// Guards against unbounded memory, and against a refused message being lost.
TEST_CASE("a full mailbox refuses a message and leaves it to the sender") {
  mailbox<std::unique_ptr<int>> box(1);
  CHECK(box.push(std::make_unique<int>(1)) == push_result::accepted);
  auto second = std::make_unique<int>(2);
  CHECK(box.push(std::move(second)) == push_result::full);
  REQUIRE(second != nullptr);
  CHECK(**box.pop() == 1);
  CHECK(box.push(std::move(second)) == push_result::accepted);
}

// Guards against messages that are dropped when the receiver shuts down.
TEST_CASE("a closed mailbox delivers queued messages and then nothing") {
  mailbox<int> box(4);
  box.push(1);
  box.close();
  CHECK(box.push(2) == push_result::closed);
  CHECK(box.pop() == 1);
  CHECK(box.pop() == std::nullopt);
}

// Guards against a receiver that hangs in a graceful stop.
TEST_CASE("a stop request wakes a waiting receiver") {
  mailbox<int> box(1);
  std::jthread receiver(
      [&](std::stop_token stop) { CHECK(box.pop(stop) == std::nullopt); });
  receiver.request_stop();
  receiver.join();
}

// Guards against lost and duplicate messages with concurrent senders.
TEST_CASE("every message of several senders arrives once and in order") {
  constexpr int senders = 4;
  constexpr int messages_per_sender = 1000;
  mailbox<std::pair<int, int>> box(16);
  std::vector<std::jthread> threads;
  threads.reserve(4);
  for (int sender = 0; sender < senders; ++sender) {
    threads.emplace_back([&box, sender] {
      for (int n = 0; n < messages_per_sender;) {
        n += box.push({sender, n}) == push_result::accepted ? 1 : 0;
      }
    });
  }
  std::vector<int> next_expected(senders, 0);
  bool in_order = true;
  for (int n = 0; n < senders * messages_per_sender; ++n) {
    auto message = box.pop();
    in_order = in_order && message->second == next_expected[message->first]++;
  }
  CHECK(in_order);
  CHECK(box.size() == 0);
}

}  // namespace vanillaladder::runtime
