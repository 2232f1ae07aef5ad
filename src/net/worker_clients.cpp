#include "net/worker_clients.hpp"

#include <algorithm>
#include <utility>

namespace hitchfront::net {
namespace {
// A connection carries one call and is closed after it: a worker rarely gets a second one soon.
constexpr int kKeepNone = 0;
}  // namespace

WorkerClients::WorkerClients(event_base* base, std::size_t connections_most,
                             Client::OnResponse on_response)
    : base_(base),
      connections_most_(std::max<std::size_t>(connections_most, 1)),
      on_response_(std::move(on_response)) {}

void WorkerClients::call(core::HttpCall c) {
  drop_idle_clients();
  if (running_.size() < connections_most_) return start(std::move(c));
  const auto until = Clock::now() + std::chrono::milliseconds(c.timeout_ms);
  waiting_.push_back({std::move(c), until});
}

void WorkerClients::start(core::HttpCall c) {
  running_[c.id] = c.addr;
  auto& client = clients_[c.addr];
  if (!client)
    client = std::make_unique<Client>(base_, c.addr, kKeepNone,
                                      [this](std::uint64_t id, int status, std::string body) {
                                        finished(id, status, std::move(body));
                                      });
  client->call(std::move(c));
}

void WorkerClients::finished(std::uint64_t id, int status, std::string body) {
  ++responding_;
  const auto it = running_.find(id);
  finished_.push_back(std::move(it->second));
  running_.erase(it);
  start_waiting();
  on_response_(id, status, std::move(body));
  --responding_;
}

void WorkerClients::start_waiting() {
  const auto now = Clock::now();
  while (!waiting_.empty() && running_.size() < connections_most_) {
    auto next = std::move(waiting_.front());
    waiting_.pop_front();
    if (now < next.until)
      start(std::move(next.call));
    else
      on_response_(next.call.id, 0, {});
  }
}

// Not while a response is passed on: the client that it came from is idle, and in use.
void WorkerClients::drop_idle_clients() {
  if (responding_ > 0) return;
  for (const auto& addr : finished_) {
    const auto it = clients_.find(addr);
    if (it != clients_.end() && it->second->idle()) clients_.erase(it);
  }
  finished_.clear();
}

}  // namespace hitchfront::net
