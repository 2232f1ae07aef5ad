#include "reports/unchanged.hpp"

#include <charconv>

namespace hitchfront::reports {
namespace {

constexpr std::string_view kSeqField = "\"Tally\":";

// A report's text around its number.
struct Split {
  std::string rest;
  std::uint64_t seq = 0;
};

// Nothing where the number can't be told apart for sure: the field's name stands there once, or the report is read.
std::optional<Split> split(std::string_view body) {
  const auto field = body.find(kSeqField);
  if (field == std::string_view::npos || body.find(kSeqField, field + kSeqField.size()) != std::string_view::npos) return std::nullopt;
  auto digits = field + kSeqField.size();
  while (digits < body.size() && body[digits] == ' ') ++digits;
  Split s;
  const auto [end, ec] = std::from_chars(body.data() + digits, body.data() + body.size(), s.seq);
  // What follows must end the number: 88.5 and 88e1 are others.
  if (ec != std::errc() || end == body.data() + body.size() || (*end != ',' && *end != '}' && *end != ' ')) return std::nullopt;
  const auto after = static_cast<std::size_t>(end - body.data());
  s.rest.reserve(body.size());
  s.rest.append(body.substr(0, digits));
  s.rest.append(body.substr(after));
  return s;
}

}  // namespace

void UnchangedReports::remember(std::string_view body, const wire::Report& report) {
  if (const auto old = texts_.find(report.machine); old != texts_.end()) {
    known_.erase(old->second);
    texts_.erase(old);
  }
  auto s = split(body);
  if (!s || s->seq != report.seq) return;
  if (texts_.size() >= machines_most_) {
    texts_.clear();
    known_.clear();
  }
  known_[s->rest] = {report.machine, report.zone, report.session, report.seq};
  texts_[report.machine] = std::move(s->rest);
}

std::optional<UnchangedReports::Match> UnchangedReports::find(std::string_view body) const {
  const auto s = split(body);
  const auto it = s ? known_.find(s->rest) : known_.end();
  if (it == known_.end()) return std::nullopt;
  return Match{it->second.machine, it->second.zone, it->second.session, it->second.seq, s->seq};
}

void UnchangedReports::advance(const Match& match) {
  const auto text = texts_.find(match.machine);
  if (text != texts_.end()) known_.at(text->second).seq = match.seq;
}

}  // namespace hitchfront::reports
