#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "scheduling/backend_health.h"
#include "scheduling/router.h"
#include "serving/view.h"

namespace vanillaladder::serving::detail {

/// Backend servers and peers, with the slots in use on each.
class backend_table {
 public:
  explicit backend_table(scheduling::routing_policy policy) : policy_(policy) {}

  /// Replaces grants, peers and health settings. Exchanges in progress remain
  /// counted, including those on servers no longer in the view.
  void update(const serving_view& view);

  /// @return whether the view lists a server of the service.
  bool has_service(const std::string& service) const;
  /// @return whether a listed server of the service accepts work.
  bool accepts_service(const std::string& service) const;
  /// @return the granted slots on servers of the service that accept work.
  unsigned slots(const std::string& service) const;
  /// @return the free slots on servers of the service in normal state.
  unsigned free_slots(const std::string& service, model::time_point now) const;
  /// @return the free slots by service, including services without any.
  std::map<std::string, unsigned> free_slots(model::time_point now) const;
  std::map<model::backend_id, unsigned> in_flight() const;

  /// @param tried servers to which the request has been sent already.
  /// @param last_resort whether failing servers may be used.
  /// @return a server with a free slot, if there is one.
  std::optional<model::backend_id> choose(const std::string& service,
                                          const std::set<std::string>& tried,
                                          bool idempotent, bool last_resort,
                                          model::time_point now);
  /// @return the untried peer with the most free slots, if any has a free slot.
  std::optional<model::instance_id> choose_peer(
      const std::string& service, const std::set<std::string>& tried) const;

  /// Acquires a slot of a server that `choose` returned.
  const model::backend_info& acquire(const model::backend_id& id,
                                     model::time_point now);
  void release(const model::backend_id& id);
  void acquire_peer(const model::instance_id& member,
                    const std::string& service);
  /// @param refused whether the peer refused the request; its reported free
  ///   slots are then outdated.
  void release_peer(const model::instance_id& member,
                    const std::string& service, bool refused);

  scheduling::backend_health& health() { return health_; }
  const scheduling::backend_health& health() const { return health_; }

 private:
  struct server_state {
    model::backend_info info;
    unsigned granted_slots = 0;
    bool accepts_work = false;
    bool listed = false;
    unsigned in_flight = 0;
  };
  struct service_state {
    std::vector<model::backend_id> servers;
    scheduling::router route;
  };
  using peer_key = std::pair<model::instance_id, std::string>;

  std::map<model::backend_id, server_state> servers_;
  std::map<std::string, service_state> services_;
  std::map<peer_key, unsigned> peer_free_slots_;
  std::map<peer_key, unsigned> peer_in_flight_;
  scheduling::backend_health health_;
  scheduling::routing_policy policy_;
  std::vector<scheduling::routing_candidate> candidates_;
};

}  // namespace vanillaladder::serving::detail
