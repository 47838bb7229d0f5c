#pragma once

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/server.h"
#include "serving/front.h"

namespace vanillaladder::serving {

using namespace std::chrono_literals;

struct mock_claims : key_claims {
  MAKE_MOCK4(claim, void(std::uint64_t, std::uint64_t, milliseconds, callback),
             override);
  MAKE_MOCK2(finish, void(std::uint64_t, key_outcome), override);
};

struct mock_forwarder : forwarder {
  MAKE_MOCK4(forward,
             void(const model::instance_id&, http::request, milliseconds,
                  callback),
             override);
};

struct counting_metrics : front_metrics {
  void count(front_event event, std::string_view label) override {
    ++counts[std::string(to_string(event)) + "/" + std::string(label)];
  }
  void observe_latency(const model::class_id&, milliseconds) override {}

  std::map<std::string, int> counts;
};

/// A caller without a socket.
struct fake_caller : http::responder {
  void respond(http::response answer) override {
    received.push_back(std::move(answer));
    on_response();
  }
  bool connected() const override { return true; }
  void on_disconnect(std::function<void()> callback) override {
    disconnect = std::move(callback);
  }

  std::string header(std::string_view name) const {
    return std::string(http::find_header(received.at(0).headers, name));
  }

  std::vector<http::response> received;
  std::function<void()> on_response;
  std::function<void()> disconnect = [] {};
};

using caller_ptr = std::shared_ptr<fake_caller>;

/// A backend server that holds its requests until the test answers them, or
/// answers immediately through `on_request`.
struct fake_backend {
  explicit fake_backend(http::event_loop& loop) {
    auto listening = http::server::listen(
        loop, {},
        [this](http::request message,
               const std::shared_ptr<http::responder>& answer) {
          ++received;
          if (on_request) {
            on_request(message, answer);
          } else {
            waiting.emplace_back(std::move(message), answer);
          }
        });
    REQUIRE(listening.ok());
    server = std::move(*listening);
    port = server->port();
  }

  void echo() {
    on_request = [](const http::request& message, const auto& answer) {
      answer->respond({200, {{"x-outcome", "unknown"}}, message.body});
    };
  }
  void refuse() {
    on_request = [](const http::request&, const auto& answer) {
      answer->respond({503, {{"x-not-run", "1"}}, ""});
    };
  }
  std::unique_ptr<http::server> server;
  std::uint16_t port = 0;
  int received = 0;
  std::function<void(const http::request&,
                     const std::shared_ptr<http::responder>&)>
      on_request;
  std::vector<std::pair<http::request, std::shared_ptr<http::responder>>>
      waiting;
};

struct front_fixture {
  explicit front_fixture(std::size_t servers = 1, unsigned granted = 2) {
    view.fresh = true;
    for (std::size_t n = 0; n < servers; ++n) {
      backends.push_back(std::make_unique<fake_backend>(loop));
      model::backend_info info;
      info.id = "b" + std::to_string(n);
      info.address = "127.0.0.1";
      info.port = backends[n]->port;
      info.service = "quotes";
      view.backends.push_back({info, granted, true});
    }
    subject.update(view);
  }

  void set_port(std::size_t backend, std::uint16_t port) {
    view.backends[backend].info.port = port;
    subject.update(view);
  }

  caller_ptr send(const std::string& method, std::string body = "",
                  std::vector<http::header> headers = {}) {
    auto caller = std::make_shared<fake_caller>();
    caller->on_response = [this] { ++answered; };
    subject.handle({method, "/quotes/x", std::move(headers), std::move(body)},
                   caller);
    return caller;
  }

  /// Runs the loop until `done` returns true. The timeout of the test program
  /// ends a test in which it never does.
  void run_until(const std::function<bool()>& done) {
    if (done()) {
      return;
    }
    http::event_loop::timer_id timer = 0;
    std::function<void()> check = [&] {
      if (done()) {
        loop.stop();
        return;
      }
      timer = loop.call_after(1ms, check);
    };
    check();
    loop.run();
    loop.cancel(timer);
  }
  void run_until_answered(int count) {
    run_until([&] { return answered >= count; });
  }

  int received() const {
    int total = 0;
    for (const auto& backend : backends) {
      total += backend->received;
    }
    return total;
  }

  http::event_loop loop;
  mock_claims claims;
  mock_forwarder peers;
  counting_metrics metrics;
  std::vector<std::unique_ptr<fake_backend>> backends;
  serving_view view;
  int answered = 0;
  front subject{loop, claims, peers, metrics, {}};
};

}  // namespace vanillaladder::serving
