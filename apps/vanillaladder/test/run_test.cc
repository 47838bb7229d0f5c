#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include "cli/commands.h"
#include "http/server.h"

namespace vanillaladder::cli {
namespace {

/// An operator API that answers each target with a fixed response and keeps
/// the requests.
class fake_daemon {
 public:
  explicit fake_daemon(std::map<std::string, http::response> answers)
      : answers_(std::move(answers)) {
    server_ = std::move(*http::server::listen(
        loop_, {},
        [this](const http::request& message,
               const std::shared_ptr<http::responder>& answer) {
          requests_.push_back(message);
          auto found = answers_.find(message.method + " " + message.target);
          answer->respond(found == answers_.end() ? http::response{404, {}, ""}
                                                  : found->second);
        }));
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~fake_daemon() { stop(); }

  /// Ends the server's thread; requests may be read after it.
  void stop() {
    if (thread_.joinable()) {
      loop_.stop();
      thread_.join();
    }
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(server_->port());
  }

  nlohmann::json body_of(std::size_t index) {
    stop();
    return nlohmann::json::parse(requests_.at(index).body);
  }

  std::size_t request_count() {
    stop();
    return requests_.size();
  }

 private:
  http::event_loop loop_;
  std::map<std::string, http::response> answers_;
  std::vector<http::request> requests_;
  std::unique_ptr<http::server> server_;
  std::thread thread_;
};

struct outcome {
  int code = 0;
  std::string out;
  std::string err;
};

outcome call(std::vector<std::string> words) {
  std::ostringstream out;
  std::ostringstream err;
  int code = run(words, out, err);
  return {code, out.str(), err.str()};
}

outcome call(const fake_daemon& daemon, std::vector<std::string> words) {
  words.insert(words.end(), {"--daemon", daemon.address()});
  return call(std::move(words));
}

/// A file that is removed at the end of the test.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text)
      : path_("cli_test_" + std::to_string(next_number()) + ".tmp") {
    std::ofstream(path_) << text;
  }
  ~temporary_file() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }

 private:
  static int next_number() {
    static int number = 0;
    return ++number;
  }

  std::string path_;
};

const http::response accepted = http::json_response(
    200, R"({"result":"accepted","offset":12,"version":1,"revision":8})");
const http::response config = http::json_response(
    200, R"({"version":1,"revision":7,"offset":11,"keys":{"a":"1"}})");

}  // namespace

// Guards against a patch that loses a field, and against an id that differs
// when the same command is repeated.
TEST_CASE("a patch from options carries its fields and a stable id") {
  fake_daemon daemon({{"POST /v1/config/patches", accepted}});
  std::vector<std::string> words{
      "patch",       "--set",    "class.quote.deadline_ms=900",
      "--version=1", "--branch", "norte",
      "--revision",  "7",        "--author=maria"};
  auto made = call(daemon, words);
  CHECK(made.code == 0);
  CHECK(made.out == "accepted: version 1 revision 8 offset 12\n");
  call(daemon, words);
  auto body = daemon.body_of(0);
  CHECK(body == daemon.body_of(1));
  CHECK(body["author"] == "maria");
  CHECK(body["branch"] == "norte");
  CHECK(body["seen_revision"] == 7);
  CHECK(body["set"]["class.quote.deadline_ms"] == "900");
}

// Guards against an error that does not say where it is or what would do.
TEST_CASE("errors of a patch file name key, line and what is allowed") {
  temporary_file file(
      "author = \"maria\"\nversion = 1\nseen_revision = 7\n[set]\n"
      "class.quote.deadline_ms = 0\n"
      "class.quote.dedline_ms = 10\n");
  fake_daemon daemon({});
  auto made = call(daemon, {"patch", file.path()});
  CHECK(made.code == 2);
  CHECK(made.err.find(file.path() + ":5: class.quote.deadline_ms: ") !=
        std::string::npos);
  CHECK(made.err.find("allowed: 1..30000") != std::string::npos);
  CHECK(made.err.find(file.path() + ":6: class.quote.dedline_ms: ") !=
        std::string::npos);
  CHECK(made.err.find("did you mean") != std::string::npos);
  CHECK(daemon.request_count() == 0);
}

// Guards against a patch that overwrites changes its author has not seen.
TEST_CASE("a patch file without a seen revision is refused") {
  temporary_file file("version = 1\n[set]\nadmission.max_queued = 5\n");
  fake_daemon daemon({{"GET /v1/config", config}});
  CHECK(call(daemon, {"patch", file.path()}).code == 2);
  CHECK(daemon.request_count() == 0);
}

// Guards against a conflict that hides the other author or the line.
TEST_CASE("a conflict names both values, the other author and the line") {
  temporary_file file(
      "author = \"maria\"\nversion = 1\nseen_revision = 7\n[set]\n"
      "admission.max_queued = 5\n");
  fake_daemon daemon(
      {{"POST /v1/config/patches",
        http::json_response(
            409, R"({"result":"conflict","reason":"key-conflict","conflicts":[
              {"key":"admission.max_queued","yours":"5","theirs":"6",
               "their_author":"juan","their_patch":"p1"}]})")}});
  auto made = call(daemon, {"patch", file.path()});
  CHECK(made.code == 1);
  CHECK(made.err.find(file.path() +
                      ":5: admission.max_queued: yours 5, theirs 6 by juan in "
                      "patch p1") != std::string::npos);
}

// Guards against exit codes that a script would misread.
TEST_CASE("answers map to the documented exit codes") {
  struct row {
    http::response answer;
    int code;
  };
  auto one = GENERATE(
      values<row>({{http::json_response(200, R"({"result":"accepted"})"), 0},
                   {http::json_response(409, R"({"result":"conflict"})"), 1},
                   {http::json_response(422, R"({"result":"invalid"})"), 2},
                   {http::json_response(503, R"({"result":"not-run"})"), 3},
                   {http::json_response(503, R"({"result":"unknown"})"), 4},
                   {{503, {{"x-outcome", "not-run"}}, ""}, 3},
                   {{503, {}, ""}, 4},
                   {{500, {}, "x"}, 4}}));
  fake_daemon daemon({{"POST /v1/config/patches", one.answer}});
  auto made = call(daemon, {"patch", "--set=admission.max_queued=5",
                            "--version=1", "--revision=7"});
  CHECK(made.code == one.code);
}

// Guards against a second daemon that gets a change the first may have run.
TEST_CASE("the next daemon is tried only if nothing was sent") {
  std::string closed;
  {
    fake_daemon gone({});
    closed = gone.address();
  }
  fake_daemon daemon({{"GET /v1/config", config}});
  auto made = call(
      {"config", "show", "--daemon", closed, "--daemon", daemon.address()});
  CHECK(made.code == 0);
  CHECK(made.out == "version 1 revision 7 offset 11\na = 1\n");
  CHECK(call({"config", "show", "--daemon", closed}).code == 3);
  CHECK(call({"config", "show"}).code == 2);
  CHECK(call({"config", "show", "--daemon", "here"}).code == 2);
}

// Guards against a state patch on a version or revision that is not current.
TEST_CASE("domain and instance commands patch the current revision") {
  struct row {
    std::vector<std::string> words;
    std::string key;
    std::string value;
  };
  auto one = GENERATE(values<row>(
      {{{"domain", "out", "south"}, "domain.south.state", "out"},
       {{"domain", "back", "south"}, "domain.south.state", "in"},
       {{"instance", "drain", "w1"}, "instance.w1.state", "draining"},
       {{"instance", "activate", "w1"}, "instance.w1.state", "active"},
       {{"instance", "confirm-dead", "w1"}, "instance.w1.state", "dead"}}));
  fake_daemon daemon(
      {{"GET /v1/config", config}, {"POST /v1/config/patches", accepted}});
  CHECK(call(daemon, one.words).code == 0);
  auto body = daemon.body_of(1);
  CHECK(body["version"] == 1);
  CHECK(body["seen_revision"] == 7);
  CHECK(body["set"] == nlohmann::json({{one.key, one.value}}));
}

// Guards against a version that is made from another base than its author saw.
TEST_CASE("a version names its base") {
  temporary_file file("[set]\nadmission.max_queued = 5\n");
  fake_daemon daemon(
      {{"GET /v1/config", config}, {"POST /v1/config/versions", accepted}});
  CHECK(call(daemon,
             {"version", "create", "2", "--from", file.path(), "--author=m"})
            .code == 0);
  auto body = daemon.body_of(1);
  CHECK(body["version"] == 2);
  CHECK(body["base_version"] == 1);
  CHECK(body["base_revision"] == 7);
}

// Guards against differences that are left out.
TEST_CASE("version diff shows added, removed and changed keys") {
  fake_daemon daemon(
      {{"GET /v1/config/versions/1",
        http::json_response(200, R"({"keys":{"a":"1","b":"2","c":"3"}})")},
       {"GET /v1/config/versions/2",
        http::json_response(200, R"({"keys":{"b":"2","c":"4","d":"5"}})")}});
  CHECK(call(daemon, {"version", "diff", "1", "2"}).out ==
        "- a = 1\n~ c = 3 -> 4\n+ d = 5\n");
  CHECK(call(daemon, {"version", "show", "1"}).out == "a = 1\nb = 2\nc = 3\n");
  CHECK(call(daemon, {"version", "show", "9"}).code == 1);
}

// Guards against a status that hides an instance that is stale.
TEST_CASE("config status shows every instance") {
  fake_daemon daemon(
      {{"GET /v1/config/status",
        http::json_response(200, R"({"instances":[{"instance":"e1",
          "version":1,"revision":8,"applied_offset":12,"since_offset":11,
          "view":"stale"}]})")}});
  CHECK(call(daemon, {"config", "status"}).out ==
        "e1: version 1 revision 8, applied offset 12, stale, in force since "
        "offset 11\n");
}

// Guards against a submission that drops a field of the job.
TEST_CASE("jobs are submitted, shown and cancelled") {
  fake_daemon daemon(
      {{"POST /v1/jobs", http::json_response(201, R"({"id":"s07-k"})")},
       {"GET /v1/jobs/s07-k",
        http::json_response(200, R"({"id":"s07-k","state":"running",
          "team":"t","class":"c","tasks":{"pending":0,"running":2}})")},
       {"DELETE /v1/jobs/s07-k", http::json_response(200, R"({"id":"s07-k"})")},
       {"GET /v1/jobs", http::json_response(200, R"({"jobs":[]})")}});
  auto made = call(daemon, {"job", "submit", "--key=k", "--team=t", "--class=c",
                            "--cpu-millis=500", "--tasks=2", "--command=x"});
  CHECK(made.out == "s07-k\n");
  CHECK(call(daemon, {"job", "show", "s07-k"}).out ==
        "s07-k: running, team t, class c, tasks running 2\n");
  CHECK(call(daemon, {"job", "cancel", "s07-k"}).code == 0);
  CHECK(call(daemon, {"job", "list"}).code == 0);
  temporary_file broken("{");
  CHECK(call(daemon, {"job", "submit", broken.path()}).code == 2);
  CHECK(daemon.body_of(0) ==
        nlohmann::json::parse(
            R"({"id":"k","team":"t","class":"c","tasks":2,"command":"x",
                "resources":{"cpu_millis":500}})"));
}

// Guards against settings that are reported as good although they are not.
TEST_CASE("settings check reports problems and usage errors exit with 2") {
  temporary_file file("[instance]\nid = 3\n");
  auto made = call({"settings", "check", file.path()});
  CHECK(made.code == 2);
  CHECK(made.err.find(file.path() + ":2: instance.id") != std::string::npos);
  CHECK(call({"frobnicate"}).code == 2);
  CHECK(call({"--help"}).out.find("Exit codes") != std::string::npos);
}

// Guards against an unready daemon that is reported as healthy.
TEST_CASE("health needs both checks") {
  fake_daemon daemon({{"GET /healthz", {200, {}, "ok"}},
                      {"GET /readyz", {503, {}, "view is stale"}}});
  auto made = call(daemon, {"health"});
  CHECK(made.code == 3);
  CHECK(made.out == "alive\n");
  CHECK(made.err.find("view is stale") != std::string::npos);
}

}  // namespace vanillaladder::cli
