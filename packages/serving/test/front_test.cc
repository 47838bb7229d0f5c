#include "serving/front.h"

#include "closing_server.h"
#include "front_fixture.h"

namespace vanillaladder::serving {
namespace {

using trompeloeil::_;

}  // namespace

// Guards against running a non-idempotent request twice, and against not
// retrying an idempotent request after its connection was closed.
TEST_CASE("requests are retried after a closed connection only if idempotent") {
  bool idempotent = GENERATE(false, true);
  front_fixture f(2, 1);
  closing_server closing(true);
  f.set_port(0, closing.port);
  f.backends[1]->echo();
  // Routing starts at the first server.
  auto caller = f.send(idempotent ? "PUT" : "POST", "x");
  f.run_until_answered(1);
  CHECK(closing.received == 1);
  CHECK(f.backends[1]->received == (idempotent ? 1 : 0));
  CHECK(caller->received.at(0).status == (idempotent ? 200 : 502));
  CHECK(caller->header("x-outcome") == (idempotent ? "answered" : "unknown"));
  CHECK(f.metrics.counts["requests_retried/closed"] == (idempotent ? 1 : 0));
}

// Guards against not retrying a non-idempotent request that a server explicitly
// refused, and against not answering "not run" in the end.
TEST_CASE("an explicitly refused request is retried and may end as not run") {
  front_fixture f(2, 1);
  f.backends[0]->refuse();
  f.backends[1]->echo();
  auto first = f.send("POST", "x");
  f.run_until_answered(1);
  CHECK(first->received.at(0).body == "x");
  f.backends[1]->refuse();
  auto second = f.send("POST", "x");
  f.run_until_answered(2);
  CHECK(second->received.at(0).status == 503);
  CHECK(second->header("x-outcome") == "not-run");
  CHECK(second->header("x-reason") == "no-backend");
  CHECK(f.received() == 2 + 3);
}

// Guards against treating a refused connection as an attempt that may have run.
TEST_CASE("refused connections are retried and end as connect-failed") {
  front_fixture f(2, 1);
  closing_server refusing(false);
  f.set_port(0, refusing.port);
  f.backends[1]->echo();
  auto first = f.send("POST", "x");
  f.run_until_answered(1);
  CHECK(first->received.at(0).status == 200);
  f.set_port(1, refusing.port);
  auto second = f.send("POST", "x");
  f.run_until_answered(2);
  CHECK(second->header("x-outcome") == "not-run");
  CHECK(second->header("x-reason") == "connect-failed");
}

// Guards against responses that are truncated or reach another caller.
TEST_CASE("responses in reverse order reach their own callers complete") {
  front_fixture f(2, 4);
  std::vector<caller_ptr> callers(8);
  char letter = 'a';
  for (auto& caller : callers) {
    caller = f.send("POST", std::string(40000, letter++));
  }
  f.run_until([&] { return f.received() == 8; });
  for (auto& backend : f.backends) {
    for (auto it = backend->waiting.rbegin(); it != backend->waiting.rend();
         ++it) {
      it->second->respond({200, {}, it->first.body});
    }
  }
  f.run_until_answered(8);
  letter = 'a';
  for (const auto& caller : callers) {
    REQUIRE(caller->received.size() == 1);
    CHECK(caller->received[0].body == std::string(40000, letter++));
  }
}

// Guards against sending more requests than granted, also after the grant was
// reduced.
TEST_CASE("a server never receives more concurrent requests than granted") {
  front_fixture f(1, 2);
  for (int n = 0; n < 4; ++n) {
    f.send("POST", "x");
  }
  auto& backend = *f.backends[0];
  f.run_until([&] { return backend.received == 2; });
  CHECK(f.subject.free_slots().at("quotes") == 0);
  f.view.backends[0].granted_slots = 1;
  f.subject.update(f.view);
  CHECK(f.subject.in_flight().at("b0") == 2);
  backend.waiting[0].second->respond({200, {}, ""});
  f.run_until_answered(1);
  CHECK(f.subject.in_flight().at("b0") == 1);
  CHECK(backend.received == 2);
  backend.waiting[1].second->respond({200, {}, ""});
  f.run_until([&] { return backend.received == 3; });
  CHECK(f.subject.in_flight().at("b0") == 1);
}

// Guards against a graceful shutdown that drops requests in progress or queued.
TEST_CASE("a drain completes accepted requests and refuses new ones") {
  front_fixture f(1, 1);
  auto running = f.send("POST", "a");
  auto queued = f.send("POST", "b");
  bool idle = false;
  f.subject.begin_drain([&] { idle = true; });
  auto late = f.send("POST", "c");
  CHECK(late->header("x-reason") == "draining");
  CHECK_FALSE(f.subject.ready());
  f.run_until([&] { return f.backends[0]->received == 1; });
  CHECK_FALSE(idle);
  f.backends[0]->echo();
  f.backends[0]->waiting[0].second->respond({200, {}, "a"});
  f.run_until([&] { return idle; });
  CHECK(running->received.at(0).body == "a");
  CHECK(queued->received.at(0).body == "b");
}

// Guards against an unresponsive server that blocks other requests, and against
// retrying a request that may still be running.
TEST_CASE("an unresponsive server delays only its own requests") {
  front_fixture f(2, 1);
  f.backends[1]->echo();
  auto unanswered = f.send("PUT", "x", {{"x-deadline-ms", "300"}});
  for (int n = 0; n < 5; ++n) {
    auto other = f.send("PUT", "y");
    f.run_until_answered(n + 1);
    CHECK(other->received.at(0).body == "y");
  }
  CHECK(unanswered->received.empty());
  f.run_until_answered(6);
  CHECK(unanswered->received.at(0).status == 504);
  CHECK(unanswered->header("x-outcome") == "unknown");
  CHECK(f.backends[0]->received == 1);
}

// Guards against sending new requests to a leaving server, and against aborting
// its requests in progress.
TEST_CASE("a leaving server gets no new requests and completes the others") {
  front_fixture f(2, 2);
  f.backends[1]->echo();
  auto old = f.send("POST", "old");
  f.run_until([&] { return f.backends[0]->received == 1; });
  f.view.backends[0].accepts_work = false;
  f.subject.update(f.view);
  for (int n = 0; n < 4; ++n) {
    f.send("POST", "new");
  }
  f.run_until_answered(4);
  CHECK(f.backends[0]->received == 1);
  f.backends[0]->waiting[0].second->respond({200, {}, "old"});
  f.run_until_answered(5);
  CHECK(old->received.at(0).body == "old");
  f.view.backends.clear();
  f.subject.update(f.view);
  CHECK(f.send("POST")->received.at(0).status == 404);
}

// Guards against sending under a view that is stale, or that became stale
// without a further update, for example after a pause of the process.
TEST_CASE("nothing is sent under a stale view, requests in progress complete") {
  front_fixture f(1, 1);
  auto running = f.send("POST", "a");
  auto queued = f.send("POST", "b");
  f.run_until([&] { return f.received() == 1; });
  if (GENERATE(false, true)) {
    f.view.fresh = false;
  } else {
    f.view.fresh_until = std::chrono::steady_clock::now();
  }
  f.subject.update(f.view);
  CHECK(queued->header("x-reason") == "stale-view");
  CHECK(f.send("POST")->header("x-reason") == "stale-view");
  CHECK_FALSE(f.subject.ready());
  f.backends[0]->waiting[0].second->respond({200, {}, "a"});
  f.run_until_answered(3);
  CHECK(running->received.at(0).body == "a");
  CHECK(f.received() == 1);
}

// Guards against a request with a key that is sent without its claim or twice,
// and against a key whose outcome is not recorded.
TEST_CASE("a request with a key is sent only after its claim") {
  front_fixture f;
  f.backends[0]->echo();
  key_claims::callback answer;
  REQUIRE_CALL(f.claims, claim(_, _, _, _)).LR_SIDE_EFFECT(answer = _4);
  auto caller = f.send("POST", "x", {{"idempotency-key", "k"}});
  CHECK(f.received() == 0);
  SECTION("claimed") {
    REQUIRE_CALL(f.claims, finish(_, key_outcome::answered));
    answer(key_claimed{});
    f.run_until_answered(1);
    CHECK(caller->received.at(0).body == "x");
  }
  SECTION("claimed earlier") {
    answer(key_repeated{key_outcome::answered});
    CHECK(caller->received.at(0).status == 409);
    CHECK(caller->header("x-outcome") == "answered");
  }
  SECTION("claim unavailable") {
    answer(claim_unavailable{"log-unavailable"});
    CHECK(caller->received.at(0).status == 503);
    CHECK(caller->header("x-reason") == "log-unavailable");
    CHECK(caller->header("x-outcome") == "not-run");
  }
  SECTION("claimed after the view became stale") {
    REQUIRE_CALL(f.claims, finish(_, key_outcome::not_run));
    f.view.fresh = false;
    f.subject.update(f.view);
    answer(key_claimed{});
    CHECK(caller->header("x-reason") == "stale-view");
  }
  CHECK(caller->received.size() == 1);
}

// Guards against a claim that is used, or left without an outcome, after its
// request has been answered.
TEST_CASE("a late claim is counted and recorded as not run") {
  front_fixture f;
  key_claims::callback answer;
  REQUIRE_CALL(f.claims, claim(_, _, _, _)).LR_SIDE_EFFECT(answer = _4);
  auto caller =
      f.send("POST", "x", {{"idempotency-key", "k"}, {"x-deadline-ms", "1"}});
  f.run_until_answered(1);
  CHECK(caller->header("x-reason") == "deadline");
  REQUIRE_CALL(f.claims, finish(_, key_outcome::not_run));
  answer(key_claimed{});
  CHECK(f.metrics.counts["late_results/claim"] == 1);
  CHECK(f.received() == 0);
}

// Guards against not forwarding a request although a peer has a free slot, and
// against ending it after a peer's refusal.
TEST_CASE(
    "without a local slot, a request goes to the peer with most free slots") {
  front_fixture f(1, 0);
  f.view.peers = {{"p1", {{"quotes", 1}}}, {"p2", {{"quotes", 2}}}};
  f.subject.update(f.view);
  forwarder::callback first;
  forwarder::callback second;
  REQUIRE_CALL(f.peers, forward("p2", _, _, _)).LR_SIDE_EFFECT(first = _4);
  auto caller = f.send("POST", "x");
  {
    REQUIRE_CALL(f.peers, forward("p1", _, _, _)).LR_SIDE_EFFECT(second = _4);
    first(forward_not_run{"no-backend"});
  }
  SECTION("complete response") {
    second(http::response{200, {}, "y"});
    CHECK(caller->received.at(0).body == "y");
    second(http::response{200, {}, "again"});
    CHECK(f.metrics.counts["late_results/peer"] == 1);
  }
  SECTION("lost connection") {
    second(forward_unknown{"link lost"});
    CHECK(caller->received.at(0).status == 502);
    CHECK(caller->header("x-outcome") == "unknown");
  }
  CHECK(caller->received.size() == 1);
}

// Guards against forwarding a request repeatedly, and against queueing it at a
// second daemon.
TEST_CASE("a forwarded request is served locally or refused immediately") {
  front_fixture f(1, 1);
  f.view.peers = {{"p1", {{"quotes", 5}}}};
  f.subject.update(f.view);
  std::vector<http::response> answers;
  auto done = [&](http::response answer) {
    answers.push_back(std::move(answer));
    ++f.answered;
  };
  f.subject.handle_forwarded({"POST", "/quotes/x", {}, "a"}, 5000ms, done);
  f.run_until([&] { return f.received() == 1; });
  f.subject.handle_forwarded({"POST", "/quotes/x", {}, "b"}, 5000ms, done);
  REQUIRE(answers.size() == 1);
  CHECK(http::find_header(answers[0].headers, "x-outcome") == "not-run");
  f.backends[0]->waiting[0].second->respond({200, {}, "a"});
  f.run_until_answered(2);
  CHECK(answers.at(1).body == "a");
  closing_server refusing(false);
  f.set_port(0, refusing.port);
  f.subject.handle_forwarded({"POST", "/quotes/x", {}, "c"}, 5000ms, done);
  f.run_until_answered(3);
  CHECK(http::find_header(answers.at(2).headers, "x-outcome") == "not-run");
}

// Guards against sending requests of disconnected callers, and against reusing
// a slot whose server may still be busy.
TEST_CASE(
    "a disconnected caller's queued request is removed, a busy slot is kept") {
  front_fixture f(1, 1);
  auto running = f.send("POST", "a");
  auto queued = f.send("POST", "b");
  f.run_until([&] { return f.received() == 1; });
  queued->disconnect();
  CHECK(f.subject.open_requests() == 1);
  running->disconnect();
  CHECK(f.subject.in_flight().at("b0") == 1);
  f.backends[0]->waiting[0].second->respond({200, {}, "a"});
  f.run_until([&] { return f.subject.open_requests() == 0; });
  CHECK(running->received.empty());
  CHECK(f.metrics.counts["late_results/caller-gone"] == 1);
  CHECK(f.received() == 1);
}

// Guards against replacing malformed header values by defaults.
TEST_CASE("requests with invalid header values are refused") {
  front_fixture f;
  auto header = GENERATE(http::header{"x-deadline-ms", "soon"},
                         http::header{"x-deadline-ms", "0"},
                         http::header{"x-idempotent", "maybe"});
  auto caller = f.send("POST", "x", {header});
  CHECK(caller->received.at(0).status == 400);
  CHECK(caller->header("x-outcome") == "not-run");
}

}  // namespace vanillaladder::serving
