// What the core wants done, and how answers come back to it. The core itself does no I/O: whoever
// drives it carries the effects out and feeds the results in.
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

using Ms = std::int64_t;  // steady time in milliseconds

enum class Method { get, post, del };
enum class Target { state, cloud, worker };

struct HttpCall {
  std::uint64_t id = 0;
  Target target = Target::state;
  std::string addr;  // workers only
  Method method = Method::get;
  std::string path, body;
  Ms timeout_ms = 0;
  bool urgent = false;  // never waits for a connection: the lead hangs on it
  bool watch = false;   // held open by the other side; not to share a busy connection
};
struct HttpReply {
  std::uint64_t request = 0;
  int status = 0;
  std::string body;
  int retry_after_s = 0;
};
struct PeerSend {
  std::string node, bytes;
};
using telemetry::Event;

struct Effects {
  std::vector<HttpCall> calls;
  std::vector<HttpReply> replies;
  std::vector<PeerSend> peers;
  std::vector<telemetry::Line> logs;
  bool empty() const { return calls.empty() && replies.empty() && peers.empty() && logs.empty(); }
};

// status 0: no response came, the call may or may not have been carried out.
using Done = std::function<void(Ms now, int status, std::string_view body)>;

// Continues only while whoever holds `alive` does.
template <class F>
Done while_alive(const std::shared_ptr<int>& alive, F f) {
  return [alive = std::weak_ptr<int>(alive), f = std::move(f)](Ms t, int s, std::string_view b) {
    if (alive.lock()) f(t, s, b);
  };
}

// Collects effects and remembers who waits for which call.
class Outbox {
 public:
  std::uint64_t call(HttpCall c, Done done) {
    c.id = ++last_id_;
    waiting_.emplace(c.id, std::move(done));
    effects_.calls.push_back(std::move(c));
    return last_id_;
  }
  void complete(Ms now, std::uint64_t id, int status, std::string_view body) {
    auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    auto done = std::move(it->second);
    waiting_.erase(it);
    done(now, status, body);
  }
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s = 0) {
    effects_.replies.push_back({request, status, std::move(body), retry_after_s});
  }
  void peer(std::string node, std::string bytes) {
    effects_.peers.push_back({std::move(node), std::move(bytes)});
  }
  // Values in the order of the event's fields in the table of telemetry/events.cpp.
  template <class... T>
  void log(Event event, T&&... values) {
    effects_.logs.push_back(telemetry::line(event, std::forward<T>(values)...));
  }
  telemetry::Metrics& metrics() { return metrics_; }
  Effects take() { return std::exchange(effects_, {}); }

 private:
  Effects effects_;
  std::unordered_map<std::uint64_t, Done> waiting_;
  std::uint64_t last_id_ = 0;
  telemetry::Metrics metrics_;
};

}  // namespace hitchfront::core
