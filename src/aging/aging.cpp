#include "aging/aging.hpp"

#include <algorithm>

namespace hitchfront::aging {

std::vector<Given> turns(const std::vector<Waiting>& waiting, std::size_t machines,
                         const Limits& limits) {
  std::vector<const Waiting*> old;
  for (const auto& w : waiting)
    if (!w.begun && !w.guaranteed && w.waited_s >= limits.aged_s) old.push_back(&w);
  std::sort(old.begin(), old.end(), [](const Waiting* a, const Waiting* b) {
    return a->waited_s != b->waited_s ? a->waited_s > b->waited_s : a->job < b->job;
  });
  const auto aside = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(machines) * limits.aside_share));
  std::vector<Given> out;
  out.reserve(old.size());
  for (const auto* w : old)
    out.push_back(
        {w->job, w->waited_s >= limits.due_s ? Turn::due : Turn::aged, out.size() < aside});
  return out;
}

}  // namespace hitchfront::aging
