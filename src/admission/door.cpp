#include "admission/door.hpp"

#include <algorithm>

namespace hitchfront::admission {

Ms Door::first_try(Ms now, const std::string& id) {
  while (!first_order_.empty() && (now - first_order_.front().first > limits_.retry_ms || first_order_.size() > limits_.remembered)) {
    const auto it = first_.find(first_order_.front().second);
    if (it != first_.end() && it->second == first_order_.front().first) first_.erase(it);
    first_order_.pop_front();
  }
  const auto it = first_.find(id);
  return it == first_.end() ? now : it->second;
}

Door::Refused Door::refuse(Ms now, const std::string& team, const std::string& job_class, Waiting w) {
  if (first_.emplace(w.id, w.since).second) first_order_.push_back({w.since, w.id});
  if (now - second_ >= 1000) {
    before_ = now - second_ < 2000 ? refused_ : 0;
    refused_ = 0;
    second_ = now;
  }
  ++refused_;
  // Whoever is refused comes again when there may be room: later the more were, and not all at once.
  const auto seconds = std::min<int>(limits_.retry_spread_s, std::max(before_, refused_) / 8);
  return {w.ticket, limits_.retry_after_s + (seconds > 0 ? static_cast<int>(spread_++ % static_cast<std::uint32_t>(seconds + 1)) : 0), team, job_class};
}

// One of that line has gone.
void Door::leave(const std::string& team, const std::string& job_class) {
  auto& t = teams_.at(team);
  --waiting_;
  --t.waiting;
  if (const auto line = t.classes.find(job_class); line->second.empty()) {
    std::erase(t.turn, job_class);
    t.classes.erase(line);
  }
  if (t.waiting > 0) return;
  std::erase(turn_, team);
  teams_.erase(team);
}

std::optional<Door::Refused> Door::enter(Ms now, std::uint64_t ticket, const std::string& id, const std::string& team, const std::string& job_class,
                                         std::size_t room) {
  auto& t = teams_[team];
  if (t.waiting == 0) turn_.push_back(team);
  auto& line = t.classes[job_class];
  if (line.empty()) t.turn.push_back(job_class);
  Waiting w{ticket, id, first_try(now, id)};
  const auto at = std::upper_bound(line.begin(), line.end(), w, [](const Waiting& a, const Waiting& b) { return a.since < b.since; });
  line.insert(at, std::move(w));
  ++t.waiting;
  ++waiting_;
  if (waiting_ <= room) return std::nullopt;
  // The team that waits most, and its class that does, give up who came last; of equals the one that has just come.
  const std::string* longest = &team;
  for (const auto& [name, other] : teams_)
    if (other.waiting > teams_.at(*longest).waiting) longest = &name;
  const std::string from_team = *longest;
  auto& from = teams_.at(from_team);
  const std::string* longest_class = from_team == team ? &job_class : &from.classes.begin()->first;
  for (const auto& [name, other] : from.classes)
    if (other.size() > from.classes.at(*longest_class).size()) longest_class = &name;
  const std::string from_class = *longest_class;
  auto& out = from.classes.at(from_class);
  auto last = std::move(out.back());
  out.pop_back();
  leave(from_team, from_class);
  return refuse(now, from_team, from_class, std::move(last));
}

std::optional<std::uint64_t> Door::next() {
  if (turn_.empty()) return std::nullopt;
  const auto team = turn_.front();
  auto& t = teams_.at(team);
  const auto job_class = t.turn.front();
  auto& line = t.classes.at(job_class);
  const auto ticket = line.front().ticket;
  first_.erase(line.front().id);
  line.pop_front();
  // To the end of both rounds, unless their lines are empty.
  std::rotate(turn_.begin(), turn_.begin() + 1, turn_.end());
  std::rotate(t.turn.begin(), t.turn.begin() + 1, t.turn.end());
  leave(team, job_class);
  return ticket;
}

}  // namespace hitchfront::admission
