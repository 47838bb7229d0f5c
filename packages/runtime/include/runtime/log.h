#pragma once

#include <string>
#include <string_view>

#include "absl/status/status.h"

/// Logging through log4cxx, with a fixed prefix for each part of the process.
namespace vanillaladder::runtime {

enum class log_level { debug, info, warn, error };

/// Configures the process-wide log output to standard error.
/// @param level minimum level that is written.
void init_logging(log_level level);

/// Logger for one part of the process.
class logger {
 public:
  /// @param part prefix of every line, such as "front".
  explicit logger(std::string_view part);

  void debug(std::string_view line) const;
  void info(std::string_view line) const;
  void warn(std::string_view line) const;
  void error(std::string_view line) const;

 private:
  void write(log_level level, std::string_view line) const;

  std::string part_;
};

}  // namespace vanillaladder::runtime
