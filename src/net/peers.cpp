#include "net/peers.hpp"

#include <event2/buffer.h>
#include <event2/util.h>

#include <stdexcept>

#include "settings/constants.hpp"
#include "wire/varint.hpp"

namespace hitchfront::net {
namespace {
constexpr std::size_t kIncomingMost = 64;  // connections from other controllers; a few are in use
constexpr int kPeerIdleS = 120;
constexpr int kPageS = 10;  // s for a connection to say what it is, and for an answer to be taken
constexpr std::string_view kGet = "GET ";
}  // namespace

Peers::Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame, OnPage on_page)
    : base_(base),
      platform_(platform),
      on_frame_(std::move(on_frame)),
      on_page_(std::move(on_page)) {
  sockaddr_storage address{};
  int size = sizeof(address);
  if (evutil_parse_sockaddr_port(platform.peer_listen.c_str(),
                                 reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("can't parse " + platform.peer_listen);
  listener_ =
      evconnlistener_new_bind(base, &Peers::accepted, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                              reinterpret_cast<sockaddr*>(&address), size);
  if (listener_ == nullptr) throw std::runtime_error("can't listen on " + platform.peer_listen);
  for (const auto& p : platform.peers) outgoing_[p.node] = Outgoing{this, p.addr, nullptr};
}

Peers::~Peers() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  for (auto& [events, in] : incoming_) bufferevent_free(events);
  for (auto& [node, out] : outgoing_)
    if (out.events != nullptr) bufferevent_free(out.events);
}

void Peers::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self_) {
  auto* self = static_cast<Peers*>(self_);
  if (self->incoming_.size() >= kIncomingMost) {
    evutil_closesocket(fd);
    return;
  }
  auto* events = bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE);
  auto in = std::make_unique<Incoming>(Incoming{self, events, {}, {}});
  bufferevent_setcb(events, &Peers::read, nullptr, &Peers::ended, in.get());
  const timeval idle{kPageS, 0};  // until it says who it is
  bufferevent_set_timeouts(events, &idle, nullptr);
  bufferevent_enable(events, EV_READ);
  self->incoming_[events] = std::move(in);
}

void Peers::read(bufferevent* events, void* in_) {
  auto* in = static_cast<Incoming*>(in_);
  auto* input = bufferevent_get_input(events);
  const auto have = in->buffer.size();
  const auto more = evbuffer_get_length(input);
  in->buffer.resize(have + more);
  evbuffer_remove(input, in->buffer.data() + have, more);
  if (in->node.empty() && page(events, *in)) return;
  std::string frame;
  while (true) {
    switch (wire::take_frame(in->buffer, frame, settings::kFrameMost)) {
      case wire::FrameResult::none:
        return;
      case wire::FrameResult::broken:
        return ended(events, BEV_EVENT_ERROR, in);
      case wire::FrameResult::frame:
        break;
    }
    if (in->node.empty()) {
      if (!in->self->outgoing_.contains(frame)) return ended(events, BEV_EVENT_ERROR, in);
      in->node = frame;
      const timeval idle{kPeerIdleS, 0};
      bufferevent_set_timeouts(events, &idle, nullptr);
    } else {
      in->self->on_frame_(in->node, std::move(frame));
    }
  }
}

// A frame begins with the length of a node's name, which does not spell the method.
bool Peers::page(bufferevent* events, Incoming& in) {
  auto* self = in.self;
  if (!in.page) {
    if (in.buffer.size() < kGet.size() && kGet.starts_with(in.buffer))
      return true;  // more will tell
    if (!in.buffer.starts_with(kGet)) return false;
    if (self->pages_ >= settings::kPagesMost) {
      ended(events, BEV_EVENT_ERROR, &in);
      return true;
    }
    in.page = true;
    ++self->pages_;
    const timeval most{kPageS, 0};
    bufferevent_set_timeouts(events, &most, &most);
  }
  const auto end = in.buffer.find("\r\n\r\n");
  if (end == std::string::npos) {
    if (in.buffer.size() > settings::kPageHeadMost) ended(events, BEV_EVENT_ERROR, &in);
    return true;
  }
  bufferevent_disable(events, EV_READ);
  auto path =
      in.buffer.substr(kGet.size(), in.buffer.find_first_of(" \r", kGet.size()) - kGet.size());
  path = path.substr(0, path.find('?'));
  const auto body = self->on_page_(path);
  const std::string head =
      std::string(body.empty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK") +
      "\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n";
  bufferevent_setcb(events, nullptr, &Peers::page_written, &Peers::ended, &in);
  bufferevent_write(events, head.data(), head.size());
  bufferevent_write(events, body.data(), body.size());
  return true;
}

void Peers::page_written(bufferevent* events, void* in) {
  ended(events, BEV_EVENT_EOF, in);
}

void Peers::ended(bufferevent* events, short what, void* in_) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) == 0) return;
  auto* in = static_cast<Incoming*>(in_);
  auto* self = in->self;
  if (in->page) --self->pages_;
  bufferevent_free(events);
  self->incoming_.erase(events);
}

void Peers::out_ended(bufferevent* events, short what, void* out_) {
  if ((what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) == 0) return;
  static_cast<Outgoing*>(out_)->events = nullptr;
  bufferevent_free(events);
}

void Peers::send(const std::string& node, const std::string& bytes) {
  auto it = outgoing_.find(node);
  if (it == outgoing_.end()) return;
  auto& out = it->second;
  std::string framed;
  if (out.events == nullptr) {
    sockaddr_storage address{};
    int size = sizeof(address);
    if (evutil_parse_sockaddr_port(out.addr.c_str(), reinterpret_cast<sockaddr*>(&address),
                                   &size) != 0)
      return;
    out.events = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(out.events, nullptr, nullptr, &Peers::out_ended, &out);
    const timeval stuck{4, 0};  // a peer behind a cut: give up and connect anew
    bufferevent_set_timeouts(out.events, nullptr, &stuck);
    bufferevent_enable(out.events, EV_READ | EV_WRITE);
    wire::put_text(framed, platform_.node);
    if (bufferevent_socket_connect(out.events, reinterpret_cast<sockaddr*>(&address), size) != 0) {
      // The callback may have run already.
      if (out.events != nullptr) bufferevent_free(out.events);
      out.events = nullptr;
      return;
    }
  }
  // What a cut peer has not taken is not worth keeping.
  if (evbuffer_get_length(bufferevent_get_output(out.events)) > settings::kFrameMost) return;
  wire::put_text(framed, bytes);
  bufferevent_write(out.events, framed.data(), framed.size());
}

}  // namespace hitchfront::net
