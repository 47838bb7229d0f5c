#include <fstream>
#include <iterator>
#include <ostream>

#include "cli/commands.h"

namespace vanillaladder::cli {
namespace {

using nlohmann::json;

void print_job(std::ostream& out, const json& job) {
  out << to_plain_text(job.value("id", json("?"))) << ": "
      << to_plain_text(job.value("state", json("?"))) << ", team "
      << to_plain_text(job.value("team", json("?"))) << ", class "
      << to_plain_text(job.value("class", json("?"))) << ", tasks";
  auto tasks = job.value("tasks", json::object());
  for (const auto& item : tasks.items()) {
    if (item.value() != 0) {
      out << " " << item.key() << " " << to_plain_text(item.value());
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
  json job = {{"id", text_option(args, "--key")},
              {"team", text_option(args, "--team")},
              {"class", text_option(args, "--class")},
              {"resources", json::object()}};
  if (auto command = text_option(args, "--command"); !command.empty()) {
    job["command"] = command;
  }
  const std::initializer_list<std::pair<const char*, json::json_pointer>>
      numbers{{"--tasks", "/tasks"_json_pointer},
              {"--cpu-millis", "/resources/cpu_millis"_json_pointer},
              {"--memory-mib", "/resources/memory_mib"_json_pointer},
              {"--accelerators", "/resources/accelerators"_json_pointer},
              {"--expected-run-ms", "/expected_run_ms"_json_pointer}};
  for (const auto& [option, place] : numbers) {
    auto number = number_option(args, option);
    if (!number.ok()) {
      return number.status();
    }
    if (*number) {
      job[place] = **number;
    }
  }
  return job;
}

std::string job_target(const context& ctx) {
  return "/v1/jobs/" + text_option(ctx.args, "<id>");
}

}  // namespace

exit_code submit_job(const context& ctx) {
  auto file = text_option(ctx.args, "<file>");
  auto job = file.empty() ? job_from_options(ctx.args) : job_from_file(file);
  if (!job.ok()) {
    return report_invalid(ctx.sink, job.status());
  }
  return report(ctx.sink, ctx.daemon.call("POST", "/v1/jobs", *job),
                access::write, [](std::ostream& out, const json& body) {
                  out << to_plain_text(body.value("id", json("?"))) << "\n";
                });
}

exit_code list_jobs(const context& ctx) {
  return report(
      ctx.sink, ctx.daemon.call("GET", "/v1/jobs"), access::read,
      [](std::ostream& out, const json& body) {
        auto jobs = body.is_array() ? body : body.value("jobs", json::array());
        for (const auto& job : jobs) {
          print_job(out, job);
        }
      });
}

exit_code show_job(const context& ctx) {
  return report(ctx.sink, ctx.daemon.call("GET", job_target(ctx)), access::read,
                print_job);
}

exit_code cancel_job(const context& ctx) {
  return report(ctx.sink, ctx.daemon.call("DELETE", job_target(ctx)),
                access::write, [](std::ostream& out, const json& body) {
                  out << to_plain_text(body.value("id", json("?")))
                      << ": cancelled\n";
                });
}

}  // namespace vanillaladder::cli
