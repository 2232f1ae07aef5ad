// Aging: which jobs of which no task has begun go before their place in the queue, for one task
// each, and for which of them capacity is set aside. Without it a job that is larger than whatever
// comes free waits for as long as smaller ones arrive, whichever policy orders them. Pure: waits
// come in.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hitchfront::aging {

enum class Turn : std::uint8_t {
  usual,  // its place in the queue
  aged,   // its first task goes before what else has its priority
  due,    // its first task goes before whatever is not within a guarantee
};

struct Limits {
  double aged_s = 0, due_s = 0;  // s of waiting from which it has that turn
  double aside_share = 0;  // of the machines, one at the least: for so many such jobs capacity is
                           // set aside at a time
};

// A job with tasks that wait.
struct Waiting {
  std::uint64_t job = 0;
  double waited_s = 0;
  bool begun = false;       // some task of it runs, ran, or has its place
  bool guaranteed = false;  // it goes first as it is
};

struct Given {
  std::uint64_t job = 0;
  Turn turn = Turn::usual;
  bool aside = false;  // capacity is set aside where there is none
};

// Those that have a turn, the longest wait first.
std::vector<Given> turns(const std::vector<Waiting>& waiting, std::size_t machines,
                         const Limits& limits);

}  // namespace hitchfront::aging
