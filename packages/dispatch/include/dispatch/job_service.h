#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "batch/job.h"
#include "batch/job_directory.h"
#include "dispatch/append_batcher.h"
#include "dispatch/call_routing.h"
#include "dispatch/fleet_config.h"
#include "dispatch/job_admission.h"
#include "dispatch/reporter.h"
#include "dispatch/submission_outcomes.h"
#include "dispatch/topic_follower.h"
#include "external/keyed_store.h"

namespace vanillaladder::dispatch {

enum class cancel_result { cancelled, no_such_job, unavailable };

/// Answer to a query for the state of a job.
struct job_answer {
  enum class kind { known, no_such_job, unavailable };
  kind outcome = kind::unavailable;
  batch::job_state state = batch::job_state::queued;
  /// Time since the state was known to be current; 0 for a final one.
  std::chrono::milliseconds age{0};
};

/// Accepts and cancels jobs and reports their state.
class job_service {
 public:
  /// Maximum age of the copy of the jobs topic while `ready` holds.
  static constexpr std::chrono::milliseconds max_view_age{2500};

  /// The store counts as unresponsive once an append has been unanswered for
  /// this long and nothing else was answered meanwhile. Slow answers take less.
  static constexpr std::chrono::milliseconds silence_limit{500};

  /// How long a submission waits for the store to answer again. Callers retry a
  /// submission without an outcome within 0.4 s, up to four times, so that
  /// their attempts cover about 3 s, their usual time limit.
  static constexpr std::chrono::milliseconds max_store_wait{400};

  /// Maximum age of the state of an unfinished job that is shown without a read
  /// of the store, and the time that such a read may take.
  static constexpr std::chrono::milliseconds max_shown_age{100};
  /// The same for a job that runs until it is cancelled.
  static constexpr std::chrono::milliseconds max_shown_age_long_running{2000};
  static constexpr std::chrono::milliseconds max_refresh_time{300};
  /// Maximum age of a count of pending jobs; a copy that may be older when it
  /// is shown is read first.
  static constexpr std::chrono::milliseconds max_pending_age{2000};
  /// @param loop must outlive the service, as must `store`, `jobs`, `config`
  ///   and `follower`.
  /// @param on_stored_record applies a record that this daemon has appended.
  /// @param operators follower of the operators' topic, which `config` is a
  ///   copy of; if null, the copy counts as current.
  /// @param admission decides which jobs are accepted.
  job_service(http::event_loop& loop, external::keyed_store& store,
              const batch::job_directory& jobs, const config_view& config,
              topic_follower& follower,
              std::function<void(std::string_view key, std::string_view value)>
                  on_stored_record,
              reporter report, const external::store_limits& limits = {},
              topic_follower* operators = nullptr,
              const access_options& access = {},
              const job_admission& admission = job_admission());

  /// Decides by the copy of the configuration whether a call may use a queue.
  call_route route(const call_credentials& call) const;
  /// Brings that copy up to date.
  /// @param done called once it is, or after `max_refresh_time`.
  void read_config(std::function<void()> done);
  /// @return whether requests can be served; answers the load balancer's
  ///   readiness check.
  bool ready() const;
  /// @return whether an append sent now is likely to be answered.
  bool store_responsive() const;
  bool configured() const { return config_->has_config(); }
  /// @return the largest record that the store takes.
  std::size_t max_record_bytes() const { return max_record_bytes_; }
  std::size_t max_body_bytes() const {
    return config_->config().max_body_bytes;
  }

  /// Stores a job. While the store does not answer, the job waits for up to
  /// `max_store_wait` and is not sent.
  /// @param done receives the outcome; never one that denies that an attempt at
  ///   another daemon has stored the job or will do so.
  void submit(const queue_route& queue, batch::job_spec spec,
              std::function<void(submit_result)> done);
  void show(const model::job_id& id, std::function<void(job_answer)> done);
  /// Cancels a job. The cancellation of an unknown id is stored too, so that it
  /// holds if a submission at another daemon takes effect later.
  void cancel(const model::job_id& id, std::function<void(cancel_result)> done);
  /// Counts the queue's jobs of which no task has started.
  /// @param done receives the count, or nothing if it is not known: the copy is
  ///   old and the store does not answer.
  void pending(const std::string& queue,
               std::function<void(std::optional<int>)> done);

 private:
  /// A submission that waits for the store to answer again.
  struct waiting_submission {
    queue_route queue;
    batch::job_spec spec;
    std::function<void(submit_result)> done;
    model::time_point until;
  };

  const batch::job_directory::entry* find_submitted(
      const model::job_id& id) const;
  void wait_for_store(waiting_submission submission);
  void check_waiting();
  jobs_memory used_memory() const;
  bool must_read_jobs(const batch::job_spec& spec);
  void store_submission(const queue_route& queue, batch::job_spec spec,
                        std::function<void(submit_result)> done);
  void end_unsent(const model::job_id& id, std::string_view reason,
                  submit_result result,
                  const std::function<void(submit_result)>& done) const;
  bool is_current(const batch::job_directory::entry& job) const;
  void show_known_job(const model::job_id& id,
                      const std::function<void(job_answer)>& done) const;
  void cancel_known_job(const model::job_id& id,
                        std::function<void(cancel_result)> done);
  void store_cancellation(const model::job_id& id,
                          std::function<void(cancel_result)> done);

  http::event_loop* loop_;
  append_batcher appends_;
  const batch::job_directory* jobs_;
  const config_view* config_;
  topic_follower* follower_;
  std::function<void(std::string_view, std::string_view)> on_stored_record_;
  reporter report_;
  std::size_t max_record_bytes_;
  topic_follower* operators_;
  access_options access_;
  /// Calls that wait for one read of the configuration.
  std::vector<std::function<void()>> config_waiters_;
  std::uint64_t config_read_ = 0;
  submission_outcomes outcomes_;
  job_admission admission_;
  /// Memory of the jobs whose appends are in flight.
  jobs_memory in_flight_;
  /// Memory of the jobs accepted on the copy of the topic as of a time.
  std::size_t accepted_on_copy_ = 0;
  model::time_point copy_as_of_;
  /// Oldest first.
  std::deque<waiting_submission> waiting_;
};

}  // namespace vanillaladder::dispatch
