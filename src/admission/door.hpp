// Who gets in when more is submitted than may be stored. Submissions wait here, at each controller, for at most about a
// second, in a line for each class of each team; the lines are served in turn, team by team and class by class, and when all
// the room is taken, the longest line gives up its newest. So whoever asks most is refused first, and whoever asks for less
// than its part never is, however many the others are. Pure: time comes in. docs/admission.md has the ways weighed.
#pragma once
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hitchfront::admission {

using Ms = std::int64_t;  // steady time in milliseconds

class Door {
 public:
  struct Limits {
    std::size_t remembered;  // refused ids whose first try is known: a retry takes the place of its age
    Ms retry_ms;             // for which users come again at the most
    int retry_after_s;       // the least that a refused user is told to wait
    int retry_spread_s;      // and at most so much more
  };
  struct Refused {
    std::uint64_t ticket = 0;
    int retry_after_s = 0;
    std::string team, job_class;
  };

  explicit Door(Limits limits) : limits_(limits) {}

  // A submission waits to be stored; `room` is how many may wait in all. Whoever has no place now is refused: nobody, this
  // one, or one of a longer line that came later.
  std::optional<Refused> enter(Ms now, std::uint64_t ticket, const std::string& id, const std::string& team, const std::string& job_class,
                               std::size_t room);
  // Whose turn it is.
  std::optional<std::uint64_t> next();
  std::size_t waiting() const { return waiting_; }

 private:
  struct Waiting {
    std::uint64_t ticket = 0;
    std::string id;
    Ms since = 0;  // its first try, as far as is known
  };
  using Line = std::deque<Waiting>;  // the oldest first
  struct Team {
    std::map<std::string, Line> classes;
    std::deque<std::string> turn;  // classes with somebody in line
    std::size_t waiting = 0;
  };
  Ms first_try(Ms now, const std::string& id);
  Refused refuse(Ms now, const std::string& team, const std::string& job_class, Waiting w);
  void leave(const std::string& team, const std::string& job_class);

  Limits limits_;
  std::map<std::string, Team> teams_;
  std::deque<std::string> turn_;  // teams with somebody in line
  std::size_t waiting_ = 0;
  std::unordered_map<std::string, Ms> first_;
  std::deque<std::pair<Ms, std::string>> first_order_;
  // Refusals of the last second, by which the refused are spread.
  Ms second_ = 0;
  int refused_ = 0, before_ = 0;
  std::uint32_t spread_ = 0;
};

}  // namespace hitchfront::admission
