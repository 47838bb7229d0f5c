#include <ostream>

#include "cli/commands.h"
#include "runtime/settings.h"

namespace vanillaladder::cli {

exit_code check_settings(const context& in) {
  auto settings = runtime::load_settings(text_of(in.args, "<file>"));
  if (!settings.ok()) {
    return report_invalid(in.to, settings.status());
  }
  in.to.out << (in.to.json ? R"({"result": "ok"})" : "ok") << "\n";
  return exit_code::ok;
}

exit_code show_health(const context& in) {
  auto alive = in.daemon.call("GET", "/healthz");
  auto code = report(
      in.to, alive, access::read,
      [](std::ostream& out, const nlohmann::json&) { out << "alive\n"; });
  if (code != exit_code::ok) {
    return code;
  }
  return report(
      in.to, in.daemon.call("GET", "/readyz"), access::read,
      [](std::ostream& out, const nlohmann::json&) { out << "ready\n"; });
}

}  // namespace vanillaladder::cli
