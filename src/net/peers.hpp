// Frames between controllers: each node sends over its own connection to each other node. Who
// connects and asks for a page instead (operators) is handed to the page server.
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
  // Listens at once; throws std::runtime_error if it can't.
  Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame,
        PageServer::OnPage on_page);
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // Lost without notice if the peer can't be reached.
  void send(const std::string& node, const std::string& bytes);

 private:
  struct Incoming {
    Peers* peers;
    BuffereventHandle events;
    std::string node;  // from its first frame
    std::string received;
  };
  struct Outgoing {
    std::string addr;
    BuffereventHandle events;  // null: not connected
  };
  static void accepted(evconnlistener*, evutil_socket_t, sockaddr*, int, void* peers);
  static void read(bufferevent*, void* incoming);
  static void incoming_ended(bufferevent*, short what, void* incoming);
  static void outgoing_ended(bufferevent*, short what, void* outgoing);
  // Before a connection has said who it is. True: it carries no frames, or nobody knows yet.
  bool take_page_request(Incoming& incoming);
  void take_frames(Incoming& incoming);
  // False: nobody that the settings name.
  bool introduce(Incoming& incoming, const std::string& node);
  void close(Incoming& incoming);
  // False: it can't be tried.
  bool connect(Outgoing& outgoing);

  event_base* base_;
  const settings::Platform& platform_;
  OnFrame on_frame_;
  PageServer pages_;
  std::map<bufferevent*, std::unique_ptr<Incoming>> incoming_;
  std::map<std::string, Outgoing> outgoing_;
  ListenerHandle listener_;
};

}  // namespace hitchfront::net
