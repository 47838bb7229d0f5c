#include "http/server.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <vector>

#include "http/detail/headers.h"
#include "runtime/error.h"

namespace vanillaladder::http {
namespace {

constexpr std::size_t write_chunk_bytes = 16384;
constexpr std::size_t header_buffer_bytes = 8192;
constexpr unsigned idle_timeout_s = 30;

struct method_token {
  const char* name;
  lws_token_indexes token;
};

constexpr method_token method_tokens[] = {
    {"GET", WSI_TOKEN_GET_URI},     {"POST", WSI_TOKEN_POST_URI},
    {"PUT", WSI_TOKEN_PUT_URI},     {"DELETE", WSI_TOKEN_DELETE_URI},
    {"PATCH", WSI_TOKEN_PATCH_URI}, {"OPTIONS", WSI_TOKEN_OPTIONS_URI},
    {"HEAD", WSI_TOKEN_HEAD_URI},
};

std::string read_query(lws* connection) {
  std::string query;
  int length = lws_hdr_total_length(connection, WSI_TOKEN_HTTP_URI_ARGS);
  if (length <= 0) {
    return query;
  }
  std::array<char, 4096> buffer{};
  for (int n = 0; lws_hdr_copy_fragment(connection, buffer.data(),
                                        static_cast<int>(buffer.size()),
                                        WSI_TOKEN_HTTP_URI_ARGS, n) > 0;
       ++n) {
    query += query.empty() ? '?' : '&';
    query += buffer.data();
  }
  return query;
}

request read_request(lws* connection) {
  request message;
  for (const auto& method : method_tokens) {
    if (lws_hdr_total_length(connection, method.token) > 0) {
      message.method = method.name;
      std::array<char, 4096> path{};
      lws_hdr_copy(connection, path.data(), static_cast<int>(path.size()),
                   method.token);
      message.target = path.data();
    }
  }
  message.target += read_query(connection);
  std::array<char, 256> host{};
  if (lws_hdr_copy(connection, host.data(), static_cast<int>(host.size()),
                   WSI_TOKEN_HOST) > 0) {
    message.host = host.data();
  }
  message.headers = detail::read_headers(connection);
  return message;
}

std::optional<std::size_t> content_length(lws* connection) {
  if (lws_hdr_total_length(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH) <= 0) {
    return std::nullopt;
  }
  std::array<char, 32> buffer{};
  lws_hdr_copy(connection, buffer.data(), static_cast<int>(buffer.size()),
               WSI_TOKEN_HTTP_CONTENT_LENGTH);
  return static_cast<std::size_t>(std::strtoull(buffer.data(), nullptr, 10));
}

bool requires_content_length(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

/// One request on one connection, until its response has been written.
class exchange : public responder {
 public:
  explicit exchange(lws* connection) : connection_(connection) {}

  void respond(response answer) override {
    if (connection_ == nullptr || answer_ || aborted_) {
      return;
    }
    answer_ = std::move(answer);
    lws_callback_on_writable(connection_);
  }

  void abort() override {
    if (connection_ == nullptr || answer_) {
      return;
    }
    aborted_ = true;
    lws_callback_on_writable(connection_);
  }

  bool connected() const override { return connection_ != nullptr; }

  void on_disconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
  }

  void on_connection_closed() {
    connection_ = nullptr;
    if (auto callback = std::exchange(on_disconnect_, nullptr)) {
      callback();
    }
  }

  void mark_finished() {
    connection_ = nullptr;
    on_disconnect_ = nullptr;
  }

  request message;
  std::size_t body_bytes_expected = 0;
  bool close_after_response = false;
  bool dispatched = false;
  bool headers_written = false;
  std::size_t body_bytes_written = 0;

  const std::optional<response>& answer() const { return answer_; }
  bool aborted() const { return aborted_; }

 private:
  lws* connection_;
  std::optional<response> answer_;
  bool aborted_ = false;
  std::function<void()> on_disconnect_;
};

}  // namespace

struct server::impl {
  static int on_event(lws* connection, lws_callback_reasons reason, void* user,
                      void* in, std::size_t length);

  int begin_exchange(lws* connection);
  static int reject(exchange& current, int status);
  int receive_body(lws* connection, std::string_view data);
  void dispatch(const std::shared_ptr<exchange>& current);
  int write_response(lws* connection);
  int write_headers(lws* connection, exchange& current);
  int write_body(lws* connection, exchange& current);
  int finish_when_flushed(lws* connection);
  int finish(lws* connection);
  void on_closed(lws* connection);

  event_loop* loop = nullptr;
  lws_vhost* vhost = nullptr;
  handler on_request;
  std::size_t max_request_bytes = 0;
  std::uint16_t port = 0;
  bool closing = false;
  std::unordered_map<lws*, std::shared_ptr<exchange>> exchanges;
  std::array<lws_protocols, 2> protocols{};
};

int server::impl::on_event(lws* connection, lws_callback_reasons reason,
                           void* user, void* in, std::size_t length) {
  auto* vhost = connection == nullptr ? nullptr : lws_get_vhost(connection);
  auto* self =
      vhost == nullptr ? nullptr : static_cast<impl*>(lws_vhost_user(vhost));
  if (self == nullptr) {
    return lws_callback_http_dummy(connection, reason, user, in, length);
  }
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return self->begin_exchange(connection);
    case LWS_CALLBACK_HTTP_BODY:
      return self->receive_body(connection, {static_cast<char*>(in), length});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION: {
      auto found = self->exchanges.find(connection);
      if (found != self->exchanges.end() && !found->second->dispatched) {
        self->dispatch(found->second);
      }
      return 0;
    }
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return self->write_response(connection);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      self->on_closed(connection);
      return 0;
    default:
      return lws_callback_http_dummy(connection, reason, user, in, length);
  }
}

int server::impl::begin_exchange(lws* connection) {
  auto current = std::make_shared<exchange>(connection);
  current->message = read_request(connection);
  exchanges[connection] = current;
  lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
  auto length = content_length(connection);
  bool chunked =
      lws_hdr_total_length(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  if (chunked ||
      (!length && requires_content_length(current->message.method))) {
    return reject(*current, 411);
  }
  current->body_bytes_expected = length.value_or(0);
  if (current->body_bytes_expected > max_request_bytes) {
    return reject(*current, 413);
  }
  if (current->body_bytes_expected == 0) {
    dispatch(current);
  }
  return 0;
}

int server::impl::reject(exchange& current, int status) {
  current.dispatched = true;
  current.close_after_response = true;
  current.respond({status, {}, ""});
  return 0;
}

int server::impl::receive_body(lws* connection, std::string_view data) {
  auto found = exchanges.find(connection);
  if (found == exchanges.end()) {
    return 0;
  }
  auto& current = *found->second;
  if (current.dispatched) {
    return 0;
  }
  auto& body = current.message.body;
  body.append(data.substr(0, current.body_bytes_expected - body.size()));
  if (body.size() == current.body_bytes_expected) {
    dispatch(found->second);
  }
  return 0;
}

void server::impl::dispatch(const std::shared_ptr<exchange>& current) {
  current->dispatched = true;
  on_request(std::move(current->message), current);
}

int server::impl::write_response(lws* connection) {
  auto found = exchanges.find(connection);
  if (found == exchanges.end()) {
    return 0;
  }
  if (found->second->aborted()) {
    return -1;
  }
  if (!found->second->answer()) {
    return 0;
  }
  auto current = found->second;
  if (!current->headers_written) {
    return write_headers(connection, *current);
  }
  if (current->body_bytes_written == current->answer()->body.size()) {
    return finish_when_flushed(connection);
  }
  return write_body(connection, *current);
}

int server::impl::write_headers(lws* connection, exchange& current) {
  const auto& answer = *current.answer();
  std::vector<unsigned char> buffer(LWS_PRE + header_buffer_bytes);
  auto* start = buffer.data() + LWS_PRE;
  auto* position = start;
  auto* end = buffer.data() + buffer.size() - 1;
  if (lws_add_http_header_status(connection,
                                 static_cast<unsigned>(answer.status),
                                 &position, end) != 0 ||
      lws_add_http_header_content_length(connection, answer.body.size(),
                                         &position, end) != 0) {
    return -1;
  }
  for (const auto& item : answer.headers) {
    std::string name = item.name + ":";
    if (lws_add_http_header_by_name(
            connection, reinterpret_cast<const unsigned char*>(name.c_str()),
            reinterpret_cast<const unsigned char*>(item.value.data()),
            static_cast<int>(item.value.size()), &position, end) != 0) {
      return -1;
    }
  }
  if (closing || current.close_after_response) {
    constexpr std::string_view close = "close";
    if (lws_add_http_header_by_token(
            connection, WSI_TOKEN_CONNECTION,
            reinterpret_cast<const unsigned char*>(close.data()),
            static_cast<int>(close.size()), &position, end) != 0) {
      return -1;
    }
  }
  if (lws_finalize_write_http_header(connection, start, &position, end) != 0) {
    return -1;
  }
  current.headers_written = true;
  if (answer.body.empty()) {
    return finish_when_flushed(connection);
  }
  lws_callback_on_writable(connection);
  return 0;
}

int server::impl::write_body(lws* connection, exchange& current) {
  const auto& body = current.answer()->body;
  auto chunk =
      std::min(write_chunk_bytes, body.size() - current.body_bytes_written);
  std::vector<unsigned char> buffer(LWS_PRE + chunk);
  std::copy_n(body.data() + current.body_bytes_written, chunk,
              buffer.data() + LWS_PRE);
  bool last = current.body_bytes_written + chunk == body.size();
  int written = lws_write(connection, buffer.data() + LWS_PRE, chunk,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < static_cast<int>(chunk)) {
    return -1;
  }
  current.body_bytes_written += chunk;
  if (last) {
    return finish_when_flushed(connection);
  }
  lws_callback_on_writable(connection);
  return 0;
}

int server::impl::finish_when_flushed(lws* connection) {
  // The library buffers bytes that the kernel did not accept; they are lost if
  // the process exits.
  if (lws_partial_buffered(connection) != 0) {
    lws_callback_on_writable(connection);
    return 0;
  }
  return finish(connection);
}

int server::impl::finish(lws* connection) {
  auto found = exchanges.find(connection);
  bool close = closing || found->second->close_after_response;
  found->second->mark_finished();
  exchanges.erase(found);
  if (close || lws_http_transaction_completed(connection) != 0) {
    return -1;
  }
  return 0;
}

void server::impl::on_closed(lws* connection) {
  auto found = exchanges.find(connection);
  if (found == exchanges.end()) {
    return;
  }
  auto current = std::move(found->second);
  exchanges.erase(found);
  current->on_connection_closed();
}

absl::StatusOr<std::unique_ptr<server>> server::listen(
    event_loop& loop, const server_options& options, handler on_request) {
  auto state = std::make_shared<impl>();
  loop.retain(state);
  state->loop = &loop;
  state->on_request = std::move(on_request);
  state->max_request_bytes = options.max_request_bytes;
  state->protocols[0].name = "http";
  state->protocols[0].callback = &impl::on_event;

  lws_context_creation_info info{};
  info.port = options.port;
  info.iface = options.address.c_str();
  info.protocols = state->protocols.data();
  info.vhost_name = "server";
  info.user = state.get();
  info.keepalive_timeout = static_cast<int>(idle_timeout_s);
  info.timeout_secs = idle_timeout_s;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_DISABLE_IPV6;
  state->vhost = lws_create_vhost(loop.native(), &info);
  auto peer = options.address + ":" + std::to_string(options.port);
  if (state->vhost == nullptr) {
    return runtime::make_error(absl::StatusCode::kUnavailable, "listen", peer,
                               "cannot bind the address");
  }
  int port = lws_get_vhost_listen_port(state->vhost);
  if (port <= 0) {
    return runtime::make_error(absl::StatusCode::kUnavailable, "listen", peer,
                               "no listening port");
  }
  state->port = static_cast<std::uint16_t>(port);
  return std::unique_ptr<server>(new server(std::move(state)));
}

server::server(std::shared_ptr<impl> state) : impl_(std::move(state)) {}

server::~server() {
  for (auto& [connection, current] : std::exchange(impl_->exchanges, {})) {
    current->mark_finished();
  }
  impl_->on_request = [](request, const std::shared_ptr<responder>& responder) {
    responder->respond({503, {}, ""});
  };
  impl_->closing = true;
  lws_vhost_destroy(impl_->vhost);
}

std::uint16_t server::port() const {
  return impl_->port;
}

std::size_t server::open_requests() const {
  return impl_->exchanges.size();
}

void server::disable_keep_alive() {
  impl_->closing = true;
}

}  // namespace vanillaladder::http
