// Plays random scenarios and names those that break a rule or leave a job unfinished.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "simulation/cluster_simulation.hpp"

using namespace hitchfront;

int main(int argc, char** argv) {
  const std::string kind = argc > 3 ? argv[3] : "any";
  if (argc < 3 || argc > 5 || (kind != "any" && kind != "meet")) {
    std::fprintf(stderr, "usage: hitchfront_soak FIRST LAST [any|meet [log]]\n");
    return 2;
  }
  int bad = 0;
  for (unsigned long long seed = std::strtoull(argv[1], nullptr, 10);
       seed <= std::strtoull(argv[2], nullptr, 10); ++seed) {
    hitchfront::testing::ClusterSimulation w(
        kind == "meet" ? hitchfront::testing::overlapping_faults_scenario(seed)
                       : hitchfront::testing::random_scenario(seed));
    w.run();
    if (argc == 5)
      for (const auto& l : w.log) std::printf("%s\n", l.c_str());
    if (w.checker.broken.empty() && w.unfinished().empty()) continue;
    ++bad;
    std::printf("seed %llu:", seed);
    for (std::size_t i = 0; i < w.checker.what.size() && i < 3; ++i)
      std::printf(" %s;", w.checker.what[i].c_str());
    if (!w.unfinished().empty()) {
      const auto& job = w.checker.jobs.at(w.unfinished().front());
      std::printf(
          " %zu never ended, first %s, %zu of its tasks done, %.0f processors of its team in use",
          w.unfinished().size(), wire::to_json(job.spec).dump().c_str(), job.done.size(),
          w.checker.used(job.spec.team));
    }
    std::printf("\n");
  }
  std::printf("%d bad\n", bad);
  return bad == 0 ? 0 : 1;
}
