#include "http/detail/request_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace vanillaladder::http::detail {
namespace {

std::string to_lower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(), [](unsigned char each) {
    return static_cast<char>(std::tolower(each));
  });
  return lower;
}

/// Resolves "%XX" in place.
/// @return false if the text would contain a control character.
bool decode_escapes(std::string& text) {
  std::string decoded;
  for (std::size_t n = 0; n < text.size(); ++n) {
    char each = text[n];
    bool is_escape = each == '%' && n + 2 < text.size() &&
                     std::isxdigit(static_cast<unsigned char>(text[n + 1])) &&
                     std::isxdigit(static_cast<unsigned char>(text[n + 2]));
    if (is_escape) {
      each = static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, 16));
      n += 2;
    }
    if (static_cast<unsigned char>(each) < 0x20 || each == 0x7f) {
      return false;
    }
    decoded += each;
  }
  text = std::move(decoded);
  return true;
}

bool requires_content_length(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

}  // namespace

struct request_reader::parser {
  static request_reader& reader_of(http_parser* native) {
    return *static_cast<request_reader*>(native->data);
  }
  static const http_parser_settings& callbacks();
  void store_header(request_reader& reader) const;

  http_parser native{};
};

/// Keeps the header that has just been read, if it is a known one.
void request_reader::parser::store_header(request_reader& reader) const {
  auto name = to_lower(reader.header_name_);
  if (name == "host") {
    reader.message_.host = std::move(reader.header_value_);
  } else if (name == "expect") {
    reader.expects_continue_ = to_lower(reader.header_value_) == "100-continue";
  } else if (std::ranges::find(known_headers(), name) !=
             known_headers().end()) {
    reader.message_.headers.push_back(
        {std::move(name), std::move(reader.header_value_)});
  }
  reader.header_name_.clear();
  reader.header_value_.clear();
}

const http_parser_settings& request_reader::parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_message_begin = [](http_parser* native) {
      reader_of(native).state_ = state::reading_head;
      return 0;
    };
    result.on_url = [](http_parser* native, const char* data,
                       std::size_t length) {
      reader_of(native).message_.target.append(data, length);
      return 0;
    };
    result.on_header_field = [](http_parser* native, const char* data,
                                std::size_t length) {
      auto& reader = reader_of(native);
      if (!reader.reading_header_name_ && !reader.header_name_.empty()) {
        reader.parser_->store_header(reader);
      }
      reader.reading_header_name_ = true;
      reader.header_name_.append(data, length);
      return 0;
    };
    result.on_header_value = [](http_parser* native, const char* data,
                                std::size_t length) {
      auto& reader = reader_of(native);
      reader.reading_header_name_ = false;
      reader.header_value_.append(data, length);
      return 0;
    };
    result.on_headers_complete = [](http_parser* native) {
      return reader_of(native).on_head_complete();
    };
    result.on_body = [](http_parser* native, const char* data,
                        std::size_t length) {
      reader_of(native).append_body({data, length});
      return 0;
    };
    result.on_message_complete = [](http_parser* native) {
      auto& reader = reader_of(native);
      reader.state_ = state::complete;
      reader.keep_alive_ = http_should_keep_alive(native) != 0;
      // What follows belongs to the next request.
      http_parser_pause(native, 1);
      return 0;
    };
    return result;
  }();
  return settings;
}

request_reader::request_reader(std::size_t max_head_bytes,
                               std::size_t max_body_bytes)
    : max_head_bytes_(max_head_bytes),
      max_body_bytes_(max_body_bytes),
      parser_(std::make_unique<parser>()) {
  reset();
}

request_reader::~request_reader() = default;

void request_reader::reset() {
  http_parser_init(&parser_->native, HTTP_REQUEST);
  parser_->native.data = this;
  state_ = state::idle;
  failure_status_ = 0;
  release_message();
  header_name_.clear();
  header_value_.clear();
  reading_header_name_ = false;
  head_bytes_ = 0;
  announced_bytes_ = 0;
  expects_continue_ = false;
  keep_alive_ = true;
}

/// Drops the message and its memory; assigning an empty one would keep that of
/// its strings.
void request_reader::release_message() {
  request empty;
  empty.target.clear();
  std::swap(message_, empty);
}

int request_reader::fail(int status) {
  state_ = state::failed;
  failure_status_ = status;
  release_message();
  return -1;
}

int request_reader::on_head_complete() {
  auto& native = parser_->native;
  if (!header_name_.empty()) {
    parser_->store_header(*this);
  }
  if (!decode_escapes(message_.target)) {
    return fail(400);
  }
  message_.method = http_method_str(static_cast<http_method>(native.method));
  // A body follows even if the caller offers another protocol.
  native.upgrade = 0;
  constexpr auto no_length = std::numeric_limits<std::uint64_t>::max();
  bool is_chunked = (native.flags & F_CHUNKED) != 0;
  bool has_length = native.content_length != no_length;
  if (native.method == HTTP_CONNECT) {
    return fail(400);
  }
  if (is_chunked || (!has_length && requires_content_length(message_.method))) {
    return fail(411);
  }
  if (has_length && native.content_length > max_body_bytes_) {
    return fail(413);
  }
  announced_bytes_ =
      has_length ? static_cast<std::size_t>(native.content_length) : 0;
  state_ = state::reading_body;
  return 0;
}

void request_reader::append_body(std::string_view bytes) {
  auto& body = message_.body;
  auto needed = body.size() + bytes.size();
  if (needed > body.capacity()) {
    // Memory follows what has arrived, not what is announced.
    body.reserve(
        std::max(needed, std::min(announced_bytes_, 2 * body.capacity())));
  }
  body.append(bytes);
}

std::size_t request_reader::feed(std::string_view bytes) {
  if (state_ == state::failed || state_ == state::complete) {
    return 0;
  }
  auto& native = parser_->native;
  bool was_in_head = state_ != state::reading_body;
  auto parsed = http_parser_execute(&native, &parser::callbacks(), bytes.data(),
                                    bytes.size());
  if (was_in_head) {
    head_bytes_ += parsed;
  }
  if (state_ == state::failed) {
    return parsed;
  }
  auto error = HTTP_PARSER_ERRNO(&native);
  if (error == HPE_HEADER_OVERFLOW ||
      (state_ == state::reading_head && head_bytes_ > max_head_bytes_)) {
    fail(431);
  } else if (error != HPE_OK && error != HPE_PAUSED) {
    fail(400);
  }
  return parsed;
}

std::size_t request_reader::buffered_bytes() const {
  std::size_t bytes = message_.body.capacity() + message_.target.capacity() +
                      header_name_.capacity() + header_value_.capacity();
  for (const auto& each : message_.headers) {
    bytes += sizeof(header) + each.name.capacity() + each.value.capacity();
  }
  return bytes;
}

bool request_reader::take_expectation() {
  bool expects = state_ == state::reading_body && expects_continue_;
  expects_continue_ = expects_continue_ && !expects;
  return expects;
}

request request_reader::take_request() {
  auto taken = std::move(message_);
  bool keep = keep_alive_;
  reset();
  keep_alive_ = keep;
  return taken;
}

}  // namespace vanillaladder::http::detail
