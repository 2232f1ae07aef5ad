#include "aging/aging.hpp"

#include <algorithm>

namespace hitchfront::aging {

std::vector<AgedJob> aged_jobs(const std::vector<WaitingJob>& waiting, std::size_t machines,
                               const Limits& limits) {
  std::vector<const WaitingJob*> eligible;
  for (const auto& job : waiting)
    if (!job.started && !job.within_guarantee && job.wait_s >= limits.aged_wait_s)
      eligible.push_back(&job);
  std::sort(eligible.begin(), eligible.end(), [](const WaitingJob* a, const WaitingJob* b) {
    return a->wait_s != b->wait_s ? a->wait_s > b->wait_s : a->job < b->job;
  });
  const auto max_reservations = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(machines) * limits.reservation_share));
  std::vector<AgedJob> aged;
  aged.reserve(eligible.size());
  for (const auto* job : eligible)
    aged.push_back({job->job, job->wait_s >= limits.due_wait_s ? AgingLevel::due : AgingLevel::aged,
                    aged.size() < max_reservations});
  return aged;
}

}  // namespace hitchfront::aging
