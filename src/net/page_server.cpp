#include "net/page_server.hpp"

#include <event2/buffer.h>

#include <utility>

#include "net/buffers.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {

constexpr std::string_view kGet = "GET ";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
// s for a request to be whole, and for a response to be taken.
constexpr timeval kPageTimeout{10, 0};

// "GET /metrics?x HTTP/1.1 ..." -> "/metrics"
std::string path_in(const std::string& head) {
  const auto end = head.find_first_of(" \r", kGet.size());
  const auto path = head.substr(kGet.size(), end - kGet.size());
  return path.substr(0, path.find('?'));
}

std::string response_head(const std::string& body) {
  return std::string(body.empty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK") +
         "\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n";
}

}  // namespace

FirstBytes classify_first_bytes(std::string_view received) {
  if (received.starts_with(kGet)) return FirstBytes::page_request;
  return kGet.starts_with(received) ? FirstBytes::too_few : FirstBytes::frame;
}

void PageServer::take(BuffereventHandle events, std::string received) {
  if (connections_.size() >= settings::kMaxPageConnections) return;
  auto* key = events.get();
  auto& connection = connections_[key];
  connection =
      std::make_unique<Connection>(Connection{this, std::move(events), std::move(received)});
  bufferevent_setcb(key, &PageServer::read, nullptr, &PageServer::ended, connection.get());
  bufferevent_set_timeouts(key, &kPageTimeout, &kPageTimeout);
  respond_if_whole(*connection);
}

void PageServer::read(bufferevent* events, void* connection_) {
  auto& connection = *static_cast<Connection*>(connection_);
  append_input(events, connection.received);
  connection.server->respond_if_whole(connection);
}

void PageServer::respond_if_whole(Connection& connection) {
  auto* events = connection.events.get();
  if (connection.received.find(kHeadEnd) == std::string::npos) {
    if (connection.received.size() > settings::kMaxPageRequestHeadBytes) close(connection);
    return;
  }
  bufferevent_disable(events, EV_READ);
  const auto body = on_page_(path_in(connection.received));
  const auto head = response_head(body);
  bufferevent_setcb(events, nullptr, &PageServer::written, &PageServer::ended, &connection);
  bufferevent_write(events, head.data(), head.size());
  bufferevent_write(events, body.data(), body.size());
}

void PageServer::written(bufferevent*, void* connection_) {
  auto& connection = *static_cast<Connection*>(connection_);
  connection.server->close(connection);
}

void PageServer::ended(bufferevent*, short what, void* connection_) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) == 0) return;
  auto& connection = *static_cast<Connection*>(connection_);
  connection.server->close(connection);
}

void PageServer::close(Connection& connection) {
  connections_.erase(connection.events.get());
}

}  // namespace hitchfront::net
