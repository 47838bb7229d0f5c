#include "harness/cluster.h"

#include <stdlib.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "harness/eventually.h"

namespace vanillaladder::harness {
namespace {

std::uint16_t port_after(const std::string& line, const std::string& label) {
  auto at = line.find(label);
  if (at == std::string::npos) {
    throw std::runtime_error("no " + label + " in: " + line);
  }
  return static_cast<std::uint16_t>(std::stoi(line.substr(at + label.size())));
}

std::string option(const std::string& name, std::int64_t value) {
  return "--" + name + "=" + std::to_string(value);
}

}  // namespace

std::filesystem::path make_folder() {
  auto pattern =
      (std::filesystem::temp_directory_path() / "vl-test-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return pattern;
}

std::string find_faults(const std::filesystem::path& folder) {
  std::string found;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path());
    std::string line;
    while (std::getline(file, line)) {
      if (line.find("Sanitizer") != std::string::npos ||
          line.find("runtime error:") != std::string::npos ||
          line.find("terminate called") != std::string::npos) {
        found += entry.path().filename().string() + ": " + line + "\n";
      }
    }
  }
  return found;
}

standin::standin(caller& http, const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::filesystem::path& folder, std::size_t listeners)
    : http_(http), process_(program, arguments, folder / (program + ".err")) {
  for (std::size_t n = 0; n < listeners; ++n) {
    ports_.push_back(port_after(process_.read_line(), "listening "));
  }
  control_port_ = port_after(process_.read_line(), "control ");
}

void standin::set(const json& values, const std::string& id) {
  auto target = id.empty() ? "/set" : "/set?id=" + id;
  auto answer = http_.post(control_port_, target, values);
  if (answer.status != 200) {
    throw std::runtime_error("the stand-in refused a setting: " + answer.body);
  }
}

outcome standin::control(http::request message) {
  return http_.call(control_port_, std::move(message));
}

json standin::state() {
  return http_.get(control_port_, "/state").parsed();
}

std::vector<json> standin::events(const std::string& name) {
  std::vector<json> found;
  auto all = http_.get(control_port_, "/events").parsed();
  for (auto& event : all.at("events")) {
    if (name.empty() || event.at("event") == name) {
      found.push_back(std::move(event));
    }
  }
  return found;
}

cluster::cluster(cluster_options options)
    : options_(std::move(options)), folder_(make_folder()) {
  log_ = std::make_unique<standin>(http_, "standin_log",
                                   std::vector<std::string>{}, folder_, 1);
  instances_ = std::make_unique<standin>(
      http_, "standin_instances", std::vector<std::string>{}, folder_, 1);
  auto count = [](std::size_t n) { return static_cast<std::int64_t>(n); };
  workers_ = std::make_unique<standin>(
      http_, "standin_worker",
      std::vector{option("workers", count(options_.workers)),
                  option("cpu", options_.worker_cpu_millis),
                  option("memory", options_.worker_memory_mib),
                  option("accelerators", options_.worker_accelerators)},
      folder_, options_.workers);
  backends_ = std::make_unique<standin>(
      http_, "standin_backend",
      std::vector{option("backends", count(options_.backends))}, folder_,
      options_.backends);
  publish_instances();
  for (std::size_t n = 0; n < options_.daemons; ++n) {
    add_daemon();
  }
}

cluster::~cluster() {
  daemons_.clear();
  // Keeps the logs of a failed test.
  if (std::uncaught_exceptions() > 0 || !faults().empty()) {
    std::cerr << "logs are in " << folder_ << std::endl;
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string cluster::domain_of(std::size_t index) const {
  return "domain-" + std::to_string(index % options_.domains + 1);
}

std::string cluster::rack_of(std::size_t index) const {
  auto number = index / options_.domains % options_.racks_per_domain + 1;
  return domain_of(index) + "-rack-" + std::to_string(number);
}

std::string cluster::worker_id(std::size_t index) {
  return "worker-" + std::to_string(index + 1);
}

std::string cluster::backend_id(std::size_t index) {
  return "backend-" + std::to_string(index + 1);
}

void cluster::publish_instances() {
  auto entries = json::array();
  auto add = [&](const std::string& id, const char* kind, std::uint16_t port,
                 std::size_t index, json more) {
    more.update({{"id", id},
                 {"kind", kind},
                 {"address", "127.0.0.1"},
                 {"port", port},
                 {"domain", domain_of(index)},
                 {"rack", rack_of(index)},
                 {"state", "live"}});
    entries.push_back(std::move(more));
  };
  for (std::size_t n = 0; n < options_.workers; ++n) {
    add(worker_id(n), "worker", workers_->ports()[n], n,
        {{"cpu_millis", options_.worker_cpu_millis},
         {"memory_mib", options_.worker_memory_mib},
         {"accelerators", options_.worker_accelerators}});
  }
  for (std::size_t n = 0; n < options_.backends; ++n) {
    add(backend_id(n), "backend", backends_->ports()[n], n,
        {{"service", options_.service}, {"slots", 8}, {"connections", 64}});
  }
  instances_->control({"POST", "/entries", {}, entries.dump()});
}

std::filesystem::path cluster::write_settings(const daemon& target,
                                              std::uint16_t peer_port) {
  auto path = folder_ / (target.id + ".toml");
  std::ofstream file(path);
  file << "[instance]\nid = \"" << target.id << "\"\ndomain = \""
       << target.domain << "\"\n\n[listen]\naddress = \"127.0.0.1\"\n"
       << "caller_port = 0\noperator_port = 0\npeer_port = " << peer_port
       << "\n\n"
       << "[log]\naddress = \"127.0.0.1\"\nport = " << target.log_proxy->port()
       << "\n\n[instances]\naddress = \"127.0.0.1\"\nport = "
       << instances_->ports()[0] << "\n\n[limits]\n";
  for (const auto& [key, value] : options_.limits) {
    file << key << " = " << value << "\n";
  }
  file << "\n[logging]\nlevel = \"debug\"\n";
  return path;
}

void cluster::launch(daemon& target, std::uint16_t peer_port) {
  auto settings = write_settings(target, peer_port);
  target.process = std::make_unique<child>(
      "vanillaladderd",
      std::vector<std::string>{"--settings", settings.string()},
      folder_ / (target.id + ".err"));
  auto line = target.process->read_line();
  target.caller_port = port_after(line, "caller=");
  target.operator_port = port_after(line, "operator=");
  target.peer_port = port_after(line, "peer=");
}

void cluster::restart(std::size_t index) {
  launch(at(index));
}

void cluster::restart_at_same_peer_port(std::size_t index) {
  auto port = at(index).peer_port;
  std::string failure;
  bool started = eventually([&] {
    // Another process may have the port for its connections for a while.
    try {
      launch(at(index), port);
      return true;
    } catch (const std::runtime_error& error) {
      failure = error.what();
      return false;
    }
  });
  if (!started) {
    throw std::runtime_error("cannot restart " + at(index).id + ": " + failure);
  }
}

std::size_t cluster::add_daemon() {
  auto index = daemons_.size();
  auto target = std::make_unique<daemon>();
  target->id = "entry-" + std::to_string(index + 1);
  target->domain = domain_of(index);
  target->log_proxy = std::make_unique<fault_proxy>(log_->ports()[0]);
  launch(*target);
  daemons_.push_back(std::move(target));
  return index;
}

std::set<std::string> cluster::kill_rack(const std::string& rack) {
  std::set<std::string> lost;
  std::string list;
  for (std::size_t n = 0; n < options_.workers; ++n) {
    if (rack_of(n) == rack) {
      lost.insert(worker_id(n));
      list += (list.empty() ? "" : ",") + worker_id(n);
    }
  }
  if (lost.empty()) {
    throw std::runtime_error("no worker is in " + rack);
  }
  workers_->set({{"dead", true}}, list);
  return lost;
}

bool cluster::ready(std::size_t index) {
  return http_.get(at(index).operator_port, "/readyz").status == 200;
}

bool cluster::wait_until_ready(std::vector<std::size_t> indices) {
  if (indices.empty()) {
    for (std::size_t n = 0; n < daemons_.size(); ++n) {
      indices.push_back(n);
    }
  }
  for (auto index : indices) {
    if (!eventually([&] { return ready(index); })) {
      return false;
    }
  }
  return true;
}

outcome cluster::submit(std::size_t index, const std::string& key, int tasks,
                        std::int64_t run_ms, const json& more) {
  json body = {
      {"id", key},
      {"team", "reports"},
      {"class", "weekly"},
      {"tasks", tasks},
      {"resources",
       {{"cpu_millis", 1000}, {"memory_mib", 512}, {"accelerators", 0}}},
      {"command", "run:" + std::to_string(run_ms)},
      {"expected_run_ms", run_ms}};
  body.update(more);
  return http_.post(at(index).caller_port, "/v1/jobs", body);
}

json cluster::job(std::size_t index, const std::string& id) {
  return http_.get(at(index).caller_port, "/v1/jobs/" + id).parsed();
}

outcome cluster::patch(std::size_t index, const std::string& id,
                       const json& set) {
  auto port = at(index).operator_port;
  auto shown = http_.get(port, "/v1/config");
  auto config = shown.parsed();
  if (!config.is_object()) {
    return shown;
  }
  return http_.post(port, "/v1/config/patches",
                    {{"id", id},
                     {"author", "test"},
                     {"version", config.value("version", 0)},
                     {"seen_revision", config.value("revision", 0)},
                     {"set", set},
                     {"remove", json::array()}});
}

std::future<outcome> cluster::request(std::size_t index,
                                      const std::string& body, std::int64_t ms,
                                      std::vector<http::header> headers) {
  if (http::find_header(headers, "x-deadline-ms").empty()) {
    headers.push_back({"x-deadline-ms", "25000"});
  }
  return http_.start(
      at(index).caller_port,
      {"POST", "/" + options_.service + "/item?ms=" + std::to_string(ms),
       std::move(headers), body});
}

}  // namespace vanillaladder::harness
