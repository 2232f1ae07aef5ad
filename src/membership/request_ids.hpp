// Identifiers of a process's requests to other controllers.
//
// A response repeats the identifier of its request. It may arrive when the requesting process has
// ended and the next process of the same controller runs, which must not take it for a response to
// a request of its own. So the identifiers of each process begin at a random number:
// docs/safety.md, "Responses to an earlier process".
#pragma once
#include <cstdint>

namespace hitchfront::membership {

class RequestIds {
 public:
  // `process`: the random identifier of this process.
  explicit RequestIds(std::uint64_t process) : next_(kLowest | process % kLowest) {}
  RequestIds(const RequestIds&) = delete;
  RequestIds& operator=(const RequestIds&) = delete;

  // Returns an identifier that this process has not used, above all those that it has.
  [[nodiscard]] std::uint64_t next() { return next_++; }

 private:
  // Far above the identifiers of earlier versions, each process of which numbered from 1.
  static constexpr std::uint64_t kLowest = 1ULL << 62;

  std::uint64_t next_;
};

}  // namespace hitchfront::membership
