#include "simulators/caller.hpp"

#include <utility>

namespace hitchfront::simulators {

Caller::Caller(event_base* base, const std::string& address, int connections)
    : client_(base, address, connections, [this](std::uint64_t id, int status, std::string body) {
        answered(id, status, body);
      }) {}

void Caller::call(core::Method method, const std::string& path, const std::string& body,
                  std::int64_t timeout_ms, OnAnswer done) {
  core::HttpCall call;
  call.id = next_id_++;
  call.method = method;
  call.path = path;
  call.body = body;
  call.timeout_ms = timeout_ms;
  pending_[call.id] = std::move(done);
  client_.call(std::move(call));
}

void Caller::answered(std::uint64_t id, int status, const std::string& body) {
  const auto it = pending_.find(id);
  if (it == pending_.end()) return;
  const auto done = std::move(it->second);
  pending_.erase(it);
  done(status, body);
}

}  // namespace hitchfront::simulators
