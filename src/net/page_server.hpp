// Pages for operators (GET /metrics) on the address where the other controllers connect. evhttp
// can't take over a connection that somebody else has accepted, and there is one address for both,
// so the few lines of HTTP that this takes stand here.
#pragma once
#include <event2/bufferevent.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "net/handles.hpp"

namespace hitchfront::net {

// What a new connection carries, by its first bytes.
enum class FirstBytes { page_request, frame, too_few };
// A frame begins with the length of a node's name, which does not spell the method.
FirstBytes classify_first_bytes(std::string_view received);

class PageServer {
 public:
  // The text of a page; empty: there is no such page. `path` is without a query.
  using OnPage = std::function<std::string(const std::string& path)>;
  explicit PageServer(OnPage on_page) : on_page_(std::move(on_page)) {}
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  // Serves one request and closes the connection. `received`: what was read from it already. Closes
  // it at once where as many as may are open.
  void take(BuffereventHandle connection, std::string received);
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    PageServer* server;
    BuffereventHandle events;
    std::string received;
  };
  static void read(bufferevent* events, void* connection);
  static void written(bufferevent* events, void* connection);
  static void ended(bufferevent* events, short what, void* connection);
  void respond_if_whole(Connection& connection);
  void close(Connection& connection);

  OnPage on_page_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
};

}  // namespace hitchfront::net
