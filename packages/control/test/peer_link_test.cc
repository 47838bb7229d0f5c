#include "control/peer_link.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <optional>

#include "control/peer_server.h"
#include "peer.h"

namespace vanillaladder::control {
namespace {

using namespace std::chrono_literals;

/// Responds to heartbeats immediately and never responds to forwarded requests.
class fake_handler : public peer_handler {
 public:
  void on_heartbeat(const wire::heartbeat_message& message,
                    reply<wire::heartbeat_message> done) override {
    auto answer = message;
    answer.sender = "server";
    done(answer);
  }
  void on_fetch_records(model::offset first, std::int32_t limit,
                        reply<std::vector<wire::log_record>> done) override {
    std::vector<wire::log_record> records(static_cast<std::size_t>(limit));
    for (auto& record : records) {
      record.offset = first++;
    }
    done(records);
  }
  void on_push_records(const std::vector<wire::log_record>&) override {}
  void on_forward_request(const wire::call_context&, const wire::http_request&,
                          reply<wire::http_result> done) override {
    unanswered_ = std::move(done);
  }
  void on_claim_key(const wire::key_claim&,
                    reply<wire::key_result> done) override {
    done({});
  }
  void on_finish_key(const wire::key_claim&, const std::string&) override {}
  void on_job_call(job_call, model::shard_id, const std::string&,
                   const std::string&, reply<wire::http_result> done) override {
    done({});
  }

 private:
  reply<wire::http_result> unanswered_;
};

/// Value that is set by one thread and awaited by another.
template <class Value>
class result_slot {
 public:
  void set(Value value) {
    std::lock_guard lock(mutex_);
    value_ = std::move(value);
    changed_.notify_all();
  }
  Value wait() {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, 60s, [&] { return value_.has_value(); }));
    return *value_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Value> value_;
};

}  // namespace

// Guards against calls that never reach the peer or whose result is lost.
TEST_CASE("a heartbeat returns the response of the peer") {
  fake_handler handler;
  auto server = peer_server::listen("127.0.0.1", 0, handler);
  REQUIRE(server.ok());
  REQUIRE((*server)->port() != 0);
  peer_link link("127.0.0.1", (*server)->port());
  result_slot<std::string> result;
  link.enqueue(
      call_kind::heartbeat, 10s,
      [&](wire::peerClient& client) {
        wire::heartbeat_message message;
        message.sender = "client";
        wire::heartbeat_message answer;
        client.heartbeat(answer, message);
        result.set(answer.sender);
      },
      [&](const call_failure& failure) {
        result.set(std::string(failure.status.message()));
      });
  CHECK(result.wait() == "server");
}

// Guards against a failed connection attempt that is reported as possibly sent,
// which would prevent a retry on another peer.
TEST_CASE("a call to a closed port is reported as not sent") {
  std::uint16_t port = 0;
  {
    fake_handler handler;
    auto server = peer_server::listen("127.0.0.1", 0, handler);
    REQUIRE(server.ok());
    port = (*server)->port();
  }
  peer_link link("127.0.0.1", port);
  result_slot<bool> possibly_sent;
  link.enqueue(
      call_kind::coordination, 10s,
      [](wire::peerClient& client) { client.push_records({}, {}); },
      [&](const call_failure& failure) {
        possibly_sent.set(failure.possibly_sent);
      });
  CHECK_FALSE(possibly_sent.wait());
}

// Guards against an unresponsive peer that blocks a caller forever, and against
// a forwarded request that is reported as not run although the peer received
// it.
TEST_CASE("a call without a response fails as possibly sent") {
  fake_handler handler;
  auto server = peer_server::listen("127.0.0.1", 0, handler);
  REQUIRE(server.ok());
  peer_link link("127.0.0.1", (*server)->port());
  result_slot<bool> possibly_sent;
  link.enqueue(
      call_kind::forward, 300ms,
      [](wire::peerClient& client) {
        wire::call_context context;
        context.deadline_ms = 5000;
        wire::http_result result;
        client.forward_request(result, context, {});
      },
      [&](const call_failure& failure) {
        possibly_sent.set(failure.possibly_sent);
      });
  CHECK(possibly_sent.wait());
}

}  // namespace vanillaladder::control
