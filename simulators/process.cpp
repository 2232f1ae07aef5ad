#include "simulators/process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

extern char** environ;

namespace hitchfront::simulators {

bool Process::start(const std::string& program, const std::vector<std::string>& arguments,
                    const std::string& log) {
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (const auto& a : arguments) argv.push_back(const_cast<char*>(a.c_str()));
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  const bool started =
      posix_spawn(&pid_, program.c_str(), &actions, nullptr, argv.data(), environ) == 0;
  posix_spawn_file_actions_destroy(&actions);
  if (!started) pid_ = 0;
  return started;
}

void Process::kill() {
  if (pid_ == 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void Process::freeze() {
  if (pid_ != 0) ::kill(pid_, SIGSTOP);
}

void Process::thaw() {
  if (pid_ != 0) ::kill(pid_, SIGCONT);
}

bool Process::ended() {
  if (pid_ == 0 || waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

std::optional<Process::Usage> Process::usage() const {
  const auto dir = "/proc/" + std::to_string(pid_);
  std::ifstream stat(dir + "/stat"), statm(dir + "/statm");
  std::string line;
  if (pid_ == 0 || !std::getline(stat, line)) return std::nullopt;
  // After the name, which may hold anything: state and ten more fields, then user and system time
  // in ticks.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  std::size_t total = 0, resident = 0;
  statm >> total >> resident;
  return Usage{(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
               resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

}  // namespace hitchfront::simulators
