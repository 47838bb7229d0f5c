// Ends the children of a test program when it ends in any way: reads "+<pid>"
// and "-<pid>" lines and kills what is left at the end of the input.
#include <signal.h>

#include <iostream>
#include <set>
#include <string>

int main() {
  std::set<pid_t> children;
  std::string line;
  while (std::getline(std::cin, line)) {
    if (line.size() < 2) {
      continue;
    }
    auto pid = static_cast<pid_t>(std::stol(line.substr(1)));
    if (line[0] == '+') {
      children.insert(pid);
    } else {
      children.erase(pid);
    }
  }
  for (auto pid : children) {
    kill(pid, SIGKILL);
  }
  return 0;
}
