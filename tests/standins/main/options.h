#pragma once

#include <docopt/docopt.h>

#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <string>

namespace vanillaladder::standins {

/// The options of a stand-in program.
class program_options {
 public:
  explicit program_options(std::map<std::string, docopt::value> values)
      : values_(std::move(values)) {}

  std::uint16_t port() const { return port_of("--port"); }
  std::uint16_t control_port() const { return port_of("--control-port"); }
  std::int64_t number(const std::string& name) const {
    return values_.at(name).asLong();
  }
  std::string text(const std::string& name) const {
    return values_.at(name).asString();
  }

 private:
  std::uint16_t port_of(const std::string& name) const {
    return static_cast<std::uint16_t>(number(name));
  }

  std::map<std::string, docopt::value> values_;
};

/// Parses a command line; prints the usage and exits if it is wrong.
inline program_options parse_options(const char* usage, int argc, char** argv) {
  return program_options(docopt::docopt(usage, {argv + 1, argv + argc}));
}

/// Runs a program and reports its exceptions.
/// @return the exit code.
template <typename Program>
int run_program(Program program) noexcept {
  try {
    return program();
  } catch (const std::exception& error) {
    std::fputs(error.what(), stderr);
    return 1;
  }
}

}  // namespace vanillaladder::standins
