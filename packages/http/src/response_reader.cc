#include "http/detail/response_reader.h"

#include <http_parser.h>

#include <cctype>

namespace vanillaladder::http::detail {

struct response_reader::parser {
  static response_reader& of(http_parser* native) {
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
    http_parser_settings made;
    http_parser_settings_init(&made);
    made.on_header_field = [](http_parser* native, const char* at,
                              std::size_t length) {
      auto& reader = of(native);
      if (!reader.in_name_) {
        reader.answer_.headers.emplace_back();
        reader.in_name_ = true;
      }
      for (char letter : std::string_view(at, length)) {
        reader.answer_.headers.back().name +=
            static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
      }
      return 0;
    };
    made.on_header_value = [](http_parser* native, const char* at,
                              std::size_t length) {
      auto& reader = of(native);
      reader.in_name_ = false;
      if (!reader.answer_.headers.empty()) {
        reader.answer_.headers.back().value.append(at, length);
      }
      return 0;
    };
    made.on_body = [](http_parser* native, const char* at, std::size_t length) {
      of(native).answer_.body.append(at, length);
      return 0;
    };
    made.on_message_complete = [](http_parser* native) {
      auto& reader = of(native);
      reader.answer_.status = static_cast<int>(native->status_code);
      reader.complete_ = true;
      return 0;
    };
    return made;
  }();
  return settings;
}

void response_reader::reset() {
  http_parser_init(&parser_->native, HTTP_RESPONSE);
  parser_->native.data = this;
  answer_ = {};
  in_name_ = false;
  complete_ = false;
}

bool response_reader::keep_alive() const {
  return http_should_keep_alive(&parser_->native) != 0;
}

bool response_reader::feed(std::string_view bytes, std::size_t limit) {
  std::size_t read = http_parser_execute(&parser_->native, &parser::callbacks(),
                                         bytes.data(), bytes.size());
  return read == bytes.size() &&
         HTTP_PARSER_ERRNO(&parser_->native) == HPE_OK &&
         answer_.body.size() <= limit;
}

}  // namespace vanillaladder::http::detail
