#include "harness/child.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace vanillaladder::harness {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_interval{10};

struct pipe_pair {
  int read_end = -1;
  int write_end = -1;
};

pipe_pair make_pipe() {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  return {ends[0], ends[1]};
}

pid_t spawn(const std::string& program,
            const std::vector<std::string>& arguments, int input, int output,
            const std::string& error_file,
            const std::string& output_file = {}) {
  const char* folder = std::getenv("VL_BIN_DIR");
  auto path =
      std::string(folder == nullptr ? VL_BIN_DIR : folder) + "/" + program;
  std::vector<std::string> words = {path};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);

  posix_spawn_file_actions_t files{};
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, input, STDIN_FILENO);
  if (output_file.empty()) {
    posix_spawn_file_actions_adddup2(&files, output, STDOUT_FILENO);
  } else {
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, error_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  pid_t pid = -1;
  int error = posix_spawn(&pid, path.c_str(), &files, nullptr, pointers.data(),
                          environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
  return pid;
}

/// The guard process, started once; its input is the only thing kept.
int guard_input() {
  static const int input = [] {
    auto commands = make_pipe();
    spawn("process_guard", {}, commands.read_end, STDERR_FILENO, "/dev/null");
    close(commands.read_end);
    return commands.write_end;
  }();
  return input;
}

/// @return whether the guard still reads.
bool tell_guard(int guard, char what, pid_t pid) {
  auto line = what + std::to_string(pid) + "\n";
  return write(guard, line.data(), line.size()) > 0;
}

}  // namespace

child::child(const std::string& program,
             const std::vector<std::string>& arguments,
             std::filesystem::path error_file,
             const std::filesystem::path& output_file)
    : guard_(guard_input()), error_file_(std::move(error_file)) {
  std::signal(SIGPIPE, SIG_IGN);
  auto input = make_pipe();
  auto output = make_pipe();
  pid_ = spawn(program, arguments, input.read_end, output.write_end,
               error_file_.string(), output_file.string());
  bool guarded = tell_guard(guard_, '+', pid_);
  close(input.read_end);
  close(output.write_end);
  input_ = input.write_end;
  output_ = output.read_end;
  if (!guarded) {
    send_signal(SIGKILL);
    throw std::runtime_error("the process guard has ended");
  }
}

child::~child() {
  send_signal(SIGKILL);
  reap(0);
  close(input_);
  close(output_);
}

bool child::reap(int options) {
  if (exit_code_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, options) != pid_) {
    return false;
  }
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  tell_guard(guard_, '-', pid_);
  return true;
}

std::string child::read_line(std::chrono::milliseconds limit) {
  auto until = clock::now() + limit;
  auto end = buffered_.find('\n');
  while (end == std::string::npos) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - clock::now());
    pollfd source{output_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&source, 1, static_cast<int>(left.count())) <= 0) {
      throw std::runtime_error("no line within the limit: " + errors());
    }
    std::array<char, 4096> chunk{};
    auto size = read(output_, chunk.data(), chunk.size());
    if (size <= 0) {
      throw std::runtime_error("ended without a line: " + errors());
    }
    buffered_.append(chunk.data(), static_cast<std::size_t>(size));
    end = buffered_.find('\n');
  }
  auto line = buffered_.substr(0, end);
  buffered_.erase(0, end + 1);
  return line;
}

void child::send_signal(int number) {
  if (!reap(WNOHANG)) {
    kill(pid_, number);
  }
}

std::optional<int> child::wait_for_exit(std::chrono::milliseconds limit) {
  auto until = clock::now() + limit;
  while (!reap(WNOHANG) && clock::now() < until) {
    // waitpid has no time limit, so the end is polled for.
    std::this_thread::sleep_for(poll_interval);
  }
  return exit_code_;
}

bool child::running() {
  return !reap(WNOHANG);
}

std::string child::errors() const {
  std::ifstream file(error_file_);
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

}  // namespace vanillaladder::harness
