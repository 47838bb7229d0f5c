#pragma once

#include <map>

#include "external/worker_gateway.h"

namespace vanillaladder::dispatch {

struct gateway_calls {
  int reports = 0;
  std::map<model::worker_id, int> reports_by_worker;
  int starts = 0;
  int stops = 0;
  /// Whether each report is answered by an idle worker.
  bool answers_reports = false;
  /// The last report request.
  external::report_request report_request;
  /// Permission of the last start.
  external::call_permit start_permit;
  /// Permission of the last stop.
  external::call_permit stop_permit;
};

/// Workers that never answer, but for reports if the test asks for that.
struct silent_gateway : external::worker_gateway {
  explicit silent_gateway(gateway_calls& calls_in) : calls(&calls_in) {}

  void report(const model::worker_info& worker,
              const external::report_request& request,
              std::chrono::milliseconds, report_callback done) override {
    ++calls->reports;
    ++calls->reports_by_worker[worker.id];
    calls->report_request = request;
    if (calls->answers_reports) {
      batch::worker_report idle;
      idle.incarnation = 1;
      idle.clock = std::chrono::milliseconds(1);
      done(idle);
    }
  }
  void start(const model::worker_info&, const batch::start_order&,
             const external::start_permit& permit, std::chrono::milliseconds,
             order_callback) override {
    calls->start_permit = permit.call;
    ++calls->starts;
  }
  void stop(const model::worker_info&, const batch::stop_order&,
            const external::call_permit& permit, std::chrono::milliseconds,
            order_callback) override {
    calls->stop_permit = permit;
    ++calls->stops;
  }
  void pace(const model::worker_info&, const batch::pace_order&,
            const external::call_permit&, std::chrono::milliseconds,
            order_callback) override {}
  void disconnect(const model::worker_id&) override {}

  gateway_calls* calls;
};

}  // namespace vanillaladder::dispatch
