// The controllers: real processes of the deploy file's program, with settings in a folder of the
// case, on free ports of the loopback address.
#pragma once
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.hpp"

namespace review {

struct Controller {
  std::string name, zone;
  int client_port = 0, peer_port = 0;
  pid_t pid = 0;
  int starts = 0;
  bool running() const { return pid != 0; }
};

class Controllers {
 public:
  // `program`: of the deploy file's `run`. `folder`: for settings and logs.
  Controllers(std::string program, std::string folder, Record& record)
      : program_(std::move(program)), folder_(std::move(folder)), record_(record) {}
  ~Controllers() { kill_all(); }
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  // `zones`: one for each controller. `params` as in DEPLOY.
  void set_up(const std::vector<std::string>& zones, const nlohmann::json& params, int store_port,
              int cloud_port) {
    const auto ports = free_ports(static_cast<int>(2 * zones.size()));
    for (std::size_t i = 0; i < zones.size(); ++i)
      nodes_.push_back(
          {"hitchpost-" + std::to_string(i), zones[i], ports[2 * i], ports[2 * i + 1]});
    services_ = {{"cloud", endpoint(cloud_port)}, {"state", endpoint(store_port)}};
    params_ = params;
  }
  // Settings for starts from now on.
  nlohmann::json& params() { return params_; }

  Controller& node(std::size_t i) { return nodes_.at(i); }
  std::size_t size() const { return nodes_.size(); }

  void start(std::size_t i) {
    auto& node = nodes_.at(i);
    nlohmann::json known = nlohmann::json::array();
    for (const auto& other : nodes_)
      if (other.name != node.name)
        known.push_back(
            {{"node", other.name}, {"area", other.zone}, {"endpoint", endpoint(other.peer_port)}});
    const nlohmann::json settings = {{"node", node.name},
                                     {"area", node.zone},
                                     {"client_listen", endpoint(node.client_port)},
                                     {"peer_listen", endpoint(node.peer_port)},
                                     {"known", known},
                                     {"services", services_},
                                     {"params", params_}};
    const auto file = folder_ + "/" + node.name + ".json";
    std::ofstream(file) << settings.dump(2);
    const auto log = folder_ + "/" + node.name + ".log";
    ++node.starts;
    node.pid = fork();
    if (node.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(fd, STDERR_FILENO);
      dup2(fd, STDOUT_FILENO);
      execl(program_.c_str(), program_.c_str(), "--config", file.c_str(), nullptr);
      _exit(127);
    }
    record_.line("%s is started", node.name.c_str());
  }

  void kill(std::size_t i) {
    auto& node = nodes_.at(i);
    if (!node.running()) return;
    ::kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
    node.pid = 0;
    record_.line("%s is killed", node.name.c_str());
  }
  void freeze(std::size_t i) {
    ::kill(nodes_.at(i).pid, SIGSTOP);
    record_.line("%s is stopped", nodes_.at(i).name.c_str());
  }
  void thaw(std::size_t i) {
    ::kill(nodes_.at(i).pid, SIGCONT);
    record_.line("%s goes on", nodes_.at(i).name.c_str());
  }
  // Whether a process has ended that nobody killed, and how: by a signal, or by its own exit.
  enum class End { none, signal, exit };
  End ended_by_itself(std::size_t i) {
    auto& node = nodes_.at(i);
    int status = 0;
    if (!node.running() || waitpid(node.pid, &status, WNOHANG) != node.pid) return End::none;
    node.pid = 0;
    const bool by_signal = WIFSIGNALED(status);
    record_.line("%s has ended by itself: %s %d", node.name.c_str(),
                 by_signal ? "signal" : "exit status",
                 by_signal ? WTERMSIG(status) : WEXITSTATUS(status));
    return by_signal ? End::signal : End::exit;
  }
  void kill_all() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) kill(i);
  }

  bool healthy(std::size_t i) const {
    return call_once(nodes_.at(i).client_port, "GET", "/healthz", {}, 1000).status == 200;
  }
  bool wait_healthy(std::size_t i, std::int64_t timeout_ms) const {
    return wait_until(
        timeout_ms, [&] { return healthy(i); }, 20);
  }

 private:
  std::string program_, folder_;
  Record& record_;
  std::vector<Controller> nodes_;
  nlohmann::json services_, params_;
};

}  // namespace review
