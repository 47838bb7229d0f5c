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

// Calls have their own timers; these limits of the library are a backstop.
constexpr unsigned library_timeout_s = 600;
// Keeps a peer that refuses connections from being asked in a tight loop.
constexpr std::chrono::milliseconds reconnect_pause{50};
constexpr const char* protocol_name = "vl-channel";

struct call {
  std::uint64_t id = 0;
  request message;
  channel::callback done;
  event_loop::timer_id timer = 0;
};

std::string serialize(const request& message, const std::string& host) {
  auto text = absl::StrCat(message.method, " ", message.target,
                           " HTTP/1.1\r\nHost: ", host, "\r\n");
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

  /// Owned by the libwebsockets connection and freed at its last event.
  struct attachment {
    std::shared_ptr<impl> owner;
    connection* target = nullptr;
  };

  struct connection {
    lws* native = nullptr;
    attachment* link = nullptr;
    bool connected = false;
    std::optional<call> current;
    std::string unsent;
    detail::response_reader reader;
  };

  static int on_event(lws* native, lws_callback_reasons reason, void* user,
                      void* in, std::size_t length);

  void dispatch();
  connection* idle_connection();
  connection* new_connection();
  void assign(connection& target, call next);
  int write(connection& target);
  int receive(connection& target, std::string_view bytes);
  void closed(connection& target, std::string_view why);
  void drop(connection& target);
  void expire(std::uint64_t id);
  void finish(call ended, client_result result) const;
  client_failure failure(const call& failed, absl::StatusCode code,
                         failure_phase phase, std::string_view why) const;

  transport* shared = nullptr;
  lws_vhost* vhost = nullptr;
  std::string address;
  std::uint16_t port = 0;
  std::string peer;
  channel_options options;
  std::list<connection> connections;
  std::deque<call> waiting;
  std::uint64_t last_id = 0;
  std::uint64_t opened = 0;
  bool destroyed = false;
};

int channel::impl::on_event(lws* native, lws_callback_reasons reason, void*,
                            void* in, std::size_t length) {
  auto* link = native == nullptr
                   ? nullptr
                   : static_cast<attachment*>(lws_get_opaque_user_data(native));
  if (link == nullptr) {
    return 0;
  }
  auto owner = link->owner;
  auto* target = link->target;
  switch (reason) {
    case LWS_CALLBACK_RAW_CONNECTED:
      if (target == nullptr) {
        return -1;
      }
      target->connected = true;
      lws_callback_on_writable(native);
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return target == nullptr ? -1 : owner->write(*target);
    case LWS_CALLBACK_RAW_RX:
      return target == nullptr
                 ? -1
                 : owner->receive(*target, {static_cast<char*>(in), length});
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      if (target != nullptr) {
        owner->closed(*target, in == nullptr ? "connection failed"
                                             : static_cast<char*>(in));
      }
      return 0;
    case LWS_CALLBACK_RAW_CLOSE:
      if (target != nullptr) {
        owner->closed(*target, "connection closed");
      }
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      if (target != nullptr) {
        owner->closed(*target, "connection closed");
      }
      lws_set_opaque_user_data(native, nullptr);
      delete link;
      return 0;
    default:
      return 0;
  }
}

channel::impl::connection* channel::impl::idle_connection() {
  auto found = std::ranges::find_if(connections, [](const connection& each) {
    return each.connected && !each.current;
  });
  return found == connections.end() ? nullptr : &*found;
}

channel::impl::connection* channel::impl::new_connection() {
  if (connections.size() >= options.max_connections) {
    return nullptr;
  }
  auto& target = connections.emplace_back();
  auto* link = new attachment{shared_from_this(), &target};
  target.link = link;
  lws_client_connect_info info{};
  info.context = shared->loop().native();
  info.vhost = vhost;
  info.address = address.c_str();
  info.host = peer.c_str();
  info.port = port;
  info.path = "/";
  info.method = "RAW";
  info.local_protocol_name = protocol_name;
  info.opaque_user_data = link;
  ++opened;
  auto count = connections.size();
  auto* native = lws_client_connect_via_info(&info);
  if (native == nullptr) {
    // Without a connection the library may not have reported the failure.
    if (connections.size() == count) {
      connections.pop_back();
    }
    return nullptr;
  }
  target.native = native;
  return &target;
}

void channel::impl::dispatch() {
  while (!waiting.empty()) {
    auto* target = idle_connection();
    if (target == nullptr) {
      target = new_connection();
    }
    if (target == nullptr) {
      return;
    }
    auto next = std::move(waiting.front());
    waiting.pop_front();
    assign(*target, std::move(next));
  }
}

void channel::impl::assign(connection& target, call next) {
  target.unsent = serialize(next.message, peer);
  target.reader.reset();
  target.current = std::move(next);
  if (target.connected) {
    lws_callback_on_writable(target.native);
  }
}

int channel::impl::write(connection& target) {
  if (target.unsent.empty()) {
    return 0;
  }
  std::vector<unsigned char> buffer(LWS_PRE + target.unsent.size());
  std::copy(target.unsent.begin(), target.unsent.end(),
            buffer.begin() + LWS_PRE);
  auto size = target.unsent.size();
  target.unsent.clear();
  int written =
      lws_write(target.native, buffer.data() + LWS_PRE, size, LWS_WRITE_RAW);
  return written < static_cast<int>(size) ? -1 : 0;
}

int channel::impl::receive(connection& target, std::string_view bytes) {
  if (!target.current ||
      !target.reader.feed(bytes, options.max_response_bytes)) {
    return -1;
  }
  if (!target.reader.complete()) {
    return 0;
  }
  auto ended = std::move(*target.current);
  target.current.reset();
  bool keep = target.reader.keep_alive();
  auto answer = target.reader.take();
  if (!keep) {
    drop(target);
  }
  finish(std::move(ended), std::move(answer));
  if (!destroyed) {
    dispatch();
  }
  return keep ? 0 : -1;
}

/// Detaches a connection that libwebsockets is about to close.
void channel::impl::drop(connection& target) {
  target.link->target = nullptr;
  connections.remove_if(
      [&](const connection& each) { return &each == &target; });
}

void channel::impl::closed(connection& target, std::string_view why) {
  auto ended = std::move(target.current);
  bool sent = target.connected && target.unsent.empty();
  drop(target);
  if (ended) {
    auto phase = sent ? failure_phase::possibly_sent : failure_phase::not_sent;
    // Deferred: a connect can fail from inside `send`.
    auto result = failure(*ended, absl::StatusCode::kUnavailable, phase, why);
    shared->loop().cancel(ended->timer);
    ended->timer = 0;
    shared->loop().call_after(
        std::chrono::milliseconds(0),
        [self = shared_from_this(), kept = std::move(*ended),
         result = std::move(result)]() mutable {
          if (!self->destroyed) {
            self->finish(std::move(kept), std::move(result));
          }
        });
  }
  if (!destroyed && !waiting.empty()) {
    shared->loop().call_after(reconnect_pause, [self = shared_from_this()] {
      if (!self->destroyed) {
        self->dispatch();
      }
    });
  }
}

void channel::impl::expire(std::uint64_t id) {
  auto busy = std::ranges::find_if(connections, [id](const connection& each) {
    return each.current && each.current->id == id;
  });
  if (busy != connections.end()) {
    auto ended = std::move(*busy->current);
    bool sent = busy->connected && busy->unsent.empty();
    auto* native = busy->native;
    drop(*busy);
    lws_set_timeout(native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    auto result =
        failure(ended, absl::StatusCode::kDeadlineExceeded,
                sent ? failure_phase::possibly_sent : failure_phase::not_sent,
                "timed out");
    finish(std::move(ended), std::move(result));
  } else {
    auto queued = std::ranges::find(waiting, id, &call::id);
    if (queued == waiting.end()) {
      return;
    }
    auto ended = std::move(*queued);
    waiting.erase(queued);
    auto result = failure(ended, absl::StatusCode::kDeadlineExceeded,
                          failure_phase::not_sent, "timed out");
    finish(std::move(ended), std::move(result));
  }
  if (!destroyed) {
    dispatch();
  }
}

void channel::impl::finish(call ended, client_result result) const {
  shared->loop().cancel(ended.timer);
  ended.done(std::move(result));
}

client_failure channel::impl::failure(const call& failed, absl::StatusCode code,
                                      failure_phase phase,
                                      std::string_view why) const {
  return {
      runtime::make_error(
          code, absl::StrCat(failed.message.method, " ", failed.message.target),
          peer, why),
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
  impl_->shared = &shared_transport;
  impl_->vhost = shared_transport.vhost_;
  impl_->peer = absl::StrCat(address, ":", port);
  impl_->address = std::move(address);
  impl_->port = port;
  impl_->options = options;
}

channel::~channel() {
  impl_->destroyed = true;
  auto& loop = impl_->shared->loop();
  for (auto& each : impl_->connections) {
    if (each.current) {
      loop.cancel(each.current->timer);
    }
    each.link->target = nullptr;
    lws_set_timeout(each.native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  }
  for (auto& each : impl_->waiting) {
    loop.cancel(each.timer);
  }
  impl_->connections.clear();
  impl_->waiting.clear();
}

void channel::send(request message, std::chrono::milliseconds timeout,
                   callback done) {
  call next;
  next.id = ++impl_->last_id;
  next.message = std::move(message);
  next.done = std::move(done);
  auto& loop = impl_->shared->loop();
  if (impl_->waiting.size() >= impl_->options.max_waiting_calls) {
    auto result =
        impl_->failure(next, absl::StatusCode::kResourceExhausted,
                       failure_phase::not_sent, "too many calls wait");
    loop.call_after(std::chrono::milliseconds(0),
                    [self = impl_, next = std::move(next),
                     result = std::move(result)]() mutable {
                      if (!self->destroyed) {
                        next.done(std::move(result));
                      }
                    });
    return;
  }
  next.timer = loop.call_after(timeout, [self = impl_, id = next.id] {
    if (!self->destroyed) {
      self->expire(id);
    }
  });
  impl_->waiting.push_back(std::move(next));
  impl_->dispatch();
}

const std::string& channel::peer() const {
  return impl_->peer;
}

std::uint64_t channel::connections_opened() const {
  return impl_->opened;
}

}  // namespace vanillaladder::http
