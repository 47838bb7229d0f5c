#include "http/server.h"

#include <absl/strings/str_cat.h>
#include <libwebsockets.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/detail/connection_ledger.h"
#include "http/detail/request_reader.h"
#include "runtime/error.h"

namespace vanillaladder::http {
namespace {

using clock = std::chrono::steady_clock;
using detail::connection_ledger;
using detail::request_reader;
using activity = connection_ledger::activity;

constexpr std::size_t write_chunk_bytes = 16384;
/// How often time limits are checked.
constexpr std::chrono::milliseconds sweep_interval{500};
/// What a caller may still send after a refusal, and for how long it is read: a
/// connection that is closed with unread bytes is reset, and the caller might
/// not see the answer.
constexpr std::size_t max_discarded_bytes = 1U << 20;
constexpr std::chrono::milliseconds max_discard_time{1000};
/// Connections that have given way and are not closed yet. Beyond it a new one
/// is closed at once: the library closes others only in a later turn.
constexpr std::size_t max_evicted = 32;
/// Seconds after which a refused caller may come again.
constexpr std::string_view retry_after_s = "1";
constexpr const char* protocol_name = "vl-server";

std::string_view reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 410:
      return "Gone";
    case 411:
      return "Length Required";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string serialize_head(const response& answer, bool close) {
  auto text = absl::StrCat("HTTP/1.1 ", answer.status, " ",
                           std::string(reason_of(answer.status)), "\r\n");
  if (answer.status != 204) {
    absl::StrAppend(&text, "content-length: ", answer.body.size(), "\r\n");
  }
  for (const auto& item : answer.headers) {
    absl::StrAppend(&text, item.name, ": ", item.value, "\r\n");
  }
  absl::StrAppend(&text, close ? "connection: close\r\n\r\n" : "\r\n");
  return text;
}

/// One request on one connection, until its response has been written.
class exchange : public responder {
 public:
  explicit exchange(lws* native) : native_(native) {}

  void respond(response answer) override {
    if (native_ == nullptr || answer_ || aborted_) {
      return;
    }
    answer_ = std::move(answer);
    lws_callback_on_writable(native_);
  }

  void abort() override {
    if (native_ == nullptr || answer_) {
      return;
    }
    aborted_ = true;
    lws_callback_on_writable(native_);
  }

  bool connected() const override { return native_ != nullptr; }

  void on_disconnect(std::function<void()> callback) override {
    on_disconnect_ = std::move(callback);
  }

  void on_connection_closed() {
    native_ = nullptr;
    if (auto callback = std::exchange(on_disconnect_, nullptr)) {
      callback();
    }
  }

  void mark_finished() {
    native_ = nullptr;
    on_disconnect_ = nullptr;
  }

  const std::optional<response>& answer() const { return answer_; }
  bool aborted() const { return aborted_; }

 private:
  lws* native_;
  std::optional<response> answer_;
  bool aborted_ = false;
  std::function<void()> on_disconnect_;
};

/// A connection of a caller.
struct connection {
  connection(const connection_limits& limits, std::size_t max_request_bytes)
      : reader(limits.max_head_bytes, max_request_bytes) {}

  connection_ledger::connection_id id = 0;
  request_reader reader;
  /// Bytes that arrived after the request that is being answered.
  std::string pending;
  bool reading_paused = false;
  /// The request that is being answered; null if there is none.
  std::shared_ptr<exchange> current;
  std::size_t request_bytes = 0;
  std::string head;
  std::size_t head_written = 0;
  bool head_made = false;
  std::size_t body_written = 0;
  bool continue_due = false;
  bool close_after_response = false;
  /// The response is sent; what still arrives is dropped until the caller
  /// closes.
  bool discarding = false;
  std::size_t discarded_bytes = 0;
};

}  // namespace

struct server::impl {
  static int on_event(lws* native, lws_callback_reasons reason, void* user,
                      void* in, std::size_t length);

  int on_connected(lws* native);
  void on_closed(lws* native);
  int on_received(lws* native, connection& conn, std::string_view bytes);
  void feed(lws* native, connection& conn, std::string_view bytes);
  void on_parsed(lws* native, connection& conn);
  void dispatch(lws* native, connection& conn);
  void refuse(lws* native, connection& conn, int status);
  int write(lws* native, connection& conn);
  int write_response(lws* native, connection& conn);
  int finish(lws* native, connection& conn);
  int discard(connection& conn, std::size_t bytes);
  void update_ledger(connection& conn);
  void enforce_memory_limit();
  void sweep();
  void close_later(lws* native) const;
  void report_limit(std::string_view cause) const;
  lws* native_of(connection_ledger::connection_id id) const;

  event_loop* loop = nullptr;
  lws_vhost* vhost = nullptr;
  handler on_request;
  server_options options;
  std::uint16_t port = 0;
  bool closing = false;
  bool destroyed = false;
  bool sweep_scheduled = false;
  std::unordered_map<lws*, std::unique_ptr<connection>> connections;
  std::unordered_map<connection_ledger::connection_id, lws*> natives;
  /// Connections that have given way, until the library has closed them.
  std::unordered_set<lws*> evicted;
  connection_ledger ledger;
  std::array<lws_protocols, 2> protocols{};
};

int server::impl::on_event(lws* native, lws_callback_reasons reason, void*,
                           void* in, std::size_t length) {
  auto* vhost = native == nullptr ? nullptr : lws_get_vhost(native);
  auto* self =
      vhost == nullptr ? nullptr : static_cast<impl*>(lws_vhost_user(vhost));
  if (self == nullptr) {
    return 0;
  }
  if (reason == LWS_CALLBACK_RAW_ADOPT) {
    return self->on_connected(native);
  }
  if (reason == LWS_CALLBACK_WSI_DESTROY) {
    self->evicted.erase(native);
  }
  auto found = self->connections.find(native);
  if (found == self->connections.end()) {
    return 0;
  }
  auto& conn = *found->second;
  switch (reason) {
    case LWS_CALLBACK_RAW_RX:
      return self->on_received(native, conn, {static_cast<char*>(in), length});
    case LWS_CALLBACK_RAW_WRITEABLE:
      return self->write(native, conn);
    case LWS_CALLBACK_RAW_CLOSE:
    case LWS_CALLBACK_WSI_DESTROY:
      self->on_closed(native);
      return 0;
    default:
      return 0;
  }
}

void server::impl::report_limit(std::string_view cause) const {
  if (options.on_limit) {
    options.on_limit(cause);
  }
}

lws* server::impl::native_of(connection_ledger::connection_id id) const {
  return natives.at(id);
}

/// Closes a connection outside of its own events.
void server::impl::close_later(lws* native) const {
  lws_set_timeout(native, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

int server::impl::on_connected(lws* native) {
  lws_set_timeout(native, NO_PENDING_TIMEOUT, 0);
  auto conn =
      std::make_unique<connection>(options.limits, options.max_request_bytes);
  conn->id = ledger.add(clock::now());
  natives.emplace(conn->id, native);
  auto id = conn->id;
  connections.emplace(native, std::move(conn));
  if (ledger.size() > options.limits.max_connections) {
    report_limit("connections");
    auto victim = ledger.pick_for_room(id);
    if (!victim || evicted.size() >= max_evicted) {
      on_closed(native);
      return -1;
    }
    auto* closed = native_of(*victim);
    on_closed(closed);
    evicted.insert(closed);
    close_later(closed);
  }
  if (!sweep_scheduled) {
    sweep_scheduled = true;
    loop->call_after(sweep_interval, [this] { sweep(); });
  }
  return 0;
}

void server::impl::on_closed(lws* native) {
  auto found = connections.find(native);
  if (found == connections.end()) {
    return;
  }
  auto conn = std::move(found->second);
  connections.erase(found);
  natives.erase(conn->id);
  ledger.remove(conn->id);
  if (conn->current != nullptr) {
    conn->current->on_connection_closed();
  }
}

void server::impl::update_ledger(connection& conn) {
  auto& entry = ledger.at(conn.id);
  auto bytes = conn.reader.buffered_bytes() + conn.pending.capacity();
  if (conn.current != nullptr) {
    ledger.update(conn.id, activity::answering, bytes + conn.request_bytes);
    return;
  }
  auto state = conn.reader.current_state();
  bool receives = state != request_reader::state::idle;
  if (receives && entry.doing != activity::receiving) {
    entry.began_at = entry.last_progress;
  }
  entry.has_head = state == request_reader::state::reading_body;
  ledger.update(conn.id, receives ? activity::receiving : activity::idle,
                bytes);
}

int server::impl::on_received(lws* native, connection& conn,
                              std::string_view bytes) {
  if (conn.discarding || conn.close_after_response) {
    return discard(conn, bytes.size());
  }
  ledger.at(conn.id).last_progress = clock::now();
  if (conn.current != nullptr) {
    conn.pending.append(bytes);
    if (conn.pending.size() > options.limits.max_head_bytes) {
      conn.reading_paused = true;
      lws_rx_flow_control(native, 0);
    }
    update_ledger(conn);
  } else {
    feed(native, conn, bytes);
  }
  enforce_memory_limit();
  return 0;
}

int server::impl::discard(connection& conn, std::size_t bytes) {
  conn.discarded_bytes += bytes;
  return conn.discarded_bytes > max_discarded_bytes ? -1 : 0;
}

void server::impl::feed(lws* native, connection& conn, std::string_view bytes) {
  conn.reader.set_max_body_bytes(options.max_request_bytes);
  auto used = conn.reader.feed(bytes);
  if (conn.reader.take_expectation()) {
    conn.continue_due = true;
    lws_callback_on_writable(native);
  }
  if (conn.reader.current_state() == request_reader::state::complete) {
    conn.pending.assign(bytes.substr(used));
  }
  on_parsed(native, conn);
}

void server::impl::on_parsed(lws* native, connection& conn) {
  update_ledger(conn);
  switch (conn.reader.current_state()) {
    case request_reader::state::failed:
      refuse(native, conn, conn.reader.failure_status());
      return;
    case request_reader::state::complete:
      dispatch(native, conn);
      return;
    default:
      return;
  }
}

void server::impl::dispatch(lws* native, connection& conn) {
  auto bytes = conn.reader.buffered_bytes();
  auto answering = ledger.answering_bytes();
  // Half of the memory is left for requests that arrive. One request is always
  // served.
  if (answering > 0 &&
      answering + bytes > options.limits.max_buffered_bytes / 2) {
    report_limit("memory_of_answering");
    refuse(native, conn, options.refusal_status);
    return;
  }
  conn.close_after_response = !conn.reader.keep_alive();
  conn.current = std::make_shared<exchange>(native);
  conn.request_bytes = bytes;
  auto message = conn.reader.take_request();
  update_ledger(conn);
  auto current = conn.current;
  on_request(std::move(message), current);
}

/// Answers a request without running it, and closes the connection.
void server::impl::refuse(lws* native, connection& conn, int status) {
  conn.reader.reset();
  std::string().swap(conn.pending);
  conn.close_after_response = true;
  conn.current = std::make_shared<exchange>(native);
  conn.request_bytes = 0;
  update_ledger(conn);
  response answer{status, {}, ""};
  if (status == options.refusal_status) {
    answer.headers.push_back({"retry-after", std::string(retry_after_s)});
  }
  conn.current->respond(std::move(answer));
}

/// Closes connections while all requests together take too much memory.
void server::impl::enforce_memory_limit() {
  while (ledger.buffered_bytes() > options.limits.max_buffered_bytes) {
    auto victim = ledger.pick_for_memory(clock::now());
    if (!victim) {
      return;
    }
    report_limit("memory_of_receiving");
    auto* native = native_of(*victim);
    refuse(native, *connections.at(native), options.refusal_status);
  }
}

/// Enforces the time limits.
void server::impl::sweep() {
  sweep_scheduled = false;
  if (destroyed) {
    return;
  }
  auto now = clock::now();
  std::vector<connection_ledger::connection_id> overdue;
  for (const auto& [id, entry] : ledger.entries()) {
    if (ledger.is_overdue(entry, now, options.limits.head_timeout,
                          options.limits.idle_timeout)) {
      overdue.push_back(id);
    }
  }
  for (auto id : overdue) {
    auto* native = native_of(id);
    auto& conn = *connections.at(native);
    if (!conn.discarding && ledger.at(id).doing == activity::receiving) {
      report_limit("time_of_receiving");
      refuse(native, conn, 408);
    } else {
      on_closed(native);
      close_later(native);
    }
  }
  if (!connections.empty()) {
    sweep_scheduled = true;
    loop->call_after(sweep_interval, [this] { sweep(); });
  }
}

int server::impl::write(lws* native, connection& conn) {
  if (lws_partial_buffered(native) != 0) {
    lws_callback_on_writable(native);
    return 0;
  }
  if (std::exchange(conn.continue_due, false) && conn.current == nullptr) {
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    std::vector<unsigned char> buffer(LWS_PRE + text.size());
    std::copy(text.begin(), text.end(), buffer.begin() + LWS_PRE);
    return lws_write(native, buffer.data() + LWS_PRE, text.size(),
                     LWS_WRITE_RAW) < 0
               ? -1
               : 0;
  }
  if (conn.current == nullptr) {
    return 0;
  }
  if (conn.current->aborted()) {
    return -1;
  }
  return conn.current->answer() ? write_response(native, conn) : 0;
}

/// Writes the next part of the response. The library buffers bytes that the
/// kernel did not accept; they are lost if the process exits, so the response
/// counts as sent only when they are gone.
int server::impl::write_response(lws* native, connection& conn) {
  const auto& answer = *conn.current->answer();
  if (!conn.head_made) {
    conn.head_made = true;
    conn.close_after_response = conn.close_after_response || closing;
    conn.head = serialize_head(answer, conn.close_after_response);
  }
  bool is_written = conn.head_written == conn.head.size() &&
                    conn.body_written == answer.body.size();
  if (is_written) {
    return finish(native, conn);
  }
  std::vector<unsigned char> buffer(LWS_PRE);
  auto take = [&buffer](const std::string& text, std::size_t& position) {
    auto room = write_chunk_bytes + LWS_PRE - buffer.size();
    auto count = std::min(room, text.size() - position);
    auto first = text.begin() + static_cast<std::ptrdiff_t>(position);
    buffer.insert(buffer.end(), first,
                  first + static_cast<std::ptrdiff_t>(count));
    position += count;
  };
  take(conn.head, conn.head_written);
  take(answer.body, conn.body_written);
  ledger.at(conn.id).last_progress = clock::now();
  auto count = buffer.size() - LWS_PRE;
  int written =
      lws_write(native, buffer.data() + LWS_PRE, count, LWS_WRITE_RAW);
  if (written < static_cast<int>(count)) {
    return -1;
  }
  bool is_last = conn.head_written == conn.head.size() &&
                 conn.body_written == answer.body.size();
  if (is_last && lws_partial_buffered(native) == 0) {
    return finish(native, conn);
  }
  lws_callback_on_writable(native);
  return 0;
}

/// Ends the exchange and goes on with what has arrived meanwhile.
int server::impl::finish(lws* native, connection& conn) {
  bool was_refused = conn.request_bytes == 0;
  conn.current->mark_finished();
  conn.current.reset();
  conn.request_bytes = 0;
  conn.head = {};
  conn.head_written = 0;
  conn.head_made = false;
  conn.body_written = 0;
  auto& entry = ledger.at(conn.id);
  ++entry.answered;
  entry.last_progress = clock::now();
  if (conn.close_after_response || closing) {
    bool has_room = ledger.size() < options.limits.max_connections / 2;
    if (!was_refused || !has_room) {
      return -1;
    }
    conn.discarding = true;
    std::string().swap(conn.pending);
    update_ledger(conn);
    // Idle connections are closed by the sweep; this one sooner.
    entry.last_progress =
        clock::now() - options.limits.idle_timeout + max_discard_time;
    shutdown(lws_get_socket_fd(native), SHUT_WR);
    return 0;
  }
  auto bytes = std::exchange(conn.pending, {});
  if (std::exchange(conn.reading_paused, false)) {
    lws_rx_flow_control(native, 1);
  }
  update_ledger(conn);
  if (!bytes.empty()) {
    feed(native, conn, bytes);
    enforce_memory_limit();
  }
  return 0;
}

absl::StatusOr<std::unique_ptr<server>> server::listen(
    event_loop& loop, const server_options& options, handler on_request) {
  auto state = std::make_shared<impl>();
  loop.retain(state);
  state->loop = &loop;
  state->on_request = std::move(on_request);
  state->options = options;
  state->protocols[0].name = protocol_name;
  state->protocols[0].callback = &impl::on_event;

  lws_context_creation_info info{};
  info.port = options.port;
  info.iface = options.address.c_str();
  info.protocols = state->protocols.data();
  info.vhost_name = "server";
  info.user = state.get();
  // The library's own HTTP server calls back without end when a request follows
  // before the answer to the one before, so requests are parsed here.
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = protocol_name;
  info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_DISABLE_IPV6 |
                 LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG;
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
  impl_->destroyed = true;
  for (auto& [native, conn] : impl_->connections) {
    if (conn->current != nullptr) {
      conn->current->mark_finished();
    }
  }
  impl_->connections.clear();
  impl_->natives.clear();
  impl_->on_request = [status = impl_->options.refusal_status](
                          request,
                          const std::shared_ptr<responder>& responder) {
    responder->respond({status, {}, ""});
  };
  impl_->closing = true;
  lws_vhost_destroy(impl_->vhost);
}

std::uint16_t server::port() const {
  return impl_->port;
}

std::size_t server::open_requests() const {
  auto now = clock::now();
  return static_cast<std::size_t>(
      std::ranges::count_if(impl_->ledger.entries(), [now](const auto& each) {
        const auto& entry = each.second;
        bool arrives =
            entry.doing == activity::receiving &&
            now - entry.last_progress <= connection_ledger::stall_time;
        return entry.doing == activity::answering || arrives;
      }));
}

void server::set_max_request_bytes(std::size_t bytes) {
  impl_->options.max_request_bytes = bytes;
}

void server::disable_keep_alive() {
  impl_->closing = true;
}

}  // namespace vanillaladder::http
