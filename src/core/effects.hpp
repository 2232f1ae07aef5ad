// The interface between the core and its I/O. The core does no I/O itself: it collects effects
// (calls, replies, messages, log lines), which its driver carries out, and the driver passes
// results back in.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "telemetry/events.hpp"
#include "telemetry/metrics.hpp"

namespace hitchfront::core {

using Ms = std::int64_t;  // milliseconds, or an instant of the steady clock in milliseconds

enum class Method { get, post, del };
// The key-value store, the cloud provider, or the worker on a machine.
enum class Target { state, cloud, worker };

// An outgoing HTTP request.
struct HttpCall {
  std::uint64_t id = 0;  // set by Outbox::call()
  Target target = Target::state;
  std::string addr;  // workers only
  Method method = Method::get;
  std::string path, body;
  Ms timeout_ms = 0;
  bool urgent = false;  // exempt from the connection limit: the leader's lease depends on it
  bool watch = false;   // a long poll; exempt from the connection limit
};
// The response to an incoming request.
struct HttpReply {
  std::uint64_t request = 0;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
};
// A message to another controller.
struct OutgoingPeerMessage {
  std::string node, bytes;
};
using telemetry::Event;

struct Effects {
  std::vector<HttpCall> calls;
  std::vector<HttpReply> replies;
  std::vector<OutgoingPeerMessage> peer_messages;
  std::vector<telemetry::Line> logs;
  bool empty() const {
    return calls.empty() && replies.empty() && peer_messages.empty() && logs.empty();
  }
};

// Called with the response to an HttpCall. `status` 0: there was no response, and the call may or
// may not have taken effect.
using ResponseCallback = std::function<void(Ms now, int status, std::string_view body)>;

// Wraps a callback so that it is skipped once the owner of `alive` has been destroyed.
template <class F>
ResponseCallback while_alive(const std::shared_ptr<int>& alive, F callback) {
  return [alive = std::weak_ptr<int>(alive), callback = std::move(callback)](
             Ms now, int status, std::string_view body) {
    if (alive.lock()) callback(now, status, body);
  };
}

// Collects the core's effects, and holds the callbacks of calls that are in progress.
class Outbox {
 public:
  // Returns the call's id.
  std::uint64_t call(HttpCall call, ResponseCallback callback) {
    call.id = ++last_call_id_;
    pending_callbacks_.emplace(call.id, std::move(callback));
    effects_.calls.push_back(std::move(call));
    return last_call_id_;
  }
  // Runs the callback of a call, once: further completions of the same id are ignored.
  void complete(Ms now, std::uint64_t id, int status, std::string_view body) {
    auto it = pending_callbacks_.find(id);
    if (it == pending_callbacks_.end()) return;
    auto callback = std::move(it->second);
    pending_callbacks_.erase(it);
    callback(now, status, body);
  }
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s = 0) {
    effects_.replies.push_back({request, status, std::move(body), retry_after_s});
  }
  void send_to_peer(std::string node, std::string bytes) {
    effects_.peer_messages.push_back({std::move(node), std::move(bytes)});
  }
  // `values` in the order of the event's fields in the event tables (telemetry/event_tables.hpp).
  template <class... T>
  void log(Event event, T&&... values) {
    effects_.logs.push_back(telemetry::line(event, std::forward<T>(values)...));
  }
  telemetry::Metrics& metrics() { return metrics_; }
  // Returns the effects collected since the last call.
  Effects take() { return std::exchange(effects_, {}); }

 private:
  Effects effects_;
  std::unordered_map<std::uint64_t, ResponseCallback> pending_callbacks_;
  std::uint64_t last_call_id_ = 0;
  telemetry::Metrics metrics_;
};

}  // namespace hitchfront::core
