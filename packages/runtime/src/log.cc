#include "runtime/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

#include "runtime/log_text.h"

namespace vanillaladder::runtime {
namespace {

log4cxx::LevelPtr to_log4cxx_level(log_level level) {
  switch (level) {
    case log_level::debug:
      return log4cxx::Level::getDebug();
    case log_level::info:
      return log4cxx::Level::getInfo();
    case log_level::warn:
      return log4cxx::Level::getWarn();
    case log_level::error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

}  // namespace

void init_logging(log_level level) {
  auto layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd HH:mm:ss.SSS} %p %c: %m%n");
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx_level(level));
}

logger::logger(std::string_view part) : part_(part) {}

void logger::debug(std::string_view line) const {
  write(log_level::debug, line);
}

void logger::info(std::string_view line) const {
  write(log_level::info, line);
}

void logger::warn(std::string_view line) const {
  write(log_level::warn, line);
}

void logger::error(std::string_view line) const {
  write(log_level::error, line);
}

void logger::write(log_level level, std::string_view line) const {
  auto part_logger = log4cxx::Logger::getLogger(part_);
  auto log4cxx_level = to_log4cxx_level(level);
  if (part_logger->isEnabledFor(log4cxx_level)) {
    std::string text;
    append_log_text(text, line);
    part_logger->forcedLog(log4cxx_level, text);
  }
}

}  // namespace vanillaladder::runtime
