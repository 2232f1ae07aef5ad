#include "net/open_files.hpp"

#include <sys/resource.h>

#include "settings/constants.hpp"

namespace hitchfront::net {

std::optional<OpenFileLimits> raised_open_file_limits(const OpenFileLimits& current) {
  if (current.soft >= current.hard) return std::nullopt;
  return OpenFileLimits{current.hard, current.hard};
}

std::uint64_t wanted_open_files(int max_connections) {
  return static_cast<std::uint64_t>(max_connections) + settings::kReservedOpenFiles;
}

std::optional<std::uint64_t> raise_open_file_limit() {
  rlimit limits{};
  if (getrlimit(RLIMIT_NOFILE, &limits) != 0) return std::nullopt;
  const auto raised = raised_open_file_limits({limits.rlim_cur, limits.rlim_max});
  if (!raised) return limits.rlim_cur;
  const rlimit wanted{raised->soft, raised->hard};
  if (setrlimit(RLIMIT_NOFILE, &wanted) != 0) return limits.rlim_cur;
  return wanted.rlim_cur;
}

}  // namespace hitchfront::net
