// The HTTP server for users, workers and health checks (evhttp).
//
// The number of clients is not limited, only the number of connections that stay open between
// requests: above the limit responses carry `Connection: close`, and the client reconnects for its
// next request (PROTOCOL). Idle connections are not closed to get below the limit, because a
// request may be in flight. Runs on the thread of its event loop, like everything in net/.
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
// Parses an address of the form host:port; the port is 0 if it is missing.
Endpoint parse_endpoint(const std::string& text);

// Connection limits of a server.
struct ConnectionBounds {
  std::size_t ordinary = 0;   // open connections above which ordinary responses close theirs
  std::size_t preferred = 0;  // the same for responses on the preferred path
  std::size_t requests = 0;   // requests in progress above which further ones get a 503
};
// `max_connections`: of the whole process, from the settings.
ConnectionBounds connection_bounds(int max_connections);

class Server {
 public:
  // Called with each request. `id` is to be passed to reply(); `path` is valid during the call
  // only.
  using OnRequest =
      std::function<void(std::uint64_t id, core::Method, const char* path, std::string body)>;

  // Starts to listen; throws std::runtime_error if that fails. `preferred_path`: connections that
  // carry POST requests to it are kept open up to the higher limit; empty: none.
  Server(event_base* base, const std::string& listen, int max_connections, OnRequest on_request,
         std::string_view preferred_path = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Answers a request. Has no effect if it has been answered already.
  void reply(const core::HttpReply& reply);

  // To be called several times a second. After a failed accept, as when the process is out of file
  // descriptors, the listener is disabled until the next call instead of failing in a busy loop.
  void tick();

  // Whether responses close connections even on the preferred path. Has hysteresis: once set, it
  // stays set until the open connections are below the ordinary limit.
  bool near_connection_limit() const { return near_connection_limit_; }
  // Connections that have sent a request.
  std::size_t open_connections() const { return connections_.size(); }

 private:
  struct Request {
    evhttp_request* request = nullptr;
    bool preferred = false;
  };
  struct Connection {
    bool closing = false;  // a response with `Connection: close` is being sent
  };

  static void on_closed(evhttp_connection* connection, void* context);
  static void on_accept_error(evconnlistener* listener, void*);
  static void on_http_request(evhttp_request* request, void* context);

  void track_connection(evhttp_connection* connection);
  bool is_preferred(core::Method method, std::string_view path) const;
  // Whether the response to the request must close the connection.
  bool must_close(const Request& request) const;
  // Adds `Connection: close` to the response.
  void announce_close(evhttp_request* request);
  void update_near_connection_limit();

  HttpServerHandle http_;
  evconnlistener* listener_ = nullptr;  // owned by http_
  OnRequest on_request_;
  std::string preferred_path_;
  ConnectionBounds bounds_;
  std::unordered_map<std::uint64_t, Request> requests_;  // in progress
  std::uint64_t last_id_ = 0;
  std::unordered_map<evhttp_connection*, Connection> connections_;  // as open_connections()
  std::size_t closing_ = 0;  // connections whose `closing` is set
  bool near_connection_limit_ = false;
};

}  // namespace hitchfront::net
