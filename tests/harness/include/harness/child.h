#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

/// Runs the real programs for process tests.
namespace vanillaladder::harness {

/// Generous limit for things that must happen; never a measurement.
inline constexpr std::chrono::seconds generous_limit{60};

/// A child process; it is ended with this object, and also if the test
/// program itself is killed.
class child {
 public:
  /// Starts a program of the build's bin folder, or of the folder that the
  /// environment variable `VL_BIN_DIR` names.
  /// @param error_file gets its standard error.
  /// @param output_file gets its standard output, if it is not read by lines.
  /// @throws std::runtime_error if it cannot be started.
  child(const std::string& program, const std::vector<std::string>& arguments,
        std::filesystem::path error_file,
        const std::filesystem::path& output_file = {});
  ~child();
  child(const child&) = delete;
  child& operator=(const child&) = delete;

  /// @return the next line of its standard output.
  /// @throws std::runtime_error at the end of the output or after the limit.
  std::string read_line(std::chrono::milliseconds limit = generous_limit);
  /// Sends a signal; does nothing once it has ended.
  void send_signal(int number);
  /// Waits for its end.
  /// @return the exit code, or 128 plus the number of the signal that ended
  ///   it, or nothing after the limit.
  std::optional<int> wait_for_exit(
      std::chrono::milliseconds limit = generous_limit);
  /// @return whether it has not ended.
  bool running();
  /// @return its process id, for measurements.
  pid_t pid() const { return pid_; }
  /// @return what it wrote to its standard error.
  std::string errors() const;

 private:
  bool reap(int options);

  int guard_;
  pid_t pid_ = -1;
  int input_ = -1;
  int output_ = -1;
  std::string buffered_;
  std::filesystem::path error_file_;
  std::optional<int> exit_code_;
};

}  // namespace vanillaladder::harness
