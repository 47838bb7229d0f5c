#pragma once

#include <chrono>
#include <string>

#include "external/worker_service.h"
#include "http/client.h"

namespace vanillaladder::external {

struct http_worker_options {
  /// Timeout of one call.
  std::chrono::milliseconds timeout{3000};
  std::size_t max_answer_bytes = 4U << 20;
};

/// Client of the workers over HTTP and JSON.
class http_worker_service : public worker_service {
 public:
  /// @param loop must outlive this object.
  http_worker_service(http::event_loop& loop, http_worker_options options);

  void acquire_lease(const worker_address& worker, const std::string& holder,
                     std::chrono::milliseconds duration,
                     lease_callback done) override;
  void renew_lease(const worker_address& worker, const lease_id& lease,
                   status_callback done) override;
  void delete_lease(const worker_address& worker, const lease_id& lease,
                    status_callback done) override;
  void start(const worker_address& worker, const task_start& task,
             status_callback done) override;
  void adopt(const worker_address& worker, const attempt_id& id,
             const lease_id& lease, status_callback done) override;
  void checkpoint(const worker_address& worker, const attempt_id& id,
                  checkpoint_callback done) override;
  void throttle(const worker_address& worker, const attempt_id& id, int percent,
                status_callback done) override;
  void stop(const worker_address& worker, const attempt_id& id,
            status_callback done) override;
  void acknowledge_end(const worker_address& worker, const attempt_id& id,
                       status_callback done) override;
  void list(const worker_address& worker, report_callback done) override;

 private:
  http_worker_options options_;
  http::client client_;
};

}  // namespace vanillaladder::external
