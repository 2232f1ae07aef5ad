// An HTTP client (evhttp) for one server, with a pool of persistent connections. Used for the
// key-value store, the cloud provider and workers. Runs on the thread of its event loop.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/effects.hpp"
#include "net/handles.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {

class Client {
 public:
  // `status` 0: there was no response.
  using OnResponse = std::function<void(std::uint64_t id, int status, std::string body)>;
  // `max_connections`: further calls wait, except urgent calls and watches. 0: no limit, and
  // connections are not reused. `priority`: of new connections in the event loop; lower goes first.
  Client(event_base* base, std::string addr, int max_connections, OnResponse on_response,
         int priority = settings::kNormalEventPriority);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  // The response is passed to `on_response`, which may be called before this returns.
  void call(core::HttpCall call);
  bool idle() const { return running_calls_.empty() && waiting_calls_.empty(); }

 private:
  struct RunningCall;
  static void on_request_done(evhttp_request* request, void* context);
  static void free_connection(evutil_socket_t, short, void* connection);
  void start(core::HttpCall call);

  event_base* base_;
  std::string addr_, host_;
  std::uint16_t port_;
  int max_connections_, priority_;
  OnResponse on_response_;
  std::vector<HttpConnectionHandle> idle_connections_;
  std::deque<core::HttpCall> waiting_calls_;
  std::unordered_set<RunningCall*> running_calls_;  // without a response yet
  int running_call_count() const { return static_cast<int>(running_calls_.size()); }
};

}  // namespace hitchfront::net
