// Owning handles (RAII) of libevent objects. Objects attached to an event loop must be freed before
// its event_base.
#pragma once
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>

#include <memory>

namespace hitchfront::net {

// Deleter that calls a C function.
template <auto kFree>
struct FreeWith {
  template <class T>
  void operator()(T* object) const {
    kFree(object);
  }
};

using EventBaseHandle = std::unique_ptr<event_base, FreeWith<event_base_free>>;
using EventHandle = std::unique_ptr<event, FreeWith<event_free>>;
using HttpServerHandle = std::unique_ptr<evhttp, FreeWith<evhttp_free>>;
using HttpConnectionHandle = std::unique_ptr<evhttp_connection, FreeWith<evhttp_connection_free>>;
using BuffereventHandle = std::unique_ptr<bufferevent, FreeWith<bufferevent_free>>;
using ListenerHandle = std::unique_ptr<evconnlistener, FreeWith<evconnlistener_free>>;

}  // namespace hitchfront::net
