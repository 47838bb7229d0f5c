#include <iostream>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "runtime/log.h"

int main(int argc, char** argv) {
  using namespace vanillaladder;
  runtime::init_logging(runtime::log_level::error);
  return cli::run(std::vector<std::string>(argv + 1, argv + argc), std::cout,
                  std::cerr);
}
