#include "simulation/fault.hpp"

#include <map>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace hitchfront::testing {
namespace {
using namespace fault;

constexpr std::int64_t kHangMs = 25'000;
constexpr std::int64_t kBriefHangMs = 9'000;
// Of a fault whose text gives another time, or none: the longest that scenarios use.
constexpr std::int64_t kFreezeLastsMs = 20'000;

using Words = std::vector<std::string>;

Words split(const std::string& text) {
  std::istringstream in(text);
  Words words;
  for (std::string word; in >> word;) words.push_back(word);
  return words;
}

ControllerSelector selector(const std::string& who) {
  using Kind = ControllerSelector::Kind;
  if (who == "all") return {Kind::all, ""};
  if (who == "leader") return {Kind::leader, ""};
  if (who == "a follower") return {Kind::first_follower, ""};
  return {Kind::named, who};
}

// A fault without parameters.
const std::map<std::string, Fault>& plain_faults() {
  static const std::map<std::string, Fault> faults = {
      {"hang", HangMachines{1, kHangMs}},
      {"hang briefly", HangMachines{1, kBriefHangMs}},
      {"crash a follower", CrashControllers{selector("a follower")}},
      {"take", TakeMachine{}},
      {"notice", NoticeMachine{}},
      {"faulty", BreakMachine{}},
      {"outage", StoreOutageBegins{}},
      {"mend", StoreOutageEnds{}},
      {"lose-all", StoreLosesAll{}},
      {"boots-fail", BootFailuresBegin{}},
      {"boots-mend", BootsRecover{}},
      {"cloud-out", CloudOutageBegins{}},
      {"cloud-mend", CloudOutageEnds{}},
  };
  return faults;
}

template <class... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};
// clang 14 does not deduce it for an aggregate.
template <class... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace

Fault parse_fault(const std::string& text) {
  if (const auto it = plain_faults().find(text); it != plain_faults().end()) return it->second;
  const auto words = split(text);
  const auto is = [&words](const char* name, std::size_t size) {
    return words.size() == size && words[0] == name;
  };
  if (is("crash", 2)) return CrashControllers{selector(words[1])};
  if (is("freeze", 3)) return FreezeControllers{selector(words[1]), std::stoll(words[2])};
  if (is("refuse", 3)) return RefuseControllers{selector(words[1]), std::stoll(words[2])};
  if (is("alone", 3) && words[1] == "leader") return IsolateLeader{std::stoll(words[2])};
  if (is("hang", 2)) return HangMachines{std::stoi(words[1]), kHangMs};
  if (is("flap", 2)) return FlapMachine{std::stoll(words[1])};
  if (is("cancel", 2)) return CancelRunningJobs{std::stoi(words[1]), 0};
  if (is("cancel", 3)) return CancelRunningJobs{std::stoi(words[1]), std::stoll(words[2])};
  if (is("back", 2)) return StoreRollback{std::stoll(words[1])};
  if (is("boots", 2)) return BootTimes{std::stod(words[1])};
  throw std::invalid_argument("no fault: " + text);
}

std::int64_t lasts_ms(const Fault& fault, std::int64_t restart_ms) {
  return std::visit(Overloaded{[](const HangMachines&) { return kHangMs; },
                               [](const CancelRunningJobs&) { return kHangMs; },
                               [](const FreezeControllers&) { return kFreezeLastsMs; },
                               [](const RefuseControllers& f) { return f.ms; },
                               [](const IsolateLeader& f) { return f.ms; },
                               [restart_ms](const auto&) { return restart_ms; }},
                    fault);
}

}  // namespace hitchfront::testing
