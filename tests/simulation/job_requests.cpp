#include "simulation/job_requests.hpp"

namespace hitchfront::testing {
using nlohmann::json;

std::string job_path(const std::string& id) {
  return kSubmitPath + "/" + id;
}

std::string cancel_path(const std::string& id) {
  return job_path(id) + "/abort";
}

std::string job_state(const std::string& answer) {
  const auto o = json::parse(answer, nullptr, false);
  return o.is_object() ? o.value("Status", "") : std::string();
}

bool is_final(const std::string& state) {
  return state == "done" || state == "withdrawn";
}

json to_json(const PlainJob& job) {
  return {{"Ref", job.id},
          {"Docket", job.job_class},
          {"Desk", job.team},
          {"Form", "sweep"},
          {"Standing", job.priority},
          {"Lots", job.tasks},
          {"Cpus", 1.0},
          {"Cards", 0.0},
          {"RamGb", job.memory_gb},
          {"Together", false},
          {"Spread", false},
          {"Loaners", true},
          {"Kit", "img"},
          {"ImageGb", job.image_gb},
          {"ReckonS", job.estimate_s},
          {"MarkS", 0.0},
          {"StowS", 0.0}};
}

bool report_submission(InvariantChecker& checker, const std::string& id, const JobAnswer& answer) {
  checker.submitted_answer(answer.now, id, answer.status);
  if (!is_accepted(answer.status)) return false;
  checker.polled(answer.now, answer.asked, id, 200, job_state(answer.body));
  return true;
}

bool report_cancellation(InvariantChecker& checker, const std::string& id,
                         const JobAnswer& answer) {
  checker.cancelled(answer.now, answer.asked, id, answer.status, job_state(answer.body));
  return answer.status == 200;
}

bool report_poll(InvariantChecker& checker, const std::string& id, const JobAnswer& answer) {
  const auto state = job_state(answer.body);
  checker.polled(answer.now, answer.asked, id, answer.status, state);
  return answer.status == 200 && is_final(state);
}

}  // namespace hitchfront::testing
