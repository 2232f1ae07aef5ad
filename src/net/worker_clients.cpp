#include "net/worker_clients.hpp"

#include <algorithm>
#include <utility>

namespace hitchfront::net {
namespace {
// Connections are closed after one call, since a worker rarely gets another one soon. WorkerClients
// limits their number.
constexpr int kUnlimitedWithoutReuse = 0;
}  // namespace

WorkerClients::WorkerClients(event_base* base, std::size_t max_connections,
                             Client::OnResponse on_response)
    : base_(base),
      max_connections_(std::max<std::size_t>(max_connections, 1)),
      on_response_(std::move(on_response)) {}

void WorkerClients::call(core::HttpCall call) {
  drop_idle_clients();
  if (running_call_addresses_.size() < max_connections_) return start(std::move(call));
  const auto deadline = Clock::now() + std::chrono::milliseconds(call.timeout_ms);
  waiting_calls_.push_back({std::move(call), deadline});
}

void WorkerClients::start(core::HttpCall call) {
  running_call_addresses_[call.id] = call.addr;
  auto& client = clients_[call.addr];
  if (!client)
    client = std::make_unique<Client>(base_, call.addr, kUnlimitedWithoutReuse,
                                      [this](std::uint64_t id, int status, std::string body) {
                                        on_call_done(id, status, std::move(body));
                                      });
  client->call(std::move(call));
}

void WorkerClients::on_call_done(std::uint64_t id, int status, std::string body) {
  ++callback_depth_;
  const auto found = running_call_addresses_.find(id);
  finished_call_addresses_.push_back(std::move(found->second));
  running_call_addresses_.erase(found);
  start_waiting_calls();
  on_response_(id, status, std::move(body));
  --callback_depth_;
}

void WorkerClients::start_waiting_calls() {
  const auto now = Clock::now();
  while (!waiting_calls_.empty() && running_call_addresses_.size() < max_connections_) {
    auto next = std::move(waiting_calls_.front());
    waiting_calls_.pop_front();
    if (now < next.deadline)
      start(std::move(next.call));
    else
      on_response_(next.call.id, 0, {});
  }
}

// Does nothing while a response is being delivered: its client counts as idle but is on the call
// stack.
void WorkerClients::drop_idle_clients() {
  if (callback_depth_ > 0) return;
  for (const auto& addr : finished_call_addresses_) {
    const auto found = clients_.find(addr);
    if (found != clients_.end() && found->second->idle()) clients_.erase(found);
  }
  finished_call_addresses_.clear();
}

}  // namespace hitchfront::net
