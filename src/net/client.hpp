// Pooled evhttp clients with timeouts: the state service, the cloud, and workers.
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
  using OnResponse = std::function<void(std::uint64_t id, int status, std::string body)>;
  // `most`: connections at once; further calls wait. 0: no bound, and none is kept open.
  // `priority`: of its connections in the loop; lower goes first.
  Client(event_base* base, std::string addr, int most, OnResponse on_response,
         int priority = settings::kNormalEventPriority);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void call(core::HttpCall call);
  bool idle() const { return running_.empty() && waiting_.empty(); }

 private:
  struct Running;
  static void finished(evhttp_request* request, void* running);
  static void discard(evutil_socket_t, short, void* connection);
  void start(core::HttpCall call);

  event_base* base_;
  std::string addr_, host_;
  std::uint16_t port_;
  int most_, priority_;
  OnResponse on_response_;
  std::vector<HttpConnectionHandle> free_;
  std::deque<core::HttpCall> waiting_;
  std::unordered_set<Running*> running_;  // requests without an answer
  int busy() const { return static_cast<int>(running_.size()); }
};

}  // namespace hitchfront::net
