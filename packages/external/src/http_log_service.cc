#include "external/http_log_service.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "json_call.h"

namespace vanillaladder::external {
namespace {

constexpr std::int64_t max_offset = std::int64_t{1} << 50;

detail::json_call make_call(const http_log_options& options, std::string step) {
  detail::json_call call;
  call.step = std::move(step);
  call.peer = "log";
  call.address = options.address;
  call.port = options.port;
  call.options.timeout = options.timeout;
  call.options.max_response_bytes = options.max_answer_bytes;
  return call;
}

std::string records_path(const std::string& stream) {
  return "/streams/" + detail::percent_encode(stream) + "/records";
}

log_entry decode_entry(const nlohmann::json& item) {
  log_entry entry;
  entry.offset = detail::integer_at(item, "offset", 0, max_offset);
  if (!absl::Base64Unescape(item.at("data").get<std::string>(), &entry.data)) {
    throw std::invalid_argument(
        "data of offset " + std::to_string(entry.offset) + " is not base64");
  }
  return entry;
}

/// Checks that the records are consecutive. A missing or reordered record would
/// corrupt the reader's state.
void check_offsets(const read_result& result, model::offset from,
                   std::size_t limit) {
  if (result.first > result.next || result.entries.size() > limit) {
    throw std::out_of_range("inconsistent offsets or too many records");
  }
  auto expected = std::max(from, result.first);
  for (const auto& entry : result.entries) {
    if (entry.offset != expected || entry.offset >= result.next) {
      throw std::out_of_range("unexpected offset " +
                              std::to_string(entry.offset) + ", expected " +
                              std::to_string(expected));
    }
    ++expected;
  }
}

read_result decode_read(const nlohmann::json& answer, model::offset from,
                        std::size_t limit) {
  read_result result;
  result.first = detail::integer_at(answer, "first", 0, max_offset);
  result.next = detail::integer_at(answer, "next", 0, max_offset);
  for (const auto& item : answer.at("records")) {
    result.entries.push_back(decode_entry(item));
  }
  check_offsets(result, from, limit);
  return result;
}

}  // namespace

http_log_service::http_log_service(http::event_loop& loop,
                                   http_log_options options)
    : options_(std::move(options)), client_(loop) {}

void http_log_service::append(const std::string& stream,
                              std::span<const std::string> records,
                              append_callback done) {
  auto call = make_call(options_, "append to " + stream);
  call.method = "POST";
  call.target = records_path(stream);
  auto encoded = nlohmann::json::array();
  for (const auto& record : records) {
    encoded.push_back(absl::Base64Escape(record));
  }
  call.body = {{"records", std::move(encoded)}};
  auto step = call.step;
  auto peer = detail::peer_name(call);
  detail::send_json(
      client_, std::move(call),
      [step, peer, done = std::move(done)](auto answer) {
        done(detail::decode_answer(answer, step, peer, [](const auto& body) {
          return detail::integer_at(body, "offset", 0, max_offset);
        }));
      });
}

void http_log_service::read(const std::string& stream, model::offset from,
                            std::size_t limit, std::chrono::milliseconds wait,
                            read_callback done) {
  auto call = make_call(options_, "read from " + stream);
  call.method = "GET";
  call.target = records_path(stream) + "?from=" + std::to_string(from) +
                "&limit=" + std::to_string(limit) +
                "&wait_ms=" + std::to_string(wait.count());
  call.options.timeout += wait;
  auto step = call.step;
  auto peer = detail::peer_name(call);
  detail::send_json(
      client_, std::move(call),
      [step, peer, from, limit, done = std::move(done)](auto answer) {
        done(detail::decode_answer(answer, step, peer,
                                   [from, limit](const auto& body) {
                                     return decode_read(body, from, limit);
                                   }));
      });
}

}  // namespace vanillaladder::external
