// The evhttp server for users, workers and health checks.
#pragma once
#include <event2/event.h>
#include <event2/http.h>

#include <functional>
#include <set>
#include <string>
#include <unordered_map>

#include "core/effects.hpp"

namespace hitchfront::net {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};
Endpoint parse_endpoint(const std::string& text);

class Server {
 public:
  using OnRequest =
      std::function<void(std::uint64_t id, core::Method, const char* path, std::string body)>;
  Server(event_base* base, const std::string& listen, int max_connections, OnRequest on_request);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void reply(const core::HttpReply& reply);

 private:
  static void handle(evhttp_request* request, void* self);
  static void closed(evhttp_connection* connection, void* self);

  evhttp* http_ = nullptr;
  OnRequest on_request_;
  std::unordered_map<std::uint64_t, evhttp_request*> open_;
  std::uint64_t last_id_ = 0;
  std::size_t most_open_;
  std::set<evhttp_connection*> connections_;  // that have sent a request
};

}  // namespace hitchfront::net
