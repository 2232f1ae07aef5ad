// Reads from libevent buffers.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <string>

namespace hitchfront::net {

// Drains the buffer and appends its content to `bytes`.
inline void append_all(evbuffer* buffer, std::string& bytes) {
  const auto old_size = bytes.size();
  const auto added = evbuffer_get_length(buffer);
  bytes.resize(old_size + added);
  evbuffer_remove(buffer, bytes.data() + old_size, added);
}

// Drains the received bytes of a connection and appends them to `bytes`.
inline void append_input(bufferevent* connection, std::string& bytes) {
  append_all(bufferevent_get_input(connection), bytes);
}

}  // namespace hitchfront::net
