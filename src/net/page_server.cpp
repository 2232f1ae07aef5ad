#include "net/page_server.hpp"

#include <event2/buffer.h>

#include <utility>

#include "net/buffers.hpp"
#include "settings/constants.hpp"

namespace hitchfront::net {
namespace {

constexpr std::string_view kGet = "GET ";
constexpr std::string_view kHeaderTerminator = "\r\n\r\n";
// Inactivity timeout while a request is received or a response is sent.
constexpr timeval kPageTimeout{10, 0};

// "GET /metrics?x HTTP/1.1 ..." -> "/metrics"
std::string request_path(const std::string& header) {
  const auto end = header.find_first_of(" \r", kGet.size());
  const auto path = header.substr(kGet.size(), end - kGet.size());
  return path.substr(0, path.find('?'));
}

std::string response_header(const std::string& body) {
  return std::string(body.empty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK") +
         "\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n";
}

}  // namespace

ConnectionType classify_connection(std::string_view received) {
  if (received.starts_with(kGet)) return ConnectionType::page_request;
  return kGet.starts_with(received) ? ConnectionType::undetermined : ConnectionType::frame;
}

void PageServer::serve(BuffereventHandle stream, std::string received) {
  if (connections_.size() >= settings::kMaxPageConnections) return;
  auto* key = stream.get();
  auto& connection = connections_[key];
  connection =
      std::make_unique<Connection>(Connection{this, std::move(stream), std::move(received)});
  bufferevent_setcb(key, &PageServer::on_readable, nullptr, &PageServer::on_event,
                    connection.get());
  bufferevent_set_timeouts(key, &kPageTimeout, &kPageTimeout);
  respond_if_complete(*connection);
}

void PageServer::on_readable(bufferevent* stream, void* context) {
  auto& connection = *static_cast<Connection*>(context);
  append_input(stream, connection.received);
  connection.server->respond_if_complete(connection);
}

void PageServer::respond_if_complete(Connection& connection) {
  auto* stream = connection.stream.get();
  if (connection.received.find(kHeaderTerminator) == std::string::npos) {
    if (connection.received.size() > settings::kMaxPageRequestHeadBytes) close(connection);
    return;
  }
  bufferevent_disable(stream, EV_READ);
  const auto body = render_page_(request_path(connection.received));
  const auto header = response_header(body);
  bufferevent_setcb(stream, nullptr, &PageServer::on_written, &PageServer::on_event, &connection);
  bufferevent_write(stream, header.data(), header.size());
  bufferevent_write(stream, body.data(), body.size());
}

void PageServer::on_written(bufferevent*, void* context) {
  auto& connection = *static_cast<Connection*>(context);
  connection.server->close(connection);
}

void PageServer::on_event(bufferevent*, short events, void* context) {
  if ((events & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) == 0) return;
  auto& connection = *static_cast<Connection*>(context);
  connection.server->close(connection);
}

void PageServer::close(Connection& connection) {
  connections_.erase(connection.stream.get());
}

}  // namespace hitchfront::net
