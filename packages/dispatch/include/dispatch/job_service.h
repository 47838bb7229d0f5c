#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "batch/job.h"
#include "batch/job_directory.h"
#include "dispatch/append_batcher.h"
#include "dispatch/fleet_config.h"
#include "dispatch/reporter.h"
#include "dispatch/topic_follower.h"
#include "external/keyed_store.h"

namespace vanillaladder::dispatch {

enum class submit_result {
  /// Stored, now or before.
  accepted,
  /// Not stored, and never will be by this call.
  refused,
  /// May be stored.
  unknown,
};

enum class cancel_result { cancelled, no_such_job, unavailable };

/// What a daemon knows of a job that a caller asks for.
struct job_answer {
  enum class kind { known, no_such_job, unavailable };
  kind what = kind::unavailable;
  batch::job_state state = batch::job_state::queued;
};

/// Accepts, cancels and shows jobs.
class job_service {
 public:
  /// Longest that the view of jobs may lag while new work is accepted.
  static constexpr std::chrono::milliseconds max_view_age{2500};

  /// An append without an answer for so long, while the store has answered
  /// nothing else, shows that it is silent; slow answers take less.
  static constexpr std::chrono::milliseconds silence_limit{500};

  /// @param loop must outlive the desk, as must the rest.
  /// @param on_own_record applies a record that this daemon has stored.
  job_service(http::event_loop& loop, external::keyed_store& store,
              const batch::job_directory& jobs, const config_view& config,
              topic_follower& follower,
              std::function<void(std::string_view key, std::string_view value)>
                  on_stored_record,
              reporter report);

  /// @return the queue that a call is for, or null if there is none.
  const queue_route* find_queue(std::string_view host,
                                std::string_view path) const;
  /// @return whether calls can be answered, as the load balancer asks.
  bool ready() const;
  /// @return whether an append sent now may get an answer.
  bool store_responsive() const;
  bool configured() const { return config_->has_config(); }
  std::size_t max_body_bytes() const {
    return config_->config().max_body_bytes;
  }

  void submit(const queue_route& queue, batch::job_spec spec,
              std::function<void(submit_result)> done);
  void show(const model::job_id& id, std::function<void(job_answer)> done);
  void cancel(const model::job_id& id, std::function<void(cancel_result)> done);
  int pending(const queue_route& queue) const;

 private:
  void cancel_known_job(const model::job_id& id,
                        std::function<void(cancel_result)> done);

  append_batcher appends_;
  const batch::job_directory* jobs_;
  const config_view* config_;
  topic_follower* follower_;
  std::function<void(std::string_view, std::string_view)> on_stored_record_;
  reporter report_;
};

}  // namespace vanillaladder::dispatch
