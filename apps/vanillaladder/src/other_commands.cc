#include <ostream>

#include "cli/commands.h"
#include "runtime/settings.h"

namespace vanillaladder::cli {

exit_code check_settings(const context& ctx) {
  auto settings = runtime::load_settings(text_option(ctx.args, "<file>"));
  if (!settings.ok()) {
    return report_invalid(ctx.sink, settings.status());
  }
  ctx.sink.out << (ctx.sink.json ? R"({"result": "ok"})" : "ok") << "\n";
  return exit_code::ok;
}

exit_code show_health(const context& ctx) {
  auto alive = ctx.daemon.call("GET", "/healthz");
  auto code = report(
      ctx.sink, alive, access::read,
      [](std::ostream& out, const nlohmann::json&) { out << "alive\n"; });
  if (code != exit_code::ok) {
    return code;
  }
  return report(
      ctx.sink, ctx.daemon.call("GET", "/readyz"), access::read,
      [](std::ostream& out, const nlohmann::json&) { out << "ready\n"; });
}

}  // namespace vanillaladder::cli
