// Requests to one server over HTTP, each with a callback of its own.
#pragma once
#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "net/client.hpp"

namespace hitchfront::simulators {

// Not thread-safe: everything happens in the thread of the event loop.
class Caller {
 public:
  // status 0: no answer in time.
  using OnAnswer = std::function<void(int status, const std::string& body)>;

  // `address` is HOST:PORT; further requests wait while so many connections are busy.
  Caller(event_base* base, const std::string& address, int connections);
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  // `done` is called once, from the event loop, unless the caller is destroyed before.
  void call(core::Method method, const std::string& path, const std::string& body,
            std::int64_t timeout_ms, OnAnswer done);

 private:
  void answered(std::uint64_t id, int status, const std::string& body);

  std::unordered_map<std::uint64_t, OnAnswer> pending_;
  std::uint64_t next_id_ = 1;
  net::Client client_;
};

}  // namespace hitchfront::simulators
