// Sends calls to workers (direct commands and status requests), with one client per address and a
// limit on open connections. Further calls wait in FIFO order. A direct command that arrives late
// is safe (docs/safety.md, "Direct launches").
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
  // `max_connections`: for all workers together; raised to at least 1.
  WorkerClients(event_base* base, std::size_t max_connections, Client::OnResponse on_response);
  WorkerClients(const WorkerClients&) = delete;
  WorkerClients& operator=(const WorkerClients&) = delete;

  // A call that is not sent within its timeout fails with status 0, like one without a response.
  void call(core::HttpCall call);

  std::size_t running() const { return running_call_addresses_.size(); }
  std::size_t waiting() const { return waiting_calls_.size(); }

 private:
  using Clock = std::chrono::steady_clock;
  struct WaitingCall {
    core::HttpCall call;
    Clock::time_point deadline;
  };

  void start(core::HttpCall call);
  void on_call_done(std::uint64_t id, int status, std::string body);
  void start_waiting_calls();
  void drop_idle_clients();

  event_base* base_;
  std::size_t max_connections_;
  Client::OnResponse on_response_;
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;       // by address
  std::unordered_map<std::uint64_t, std::string> running_call_addresses_;  // by call id
  std::vector<std::string> finished_call_addresses_;  // their clients may be idle
  std::deque<WaitingCall> waiting_calls_;
  int callback_depth_ = 0;  // responses being delivered: their clients are on the call stack
};

}  // namespace hitchfront::net
