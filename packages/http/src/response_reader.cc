#include "http/detail/response_reader.h"

#include <http_parser.h>

#include <cctype>

namespace vanillaladder::http::detail {

struct response_reader::parser {
  static response_reader& reader_of(http_parser* native) {
    return *static_cast<response_reader*>(native->data);
  }
  static const http_parser_settings& callbacks();

  http_parser native{};
};

response_reader::response_reader() : parser_(std::make_unique<parser>()) {
  reset();
}

response_reader::~response_reader() = default;

const http_parser_settings& response_reader::parser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_header_field = [](http_parser* native, const char* data,
                                std::size_t length) {
      auto& reader = reader_of(native);
      if (!reader.reading_header_name_) {
        reader.answer_.headers.emplace_back();
        reader.reading_header_name_ = true;
      }
      for (char character : std::string_view(data, length)) {
        reader.answer_.headers.back().name += static_cast<char>(
            std::tolower(static_cast<unsigned char>(character)));
      }
      return 0;
    };
    result.on_header_value = [](http_parser* native, const char* data,
                                std::size_t length) {
      auto& reader = reader_of(native);
      reader.reading_header_name_ = false;
      if (!reader.answer_.headers.empty()) {
        reader.answer_.headers.back().value.append(data, length);
      }
      return 0;
    };
    result.on_body = [](http_parser* native, const char* data,
                        std::size_t length) {
      reader_of(native).answer_.body.append(data, length);
      return 0;
    };
    result.on_message_complete = [](http_parser* native) {
      auto& reader = reader_of(native);
      reader.answer_.status = static_cast<int>(native->status_code);
      reader.complete_ = true;
      return 0;
    };
    return result;
  }();
  return settings;
}

void response_reader::reset() {
  http_parser_init(&parser_->native, HTTP_RESPONSE);
  parser_->native.data = this;
  answer_ = {};
  reading_header_name_ = false;
  complete_ = false;
}

bool response_reader::keep_alive() const {
  return http_should_keep_alive(&parser_->native) != 0;
}

bool response_reader::feed(std::string_view bytes, std::size_t max_body_bytes) {
  std::size_t bytes_parsed = http_parser_execute(
      &parser_->native, &parser::callbacks(), bytes.data(), bytes.size());
  return bytes_parsed == bytes.size() &&
         HTTP_PARSER_ERRNO(&parser_->native) == HPE_OK &&
         answer_.body.size() <= max_body_bytes;
}

}  // namespace vanillaladder::http::detail
