// Frames between controllers: each node sends over its own connection to each other node. The same
// address answers GET (figures, for operators): evhttp can't take over a connection that somebody
// else has accepted, and there is one address for both, so the few lines of HTTP that this takes
// stand here.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "settings/platform.hpp"

namespace hitchfront::net {

class Peers {
 public:
  using OnFrame = std::function<void(const std::string& node, std::string bytes)>;
  using OnPage = std::function<std::string(const std::string& path)>;  // empty: no such page
  Peers(event_base* base, const settings::Platform& platform, OnFrame on_frame, OnPage on_page);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;
  // Lost without notice if the peer can't be reached.
  void send(const std::string& node, const std::string& bytes);

 private:
  struct Incoming {
    Peers* self;
    bufferevent* events;
    std::string node;  // from its first frame
    std::string buffer;
    bool page = false;  // speaks HTTP
  };
  struct Outgoing {
    Peers* self;
    std::string addr;
    bufferevent* events = nullptr;
  };
  static void accepted(evconnlistener*, evutil_socket_t, sockaddr*, int, void*);
  static void read(bufferevent*, void*);
  static void ended(bufferevent*, short, void*);
  // True while the connection is one that asks for a page, or may be.
  static bool page(bufferevent*, Incoming&);
  static void page_written(bufferevent*, void*);
  static void out_ended(bufferevent*, short, void*);

  event_base* base_;
  const settings::Platform& platform_;
  OnFrame on_frame_;
  OnPage on_page_;
  std::size_t pages_ = 0;  // connections that ask for one
  evconnlistener* listener_ = nullptr;
  std::map<bufferevent*, std::unique_ptr<Incoming>> incoming_;
  std::map<std::string, Outgoing> outgoing_;
};

}  // namespace hitchfront::net
