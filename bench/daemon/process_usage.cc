#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace vanillaladder::bench {

process_usage read_usage(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string line;
  std::getline(file, line);
  // The program's name may hold spaces; fields are counted after it.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  for (int field = 3; field < 14; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  for (int field = 16; field < 24; ++field) {
    fields >> skipped;
  }
  double resident_pages = 0;
  fields >> resident_pages;
  process_usage usage;
  usage.cpu_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_mib =
      resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
  return usage;
}

std::uint64_t loopback_bytes() {
  std::ifstream file("/proc/net/dev");
  std::string line;
  while (std::getline(file, line)) {
    auto name = line.find("lo:");
    if (name != std::string::npos) {
      return std::stoull(line.substr(name + 3));
    }
  }
  return 0;
}

}  // namespace vanillaladder::bench
