#include "net/client.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "net/server.hpp"

namespace hitchfront::net {

// Outlives its client if that is destroyed before the response arrives.
struct Client::RunningCall {
  Client* client;  // null once destroyed
  event_base* base;
  evhttp_connection* connection;
  std::uint64_t id;
};

Client::Client(event_base* base, std::string addr, int max_connections, OnResponse on_response,
               int priority)
    : base_(base),
      addr_(std::move(addr)),
      max_connections_(max_connections),
      priority_(priority),
      on_response_(std::move(on_response)) {
  const auto endpoint = parse_endpoint(addr_);
  host_ = endpoint.host;
  port_ = endpoint.port;
}

Client::~Client() {
  for (auto* call : running_calls_) call->client = nullptr;
}

void Client::call(core::HttpCall call) {
  if (max_connections_ > 0 && !call.watch && !call.urgent &&
      running_call_count() >= max_connections_) {
    waiting_calls_.push_back(std::move(call));
    return;
  }
  start(std::move(call));
}

void Client::start(core::HttpCall call) {
  evhttp_connection* connection = nullptr;
  if (!idle_connections_.empty()) {
    connection = idle_connections_.back().release();
    idle_connections_.pop_back();
  } else {
    connection = evhttp_connection_base_new(base_, nullptr, host_.c_str(), port_);
    if (priority_ != settings::kNormalEventPriority)
      bufferevent_priority_set(evhttp_connection_get_bufferevent(connection), priority_);
  }
  auto* running = new RunningCall{this, base_, connection, call.id};
  running_calls_.insert(running);
  auto* request = evhttp_request_new(&Client::on_request_done, running);
  timeval timeout{static_cast<time_t>(call.timeout_ms / 1000),
                  static_cast<suseconds_t>(call.timeout_ms % 1000 * 1000)};
  evhttp_connection_set_timeout_tv(connection, &timeout);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", addr_.c_str());
  if (!call.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
  }
  const auto type = call.method == core::Method::get    ? EVHTTP_REQ_GET
                    : call.method == core::Method::post ? EVHTTP_REQ_POST
                                                        : EVHTTP_REQ_DELETE;
  // On failure evhttp has freed the request. Some failures of evhttp also call back, but not those
  // that can occur here.
  if (evhttp_make_request(connection, request, type, call.path.c_str()) != 0) {
    running_calls_.erase(running);
    delete running;
    event_base_once(base_, -1, EV_TIMEOUT, &Client::free_connection, connection, nullptr);
    on_response_(call.id, 0, {});
  }
}

void Client::free_connection(evutil_socket_t, short, void* connection) {
  evhttp_connection_free(static_cast<evhttp_connection*>(connection));
}

void Client::on_request_done(evhttp_request* request, void* context) {
  auto* running = static_cast<RunningCall*>(context);
  auto* self = running->client;
  auto* connection = running->connection;
  const auto id = running->id;
  if (self == nullptr) {
    event_base_once(running->base, -1, EV_TIMEOUT, &Client::free_connection, connection, nullptr);
    delete running;
    return;
  }
  self->running_calls_.erase(running);
  delete running;
  int status = 0;
  std::string body;
  if (request != nullptr) status = evhttp_request_get_response_code(request);
  if (status != 0) {
    auto* input = evhttp_request_get_input_buffer(request);
    body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body.data(), body.size());
  }
  if (status != 0 && self->max_connections_ > 0 &&
      static_cast<int>(self->idle_connections_.size()) < self->max_connections_) {
    self->idle_connections_.emplace_back(connection);
  } else {
    // A connection must not be freed from within its own callback.
    event_base_once(self->base_, -1, EV_TIMEOUT, &Client::free_connection, connection, nullptr);
  }
  if (!self->waiting_calls_.empty() && self->running_call_count() < self->max_connections_) {
    auto next = std::move(self->waiting_calls_.front());
    self->waiting_calls_.pop_front();
    self->start(std::move(next));
  }
  self->on_response_(id, status, std::move(body));
}

}  // namespace hitchfront::net
