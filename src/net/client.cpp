#include "net/client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "net/server.hpp"

namespace hitchfront::net {

struct Client::Running {
  Client* client;  // none once it is gone
  event_base* base;
  evhttp_connection* connection;
  std::uint64_t id;
};

Client::Client(event_base* base, std::string addr, int most, OnResponse on_response, int priority)
    : base_(base),
      addr_(std::move(addr)),
      most_(most),
      priority_(priority),
      on_response_(std::move(on_response)) {
  const auto e = parse_endpoint(addr_);
  host_ = e.host;
  port_ = e.port;
}

Client::~Client() {
  for (auto* r : running_) r->client = nullptr;
}

void Client::call(core::HttpCall c) {
  if (most_ > 0 && !c.watch && !c.urgent && busy() >= most_) {
    waiting_.push_back(std::move(c));
    return;
  }
  start(std::move(c));
}

void Client::start(core::HttpCall c) {
  evhttp_connection* connection = nullptr;
  if (!free_.empty()) {
    connection = free_.back().release();
    free_.pop_back();
  } else {
    connection = evhttp_connection_base_new(base_, nullptr, host_.c_str(), port_);
    if (priority_ != settings::kNormalEventPriority)
      bufferevent_priority_set(evhttp_connection_get_bufferevent(connection), priority_);
  }
  auto* running = new Running{this, base_, connection, c.id};
  running_.insert(running);
  auto* request = evhttp_request_new(&Client::finished, running);
  timeval limit{static_cast<time_t>(c.timeout_ms / 1000),
                static_cast<suseconds_t>(c.timeout_ms % 1000 * 1000)};
  evhttp_connection_set_timeout_tv(connection, &limit);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", addr_.c_str());
  if (!c.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), c.body.data(), c.body.size());
  }
  const auto type = c.method == core::Method::get    ? EVHTTP_REQ_GET
                    : c.method == core::Method::post ? EVHTTP_REQ_POST
                                                     : EVHTTP_REQ_DELETE;
  // On failure evhttp has freed the request and may or may not have called back; it does not here.
  if (evhttp_make_request(connection, request, type, c.path.c_str()) != 0) {
    running_.erase(running);
    delete running;
    event_base_once(base_, -1, EV_TIMEOUT, &Client::discard, connection, nullptr);
    on_response_(c.id, 0, {});
  }
}

void Client::discard(evutil_socket_t, short, void* connection) {
  evhttp_connection_free(static_cast<evhttp_connection*>(connection));
}

void Client::finished(evhttp_request* request, void* running_) {
  auto* running = static_cast<Running*>(running_);
  auto* self = running->client;
  auto* connection = running->connection;
  const auto id = running->id;
  if (self == nullptr) {
    event_base_once(running->base, -1, EV_TIMEOUT, &Client::discard, connection, nullptr);
    delete running;
    return;
  }
  self->running_.erase(running);
  delete running;
  int status = 0;
  std::string body;
  if (request != nullptr) status = evhttp_request_get_response_code(request);
  if (status != 0) {
    auto* in = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(in));
    evbuffer_remove(in, body.data(), body.size());
  }
  if (status != 0 && self->most_ > 0 && static_cast<int>(self->free_.size()) < self->most_) {
    self->free_.emplace_back(connection);
  } else {
    // Not from within its own callback.
    event_base_once(self->base_, -1, EV_TIMEOUT, &Client::discard, connection, nullptr);
  }
  if (!self->waiting_.empty() && self->busy() < self->most_) {
    auto next = std::move(self->waiting_.front());
    self->waiting_.pop_front();
    self->start(std::move(next));
  }
  self->on_response_(id, status, std::move(body));
}

}  // namespace hitchfront::net
