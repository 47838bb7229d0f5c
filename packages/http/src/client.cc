#include "http/client.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/detail/headers.h"
#include "runtime/error.h"

namespace vanillaladder::http {
namespace {

constexpr std::size_t write_chunk_bytes = 16384;
constexpr std::size_t read_buffer_bytes = 16384;
// Fallback: the timer of each exchange ends slow connection attempts.
constexpr unsigned connect_timeout_s = 600;

struct exchange {
  request message;
  std::string peer;
  client_options options;
  client::callback done;
  lws* connection = nullptr;
  event_loop::timer_id timer = 0;
  failure_phase phase = failure_phase::not_sent;
  std::size_t body_bytes_written = 0;
  response answer;
  bool has_status = false;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Appends one header to a client handshake.
/// @return false if the buffer is full.
bool append_header(lws* connection, const std::string& name,
                   std::string_view value, unsigned char** position,
                   unsigned char* end) {
  std::string key = name + ":";
  return lws_add_http_header_by_name(
             connection, reinterpret_cast<const unsigned char*>(key.c_str()),
             reinterpret_cast<const unsigned char*>(value.data()),
             static_cast<int>(value.size()), position, end) == 0;
}

}  // namespace

struct client::impl {
  static int on_event(lws* connection, lws_callback_reasons reason, void* user,
                      void* in, std::size_t length);

  int handle(lws* connection, lws_callback_reasons reason, exchange_ptr current,
             void* in, std::size_t length);
  void start(const exchange_ptr& current, const std::string& address,
             std::uint16_t port);
  int add_headers(lws* connection, exchange& current, void* in,
                  std::size_t length);
  int write_body(lws* connection, exchange& current);
  int read_chunk(lws* connection);
  int receive(const exchange_ptr& current, std::string_view data);
  void finish(const exchange_ptr& current, client_result result);
  void fail(const exchange_ptr& current, absl::StatusCode code,
            std::string_view message);

  event_loop* loop = nullptr;
  lws_vhost* vhost = nullptr;
  std::array<lws_protocols, 2> protocols{};
  std::unordered_set<exchange_ptr> exchanges;
  std::unordered_map<lws*, exchange_ptr> exchanges_by_connection;
  std::shared_ptr<bool> client_alive_flag = std::make_shared<bool>(true);
};

int client::impl::on_event(lws* connection, lws_callback_reasons reason,
                           void* user, void* in, std::size_t length) {
  auto* vhost = connection == nullptr ? nullptr : lws_get_vhost(connection);
  auto* self =
      vhost == nullptr ? nullptr : static_cast<impl*>(lws_vhost_user(vhost));
  if (self == nullptr) {
    return lws_callback_http_dummy(connection, reason, user, in, length);
  }
  auto found = self->exchanges_by_connection.find(connection);
  if (found == self->exchanges_by_connection.end()) {
    // The exchange has already ended; close its connection.
    bool carries_data = reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP ||
                        reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                        reason == LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP;
    return carries_data
               ? -1
               : lws_callback_http_dummy(connection, reason, user, in, length);
  }
  return self->handle(connection, reason, found->second, in, length);
}

int client::impl::handle(lws* connection, lws_callback_reasons reason,
                         exchange_ptr current, void* in, std::size_t length) {
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      // The library writes the request right after this callback.
      current->phase = failure_phase::possibly_sent;
      return add_headers(connection, *current, in, length);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return write_body(connection, *current);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      current->answer.status =
          static_cast<int>(lws_http_client_http_response(connection));
      current->answer.headers = detail::read_headers(connection);
      current->has_status = true;
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return read_chunk(connection);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return receive(current, {static_cast<char*>(in), length});
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      finish(current, std::move(current->answer));
      return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      fail(current, absl::StatusCode::kUnavailable,
           in == nullptr ? "connection failed" : static_cast<char*>(in));
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    case LWS_CALLBACK_WSI_DESTROY:
      fail(current, absl::StatusCode::kUnavailable,
           "connection closed before the end of the response");
      return 0;
    default:
      return lws_callback_http_dummy(connection, reason, nullptr, in, length);
  }
}

int client::impl::add_headers(lws* connection, exchange& current, void* in,
                              std::size_t length) {
  auto** position = static_cast<unsigned char**>(in);
  auto* end = *position + length;
  for (const auto& item : current.message.headers) {
    if (!append_header(connection, item.name, item.value, position, end)) {
      return -1;
    }
  }
  const auto& method = current.message.method;
  bool has_body = !current.message.body.empty();
  if (has_body || method == "POST" || method == "PUT" || method == "PATCH") {
    if (!append_header(connection, "content-length",
                       std::to_string(current.message.body.size()), position,
                       end)) {
      return -1;
    }
  }
  if (has_body) {
    lws_client_http_body_pending(connection, 1);
    lws_callback_on_writable(connection);
  }
  return 0;
}

int client::impl::write_body(lws* connection, exchange& current) {
  const auto& body = current.message.body;
  if (current.body_bytes_written == body.size()) {
    return 0;
  }
  auto chunk =
      std::min(write_chunk_bytes, body.size() - current.body_bytes_written);
  std::vector<unsigned char> buffer(LWS_PRE + chunk);
  std::copy_n(body.data() + current.body_bytes_written, chunk,
              buffer.data() + LWS_PRE);
  bool last = current.body_bytes_written + chunk == body.size();
  if (last) {
    lws_client_http_body_pending(connection, 0);
  }
  int written = lws_write(connection, buffer.data() + LWS_PRE, chunk,
                          last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP);
  if (written < static_cast<int>(chunk)) {
    return -1;
  }
  current.body_bytes_written += chunk;
  if (!last) {
    lws_callback_on_writable(connection);
  }
  return 0;
}

int client::impl::read_chunk(lws* connection) {
  std::array<char, LWS_PRE + read_buffer_bytes> buffer{};
  char* start = buffer.data() + LWS_PRE;
  int length = static_cast<int>(read_buffer_bytes);
  return lws_http_client_read(connection, &start, &length) < 0 ? -1 : 0;
}

int client::impl::receive(const exchange_ptr& current, std::string_view data) {
  auto& body = current->answer.body;
  if (body.size() + data.size() > current->options.max_response_bytes) {
    fail(current, absl::StatusCode::kResourceExhausted,
         "response body exceeds the size limit");
    return -1;
  }
  body.append(data);
  return 0;
}

void client::impl::finish(const exchange_ptr& current, client_result result) {
  if (exchanges.erase(current) == 0) {
    return;
  }
  loop->cancel(current->timer);
  if (current->connection != nullptr) {
    exchanges_by_connection.erase(current->connection);
  }
  auto done = std::move(current->done);
  loop->post([done = std::move(done), result = std::move(result),
              client_alive = client_alive_flag]() mutable {
    if (*client_alive) {
      done(std::move(result));
    }
  });
}

void client::impl::fail(const exchange_ptr& current, absl::StatusCode code,
                        std::string_view message) {
  finish(current,
         client_failure{
             runtime::make_error(
                 code, current->message.method + " " + current->message.target,
                 current->peer, message),
             current->phase});
}

void client::impl::start(const exchange_ptr& current,
                         const std::string& address, std::uint16_t port) {
  lws_client_connect_info info{};
  info.context = loop->native();
  info.vhost = vhost;
  info.address = address.c_str();
  const auto& host = current->message.host;
  info.host = host.empty() ? current->peer.c_str() : host.c_str();
  info.origin = nullptr;
  info.port = port;
  info.path = current->message.target.c_str();
  info.method = current->message.method.c_str();
  info.alpn = "http/1.1";
  info.local_protocol_name = "http-client";
  // No pipelining and no redirects: either could send a request that is
  // reported as not sent, or send it to another address.
  info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  info.pwsi = &current->connection;
  current->timer = loop->call_after(current->options.timeout, [this, current] {
    auto* connection = current->connection;
    fail(current, absl::StatusCode::kDeadlineExceeded, "timed out");
    if (connection != nullptr) {
      lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
  });
  auto* connection = lws_client_connect_via_info(&info);
  if (connection == nullptr) {
    current->connection = nullptr;
    fail(current, absl::StatusCode::kUnavailable, "connection failed");
    return;
  }
  current->connection = connection;
  exchanges_by_connection[connection] = current;
}

client::client(event_loop& loop) : impl_(std::make_shared<impl>()) {
  loop.retain(impl_);
  impl_->loop = &loop;
  impl_->protocols[0].name = "http-client";
  impl_->protocols[0].callback = &impl::on_event;
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = impl_->protocols.data();
  info.vhost_name = "client";
  info.user = impl_.get();
  info.connect_timeout_secs = connect_timeout_s;
  info.timeout_secs = connect_timeout_s;
  impl_->vhost = lws_create_vhost(loop.native(), &info);
}

client::~client() {
  *impl_->client_alive_flag = false;
  for (const auto& current : impl_->exchanges) {
    impl_->loop->cancel(current->timer);
  }
  impl_->exchanges.clear();
  impl_->exchanges_by_connection.clear();
  if (impl_->vhost != nullptr) {
    lws_vhost_destroy(impl_->vhost);
  }
}

void client::send(const std::string& address, std::uint16_t port,
                  request message, const client_options& options,
                  callback done) {
  auto current = std::make_shared<exchange>();
  current->message = std::move(message);
  current->peer = address + ":" + std::to_string(port);
  current->options = options;
  current->done = std::move(done);
  impl_->exchanges.insert(current);
  impl_->start(current, address, port);
}

std::size_t client::open_exchanges() const {
  return impl_->exchanges.size();
}

}  // namespace vanillaladder::http
