#include "scale/result.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace hitchfront::scale {
using nlohmann::json;

void Times::add(double seconds) {
  bins_(std::max(seconds, kLeast));
  ++count_;
  if (seconds <= bound_) ++within_;
}

double Times::quantile(double share) const {
  const double wanted = share * static_cast<double>(count_);
  double below = 0;
  for (const auto& bin : boost::histogram::indexed(bins_)) {
    below += static_cast<double>(*bin);
    if (count_ > 0 && below >= wanted) return bin.bin().upper();
  }
  return count_ > 0 ? kMost : 0;
}

double Times::share_within_bound() const {
  return count_ == 0 ? 1 : static_cast<double>(within_) / static_cast<double>(count_);
}

namespace {
json to_json(const Times& t) {
  return {{"count", t.count()},
          {"p50", t.quantile(0.5)},
          {"p95", t.quantile(0.95)},
          {"p99", t.quantile(0.99)},
          {"within_bound", t.share_within_bound()}};
}
std::string line(const char* format, auto... values) {
  char buffer[256];
  std::snprintf(buffer, sizeof(buffer), format, values...);
  return std::string(buffer) + "\n";
}
}  // namespace

json to_json(const Result& r) {
  json o = {{"workers", r.options.workers},
            {"controllers", r.options.controllers},
            {"teams", r.options.teams},
            {"failures", r.options.failures},
            {"seconds", r.seconds},
            {"jobs", r.jobs},
            {"jobs_accepted", r.jobs_accepted},
            {"jobs_done", r.jobs_done},
            {"refused", r.refused},
            {"starts", r.starts},
            {"workers_up", r.workers_up},
            {"tasks_most", r.tasks_most},
            {"accept_s", to_json(r.accept_times)},
            {"report_bytes_per_worker_s", r.report_bytes_per_worker_s},
            {"reports_per_s", r.reports_per_s},
            {"commands_per_s", r.commands_per_s},
            {"store_requests_per_s", r.store_requests_per_s},
            {"store_writes_per_s", r.store_writes_per_s},
            {"leases_lost", r.leases_lost},
            {"leases_lost_in_cut", r.leases_lost_in_cut},
            {"leaders", r.leaders},
            {"broken", r.broken}};
  for (const auto& [priority, times] : r.start_times) o["start_s"][priority] = to_json(times);
  for (const auto& c : r.controllers)
    o["controller"].push_back({{"node", c.node},
                               {"processor", c.processor},
                               {"processor_peak", c.processor_peak},
                               {"memory_mb", c.memory_mb}});
  return o;
}

std::string table(const Result& r) {
  std::string out = line("%-28s %.0f of %d up on average, %zu tasks at most at once", "workers",
                         r.workers_up, r.options.workers, r.tasks_most);
  out += line("%-28s %llu accepted, %llu done, %llu requests refused", "jobs",
              static_cast<unsigned long long>(r.jobs_accepted),
              static_cast<unsigned long long>(r.jobs_done),
              static_cast<unsigned long long>(r.refused));
  out += line("%-28s %.0f a second", "task starts", static_cast<double>(r.starts) / r.seconds);
  for (const auto& [priority, t] : r.start_times)
    out += line("%-28s p50 %.2f s, p95 %.2f s, p99 %.2f s, within 3.6 s %.3f",
                ("submitted to started, " + priority).c_str(), t.quantile(0.5), t.quantile(0.95),
                t.quantile(0.99), t.share_within_bound());
  out += line("%-28s p50 %.3f s, p95 %.3f s", "submitted to accepted", r.accept_times.quantile(0.5),
              r.accept_times.quantile(0.95));
  out += line("%-28s %.0f bytes a second each, bodies; %.0f reports and %.0f commands a second",
              "workers' control", r.report_bytes_per_worker_s, r.reports_per_s, r.commands_per_s);
  out += line("%-28s %.0f requests and %.0f writes a second", "state service",
              r.store_requests_per_s, r.store_writes_per_s);
  out += line("%-28s %llu, of them %llu in the zone that was cut; %llu leaders", "leases lost",
              static_cast<unsigned long long>(r.leases_lost),
              static_cast<unsigned long long>(r.leases_lost_in_cut),
              static_cast<unsigned long long>(r.leaders));
  for (const auto& c : r.controllers)
    out += line("%-28s %.3f of a core, %.3f at its peak, %.0f MB", c.node.c_str(), c.processor,
                c.processor_peak, c.memory_mb);
  out += line("%-28s %zu", "rules broken", r.broken.size());
  for (std::size_t i = 0; i < std::min<std::size_t>(r.broken.size(), 5); ++i)
    out += "  " + r.broken[i] + "\n";
  return out;
}

void plot(const std::string& directory) {
  const auto file = directory + "/progress.gp";
  std::ofstream(file) << "set terminal svg size 900,700\nset output '" << directory
                      << "/progress.svg'\nset multiplot layout 2,1\nset key outside\n"
                      << "set ylabel 'tasks'\nplot '" << directory
                      << "/progress.tsv' using 1:3 with lines title 'running', '' using 1:($4*10) "
                         "with lines title 'starts a second, times ten'\n"
                      << "set ylabel 'of a core'\nset xlabel 's'\nplot '" << directory
                      << "/progress.tsv' using 1:5 with lines title 'busiest controller', '' using "
                         "1:6 with lines title 'all controllers'\n";
  if (std::system(("command -v gnuplot >/dev/null && gnuplot '" + file + "'").c_str()) != 0)
    std::fprintf(stderr, "hitchfront_scale: no plot; gnuplot is missing or failed\n");
}

}  // namespace hitchfront::scale
