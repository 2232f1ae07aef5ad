#include "heartbeat/response.hpp"

#include <algorithm>

namespace hitchfront::heartbeat {
using wire::Command;
using Op = wire::Command::Op;
namespace {
Command command(Op op, const Attempt& a, double grace_s = 0) {
  return {op, a.job, a.task, a.number, grace_s};
}
}  // namespace

std::size_t Response::remaining_commands() const {
  const auto used = ends_.size() + 2 * pairs_.size() + others_.size();
  return used < most_ ? most_ - used : 0;
}

void Response::end(const Attempt& a, Ms until) {
  ends_.push_back({command(Op::stop, a), until});
}

void Response::end_unlisted(Ms now, const Attempt& a, Ms until) {
  if (now >= until) {
    may_come_ = true;
  } else if (a.number != 0 && remaining_commands() >= 2) {
    pairs_.push_back(a);
  }
}

void Response::stop(const Attempt& a, double grace_s) {
  if (remaining_commands() > 0) others_.push_back(command(Op::stop, a, grace_s));
}

void Response::clear(const Attempt& a) {
  if (remaining_commands() > 0) others_.push_back(command(Op::forget, a));
}

void Response::launch(const Attempt& a) {
  if (remaining_commands() > 0) others_.push_back(command(Op::start, a));
}

bool Response::renews_lease(Ms now) const {
  if (may_come_) return false;
  return std::none_of(ends_.begin() + static_cast<std::ptrdiff_t>(std::min(most_, ends_.size())),
                      ends_.end(), [&](const End& e) { return now >= e.until; });
}

std::vector<Command> Response::commands() const {
  std::vector<Command> out;
  for (const auto& e : ends_) {
    if (out.size() == most_) return out;
    out.push_back(e.command);
  }
  // Whatever was added while there was capacity may have to give way to ends that came after it.
  for (const auto& c : others_) {
    if (out.size() == most_) return out;
    out.push_back(c);
  }
  for (const auto& a : pairs_) {
    if (out.size() + 2 > most_) return out;
    out.push_back(command(Op::start, a));
    out.push_back(command(Op::stop, a));
  }
  return out;
}

std::vector<std::vector<Command>> Response::direct(bool renewed) const {
  std::vector<std::vector<Command>> out;
  for (std::size_t i = renewed ? most_ : 0; i < ends_.size(); i += most_) {
    out.emplace_back();
    for (std::size_t j = i; j < std::min(i + most_, ends_.size()); ++j)
      out.back().push_back(ends_[j].command);
  }
  if (!renewed && out.empty()) out.emplace_back();
  return out;
}

}  // namespace hitchfront::heartbeat
