#include <fstream>
#include <iterator>
#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

void print_job(std::ostream& out, const json& job) {
  out << plain(job.value("id", json("?"))) << ": "
      << plain(job.value("state", json("?"))) << ", team "
      << plain(job.value("team", json("?"))) << ", class "
      << plain(job.value("class", json("?"))) << ", tasks";
  auto tasks = job.value("tasks", json::object());
  for (const auto& item : tasks.items()) {
    if (item.value() != 0) {
      out << " " << item.key() << " " << plain(item.value());
    }
  }
  out << "\n";
}

absl::StatusOr<json> job_from_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) {
    return absl::NotFoundError("read job: cannot read " + path);
  }
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    return absl::InvalidArgumentError(path + ": " + error.what() +
                                      "; allowed: a JSON object");
  }
}

absl::StatusOr<json> job_from_options(const arguments& args) {
  json job = {{"id", text_of(args, "--key")},
              {"team", text_of(args, "--team")},
              {"class", text_of(args, "--class")},
              {"resources", json::object()}};
  if (auto command = text_of(args, "--command"); !command.empty()) {
    job["command"] = command;
  }
  const std::initializer_list<std::pair<const char*, json::json_pointer>>
      numbers{{"--tasks", "/tasks"_json_pointer},
              {"--cpu-millis", "/resources/cpu_millis"_json_pointer},
              {"--memory-mib", "/resources/memory_mib"_json_pointer},
              {"--accelerators", "/resources/accelerators"_json_pointer},
              {"--expected-run-ms", "/expected_run_ms"_json_pointer}};
  for (const auto& [option, place] : numbers) {
    auto number = number_of(args, option);
    if (!number.ok()) {
      return number.status();
    }
    if (*number) {
      job[place] = **number;
    }
  }
  return job;
}

std::string job_target(const context& in) {
  return "/v1/jobs/" + text_of(in.args, "<id>");
}

}  // namespace

exit_code submit_job(const context& in) {
  auto file = text_of(in.args, "<file>");
  auto job = file.empty() ? job_from_options(in.args) : job_from_file(file);
  if (!job.ok()) {
    return report_invalid(in.to, job.status());
  }
  return report(in.to, in.daemon.call("POST", "/v1/jobs", *job), access::write,
                [](std::ostream& out, const json& body) {
                  out << plain(body.value("id", json("?"))) << "\n";
                });
}

exit_code list_jobs(const context& in) {
  return report(
      in.to, in.daemon.call("GET", "/v1/jobs"), access::read,
      [](std::ostream& out, const json& body) {
        auto jobs = body.is_array() ? body : body.value("jobs", json::array());
        for (const auto& job : jobs) {
          print_job(out, job);
        }
      });
}

exit_code show_job(const context& in) {
  return report(in.to, in.daemon.call("GET", job_target(in)), access::read,
                print_job);
}

exit_code cancel_job(const context& in) {
  return report(in.to, in.daemon.call("DELETE", job_target(in)), access::write,
                [](std::ostream& out, const json& body) {
                  out << plain(body.value("id", json("?"))) << ": cancelled\n";
                });
}

}  // namespace vanillaladder::cli
