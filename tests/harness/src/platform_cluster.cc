#include "harness/platform_cluster.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

#include "harness/eventually.h"

namespace vanillaladder::harness {
namespace {

namespace platform = standins::platform;

constexpr int launch_attempts = 5;

/// @return a port that was free just now.
std::uint16_t free_port() {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  bool found = bind(descriptor, generic, size) == 0 &&
               getsockname(descriptor, generic, &size) == 0;
  close(descriptor);
  if (!found) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

std::string endpoint(std::uint16_t port) {
  return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

http::request to_queue(const char* method, const std::string& id,
                       const std::string& body = "") {
  http::request message{method, platform::queue_prefix + id, {}, body};
  message.host = platform::queue_host;
  if (!body.empty()) {
    message.headers.push_back({"content-type", "application/json"});
  }
  return message;
}

}  // namespace

platform_cluster::platform_cluster(platform_options options)
    : options_(std::move(options)), folder_(make_folder()) {
  auto option = [](const char* name, auto value) {
    return std::string("--") + name + "=" + std::to_string(value);
  };
  platform_ = std::make_unique<standin>(
      http_, "standin_platform",
      std::vector{option("doors", options_.daemons),
                  option("workers", options_.workers),
                  option("domains", options_.domains),
                  option("labels", options_.labels),
                  option("cpu", options_.worker_cpu_millis),
                  option("longest-lease", options_.longest_lease_ms)},
      folder_, options_.daemons + options_.workers);
  put("operator", platform::configuration_key,
      platform::configuration(1).dump());
  for (std::size_t n = 0; n < options_.daemons; ++n) {
    auto target = std::make_unique<running_daemon>();
    target->id = "entry-" + std::to_string(n + 1);
    target->store_port = platform_->ports().at(n);
    if (n < options_.processor_shares.size()) {
      target->processor_share = options_.processor_shares[n];
    }
    launch(*target);
    daemons_.push_back(std::move(target));
  }
}

platform_cluster::~platform_cluster() {
  daemons_.clear();
  // Keeps the logs of a failed test.
  if (std::uncaught_exceptions() > 0 || !faults().empty()) {
    std::cerr << "logs are in " << folder_ << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void platform_cluster::launch(running_daemon& target) {
  for (int attempt = 0; attempt < launch_attempts; ++attempt) {
    target.caller_port = free_port();
    target.ready_port = free_port();
    auto settings = folder_ / (target.id + ".toml");
    std::ofstream(settings)
        << "[instance]\nid = \"" << target.id << "\"\ndomain = \"domain-1\"\n"
        << "[listen]\ncallers = " << endpoint(target.caller_port)
        << "ready = " << endpoint(target.ready_port)
        << "metrics = " << endpoint(free_port())
        << "[store]\naddress = " << endpoint(target.store_port)
        << "[workers]\nlongest_lease_ms = " << options_.longest_lease_ms
        << "\nrun_stop_ms = 50\n"
        << "[limits]\nstop_ms = 3000\nprocessor_share = "
        << target.processor_share << "\n"
        << options_.extra_limits;
    target.process = std::make_unique<child>(
        "vanillaladderd",
        std::vector<std::string>{"schedule", "--settings", settings.string()},
        folder_ / (target.id + ".err"), folder_ / (target.id + ".log"));
    auto answers = [&] {
      return http_.get(target.ready_port, "/").status != 0 ||
             !target.process->running();
    };
    // Another process may have taken one of the ports.
    if (eventually(answers) && target.process->running()) {
      return;
    }
  }
  throw std::runtime_error("cannot start " + target.id + ": " +
                           target.process->errors());
}

void platform_cluster::restart(std::size_t daemon) {
  launch(*daemons_.at(daemon));
}

bool platform_cluster::ready(std::size_t daemon) {
  return http_.get(daemons_.at(daemon)->ready_port, "/").status == 200;
}

bool platform_cluster::wait_until_ready() {
  for (std::size_t n = 0; n < daemons_.size(); ++n) {
    if (!eventually([&] { return ready(n); })) {
      return false;
    }
  }
  return true;
}

std::optional<std::size_t> platform_cluster::leader() {
  // The record begins with the daemon's id and the number of its process.
  auto record = newest("lease").value("leader", "");
  for (std::size_t n = 0; n < daemons_.size(); ++n) {
    if (record.starts_with(daemons_[n]->id + "-") &&
        daemons_[n]->process->running()) {
      return n;
    }
  }
  return std::nullopt;
}

std::size_t platform_cluster::wait_for_leader() {
  std::optional<std::size_t> found;
  if (!eventually([&] { return (found = leader()).has_value(); })) {
    throw std::runtime_error("no daemon leads");
  }
  return *found;
}

std::size_t platform_cluster::follower() {
  return (wait_for_leader() + 1) % daemons_.size();
}

std::string platform_cluster::log_of(std::size_t daemon) const {
  std::ifstream file(folder_ / (daemons_.at(daemon)->id + ".log"));
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

outcome platform_cluster::submit(std::size_t daemon, const std::string& id,
                                 const json& submission) {
  return http_.call(daemons_.at(daemon)->caller_port,
                    to_queue("POST", id, submission.dump()));
}

outcome platform_cluster::cancel(std::size_t daemon, const std::string& id) {
  return http_.call(daemons_.at(daemon)->caller_port, to_queue("DELETE", id));
}

std::string platform_cluster::state(std::size_t daemon, const std::string& id) {
  auto answer =
      http_.call(daemons_.at(daemon)->caller_port, to_queue("GET", id));
  return answer.status == 200 ? platform::state_in(answer.body)
                              : std::to_string(answer.status);
}

void platform_cluster::control(const std::string& path, const json& body) {
  auto answer = platform_->control(
      {"POST", path, {{"content-type", "application/json"}}, body.dump()});
  if (answer.status != 200) {
    throw std::runtime_error("the platform's stand-in refused " + path + ": " +
                             answer.body);
  }
}

void platform_cluster::set_store(const json& values) {
  control("/store", values);
}

void platform_cluster::set_workers(const json& values, const std::string& ids) {
  platform_->set(values, ids);
}

void platform_cluster::put(const std::string& topic, const std::string& key,
                           const std::string& value) {
  control("/put", {{"topic", topic}, {"key", key}, {"value", value}});
}

void platform_cluster::forget(const std::string& topic) {
  control("/forget", {{"topic", topic}});
}

json platform_cluster::newest(const std::string& topic) {
  return platform_
      ->control({"POST",
                 "/newest",
                 {{"content-type", "application/json"}},
                 json{{"topic", topic}}.dump()})
      .parsed();
}

std::vector<json> platform_cluster::events(const std::string& name) {
  return platform_->events(name);
}

std::vector<json> platform_cluster::starts_of(const std::string& job) {
  auto starts = events("start");
  std::erase_if(starts, [&](const json& each) {
    return !each.at("task").get<std::string>().starts_with(job + ".");
  });
  return starts;
}

std::size_t platform_cluster::running(const std::string& job) {
  std::size_t count = 0;
  for (const auto& each : events()) {
    auto task = each.value("task", "");
    if (task.starts_with(job + ".")) {
      auto name = each.at("event").get<std::string>();
      count += name == "start" ? 1 : 0;
      count -= name == "end" || name == "lost" ? 1 : 0;
    }
  }
  return count;
}

}  // namespace vanillaladder::harness
