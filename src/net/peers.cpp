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

// Connections from other controllers and for pages.
constexpr std::size_t kMaxIncomingConnections = 64;
constexpr timeval kPeerIdleTimeout{120, 0};
// For a new connection to send its node name or an HTTP request.
constexpr timeval kIdentificationTimeout{10, 0};
// After this long without progress in sending, the connection is closed; the next message opens a
// new one.
constexpr timeval kSendTimeout{4, 0};

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

bool is_disconnect(short events) {
  return (events & (BEV_EVENT_ERROR | BEV_EVENT_EOF | BEV_EVENT_TIMEOUT)) != 0;
}

}  // namespace

Peers::Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame,
             PageServer::RenderPage render_page)
    : base_(base),
      platform_(platform),
      on_frame_(std::move(on_frame)),
      page_server_(std::move(render_page)) {
  auto address = parse_address(platform.peer_listen);
  if (!address)
    throw std::runtime_error("cannot parse the peer listen address " + platform.peer_listen);
  listener_.reset(
      evconnlistener_new_bind(base, &Peers::on_accept, this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                              address->get(), address->size));
  if (!listener_) throw std::runtime_error("cannot listen for peers on " + platform.peer_listen);
  for (const auto& peer : platform.peers) outgoing_[peer.node].addr = peer.addr;
}

// --- incoming ---

void Peers::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context) {
  auto* peers = static_cast<Peers*>(context);
  if (peers->incoming_.size() + peers->page_server_.connections() >= kMaxIncomingConnections) {
    evutil_closesocket(fd);
    return;
  }
  BuffereventHandle stream(bufferevent_socket_new(peers->base_, fd, BEV_OPT_CLOSE_ON_FREE));
  auto* key = stream.get();
  auto incoming = std::make_unique<Incoming>(Incoming{peers, std::move(stream), {}, {}});
  bufferevent_setcb(key, &Peers::on_readable, nullptr, &Peers::on_incoming_event, incoming.get());
  bufferevent_set_timeouts(key, &kIdentificationTimeout, nullptr);
  bufferevent_enable(key, EV_READ);
  peers->incoming_[key] = std::move(incoming);
}

void Peers::on_readable(bufferevent* stream, void* context) {
  auto& incoming = *static_cast<Incoming*>(context);
  append_input(stream, incoming.received);
  if (incoming.node.empty() && incoming.peers->hand_over_page_request(incoming)) return;
  incoming.peers->process_frames(incoming);
}

bool Peers::hand_over_page_request(Incoming& incoming) {
  switch (classify_connection(incoming.received)) {
    case ConnectionType::frame:
      return false;
    case ConnectionType::undetermined:
      return true;
    case ConnectionType::page_request:
      break;
  }
  const auto connection = std::move(incoming_.extract(incoming.stream.get()).mapped());
  page_server_.serve(std::move(connection->stream), std::move(connection->received));
  return true;
}

void Peers::process_frames(Incoming& incoming) {
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
    else if (!identify(incoming, frame))
      return close(incoming);
  }
}

bool Peers::identify(Incoming& incoming, const std::string& node) {
  if (!outgoing_.contains(node)) return false;
  incoming.node = node;
  bufferevent_set_timeouts(incoming.stream.get(), &kPeerIdleTimeout, nullptr);
  return true;
}

void Peers::on_incoming_event(bufferevent*, short events, void* context) {
  auto& incoming = *static_cast<Incoming*>(context);
  if (is_disconnect(events)) incoming.peers->close(incoming);
}

void Peers::close(Incoming& incoming) {
  incoming_.erase(incoming.stream.get());
}

// --- outgoing ---

void Peers::send(const std::string& node, const std::string& bytes) {
  const auto found = outgoing_.find(node);
  if (found == outgoing_.end()) return;
  auto& outgoing = found->second;
  std::string framed;
  if (!outgoing.stream) {
    if (!connect(outgoing)) return;
    wire::put_text(framed, platform_.node);  // the first frame identifies this node
  }
  // Drops the message while the peer does not read: by the time it does, the message is outdated.
  auto* stream = outgoing.stream.get();
  if (evbuffer_get_length(bufferevent_get_output(stream)) > settings::kMaxPeerFrameBytes) return;
  wire::put_text(framed, bytes);
  bufferevent_write(stream, framed.data(), framed.size());
}

bool Peers::connect(Outgoing& outgoing) {
  auto address = parse_address(outgoing.addr);
  if (!address) return false;
  outgoing.stream.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  auto* stream = outgoing.stream.get();
  bufferevent_setcb(stream, nullptr, nullptr, &Peers::on_outgoing_event, &outgoing);
  bufferevent_set_timeouts(stream, nullptr, &kSendTimeout);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
  // On failure on_outgoing_event() may already have freed the stream.
  if (bufferevent_socket_connect(stream, address->get(), address->size) != 0)
    outgoing.stream.reset();
  return outgoing.stream != nullptr;
}

void Peers::on_outgoing_event(bufferevent*, short events, void* context) {
  if (is_disconnect(events)) static_cast<Outgoing*>(context)->stream.reset();
}

}  // namespace hitchfront::net
