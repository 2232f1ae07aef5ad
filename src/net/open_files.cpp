#include "net/open_files.hpp"

#include <sys/resource.h>

#include "settings/constants.hpp"

namespace hitchfront::net {

std::optional<OpenFileLimits> raised_open_file_limits(const OpenFileLimits& current) {
  if (current.soft >= current.hard) return std::nullopt;
  return OpenFileLimits{current.hard, current.hard};
}

std::uint64_t required_open_files(int max_connections) {
  return static_cast<std::uint64_t>(max_connections) + settings::kReservedOpenFiles;
}

std::optional<std::uint64_t> raise_open_file_limit() {
  rlimit current{};
  if (getrlimit(RLIMIT_NOFILE, &current) != 0) return std::nullopt;
  const auto raised = raised_open_file_limits({current.rlim_cur, current.rlim_max});
  if (!raised) return current.rlim_cur;
  const rlimit new_limits{raised->soft, raised->hard};
  if (setrlimit(RLIMIT_NOFILE, &new_limits) != 0) return current.rlim_cur;
  return new_limits.rlim_cur;
}

}  // namespace hitchfront::net
