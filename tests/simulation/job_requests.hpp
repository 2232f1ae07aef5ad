// What users of the service send and how their answers are reported to the invariant checker:
// shared by the cluster simulation, the drills and the scale run.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "simulation/invariant_checker.hpp"

namespace hitchfront::testing {

inline const std::string kSubmitPath = "/work";
std::string job_path(const std::string& id);
std::string cancel_path(const std::string& id);

// The answers to a submission that accept the job (or say that it was accepted before).
inline bool is_accepted(int status) {
  return status == 200 || status == 201;
}

// What an answer calls its job ("done", "withdrawn", "running" ...); empty: nothing.
std::string job_state(const std::string& answer);
// Done or cancelled.
bool is_final(const std::string& state);

// A job of one-processor tasks that may run anywhere and neither saves nor uses a GPU.
struct PlainJob {
  std::string id;
  std::string job_class;
  std::string team;
  std::string priority = "standard";
  int tasks = 1;
  double memory_gb = 1;
  double image_gb = 0.1;
  double estimate_s = 2;
};
nlohmann::json to_json(const PlainJob& job);

// An answer that has just come, of a request sent at `asked`. Times are the checker's.
struct JobAnswer {
  std::int64_t now = 0;
  std::int64_t asked = 0;
  int status = 0;  // 0: no answer in time
  std::string body;
};
// Each reports an answer to the checker.
// True: the job is accepted.
bool report_submission(InvariantChecker& checker, const std::string& id, const JobAnswer& answer);
// True: it was cancelled, or had ended before.
bool report_cancellation(InvariantChecker& checker, const std::string& id, const JobAnswer& answer);
// True: the job is done or cancelled.
bool report_poll(InvariantChecker& checker, const std::string& id, const JobAnswer& answer);

}  // namespace hitchfront::testing
