// Bytes out of libevent's buffers.
#pragma once
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <string>

namespace hitchfront::net {

// Takes everything out of the buffer, and appends it.
inline void append_all(evbuffer* buffer, std::string& bytes) {
  const auto before = bytes.size();
  const auto more = evbuffer_get_length(buffer);
  bytes.resize(before + more);
  evbuffer_remove(buffer, bytes.data() + before, more);
}

inline void append_input(bufferevent* connection, std::string& bytes) {
  append_all(bufferevent_get_input(connection), bytes);
}

}  // namespace hitchfront::net
