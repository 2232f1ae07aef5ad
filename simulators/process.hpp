// A real process of the service, started, frozen and ended by a drill or a scale run.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hitchfront::simulators {

class Process {
 public:
  Process() = default;
  ~Process() { kill(); }
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}
  Process& operator=(Process&&) = delete;

  // Standard error goes to the end of `log`. False: it could not be started.
  bool start(const std::string& program, const std::vector<std::string>& arguments,
             const std::string& log);
  void kill();  // without a chance to say anything, and waits for it
  void freeze();
  void thaw();
  bool running() const { return pid_ != 0; }
  // It has ended by itself.
  bool ended();

  struct Usage {
    double processor_s = 0;
    std::size_t memory_bytes = 0;  // resident
  };
  std::optional<Usage> usage() const;

 private:
  pid_t pid_ = 0;
};

}  // namespace hitchfront::simulators
