// Calls to workers (direct commands, questions for their status): one client for each address, and
// a bound on how many connections are open at once. Further calls wait in the order in which they
// came. A direct command that comes late breaks nothing (docs/safety.md, "Direct launches").
#pragma once
#include <event2/event.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/effects.hpp"
#include "net/client.hpp"

namespace hitchfront::net {

class WorkerClients {
 public:
  // `connections_most`: open at once, at least 1.
  WorkerClients(event_base* base, std::size_t connections_most, Client::OnResponse on_response);
  WorkerClients(const WorkerClients&) = delete;
  WorkerClients& operator=(const WorkerClients&) = delete;

  // The call's timeout covers its wait: one that could not be sent in that time is answered with
  // status 0, like one without a response.
  void call(core::HttpCall call);

  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  using Clock = std::chrono::steady_clock;
  struct Waiting {
    core::HttpCall call;
    Clock::time_point until;
  };

  void start(core::HttpCall call);
  void finished(std::uint64_t id, int status, std::string body);
  void start_waiting();
  void drop_idle_clients();

  event_base* base_;
  std::size_t connections_most_;
  Client::OnResponse on_response_;
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;  // by address
  std::unordered_map<std::uint64_t, std::string> running_;            // addresses by call
  std::vector<std::string> finished_;  // addresses whose clients may be idle
  std::deque<Waiting> waiting_;
  int responding_ = 0;  // responses being passed on: their clients are on the call stack
};

}  // namespace hitchfront::net
