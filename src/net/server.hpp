// The HTTP server for users, workers and health checks (evhttp).
//
// How many clients there are is not bounded, only how many connections stay open between requests:
// above a bound a response carries `Connection: close`, and its client connects anew for the next
// request (PROTOCOL). An idle connection is never cut, since a request may be on its way on it.
// Runs on the thread of its event loop, like everything in net/.
#pragma once
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/effects.hpp"
#include "net/handles.hpp"

namespace hitchfront::net {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
};
Endpoint parse_endpoint(const std::string& text);

// What a server does at which number of connections.
struct ConnectionBounds {
  std::size_t ordinary = 0;   // open connections above which an ordinary response closes its own
  std::size_t preferred = 0;  // the same for responses on the path whose clients are preferred
  std::size_t requests = 0;   // requests in progress above which further ones are refused with 503
};
// `max_connections`: of the whole process, as the settings give it.
ConnectionBounds connection_bounds(int max_connections);

class Server {
 public:
  // `id` is passed to reply(); `path` is valid during the call only.
  using OnRequest =
      std::function<void(std::uint64_t id, core::Method, const char* path, std::string body)>;

  // Listens at once; throws std::runtime_error if it can't. `preferred_path`: POST requests to it
  // keep their connections longest; empty: none does.
  Server(event_base* base, const std::string& listen, int max_connections, OnRequest on_request,
         std::string_view preferred_path = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Answers a request. Without effect if it has been answered already.
  void reply(const core::HttpReply& reply);

  // For whoever calls it several times a second: while the process is out of open files nothing is
  // accepted until the next call. Otherwise the listener fails again and again, all the time.
  void tick();

  // Whether even preferred clients lose their connections after a response. It stays set until the
  // open ones are below the ordinary bound, so that it does not flicker.
  bool connections_short() const { return connections_short_; }
  // Of those that have sent a request.
  std::size_t open_connections() const { return connections_.size(); }

 private:
  struct Request {
    evhttp_request* request = nullptr;
    bool preferred = false;
  };
  struct Connection {
    bool closing = false;  // its response, which says so, is on its way
  };

  static void closed(evhttp_connection* connection, void* self);
  static void accept_failed(evconnlistener* listener, void*);
  static void handle(evhttp_request* request, void* self);

  void add_connection(evhttp_connection* connection);
  bool is_preferred(core::Method method, std::string_view path) const;
  // Whether the response that is about to be sent has to close its connection.
  bool closes(const Request& request) const;
  void send_close(evhttp_request* request);
  void update_connections_short();

  HttpServerHandle http_;
  evconnlistener* listener_ = nullptr;  // of http_
  OnRequest on_request_;
  std::string preferred_path_;
  ConnectionBounds bounds_;
  std::unordered_map<std::uint64_t, Request> requests_;  // in progress
  std::uint64_t last_id_ = 0;
  std::unordered_map<evhttp_connection*, Connection> connections_;  // that have sent a request
  std::size_t closing_ = 0;
  bool connections_short_ = false;
};

}  // namespace hitchfront::net
