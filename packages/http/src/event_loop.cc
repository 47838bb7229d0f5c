#include "http/event_loop.h"

#include <libwebsockets.h>

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace vanillaladder::http {
namespace {

using clock = std::chrono::steady_clock;

constexpr unsigned library_timeout_s = 600;
// Upper bound of one read; the library's default of 4 KB splits a page of log
// records into many read events.
constexpr unsigned read_buffer_bytes = 65536;

void silence_library_log() {
  lws_set_log_level(LLL_ERR, nullptr);
}

}  // namespace

struct event_loop::impl {
  struct timer_entry {
    // Must be first: the timer callback casts the list pointer to this struct.
    lws_sorted_usec_list_t list{};
    impl* owner = nullptr;
  };

  explicit impl(unsigned max_descriptors);
  ~impl() {
    lws_sul_cancel(&next_timer.list);
    lws_context_destroy(context);
  }

  static void on_timer(lws_sorted_usec_list_t* list) {
    reinterpret_cast<timer_entry*>(list)->owner->run_timers();
  }

  void run_posted() {
    std::vector<function> tasks;
    {
      std::lock_guard lock(mutex);
      tasks.swap(posted_tasks);
    }
    for (auto& task : tasks) {
      task();
    }
  }

  void run_timers() {
    auto now = clock::now();
    while (!timers.empty() && timers.begin()->first.first <= now) {
      auto task = std::move(timers.begin()->second);
      due_times_by_id.erase(timers.begin()->first.second);
      timers.erase(timers.begin());
      task();
    }
    schedule_next_timer();
  }

  void schedule_next_timer() {
    if (timers.empty()) {
      lws_sul_cancel(&next_timer.list);
      return;
    }
    auto wait = timers.begin()->first.first - clock::now();
    auto wait_us =
        std::chrono::duration_cast<std::chrono::microseconds>(wait).count();
    lws_sul_schedule(context, 0, &next_timer.list, on_timer,
                     wait_us > 0 ? wait_us : 1);
  }

  lws_context* context = nullptr;
  std::atomic<bool> stop_requested = false;
  std::mutex mutex;
  std::vector<function> posted_tasks;
  std::map<std::pair<clock::time_point, timer_id>, function> timers;
  std::unordered_map<timer_id, clock::time_point> due_times_by_id;
  timer_id last_timer = 0;
  timer_entry next_timer;
  std::vector<std::shared_ptr<void>> retained_states;
};

event_loop::impl::impl(unsigned max_descriptors) {
  silence_library_log();
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  lws_context_creation_info info{};
  // Peers have IPv4 addresses only.
  info.options =
      LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.gid = static_cast<gid_t>(-1);
  info.uid = static_cast<uid_t>(-1);
  // The library's default response timeout of 5 s looks like a close by the
  // peer. Every exchange has its own timer, so this is only a fallback.
  info.timeout_secs = library_timeout_s;
  info.pt_serv_buf_size = read_buffer_bytes;
  info.fd_limit_per_thread = max_descriptors;
  info.max_http_header_pool = static_cast<unsigned short>(max_descriptors);
  context = lws_create_context(&info);
  next_timer.owner = this;
}

event_loop::event_loop(unsigned max_descriptors)
    : impl_(std::make_unique<impl>(max_descriptors)) {}

event_loop::~event_loop() = default;

void event_loop::run() {
  while (!impl_->stop_requested) {
    impl_->run_posted();
    if (!impl_->stop_requested) {
      lws_service(impl_->context, 0);
    }
  }
  impl_->run_posted();
  impl_->stop_requested = false;
}

void event_loop::stop() {
  impl_->stop_requested = true;
  lws_cancel_service(impl_->context);
}

void event_loop::post(function task) {
  {
    std::lock_guard lock(impl_->mutex);
    impl_->posted_tasks.push_back(std::move(task));
  }
  lws_cancel_service(impl_->context);
}

event_loop::timer_id event_loop::call_after(std::chrono::milliseconds delay,
                                            function task) {
  auto due = clock::now() + delay;
  auto id = ++impl_->last_timer;
  impl_->timers.emplace(std::pair(due, id), std::move(task));
  impl_->due_times_by_id.emplace(id, due);
  impl_->schedule_next_timer();
  return id;
}

void event_loop::cancel(timer_id id) {
  auto found = impl_->due_times_by_id.find(id);
  if (found == impl_->due_times_by_id.end()) {
    return;
  }
  impl_->timers.erase({found->second, id});
  impl_->due_times_by_id.erase(found);
}

void event_loop::retain(std::shared_ptr<void> state) {
  impl_->retained_states.push_back(std::move(state));
}

lws_context* event_loop::native() {
  return impl_->context;
}

}  // namespace vanillaladder::http
