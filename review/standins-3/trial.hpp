// A small deployment on loopback addresses: the project's stand-in of the
// platform, and daemons started with the command of the deploy file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace trial {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The case could not run; the script exits with 2.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::int64_t now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             clock::now().time_since_epoch())
      .count();
}

inline void pass(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Waits until the condition holds.
inline bool eventually(const std::function<bool()>& holds, int limit_ms) {
  auto until = clock::now() + milliseconds(limit_ms);
  while (clock::now() < until) {
    if (holds()) {
      return true;
    }
    pass(10);
  }
  return holds();
}

struct answer {
  int status = 0;  // 0 if there was none
  std::string body;
};

/// Sends one request on a connection of its own.
inline answer call(int port, const std::string& method,
                   const std::string& target, const std::string& host,
                   const std::string& body = "", int limit_ms = 5000) {
  answer result;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{limit_ms / 1000, (limit_ms % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  peer.sin_port = htons(static_cast<std::uint16_t>(port));
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string received;
  std::size_t head = std::string::npos;
  std::size_t length = 0;
  if (connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0 &&
      send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(text.size())) {
    char buffer[65536];
    while (head == std::string::npos || received.size() < head + 4 + length) {
      auto count = recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0) {
        close(fd);
        return result;
      }
      received.append(buffer, static_cast<std::size_t>(count));
      if (head == std::string::npos &&
          (head = received.find("\r\n\r\n")) != std::string::npos) {
        auto lower = received.substr(0, head);
        for (auto& each : lower) {
          each = static_cast<char>(std::tolower(each));
        }
        auto at = lower.find("content-length:");
        length = at == std::string::npos
                     ? 0
                     : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
      }
    }
    result.status = std::atoi(received.c_str() + received.find(' '));
    result.body = received.substr(head + 4, length);
  }
  close(fd);
  return result;
}

/// A child process; ended with this object.
class child {
 public:
  child(const std::vector<std::string>& words,
        const std::vector<std::string>& environment, const std::string& log) {
    int out[2];
    int in[2];
    if (pipe2(out, O_CLOEXEC) != 0 || pipe2(in, O_CLOEXEC) != 0) {
      throw cannot_run("no pipe");
    }
    pid_ = fork();
    if (pid_ == 0) {
      // Ends with the driver, also if that one is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(in[0], 0);
      if (log.empty()) {
        dup2(out[1], 1);
      } else {
        int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, 1);
        dup2(file, 2);
      }
      std::vector<char*> arguments;
      for (const auto& word : words) {
        arguments.push_back(const_cast<char*>(word.c_str()));
      }
      arguments.push_back(nullptr);
      for (const auto& each : environment) {
        putenv(const_cast<char*>(each.c_str()));
      }
      execv(arguments[0], arguments.data());
      _exit(127);
    }
    close(out[1]);
    close(in[0]);
    output_ = out[0];
    input_ = in[1];
  }
  ~child() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    close(output_);
    close(input_);
  }
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  std::string read_line(int limit_ms = 10000) {
    auto until = clock::now() + milliseconds(limit_ms);
    for (;;) {
      if (auto end = buffered_.find('\n'); end != std::string::npos) {
        auto line = buffered_.substr(0, end);
        buffered_.erase(0, end + 1);
        return line;
      }
      pollfd source{output_, POLLIN, 0};
      if (clock::now() > until) {
        throw cannot_run("no output of a child");
      }
      if (poll(&source, 1, 100) > 0) {
        char bytes[4096];
        auto count = read(output_, bytes, sizeof bytes);
        if (count <= 0) {
          throw cannot_run("a child has ended");
        }
        buffered_.append(bytes, static_cast<std::size_t>(count));
      }
    }
  }
  void send_signal(int number) const { kill(pid_, number); }
  pid_t pid() const { return pid_; }
  bool running() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
    }
    return pid_ > 0;
  }

 private:
  pid_t pid_ = -1;
  int input_ = -1;
  int output_ = -1;
  std::string buffered_;
};

inline int free_port() {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(fd, generic, size) != 0 || getsockname(fd, generic, &size) != 0) {
    throw cannot_run("no free port");
  }
  close(fd);
  return ntohs(address.sin_port);
}

struct world_options {
  int daemons = 3;
  int workers = 3;
  int domains = 3;
  int worker_cpu = 4000;
  int longest_lease_ms = 6000;
  /// @return the port at which a daemon reaches this port of the store.
  std::function<int(int)> store_port_of = [](int port) { return port; };
};

/// The platform's stand-in, its workers and the daemons.
class world {
 public:
  explicit world(const world_options& options, std::string record)
      : options_(options), record_(record) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw cannot_run("no temporary folder");
    }
    folder_ = pattern;
    platform_ = std::make_unique<child>(
        std::vector<std::string>{
            "build/review-3/bin/standin_platform",
            "--doors=" + std::to_string(options.daemons),
            "--workers=" + std::to_string(options.workers),
            "--domains=" + std::to_string(options.domains),
            "--cpu=" + std::to_string(options.worker_cpu),
            "--longest-lease=" + std::to_string(options.longest_lease_ms)},
        std::vector<std::string>{}, "");
    std::vector<int> ports;
    while (control_ == 0) {
      auto line = platform_->read_line();
      auto port = std::atoi(line.substr(line.rfind(' ') + 1).c_str());
      if (line.starts_with("control")) {
        control_ = port;
      } else if (line.starts_with("listening")) {
        ports.push_back(port);
      }
    }
    put("operator", "config", configuration(1).dump());
    for (int n = 0; n < options.daemons; ++n) {
      daemons_.emplace_back();
      daemons_.back().store_port =
          options.store_port_of(ports.at(static_cast<std::size_t>(n)));
      start_daemon(n);
    }
    for (int n = 0; n < options.daemons; ++n) {
      if (!eventually([&] { return is_ready(n); }, 15000)) {
        throw cannot_run("a daemon is not ready");
      }
    }
  }
  ~world() {
    daemons_.clear();
    platform_.reset();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_, ignored);
    }
  }

  static json configuration(int version) {
    return {{"version", version},
            {"routes",
             {{{"name", "queue-1"},
               {"host", "queue.example"},
               {"pathPrefix", "/queue/"},
               {"kind", "unsafe"},
               {"timeoutMs", 3000},
               {"targetLatencyMs", 1000},
               {"priority", 0},
               {"service", "service-1"},
               {"maxAttempts", 3},
               {"stretch", 2.0}}}},
            {"services", {{{"name", "service-1"}, {"admissionCheck", false}}}},
            {"limits", {{"maxBodyBytes", 262144}}}};
  }

  /// Starts a daemon; again if another program has taken one of its ports.
  void start_daemon(int n) {
    for (int attempt = 0; attempt < 5; ++attempt) {
      launch(n);
      auto& started = daemons_.at(static_cast<std::size_t>(n));
      eventually(
          [&] {
            return !started.process->running() ||
                   call(started.ready, "GET", "/v1/ready", "ready", "", 1000)
                           .status != 0;
          },
          5000);
      if (started.process->running()) {
        return;
      }
    }
    throw cannot_run("a daemon does not start");
  }
  void launch(int n) {
    auto& target = daemons_.at(static_cast<std::size_t>(n));
    target.callers = free_port();
    target.ready = free_port();
    auto endpoint = [](int port) {
      return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
    };
    auto name = "front-" + std::to_string(n + 1);
    auto settings = folder_ + "/" + name + ".toml";
    // As rendered from deploy/settings.toml.
    std::ofstream(settings)
        << "[instance]\nid = \"" << name << "\"\ndomain = \"domain-"
        << (n % options_.domains + 1) << "\"\n[listen]\ncallers = "
        << endpoint(target.callers) << "ready = " << endpoint(target.ready)
        << "metrics = " << endpoint(free_port())
        << "[store]\naddress = " << endpoint(target.store_port)
        << "[workers]\nlongest_lease_ms = " << options_.longest_lease_ms
        << "\nearly_start_ms = 250\nrun_stop_ms = 200\nrestore_ms = 100\n"
        << "[jobs]\nstate_retention_s = 120\n"
        << "[limits]\nstop_s = 6\nprocessor_share = 0.25\n"
        << "processor_speed = 1\n";
    target.process = std::make_unique<child>(
        std::vector<std::string>{"target/bin/vanillaladderd", "schedule",
                                 "--set=store.max_record_bytes=262144",
                                 "--set=store.max_call_bytes=2097152",
                                 "--set=limits.memory_mb=260",
                                 "--set=access.strict_revocation=",
                                 "--set=access.revocation_limit_ms="},
        std::vector<std::string>{"VANILLALADDER_SETTINGS=" + settings},
        folder_ + "/" + name + ".log");
  }
  bool is_ready(int n) {
    return call(daemons_.at(static_cast<std::size_t>(n)).ready, "GET",
                "/v1/ready", "ready", "", 1000)
               .status == 200;
  }
  child& daemon(int n) {
    return *daemons_.at(static_cast<std::size_t>(n)).process;
  }

  void control(const std::string& path, const json& body) {
    if (call(control_, "POST", path, "standin", body.dump()).status != 200) {
      throw cannot_run("the stand-in refused " + path);
    }
  }
  void put(const std::string& topic, const std::string& key,
           const std::string& value) {
    control("/put", {{"topic", topic}, {"key", key}, {"value", value}});
  }
  /// Changes what a worker of the stand-in does.
  void set_worker(const std::string& id, const json& values) {
    note("platform: worker " + id + " " + values.dump());
    control("/set?id=" + id, values);
  }
  json events() {
    auto got = call(control_, "GET", "/events?from=0", "standin");
    return json::parse(got.body).at("events");
  }
  json events_of(const std::string& name, const std::string& job) {
    auto found = json::array();
    for (const auto& each : events()) {
      if (each.at("event") == name &&
          each.value("task", "").starts_with(job + ".")) {
        found.push_back(each);
      }
    }
    return found;
  }
  /// @return the daemon that the newest lease record names, or -1.
  int leader() {
    auto got = call(control_, "POST", "/newest", "standin",
                    json{{"topic", "lease"}}.dump());
    auto holder = json::parse(got.body).value("leader", "");
    for (int n = 0; n < options_.daemons; ++n) {
      if (holder.starts_with("front-" + std::to_string(n + 1) + "-")) {
        return n;
      }
    }
    return -1;
  }

  int callers_port(int n) const {
    return daemons_.at(static_cast<std::size_t>(n)).callers;
  }
  answer request(int n, const std::string& method, const std::string& id,
                 const std::string& body = "", int limit_ms = 5000) {
    return call_at(n, method, "/queue/" + id, body, limit_ms);
  }
  answer call_at(int n, const std::string& method, const std::string& target,
                 const std::string& body = "", int limit_ms = 5000) {
    auto result =
        call(callers_port(n), method, target, "queue.example", body, limit_ms);
    note("consumer: " + method + " " + target + " at front-" +
         std::to_string(n + 1) + " " + body + " -> " +
         (result.status == 0 ? "no answer" : std::to_string(result.status)) +
         " " + result.body);
    return result;
  }
  /// Submits until it is accepted, as consumers do.
  void submit(int n, const std::string& id, const json& steps, int run_ms) {
    json body = {
        {"taskSpec", json{{"run_ms", run_ms}, {"gang", 0}}.dump()},
        {"steps", steps}};
    bool accepted = eventually(
        [&] { return request(n, "POST", id, body.dump()).status == 200; },
        10000);
    if (!accepted) {
      throw cannot_run("a submission was not accepted");
    }
  }
  std::string state(int n, const std::string& id) {
    auto got = request(n, "GET", id);
    return got.status == 200 ? json::parse(got.body).value("state", "")
                             : std::to_string(got.status);
  }

  void note(const std::string& line) {
    std::ofstream(record_, std::ios::app)
        << (now_us() - began_) / 1000 << " ms  " << line << "\n";
  }
  /// Writes what the workers saw.
  void note_events() {
    for (const auto& each : events()) {
      auto text = each;
      text.erase("at_us");
      text.erase("seq");
      std::ofstream(record_, std::ios::app)
          << (each.at("at_us").get<std::int64_t>() - began_) / 1000
          << " ms  runners: " << text.dump() << "\n";
    }
  }
  const std::string& folder() const { return folder_; }

 private:
  struct daemon_entry {
    int store_port = 0;
    int callers = 0;
    int ready = 0;
    std::unique_ptr<child> process;
  };
  world_options options_;
  std::string record_;
  std::string folder_;
  std::unique_ptr<child> platform_;
  int control_ = 0;
  std::vector<daemon_entry> daemons_;
  std::int64_t began_ = now_us();
};

inline bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Runs a case from the repository's root.
/// @param check returns a description of the broken rule, or an empty text.
inline int run(int argc, char** argv,
               const std::function<std::string(const std::string&)>& check) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " RECORD\n";
    return 2;
  }
  std::ofstream(argv[1], std::ios::trunc)
      << "trouble: " << (has_trouble() ? "yes" : "no") << "\n";
  try {
    auto broken = check(argv[1]);
    auto verdict = broken.empty() ? "held" : "broken: " + broken;
    std::ofstream(argv[1], std::ios::app) << "rule " << verdict << "\n";
    std::cout << "rule " << verdict << "\n";
    return broken.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::ofstream(argv[1], std::ios::app) << "not run: " << error.what() << "\n";
    std::cout << "not run: " << error.what() << "\n";
    return 2;
  }
}

}  // namespace trial
