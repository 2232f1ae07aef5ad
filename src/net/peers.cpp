#include "net/peers.hpp"

#include <event2/buffer.h>
#include <event2/util.h>

#include <optional>
#include <stdexcept>
#include <utility>

#include "net/buffers.hpp"
#include "settings/constants.hpp"
#include "wire/varint.hpp"

namespace hitchfront::net {
namespace {

constexpr std::size_t kIncomingMost = 64;  // connections from other controllers; a few are in use
constexpr timeval kPeerIdle{120, 0};
constexpr timeval kIntroduction{10, 0};  // for a connection to say what it is
constexpr timeval kStuck{4, 0};          // a peer behind a cut: give up and connect anew

struct SocketAddress {
  sockaddr_storage storage{};
  int size = sizeof(sockaddr_storage);
  sockaddr* get() { return reinterpret_cast<sockaddr*>(&storage); }
};

std::optional<SocketAddress> parse_address(const std::string& text) {
  SocketAddress address;
  if (evutil_parse_sockaddr_port(text.c_str(), address.get(), &address.size) != 0)
    return std::nullopt;
  return address;
}

bool is_end(short what) {
  return (what & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0;
}

}  // namespace

Peers::Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame,
             PageServer::OnPage on_page)
    : base_(base), platform_(platform), on_frame_(std::move(on_frame)), pages_(std::move(on_page)) {
  auto address = parse_address(platform.peer_listen);
  if (!address) throw std::runtime_error("can't parse " + platform.peer_listen);
  listener_.reset(
      evconnlistener_new_bind(base, &Peers::accepted, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                              address->get(), address->size));
  if (!listener_) throw std::runtime_error("can't listen on " + platform.peer_listen);
  for (const auto& peer : platform.peers) outgoing_[peer.node].addr = peer.addr;
}

// ---- incoming -----------------------------------------------------------------------------------

void Peers::accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* peers_) {
  auto* peers = static_cast<Peers*>(peers_);
  if (peers->incoming_.size() + peers->pages_.connections() >= kIncomingMost) {
    evutil_closesocket(fd);
    return;
  }
  BuffereventHandle events(bufferevent_socket_new(peers->base_, fd, BEV_OPT_CLOSE_ON_FREE));
  auto* key = events.get();
  auto incoming = std::make_unique<Incoming>(Incoming{peers, std::move(events), {}, {}});
  bufferevent_setcb(key, &Peers::read, nullptr, &Peers::incoming_ended, incoming.get());
  bufferevent_set_timeouts(key, &kIntroduction, nullptr);
  bufferevent_enable(key, EV_READ);
  peers->incoming_[key] = std::move(incoming);
}

void Peers::read(bufferevent* events, void* incoming_) {
  auto& incoming = *static_cast<Incoming*>(incoming_);
  append_input(events, incoming.received);
  if (incoming.node.empty() && incoming.peers->take_page_request(incoming)) return;
  incoming.peers->take_frames(incoming);
}

bool Peers::take_page_request(Incoming& incoming) {
  switch (classify_first_bytes(incoming.received)) {
    case FirstBytes::frame:
      return false;
    case FirstBytes::too_few:
      return true;
    case FirstBytes::page_request:
      break;
  }
  const auto connection = std::move(incoming_.extract(incoming.events.get()).mapped());
  pages_.take(std::move(connection->events), std::move(connection->received));
  return true;
}

void Peers::take_frames(Incoming& incoming) {
  std::string frame;
  while (true) {
    switch (wire::take_frame(incoming.received, frame, settings::kMaxPeerFrameBytes)) {
      case wire::FrameResult::incomplete:
        return;
      case wire::FrameResult::malformed:
        return close(incoming);
      case wire::FrameResult::frame:
        break;
    }
    if (!incoming.node.empty())
      on_frame_(incoming.node, std::move(frame));
    else if (!introduce(incoming, frame))
      return close(incoming);
  }
}

bool Peers::introduce(Incoming& incoming, const std::string& node) {
  if (!outgoing_.contains(node)) return false;
  incoming.node = node;
  bufferevent_set_timeouts(incoming.events.get(), &kPeerIdle, nullptr);
  return true;
}

void Peers::incoming_ended(bufferevent*, short what, void* incoming_) {
  auto& incoming = *static_cast<Incoming*>(incoming_);
  if (is_end(what)) incoming.peers->close(incoming);
}

void Peers::close(Incoming& incoming) {
  incoming_.erase(incoming.events.get());
}

// ---- outgoing -----------------------------------------------------------------------------------

void Peers::send(const std::string& node, const std::string& bytes) {
  const auto it = outgoing_.find(node);
  if (it == outgoing_.end()) return;
  auto& outgoing = it->second;
  std::string framed;
  if (!outgoing.events) {
    if (!connect(outgoing)) return;
    wire::put_text(framed, platform_.node);  // says who it is
  }
  // What a cut peer has not taken is not worth keeping.
  auto* events = outgoing.events.get();
  if (evbuffer_get_length(bufferevent_get_output(events)) > settings::kMaxPeerFrameBytes) return;
  wire::put_text(framed, bytes);
  bufferevent_write(events, framed.data(), framed.size());
}

bool Peers::connect(Outgoing& outgoing) {
  auto address = parse_address(outgoing.addr);
  if (!address) return false;
  outgoing.events.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  auto* events = outgoing.events.get();
  bufferevent_setcb(events, nullptr, nullptr, &Peers::outgoing_ended, &outgoing);
  bufferevent_set_timeouts(events, nullptr, &kStuck);
  bufferevent_enable(events, EV_READ | EV_WRITE);
  // The callback may have run already, and freed it.
  if (bufferevent_socket_connect(events, address->get(), address->size) != 0)
    outgoing.events.reset();
  return outgoing.events != nullptr;
}

void Peers::outgoing_ended(bufferevent*, short what, void* outgoing) {
  if (is_end(what)) static_cast<Outgoing*>(outgoing)->events.reset();
}

}  // namespace hitchfront::net
