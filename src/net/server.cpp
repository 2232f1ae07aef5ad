#include "net/server.hpp"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <stdexcept>

#include "settings/constants.hpp"
#include "wire/job.hpp"

namespace hitchfront::net {

Endpoint parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  Endpoint e;
  e.host = text.substr(0, colon);
  if (colon != std::string::npos)
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), e.port);
  return e;
}

Server::Server(event_base* base, const std::string& listen, int max_connections,
               OnRequest on_request)
    : on_request_(std::move(on_request)),
      most_open_(static_cast<std::size_t>(max_connections * settings::kIncomingShare)) {
  http_ = evhttp_new(base);
  if (http_ == nullptr) throw std::runtime_error("evhttp_new failed");
  evhttp_set_gencb(http_, &Server::handle, this);
  evhttp_set_timeout(http_, settings::kIdleS);
  evhttp_set_max_headers_size(http_, 16 * 1024);
  // Somewhat above the protocol's limit, so that a body a little too large gets a proper 400.
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(4 * wire::kMaxBody));
  evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                        EVHTTP_REQ_OPTIONS);
  const auto e = parse_endpoint(listen);
  if (evhttp_bind_socket(http_, e.host.c_str(), e.port) != 0)
    throw std::runtime_error("can't listen on " + listen);
}

Server::~Server() {
  for (auto* c : connections_) evhttp_connection_set_closecb(c, nullptr, nullptr);
  if (http_ != nullptr) evhttp_free(http_);
}

void Server::handle(evhttp_request* request, void* self_) {
  auto* self = static_cast<Server*>(self_);
  core::Method method;
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      method = core::Method::get;
      break;
    case EVHTTP_REQ_POST:
      method = core::Method::post;
      break;
    default:
      method = core::Method::del;
  }
  const auto id = ++self->last_id_;
  self->open_[id] = request;
  auto* connection = evhttp_request_get_connection(request);
  if (self->connections_.insert(connection).second)
    evhttp_connection_set_closecb(connection, &Server::closed, self);
  // Past the bound a connection is told so and closed; idle ones end by their time-out.
  const bool crowded = self->connections_.size() > self->most_open_;
  if (crowded) evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
  if (crowded || self->open_.size() > self->most_open_)
    return self->reply({id, 503, wire::error_body("busy"), settings::kRetryAfterS});
  auto* in = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  self->on_request_(id, method, evhttp_request_get_uri(request), std::move(body));
}

void Server::closed(evhttp_connection* connection, void* self) {
  static_cast<Server*>(self)->connections_.erase(connection);
}

void Server::reply(const core::HttpReply& r) {
  auto it = open_.find(r.request);
  if (it == open_.end()) return;
  auto* request = it->second;
  open_.erase(it);
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
