// CONFIG: the open channels to the store go silent, new ones work. A daemon that
// has been in touch again for a while still serves a route that was dropped.
#include <atomic>
#include <list>
#include <mutex>

#include "trial.hpp"

namespace {

using trial::json;

constexpr int contact_ms = 3000;
constexpr int config_apply_ms = 2000;

/// Forwards connections to the store. Those that are open can be silenced: they
/// stay open and carry nothing any more.
class proxy {
 public:
  explicit proxy(int store_port) : store_port_(store_port) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(listener_, generic, size) != 0 || listen(listener_, 64) != 0 ||
        getsockname(listener_, generic, &size) != 0) {
      throw trial::cannot_run("no proxy");
    }
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { run(); });
  }
  ~proxy() {
    stop_ = true;
    thread_.join();
    for (const auto& each : pairs_) {
      close(each.caller);
      close(each.store);
    }
    close(listener_);
  }
  proxy(const proxy&) = delete;
  proxy& operator=(const proxy&) = delete;

  int port() const { return port_; }
  void silence() {
    std::lock_guard lock(mutex_);
    for (auto& each : pairs_) {
      each.silent = true;
    }
  }

 private:
  struct pair {
    int caller = -1;
    int store = -1;
    bool silent = false;
    bool ended = false;
  };

  static bool forward(int from, int to) {
    char bytes[65536];
    auto count = recv(from, bytes, sizeof bytes, 0);
    for (ssize_t done = 0; done < count;) {
      auto sent = send(to, bytes + done, static_cast<std::size_t>(count - done),
                       MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += sent;
    }
    return count > 0;
  }

  void run() {
    while (!stop_) {
      std::vector<pollfd> sources{{listener_, POLLIN, 0}};
      std::vector<std::pair<pair*, bool>> owners{{nullptr, false}};
      {
        std::lock_guard lock(mutex_);
        for (auto& each : pairs_) {
          if (!each.silent) {
            sources.push_back({each.caller, POLLIN, 0});
            owners.emplace_back(&each, true);
            sources.push_back({each.store, POLLIN, 0});
            owners.emplace_back(&each, false);
          }
        }
      }
      if (poll(sources.data(), sources.size(), 5) <= 0) {
        continue;
      }
      std::lock_guard lock(mutex_);
      for (std::size_t n = 1; n < sources.size(); ++n) {
        auto [owner, from_caller] = owners[n];
        if (sources[n].revents == 0 || owner->silent || owner->ended) {
          continue;
        }
        bool alive = from_caller ? forward(owner->caller, owner->store)
                                 : forward(owner->store, owner->caller);
        if (!alive) {
          close(owner->caller);
          close(owner->store);
          owner->ended = true;
        }
      }
      pairs_.remove_if([](const pair& each) { return each.ended; });
      if (sources[0].revents != 0) {
        pair added;
        added.caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        added.store = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        peer.sin_port = htons(static_cast<std::uint16_t>(store_port_));
        if (connect(added.store, reinterpret_cast<sockaddr*>(&peer),
                    sizeof peer) == 0) {
          pairs_.push_back(added);
        }
      }
    }
  }

  int store_port_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  std::list<pair> pairs_;
  std::thread thread_;
};

std::string check(const std::string& record) {
  std::list<proxy> proxies;
  trial::world_options options;
  options.store_port_of = [&](int port) {
    return proxies.emplace_back(port).port();
  };
  trial::world world(options, record);
  auto with_routes = [](int version, bool has_second) {
    auto config = trial::world::configuration(version);
    if (has_second) {
      auto route = config.at("routes").at(0);
      route["name"] = "queue-2";
      route["pathPrefix"] = "/second/";
      config["routes"].push_back(route);
    }
    return config.dump();
  };
  world.put("operator", "config", with_routes(2, true));
  trial::pass(2500);
  int follower = (world.leader() + 1) % options.daemons;
  world.note("front-" + std::to_string(follower + 1) + " is asked");
  auto steps = json::array(
      {{{"count", 1}, {"cpu", 500}, {"memMb", 64}, {"estRuntimeMs", 100}}});
  const std::string ended = "00000000000000e1";
  const std::string lasting = "00000000000000e2";
  auto submit = [&](const std::string& prefix, const std::string& id,
                    int run_ms) {
    json body = {{"taskSpec", json{{"run_ms", run_ms}, {"gang", 0}}.dump()},
                 {"steps", steps}};
    if (!trial::eventually(
            [&] {
              return world.call_at(follower, "POST", prefix + id, body.dump())
                         .status == 200;
            },
            8000)) {
      throw trial::cannot_run("a submission was not accepted");
    }
  };
  submit("/second/", ended, 50);
  submit("/queue/", lasting, 100000);
  if (!trial::eventually(
          [&] {
            auto got = world.call_at(follower, "GET", "/second/" + ended);
            return got.body.find("completed") != std::string::npos;
          },
          8000)) {
    throw trial::cannot_run("the submission was not completed");
  }
  // Consumers ask for the state of a submission at work.
  std::atomic<bool> asks = true;
  std::vector<std::thread> consumers;
  for (int n = 0; n < 8; ++n) {
    consumers.emplace_back([&] {
      while (asks) {
        trial::call(world.callers_port(follower), "GET", "/queue/" + lasting,
                    "queue.example", "", 1000);
        trial::pass(20);
      }
    });
  }
  trial::pass(3000);
  asks = false;
  for (auto& each : consumers) {
    each.join();
  }
  auto silenced_at = trial::now_us();
  if (trial::has_trouble()) {
    for (auto& each : proxies) {
      each.silence();
    }
    world.note("all open channels of the daemons to the store are silent");
  }
  trial::pass(900);
  world.put("operator", "config", with_routes(3, false));
  auto acked_at = trial::now_us();
  world.note("operator: version 3 without /second/ is acknowledged");
  // Requests from the time on at which the daemon is in touch and the version
  // must be in force.
  auto from = std::max(silenced_at + contact_ms * 1000,
                       acked_at + config_apply_ms * 1000) +
              20000;
  while (trial::now_us() < from) {
    trial::pass(5);
  }
  int late = 0;
  int accepted = 0;
  std::int64_t last = 0;
  bool refused = false;
  json body = {{"taskSpec", json{{"run_ms", 50}, {"gang", 0}}.dump()},
               {"steps", steps}};
  while (trial::now_us() < from + 4000000) {
    auto sent = trial::now_us();
    auto got = world.call_at(follower, "GET", "/second/" + ended);
    if (got.status == 200) {
      ++late;
      last = sent;
    }
    refused = refused || got.status == 404;
    if (late > accepted && late % 4 == 2) {
      // A submission to the dropped route.
      auto id = "00000000000000b" + std::to_string(late % 10);
      accepted += world.call_at(follower, "POST", "/second/" + id, body.dump())
                          .status == 200
                      ? 1
                      : 0;
    }
    trial::pass(50);
  }
  if (!refused) {
    throw trial::cannot_run("the version never came into force");
  }
  world.note_events();
  if (late == 0) {
    return "";
  }
  return "CONFIG: " + std::to_string(late) +
         " requests on a dropped route answered 200, the last sent " +
         std::to_string((last - acked_at) / 1000) +
         " ms after the acknowledgement and " +
         std::to_string((last - silenced_at) / 1000) +
         " ms after the channels went silent; " + std::to_string(accepted) +
         " submissions to it were accepted";
}

}  // namespace

int main(int argc, char** argv) { return trial::run(argc, argv, check); }
