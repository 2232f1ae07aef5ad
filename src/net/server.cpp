#include "net/server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <stdexcept>

#include "settings/constants.hpp"
#include "wire/job.hpp"

namespace hitchfront::net {
namespace {

constexpr std::size_t kHeadersMost = 16 * 1024;  // bytes
// Somewhat above the protocol's limit, so that a body a little too large gets a proper 400.
constexpr std::size_t kBodyMost = 4 * wire::kMaxBodyBytes;

core::Method method_of(const evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return core::Method::get;
    case EVHTTP_REQ_POST:
      return core::Method::post;
    default:
      return core::Method::del;
  }
}

std::string take_body(evhttp_request* request) {
  auto* in = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  return body;
}

}  // namespace

Endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  Endpoint e;
  e.host = text.substr(0, colon);
  if (colon != std::string::npos)
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), e.port);
  return e;
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
  if (!http_) throw std::runtime_error("evhttp_new failed");
  evhttp_set_gencb(http_.get(), &Server::handle, this);
  evhttp_set_timeout(http_.get(), settings::kClientIdleTimeoutS);
  evhttp_set_max_headers_size(http_.get(), static_cast<ev_ssize_t>(kHeadersMost));
  evhttp_set_max_body_size(http_.get(), static_cast<ev_ssize_t>(kBodyMost));
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                              EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                              EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  const auto e = parse_endpoint(listen);
  auto* socket = evhttp_bind_socket_with_handle(http_.get(), e.host.c_str(), e.port);
  if (socket == nullptr) throw std::runtime_error("can't listen on " + listen);
  listener_ = evhttp_bound_socket_get_listener(socket);
}

Server::~Server() {
  for (const auto& [connection, state] : connections_)
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
}

// evhttp shows a connection with its first request. One that never sends any ends by its time-out.
void Server::add_connection(evhttp_connection* connection) {
  if (!connections_.try_emplace(connection).second) return;
  evhttp_connection_set_closecb(connection, &Server::closed, this);
  update_connections_short();
}

void Server::closed(evhttp_connection* connection, void* self_) {
  auto* self = static_cast<Server*>(self_);
  const auto it = self->connections_.find(connection);
  if (it == self->connections_.end()) return;
  if (it->second.closing) --self->closing_;
  self->connections_.erase(it);
  self->update_connections_short();
}

// The connection stays in the kernel's queue, and an enabled listener would report it again at
// once, for as long as no file comes free.
void Server::accept_failed(evconnlistener* listener, void*) {
  evconnlistener_disable(listener);
}

void Server::tick() {
  evconnlistener_set_error_cb(listener_, &Server::accept_failed);
  evconnlistener_enable(listener_);
}

void Server::handle(evhttp_request* request, void* self_) {
  auto* self = static_cast<Server*>(self_);
  self->add_connection(evhttp_request_get_connection(request));
  const auto id = ++self->last_id_;
  const auto method = method_of(request);
  const char* path = evhttp_request_get_uri(request);
  self->requests_[id] = {request, self->is_preferred(method, path)};
  if (self->requests_.size() > self->bounds_.requests) {
    self->send_close(request);
    return self->reply({id, 503, wire::error_body("busy"), settings::kRetryAfterS});
  }
  self->on_request_(id, method, path, take_body(request));
}

bool Server::is_preferred(core::Method method, std::string_view path) const {
  return method == core::Method::post && !preferred_path_.empty() &&
         path.substr(0, path.find('?')) == preferred_path_;
}

bool Server::closes(const Request& request) const {
  const auto most = request.preferred ? bounds_.preferred : bounds_.ordinary;
  return connections_.size() - closing_ > most;
}

void Server::send_close(evhttp_request* request) {
  const auto it = connections_.find(evhttp_request_get_connection(request));
  if (it == connections_.end() || it->second.closing) return;
  it->second.closing = true;
  ++closing_;
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
}

void Server::update_connections_short() {
  if (connections_.size() > bounds_.preferred)
    connections_short_ = true;
  else if (connections_.size() < bounds_.ordinary)
    connections_short_ = false;
}

void Server::reply(const core::HttpReply& r) {
  const auto it = requests_.find(r.request);
  if (it == requests_.end()) return;
  const auto [request, preferred] = it->second;
  if (closes(it->second)) send_close(request);
  requests_.erase(it);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", "application/json");
  if (r.retry_after_s > 0)
    evhttp_add_header(headers, "Retry-After", std::to_string(r.retry_after_s).c_str());
  auto* out = evhttp_request_get_output_buffer(request);
  evbuffer_add(out, r.body.data(), r.body.size());
  // If the other side has hung up meanwhile, evhttp frees the request here.
  evhttp_send_reply(request, r.status, nullptr, nullptr);
}

}  // namespace hitchfront::net
