// Serves pages for operators (GET /metrics) on the peer listener. evhttp cannot adopt a connection
// that has been accepted elsewhere, so this implements the subset of HTTP that the pages need.
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

// What a connection to the peer listener carries.
enum class ConnectionType { page_request, frame, undetermined };
// Classifies a new connection by its first bytes. Frames are not mistaken for an HTTP request: the
// first one holds the length of a node name and the name, which do not spell "GET ".
ConnectionType classify_connection(std::string_view received);

class PageServer {
 public:
  // Returns the text of a page, empty if there is no such page. `path` has no query string.
  using RenderPage = std::function<std::string(const std::string& path)>;
  explicit PageServer(RenderPage render_page) : render_page_(std::move(render_page)) {}
  PageServer(const PageServer&) = delete;
  PageServer& operator=(const PageServer&) = delete;

  // Serves one request and closes the connection; closes it at once if kMaxPageConnections are
  // open. `received`: the bytes that have been read from it already.
  void serve(BuffereventHandle stream, std::string received);
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    PageServer* server;
    BuffereventHandle stream;
    std::string received;
  };
  static void on_readable(bufferevent* stream, void* context);
  static void on_written(bufferevent* stream, void* context);
  static void on_event(bufferevent* stream, short events, void* context);
  void respond_if_complete(Connection& connection);
  void close(Connection& connection);

  RenderPage render_page_;
  std::unordered_map<bufferevent*, std::unique_ptr<Connection>> connections_;
};

}  // namespace hitchfront::net
