#include "http/channel.h"

#include <absl/strings/str_cat.h>
#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "http/detail/response_reader.h"
#include "runtime/error.h"

namespace vanillaladder::http {
namespace {

// Fallback timeout of the library; each call has its own timer.
constexpr unsigned library_timeout_s = 600;
// Prevents a tight reconnect loop to a peer that refuses connections.
constexpr std::chrono::milliseconds reconnect_delay{50};
constexpr const char* protocol_name = "vl-channel";

struct call {
  std::uint64_t id = 0;
  request message;
  channel::callback done;
  std::function<bool()> may_send;
  event_loop::timer_id timer = 0;
};

/// A call whose channel was closed before its end.
struct dropped_call {
  call pending;
  bool possibly_sent = false;
};

std::string serialize(const request& message, const std::string& peer) {
  auto text =
      absl::StrCat(message.method, " ", message.target, " HTTP/1.1\r\nHost: ",
                   message.host.empty() ? peer : message.host, "\r\n");
  for (const auto& item : message.headers) {
    absl::StrAppend(&text, item.name, ": ", item.value, "\r\n");
  }
  absl::StrAppend(&text, "Content-Length: ", message.body.size(), "\r\n\r\n",
                  message.body);
  return text;
}

}  // namespace

struct channel::impl : std::enable_shared_from_this<channel::impl> {
  struct connection;

  /// User data of a libwebsockets connection; freed at its last event.
  struct connection_context {
    std::shared_ptr<impl> owner;
    connection* conn = nullptr;
  };

  struct connection {
    lws* native = nullptr;
    connection_context* context = nullptr;
    bool connected = false;
    /// Order of the last answer and of the sending of the current call among
    /// all events of the channel; 0 before the first.
    std::uint64_t answered_at = 0;
    std::uint64_t sent_at = 0;
    std::optional<call> current_call;
    std::string unsent_bytes;
    detail::response_reader reader;
  };

  static int on_event(lws* native, lws_callback_reasons reason, void* user,
                      void* in, std::size_t length);

  void dispatch();
  connection* idle_connection();
  connection* new_connection();
  void assign(connection& conn, call next_call);
  int write(connection& conn);
  void withdraw(connection& conn);
  int receive(connection& conn, std::string_view bytes);
  void on_closed(connection& conn, std::string_view cause);
  void detach(connection& conn);
  void close_silent_connections(std::uint64_t since);
  void on_timeout(std::uint64_t id);
  std::vector<dropped_call> drop_calls();
  void finish(call ended_call, client_result result) const;
  client_failure make_failure(const call& failed_call, absl::StatusCode code,
                              failure_phase phase,
                              std::string_view cause) const;

  transport* shared_transport = nullptr;
  lws_vhost* vhost = nullptr;
  std::string address;
  std::uint16_t port = 0;
  std::string peer;
  channel_options options;
  std::list<connection> connections;
  std::deque<call> waiting_calls;
  std::uint64_t last_call_id = 0;
  std::uint64_t last_event = 0;
  std::uint64_t connections_opened = 0;
  bool destroyed = false;
  /// Whether the channel was destroyed without `close`, so that the remaining
  /// callbacks must not run.
  bool drops_callbacks = false;
};

int channel::impl::on_event(lws* native, lws_callback_reasons reason, void*,
                            void* in, std::size_t length) {
  auto* context =
      native == nullptr
          ? nullptr
          : static_cast<connection_context*>(lws_get_opaque_user_data(native));
  if (context == nullptr) {
    return 0;
  }
  auto owner = context->owner;
  auto* conn = context->conn;
  switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
      if (conn == nullptr) {
        return -1;
      }
      conn->connected = true;
      lws_callback_on_writable(native);
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return conn == nullptr ? -1 : owner->write(*conn);
    case LWS_CALLBACK_RAW_RX:
      return conn == nullptr
                 ? -1
                 : owner->receive(*conn, {static_cast<char*>(in), length});
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (conn != nullptr) {
        owner->on_closed(*conn, in == nullptr ? "connection failed"
                                              : static_cast<char*>(in));
      }
      return 0;
    case LWS_CALLBACK_RAW_CLOSE:
      if (conn != nullptr) {
        owner->on_closed(*conn, "connection closed");
      }
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      if (conn != nullptr) {
        owner->on_closed(*conn, "connection closed");
      }
      lws_set_opaque_user_data(native, nullptr);
      delete context;
      return 0;
    default:
      return 0;
  }
}

channel::impl::connection* channel::impl::idle_connection() {
  auto found =
      std::ranges::find_if(connections, [](const connection& candidate) {
        return candidate.connected && !candidate.current_call;
      });
  return found == connections.end() ? nullptr : &*found;
}

channel::impl::connection* channel::impl::new_connection() {
  if (connections.size() >= options.max_connections) {
    return nullptr;
  }
  auto& conn = connections.emplace_back();
  auto* context = new connection_context{shared_from_this(), &conn};
  conn.context = context;
  lws_client_connect_info info{};
  info.context = shared_transport->loop().native();
  info.vhost = vhost;
  info.address = address.c_str();
  info.host = peer.c_str();
  info.port = port;
  info.path = "/";
  info.method = "RAW";
  info.local_protocol_name = protocol_name;
  info.opaque_user_data = context;
  ++connections_opened;
  auto count = connections.size();
  auto* native = lws_client_connect_via_info(&info);
  if (native == nullptr) {
    // If no connection was created, the library may not have reported the
    // failure, so the entry is still in the list.
    if (connections.size() == count) {
      connections.pop_back();
    }
    return nullptr;
  }
  conn.native = native;
  return &conn;
}

void channel::impl::dispatch() {
  while (!waiting_calls.empty()) {
    auto* conn = idle_connection();
    if (conn == nullptr) {
      conn = new_connection();
    }
    if (conn == nullptr) {
      return;
    }
    auto next_call = std::move(waiting_calls.front());
    waiting_calls.pop_front();
    assign(*conn, std::move(next_call));
  }
}

void channel::impl::assign(connection& conn, call next_call) {
  conn.unsent_bytes = serialize(next_call.message, peer);
  conn.reader.reset();
  conn.current_call = std::move(next_call);
  conn.sent_at = ++last_event;
  if (conn.connected) {
    lws_callback_on_writable(conn.native);
  }
}

int channel::impl::write(connection& conn) {
  if (conn.unsent_bytes.empty()) {
    return 0;
  }
  if (conn.current_call && conn.current_call->may_send &&
      !conn.current_call->may_send()) {
    withdraw(conn);
    return 0;
  }
  std::vector<unsigned char> buffer(LWS_PRE + conn.unsent_bytes.size());
  std::copy(conn.unsent_bytes.begin(), conn.unsent_bytes.end(),
            buffer.begin() + LWS_PRE);
  auto size = conn.unsent_bytes.size();
  conn.unsent_bytes.clear();
  int written =
      lws_write(conn.native, buffer.data() + LWS_PRE, size, LWS_WRITE_RAW);
  return written < static_cast<int>(size) ? -1 : 0;
}

/// Fails a call of which nothing has been written. The connection stays usable.
void channel::impl::withdraw(connection& conn) {
  conn.unsent_bytes.clear();
  auto ended_call = std::move(*conn.current_call);
  conn.current_call.reset();
  auto result = make_failure(ended_call, absl::StatusCode::kCancelled,
                             failure_phase::not_sent,
                             "the permission to send has expired");
  finish(std::move(ended_call), std::move(result));
  if (!destroyed) {
    dispatch();
  }
}

int channel::impl::receive(connection& conn, std::string_view bytes) {
  if (!conn.current_call ||
      !conn.reader.feed(bytes, options.max_response_bytes)) {
    return -1;
  }
  if (!conn.reader.complete()) {
    return 0;
  }
  auto ended_call = std::move(*conn.current_call);
  conn.current_call.reset();
  conn.answered_at = ++last_event;
  bool keep_alive = conn.reader.keep_alive();
  auto answer = conn.reader.take_response();
  if (!keep_alive) {
    detach(conn);
  }
  finish(std::move(ended_call), std::move(answer));
  if (!destroyed) {
    dispatch();
  }
  return keep_alive ? 0 : -1;
}

/// Removes a connection that libwebsockets is about to close.
void channel::impl::detach(connection& conn) {
  conn.context->conn = nullptr;
  connections.remove_if(
      [&](const connection& candidate) { return &candidate == &conn; });
}

/// Closes the idle connections that have not answered since the event `since`.
/// What makes one open connection silent, such as a restart of a device on the
/// path, makes the others silent too; each would cost another timeout.
void channel::impl::close_silent_connections(std::uint64_t since) {
  std::vector<lws*> silent;
  for (const auto& conn : connections) {
    if (conn.connected && !conn.current_call && conn.answered_at < since) {
      silent.push_back(conn.native);
      conn.context->conn = nullptr;
    }
  }
  connections.remove_if([&](const connection& conn) {
    return std::ranges::find(silent, conn.native) != silent.end();
  });
  for (auto* native : silent) {
    lws_set_timeout(native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
}

void channel::impl::on_closed(connection& conn, std::string_view cause) {
  auto ended_call = std::move(conn.current_call);
  bool sent = conn.connected && conn.unsent_bytes.empty();
  detach(conn);
  if (ended_call) {
    auto phase = sent ? failure_phase::possibly_sent : failure_phase::not_sent;
    // Deferred: a connection attempt can fail inside `send`, which must not
    // invoke the callback.
    auto result =
        make_failure(*ended_call, absl::StatusCode::kUnavailable, phase, cause);
    shared_transport->loop().cancel(ended_call->timer);
    ended_call->timer = 0;
    shared_transport->loop().call_after(
        std::chrono::milliseconds(0),
        [self = shared_from_this(), failed_call = std::move(*ended_call),
         result = std::move(result)]() mutable {
          if (!self->drops_callbacks) {
            self->finish(std::move(failed_call), std::move(result));
          }
        });
  }
  if (!destroyed && !waiting_calls.empty()) {
    shared_transport->loop().call_after(reconnect_delay,
                                        [self = shared_from_this()] {
                                          if (!self->destroyed) {
                                            self->dispatch();
                                          }
                                        });
  }
}

void channel::impl::on_timeout(std::uint64_t id) {
  auto conn =
      std::ranges::find_if(connections, [id](const connection& candidate) {
        return candidate.current_call && candidate.current_call->id == id;
      });
  if (conn != connections.end()) {
    auto ended_call = std::move(*conn->current_call);
    bool sent = conn->connected && conn->unsent_bytes.empty();
    auto* native = conn->native;
    auto sent_at = conn->sent_at;
    detach(*conn);
    close_silent_connections(sent_at);
    lws_set_timeout(native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    auto result = make_failure(
        ended_call, absl::StatusCode::kDeadlineExceeded,
        sent ? failure_phase::possibly_sent : failure_phase::not_sent,
        "timed out");
    finish(std::move(ended_call), std::move(result));
  } else {
    auto waiting_call = std::ranges::find(waiting_calls, id, &call::id);
    if (waiting_call == waiting_calls.end()) {
      return;
    }
    auto ended_call = std::move(*waiting_call);
    waiting_calls.erase(waiting_call);
    auto result = make_failure(ended_call, absl::StatusCode::kDeadlineExceeded,
                               failure_phase::not_sent, "timed out");
    finish(std::move(ended_call), std::move(result));
  }
  if (!destroyed) {
    dispatch();
  }
}

/// Closes all connections.
/// @return the pending calls.
std::vector<dropped_call> channel::impl::drop_calls() {
  destroyed = true;
  std::vector<dropped_call> dropped;
  for (auto& conn : connections) {
    if (conn.current_call) {
      bool sent = conn.connected && conn.unsent_bytes.empty();
      dropped.push_back({std::move(*conn.current_call), sent});
    }
    conn.context->conn = nullptr;
    lws_set_timeout(conn.native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
  for (auto& waiting_call : waiting_calls) {
    dropped.push_back({std::move(waiting_call), false});
  }
  connections.clear();
  waiting_calls.clear();
  for (auto& each : dropped) {
    shared_transport->loop().cancel(each.pending.timer);
  }
  return dropped;
}

void channel::impl::finish(call ended_call, client_result result) const {
  shared_transport->loop().cancel(ended_call.timer);
  ended_call.done(std::move(result));
}

client_failure channel::impl::make_failure(const call& failed_call,
                                           absl::StatusCode code,
                                           failure_phase phase,
                                           std::string_view cause) const {
  return {runtime::make_error(code,
                              absl::StrCat(failed_call.message.method, " ",
                                           failed_call.message.target),
                              peer, cause),
          phase};
}

transport::transport(event_loop& loop) : loop_(&loop) {
  static constexpr std::array<lws_protocols, 2> protocols = {
      lws_protocols{protocol_name, &channel::impl::on_event, 0, 0, 0, nullptr,
                    0},
      lws_protocols{}};
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.protocols = protocols.data();
  info.vhost_name = "channels";
  info.connect_timeout_secs = library_timeout_s;
  info.timeout_secs = library_timeout_s;
  vhost_ = lws_create_vhost(loop.native(), &info);
}

channel::channel(transport& shared_transport, std::string address,
                 std::uint16_t port, const channel_options& options)
    : impl_(std::make_shared<impl>()) {
  impl_->shared_transport = &shared_transport;
  impl_->vhost = shared_transport.vhost_;
  impl_->peer = absl::StrCat(address, ":", port);
  impl_->address = std::move(address);
  impl_->port = port;
  impl_->options = options;
}

channel::~channel() {
  impl_->drops_callbacks = !impl_->destroyed;
  impl_->drop_calls();
}

void channel::close() {
  auto& loop = impl_->shared_transport->loop();
  for (auto& [ended_call, possibly_sent] : impl_->drop_calls()) {
    auto result = impl_->make_failure(
        ended_call, absl::StatusCode::kUnavailable,
        possibly_sent ? failure_phase::possibly_sent : failure_phase::not_sent,
        "the channel is closed");
    loop.call_after(
        std::chrono::milliseconds(0),
        [done = std::move(ended_call.done),
         result = std::move(result)]() mutable { done(std::move(result)); });
  }
}

void channel::send(request message, std::chrono::milliseconds timeout,
                   callback done, std::function<bool()> may_send) {
  call next_call;
  next_call.id = ++impl_->last_call_id;
  next_call.message = std::move(message);
  next_call.done = std::move(done);
  next_call.may_send = std::move(may_send);
  auto& loop = impl_->shared_transport->loop();
  if (impl_->waiting_calls.size() >= impl_->options.max_waiting_calls) {
    auto result = impl_->make_failure(
        next_call, absl::StatusCode::kResourceExhausted,
        failure_phase::not_sent, "too many calls are waiting for a connection");
    loop.call_after(std::chrono::milliseconds(0),
                    [self = impl_, next_call = std::move(next_call),
                     result = std::move(result)]() mutable {
                      if (!self->drops_callbacks) {
                        next_call.done(std::move(result));
                      }
                    });
    return;
  }
  next_call.timer = loop.call_after(timeout, [self = impl_, id = next_call.id] {
    if (!self->destroyed) {
      self->on_timeout(id);
    }
  });
  impl_->waiting_calls.push_back(std::move(next_call));
  impl_->dispatch();
}

const std::string& channel::peer() const {
  return impl_->peer;
}

std::uint64_t channel::connections_opened() const {
  return impl_->connections_opened;
}

}  // namespace vanillaladder::http
