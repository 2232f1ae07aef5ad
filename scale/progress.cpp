#include "scale/progress.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "scale/failures.hpp"

namespace hitchfront::scale {
namespace {

constexpr std::int64_t kEveryMs = 5000;

double seconds(std::int64_t ms) {
  return static_cast<double>(ms) / 1000;
}

std::uint64_t bytes(const simulators::HostTraffic& traffic) {
  return traffic.heartbeat_bytes + traffic.answer_bytes + traffic.command_bytes;
}

}  // namespace

Progress::Progress(const std::string& directory, simulators::Host& host, Controllers& controllers)
    : host_(host),
      controllers_(controllers),
      lines_(directory + "/progress.jsonl"),
      table_(directory + "/progress.tsv") {
  table_ << "# s\tworkers\trunning\tstarts a second\tbusiest controller\tall controllers\n";
}

void Progress::tick(std::int64_t now, const Counts& counts) {
  if (now < next_at_) return;
  const double elapsed_s = seconds(kEveryMs + now - next_at_);
  next_at_ = now + kEveryMs;
  const auto processors = controllers_.sample(elapsed_s);
  if (const auto* leader = stored_leader(host_, controllers_);
      leader != nullptr && leader->name != last_leader_) {
    last_leader_ = leader->name;
    ++leaders_;
  }
  const auto starts = counts.starts - std::exchange(sampled_starts_, counts.starts);
  if (measuring()) {
    machines_sum_ += static_cast<double>(host_.machines());
    ++samples_;
  }
  write(now, counts, static_cast<double>(starts) / elapsed_s, processors);
}

void Progress::write(std::int64_t now, const Counts& counts, double starts_per_s,
                     const ProcessorSample& processors) {
  table_ << seconds(now) << '\t' << host_.machines() << '\t' << counts.running << '\t'
         << starts_per_s << '\t' << processors.busiest << '\t' << processors.all << std::endl;
  const nlohmann::json line = {
      {"s", seconds(now)},          {"workers", host_.machines()},
      {"running", counts.running},  {"starts_per_s", starts_per_s},
      {"leader", last_leader_},     {"busiest", processors.busiest},
      {"all", processors.all},      {"leases_lost", host_.traffic().leases_lost},
      {"broken", counts.violations}};
  lines_ << line.dump() << std::endl;
  std::printf("%s\n", line.dump().c_str());
  std::fflush(stdout);
}

void Progress::begin_measuring(std::int64_t now, const Counts& counts) {
  measured_from_ = now;
  traffic_before_ = host_.traffic();
  requests_before_ = host_.store_requests();
  writes_before_ = host_.store().changes();
  starts_before_ = counts.starts;
  controllers_.begin_measuring();
}

void Progress::fill(Result& result, std::int64_t now) const {
  const auto& traffic = host_.traffic();
  result.seconds = std::max(1.0, seconds(now - measured_from_));
  const double per_s = 1 / result.seconds;
  result.starts -= starts_before_;
  result.workers_up = machines_sum_ / std::max(1.0, samples_);
  result.reports_per_s =
      static_cast<double>(traffic.heartbeats - traffic_before_.heartbeats) * per_s;
  result.commands_per_s = static_cast<double>(traffic.commands - traffic_before_.commands) * per_s;
  result.report_bytes_per_worker_s = static_cast<double>(bytes(traffic) - bytes(traffic_before_)) *
                                     per_s / std::max(1.0, result.workers_up);
  result.store_requests_per_s =
      static_cast<double>(host_.store_requests() - requests_before_) * per_s;
  result.store_writes_per_s = static_cast<double>(host_.store().changes() - writes_before_) * per_s;
  result.leases_lost = traffic.leases_lost;
  result.leaders = leaders_;
  result.controllers = controllers_.loads(result.seconds);
}

}  // namespace hitchfront::scale
