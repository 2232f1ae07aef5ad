// Exchanges frames between controllers. Each node sends over a connection of its own to each other
// node. Connections that carry an HTTP request are handed over to the page server.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/handles.hpp"
#include "net/page_server.hpp"
#include "settings/platform.hpp"

namespace hitchfront::net {

class Peers {
 public:
  using OnFrame = std::function<void(const std::string& node, std::string bytes)>;
  // Starts to listen; throws std::runtime_error if that fails. `platform` must outlive this object.
  Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame,
        PageServer::RenderPage render_page);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // Best effort: the message is dropped silently if the peer cannot be reached.
  void send(const std::string& node, const std::string& bytes);

 private:
  struct Incoming {
    Peers* peers;
    BuffereventHandle stream;
    std::string node;  // from the first frame; empty until then
    std::string received;
  };
  struct Outgoing {
    std::string addr;
    BuffereventHandle stream;  // null: not connected
  };
  static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* context);
  static void on_readable(bufferevent* stream, void* context);
  static void on_incoming_event(bufferevent*, short events, void* context);
  static void on_outgoing_event(bufferevent*, short events, void* context);
  // Called until the peer has identified itself. Hands the connection over to the page server if it
  // carries an HTTP request. Returns false if it carries frames, true if it does not, or not enough
  // bytes have arrived to tell.
  bool hand_over_page_request(Incoming& incoming);
  void process_frames(Incoming& incoming);
  // Records which node has connected, and returns false if the settings do not name it.
  bool identify(Incoming& incoming, const std::string& node);
  void close(Incoming& incoming);
  // Starts to connect; returns false if that fails at once.
  bool connect(Outgoing& outgoing);

  event_base* base_;
  const settings::Platform& platform_;
  OnFrame on_frame_;
  PageServer page_server_;
  std::map<bufferevent*, std::unique_ptr<Incoming>> incoming_;
  std::map<std::string, Outgoing> outgoing_;  // by node
  ListenerHandle listener_;
};

}  // namespace hitchfront::net
