#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "runners.hpp"

namespace review {

/// A case that could not run.
struct cannot_run : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void pause_for(ms time) { std::this_thread::sleep_for(time); }

/// Waits until a condition holds.
template <class Condition>
bool wait_until(ms time_limit, Condition holds, ms interval = ms(10)) {
  auto until = steady::now() + time_limit;
  while (!holds()) {
    if (steady::now() > until) {
      return false;
    }
    pause_for(interval);
  }
  return true;
}

/// One daemon as a process, with the command and the settings template of the
/// deploy file.
class daemon_process {
 public:
  daemon_process(const std::string& name, const std::string& ip,
                 const std::string& zone, const std::string& store,
                 const std::filesystem::path& folder,
                 const fleet_bounds& bounds)
      : ip_(ip), front_(free_port(ip)), ready_(free_port(ip)) {
    std::ifstream file("deploy/settings.toml");
    std::string text((std::istreambuf_iterator<char>(file)), {});
    std::map<std::string, std::string> values = {
        {"node", name},
        {"zone", zone},
        {"ip", ip},
        {"listenAddrs.front", ip + ":" + std::to_string(front_)},
        {"listenAddrs.ready", ip + ":" + std::to_string(ready_)},
        {"platform.address", store},
        {"bounds.maxHoldMs", std::to_string(bounds.max_hold.count())},
        {"bounds.early_ms", "250"},
        {"bounds.stopTimeoutMs", std::to_string(bounds.stop_time.count())},
        {"bounds.restoreMs", "100"},
        {"bounds.status_s", "120"},
        {"bounds.graceS", "6"},
        {"limits.cpuShare", "0.25"},
        {"limits.cores", "1"}};
    for (const auto& [key, value] : values) {
      auto mark = "{{" + key + "}}";
      for (std::size_t at = 0; (at = text.find(mark)) != std::string::npos;) {
        text.replace(at, mark.size(), value);
      }
    }
    settings_ = folder / (name + ".settings");
    std::ofstream(settings_) << text;
    log_ = folder / (name + ".log");
    start();
  }
  ~daemon_process() { stop(); }
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  void start() {
    auto variable = "VANILLALADDER_SETTINGS=" + settings_.string();
    int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644);
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      const char* path = std::getenv("PATH");
      std::string path_variable =
          std::string("PATH=") + (path == nullptr ? "" : path);
      char program[] = "target/bin/vanillaladderd";
      char role[] = "schedule";
      char* arguments[] = {program, role, nullptr};
      char* environment[] = {variable.data(), path_variable.data(), nullptr};
      execve(program, arguments, environment);
      _exit(127);
    }
    close(out);
  }
  void kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = 0;
    }
  }
  void stop() {
    if (pid_ > 0) {
      ::kill(pid_, SIGTERM);
      for (int n = 0; n < 50; ++n) {
        if (waitpid(pid_, nullptr, WNOHANG) != 0) {
          pid_ = 0;
          return;
        }
        pause_for(ms(10));
      }
      kill();
    }
  }
  bool ready() const {
    return http_call(ip_, ready_, "GET", "/v1/ready", "ready", "", ms(500)) ==
           200;
  }
  int call(const std::string& method, const std::string& path,
           const std::string& body, std::string* answer = nullptr) const {
    return http_call(ip_, front_, method, path, "nony24.example", body,
                     ms(3000), answer);
  }

 private:
  static std::uint16_t free_port(const std::string& ip) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = address_of(ip, 0);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0) {
      close(fd);
      throw cannot_run("no free port");
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
  }

  std::string ip_;
  std::uint16_t front_;
  std::uint16_t ready_;
  std::filesystem::path settings_;
  std::filesystem::path log_;
  pid_t pid_ = 0;
};

/// The platform, the runners, three daemons and a consumer.
class world {
 public:
  world(const std::string& record_path, const std::string& log_folder)
      : record(record_path),
        folder_(make_folder()),
        log_folder_(log_folder),
        // Addresses that no other case uses at the same time.
        net_("127." + std::to_string(64 + getpid() % 128) + "." +
             std::to_string(getpid() / 128 % 250) + "."),
        store(net_ + "1"),
        runners(store, record, "huvo11a", bounds) {
    const char* trouble_text = std::getenv("TROUBLE");
    trouble = trouble_text == nullptr || std::string(trouble_text) != "0";
    record.line(std::string("trouble=") + (trouble ? "1" : "0"));
    json routes = json::array();
    auto add_route = [&](const char* name, const char* prefix, int priority,
                         int attempts, double stretch, int latency) {
      routes.push_back({{"name", name},
                        {"host", "nony24.example"},
                        {"pathPrefix", prefix},
                        {"kind", "unsafe"},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", latency},
                        {"priority", priority},
                        {"service", "huvo11a"},
                        {"maxAttempts", attempts},
                        {"stretch", stretch}});
    };
    add_route("r-quote", "/quote/", 0, 2, 1.5, 250);
    add_route("r-sheet", "/sheet/", 2, 2, 2.0, 1000);
    add_route("r-sync", "/sync/", 0, 3, 2.2, 2500);
    store.put("keyed.op", "config",
              json{{"version", 7},
                   {"routes", routes},
                   {"services",
                    {{{"name", "huvo11a"},
                      {"healthPath", "/health"},
                      {"maxConns", 64},
                      {"protocol", "h1"},
                      {"tls", false},
                      {"coldStartS", 0.0},
                      {"coldPerS", 0.0},
                      {"admissionCheck", false},
                      {"standby", false}}}},
                   {"limits",
                    {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 262144},
                     {"headerTimeoutMs", 3000},
                     {"idleTimeoutMs", 15000}}}}
                  .dump());
  }
  /// Ends the daemons and removes the temporary folder.
  void finish() {
    daemons.clear();
    if (!log_folder_.empty()) {
      std::filesystem::create_directories(log_folder_);
      std::filesystem::copy(folder_, log_folder_,
                            std::filesystem::copy_options::recursive |
                                std::filesystem::copy_options::
                                    overwrite_existing);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void add_runners(int count, const std::string& zone,
                   const std::string& kind = "a", int gpu = 0) {
    for (int n = 0; n < count; ++n) {
      int number = ++last_runner_;
      runner_spec spec;
      spec.id = runner(number);
      spec.zone = zone;
      spec.kind = kind;
      spec.gpu = gpu;
      spec.rack = "r1-" + std::to_string(number);
      runners.add(spec, net_ + std::to_string(100 + number));
    }
  }
  static std::string runner(int number) {
    return "i-" + std::to_string(10000000 + number);
  }

  /// Starts the daemons and waits until a task has run.
  void start_daemons() {
    const char* zones[] = {"parnu-a", "tartu-b", "viljandi-c"};
    for (int n = 0; n < 3; ++n) {
      daemons.push_back(std::make_unique<daemon_process>(
          std::string("front-") + zones[n] + "-1",
          net_ + std::to_string(10 + n), zones[n], store.address(), folder_,
          bounds));
    }
    for (const auto& each : daemons) {
      if (!wait_until(ms(15000), [&] { return each->ready(); })) {
        throw cannot_run("a daemon does not become ready");
      }
    }
    auto id = new_id();
    if (submit("/quote/", id, {{"taskSpec", "100+0"}, {"steps", {step(1)}}}) !=
            200 ||
        !wait_until(ms(15000),
                    [&] { return state("/quote/", id) == "completed"; },
                    ms(200))) {
      throw cannot_run("no task runs");
    }
  }

  std::string new_id() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  0x5c0e7a2100000000ULL +
                      0x1000ULL * static_cast<unsigned>(getpid()) + ++last_id_);
    return text;
  }
  static json step(int count) {
    return {{"count", count}, {"cpu", 500}, {"memMb", 256},
            {"estRuntimeMs", 900}};
  }

  /// Hands a submission in, at another daemon after each try without a clear
  /// answer.
  /// @return the status of the last answer, or 0.
  int submit(const std::string& prefix, const std::string& id,
             const json& body) {
    int status = 0;
    for (int attempt = 0; attempt < 5; ++attempt) {
      status = call(next_daemon(), "POST", prefix + id, body.dump());
      if (status == 200 || status == 404) {
        break;
      }
      pause_for(ms(1000));
    }
    return status;
  }
  std::string state(const std::string& prefix, const std::string& id) {
    std::string answer;
    int status = call(next_daemon(), "GET", prefix + id, "", &answer);
    if (status != 200) {
      return std::to_string(status);
    }
    return json::parse(answer).value("state", "");
  }
  int call(const daemon_process& daemon, const std::string& method,
           const std::string& path, const std::string& body,
           std::string* answer = nullptr) {
    std::string text;
    int status = daemon.call(method, path, body, &text);
    record.line("consumer " + method + " " + path + " -> " +
                std::to_string(status) + " " + text);
    if (answer != nullptr) {
      *answer = text;
    }
    return status;
  }
  daemon_process& next_daemon() {
    return *daemons[++last_daemon_ % daemons.size()];
  }

  fleet_bounds bounds;
  recorder record;
  bool trouble = true;

 private:
  static std::filesystem::path make_folder() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw cannot_run("no temporary folder");
    }
    return pattern;
  }

  std::filesystem::path folder_;
  std::string log_folder_;
  std::string net_;
  int last_runner_ = 0;
  int last_id_ = 0;
  std::size_t last_daemon_ = 0;

 public:
  log_store store;
  fleet runners;
  std::vector<std::unique_ptr<daemon_process>> daemons;
};

}  // namespace review
