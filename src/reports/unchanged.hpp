// Recognises a worker's report that says the same as its last one, by its text: only the number of the report differs. Such a
// report need not be read again, which is most of what a report costs. Pure.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "wire/worker.hpp"

namespace hitchfront::reports {

class UnchangedReports {
 public:
  // `machines_most`: machines whose last reports are kept; past it all are dropped, and read anew.
  explicit UnchangedReports(std::size_t machines_most) : machines_most_(machines_most) {}

  // A report that was read: the newest of its machine.
  void remember(std::string_view body, const wire::Report& report);
  struct Match {
    std::string machine, zone;
    std::uint64_t session = 0;
    std::uint64_t last_seq = 0;  // of the report that was remembered
    std::uint64_t seq = 0;       // of this one
  };
  // Nothing: it has to be read.
  std::optional<Match> find(std::string_view body) const;
  // The matched report takes the remembered one's place.
  void advance(const Match& match);
  std::size_t size() const { return known_.size(); }

 private:
  struct Known {
    std::string machine, zone;
    std::uint64_t session = 0, seq = 0;
  };
  std::size_t machines_most_;
  std::unordered_map<std::string, Known> known_;        // by the text without the number
  std::unordered_map<std::string, std::string> texts_;  // by machine
};

}  // namespace hitchfront::reports
