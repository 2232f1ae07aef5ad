#include "net/server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <stdexcept>

#include "settings/constants.hpp"
#include "wire/job.hpp"

namespace hitchfront::net {
namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
// Above the protocol's limit, so that a slightly too large body gets a 400 with an error message.
constexpr std::size_t kMaxBodyBytes = 4 * wire::kMaxBodyBytes;

core::Method request_method(const evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return core::Method::get;
    case EVHTTP_REQ_POST:
      return core::Method::post;
    default:
      return core::Method::del;
  }
}

// Drains the body.
std::string take_body(evhttp_request* request) {
  auto* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  if (colon != std::string::npos)
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), endpoint.port);
  return endpoint;
}

ConnectionBounds connection_bounds(int max_connections) {
  const double incoming = max_connections * settings::kMaxIncomingConnectionShare;
  ConnectionBounds bounds;
  bounds.ordinary = static_cast<std::size_t>(incoming * settings::kMaxUserConnectionShare);
  bounds.preferred = static_cast<std::size_t>(incoming);
  bounds.requests = static_cast<std::size_t>(incoming);
  return bounds;
}

Server::Server(event_base* base, const std::string& listen, int max_connections,
               OnRequest on_request, std::string_view preferred_path)
    : on_request_(std::move(on_request)),
      preferred_path_(preferred_path),
      bounds_(connection_bounds(max_connections)) {
  http_.reset(evhttp_new(base));
  if (!http_) throw std::runtime_error("cannot create the HTTP server: evhttp_new failed");
  evhttp_set_gencb(http_.get(), &Server::on_http_request, this);
  evhttp_set_timeout(http_.get(), settings::kClientIdleTimeoutS);
  evhttp_set_max_headers_size(http_.get(), static_cast<ev_ssize_t>(kMaxHeaderBytes));
  evhttp_set_max_body_size(http_.get(), static_cast<ev_ssize_t>(kMaxBodyBytes));
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                              EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  const auto endpoint = parse_endpoint(listen);
  auto* bound_socket =
      evhttp_bind_socket_with_handle(http_.get(), endpoint.host.c_str(), endpoint.port);
  if (bound_socket == nullptr) throw std::runtime_error("cannot listen for HTTP on " + listen);
  listener_ = evhttp_bound_socket_get_listener(bound_socket);
}

Server::~Server() {
  for (const auto& [connection, state] : connections_)
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
}

// evhttp exposes a connection with its first request only. One that never sends any is closed by
// the idle timeout.
void Server::track_connection(evhttp_connection* connection) {
  if (!connections_.try_emplace(connection).second) return;
  evhttp_connection_set_closecb(connection, &Server::on_closed, this);
  update_near_connection_limit();
}

void Server::on_closed(evhttp_connection* connection, void* context) {
  auto* self = static_cast<Server*>(context);
  const auto found = self->connections_.find(connection);
  if (found == self->connections_.end()) return;
  if (found->second.closing) --self->closing_;
  self->connections_.erase(found);
  self->update_near_connection_limit();
}

// The connection stays in the kernel's accept queue: an enabled listener would fail on it again at
// once, until a file descriptor becomes free.
void Server::on_accept_error(evconnlistener* listener, void*) {
  evconnlistener_disable(listener);
}

void Server::tick() {
  evconnlistener_set_error_cb(listener_, &Server::on_accept_error);
  evconnlistener_enable(listener_);
}

void Server::on_http_request(evhttp_request* request, void* context) {
  auto* self = static_cast<Server*>(context);
  self->track_connection(evhttp_request_get_connection(request));
  const auto id = ++self->last_id_;
  const auto method = request_method(request);
  const char* path = evhttp_request_get_uri(request);
  self->requests_[id] = {request, self->is_preferred(method, path)};
  if (self->requests_.size() > self->bounds_.requests) {
    self->announce_close(request);
    return self->reply({id, 503, wire::error_body("busy"), settings::kRetryAfterS});
  }
  self->on_request_(id, method, path, take_body(request));
}

bool Server::is_preferred(core::Method method, std::string_view path) const {
  return method == core::Method::post && !preferred_path_.empty() &&
         path.substr(0, path.find('?')) == preferred_path_;
}

bool Server::must_close(const Request& request) const {
  const auto max_open = request.preferred ? bounds_.preferred : bounds_.ordinary;
  return connections_.size() - closing_ > max_open;
}

void Server::announce_close(evhttp_request* request) {
  const auto found = connections_.find(evhttp_request_get_connection(request));
  if (found == connections_.end() || found->second.closing) return;
  found->second.closing = true;
  ++closing_;
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
}

void Server::update_near_connection_limit() {
  if (connections_.size() > bounds_.preferred)
    near_connection_limit_ = true;
  else if (connections_.size() < bounds_.ordinary)
    near_connection_limit_ = false;
}

void Server::reply(const core::HttpReply& reply) {
  const auto found = requests_.find(reply.request);
  if (found == requests_.end()) return;
  const auto [request, preferred] = found->second;
  if (must_close(found->second)) announce_close(request);
  requests_.erase(found);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (reply.retry_after_s > 0)
    evhttp_add_header(headers, "Retry-After", std::to_string(reply.retry_after_s).c_str());
  auto* output = evhttp_request_get_output_buffer(request);
  evbuffer_add(output, reply.body.data(), reply.body.size());
  // If the client has disconnected, evhttp frees the request here.
  evhttp_send_reply(request, reply.status, nullptr, nullptr);
}

}  // namespace hitchfront::net
