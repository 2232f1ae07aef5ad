// HTTP/1.1 over loopback with blocking sockets: a server with a thread for each connection, and a
// client. Only what the protocol's JSON bodies need.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstring>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "record.hpp"

namespace review {

struct Request {
  std::string method, path, body;
};

// status 0: no answer (of a server: the connection is closed without one).
struct Reply {
  int status = 0;
  std::string body;
};

// An address of the loopback network that no other run uses at the same time, so that runs side by
// side can't take each other's ports.
inline const std::string& loopback_address() {
  static const std::string address = [] {
    constexpr int kPerByte = 250;
    const int number = static_cast<int>(getpid());
    return "127." + std::to_string(number / kPerByte % kPerByte + 1) + "." +
           std::to_string(number % kPerByte + 1) + ".1";
  }();
  return address;
}

inline std::string endpoint(int port) {
  return loopback_address() + ":" + std::to_string(port);
}

inline sockaddr_in address_of(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, loopback_address().c_str(), &address.sin_addr);
  return address;
}

inline int listen_on(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto address = address_of(port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 128) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Ports that nobody listens on now, all different.
inline std::vector<int> free_ports(int count) {
  std::vector<int> fds, ports;
  for (int i = 0; i < count; ++i) {
    fds.push_back(listen_on(0));
    ports.push_back(port_of(fds.back()));
  }
  for (const int fd : fds) close(fd);
  return ports;
}

// One connection with what has been read from it.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Stream() { shut(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void shut() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool open() const { return fd_ >= 0; }
  // The other side has closed an idle connection.
  bool closed_by_peer() const {
    if (fd_ < 0) return true;
    char byte = 0;
    const auto n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool send_all(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads a head and the body that its Content-Length announces. False: closed, or out of time.
  bool read_message(std::string& head, std::string& body, std::int64_t deadline) {
    std::size_t end = 0;
    while ((end = received_.find("\r\n\r\n")) == std::string::npos)
      if (!receive(deadline)) return false;
    head = received_.substr(0, end + 2);
    received_.erase(0, end + 4);
    auto lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    closes_ = lower.find("connection: close") != std::string::npos;
    std::size_t size = 0;
    if (const auto at = lower.find("content-length:"); at != std::string::npos)
      size = std::stoul(lower.substr(at + 15));
    while (received_.size() < size)
      if (!receive(deadline)) return false;
    body = received_.substr(0, size);
    received_.erase(0, size);
    return true;
  }
  bool closes() const { return closes_; }

 private:
  bool receive(std::int64_t deadline) {
    pollfd waited{fd_, POLLIN, 0};
    const auto left = deadline - now_ms();
    if (left <= 0 || poll(&waited, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[16384];
    const auto n = recv(fd_, buffer, sizeof buffer, 0);
    if (n <= 0) return false;
    received_.append(buffer, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string received_;
  bool closes_ = false;
};

class Server {
 public:
  using Handler = std::function<Reply(const Request&)>;
  Server(int port, Handler handler) : handler_(std::move(handler)), fd_(listen_on(port)) {
    port_ = fd_ >= 0 ? port_of(fd_) : 0;
    if (fd_ >= 0) std::thread([this] { accept_all(); }).detach();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  // Servers live as long as the program: it ends without waiting for their threads.
  int port() const { return port_; }
  std::string address() const { return endpoint(port_); }

 private:
  void accept_all() {
    while (true) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    Stream stream(fd);
    constexpr std::int64_t kIdleMs = 120'000;
    std::string head;
    Request request;
    while (stream.read_message(head, request.body, now_ms() + kIdleMs)) {
      const auto method_end = head.find(' ');
      const auto path_end = head.find(' ', method_end + 1);
      request.method = head.substr(0, method_end);
      request.path = head.substr(method_end + 1, path_end - method_end - 1);
      const bool closes = stream.closes();
      const auto reply = handler_(request);
      if (reply.status == 0 ||
          !stream.send_all("HTTP/1.1 " + std::to_string(reply.status) +
                           " X\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(reply.body.size()) + "\r\n\r\n" + reply.body) ||
          closes)
        return;
    }
  }

  Handler handler_;
  int fd_;
  int port_ = 0;
};

// A connection to one server that stays open between calls.
class Client {
 public:
  explicit Client(int port) : port_(port), stream_(-1) {}

  Reply call(const std::string& method, const std::string& path, const std::string& body,
             std::int64_t timeout_ms) {
    const auto deadline = now_ms() + timeout_ms;
    if (stream_.get() == nullptr || !stream_.get()->open() || stream_.get()->closed_by_peer())
      if (!connect_until(deadline)) return {};
    auto& stream = *stream_.get();
    std::string head;
    Reply reply;
    if (!stream.send_all(method + " " + path + " HTTP/1.1\r\nHost: " + loopback_address() +
                         "\r\nContent-Type: application/json\r\n"
                         "Content-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body) ||
        !stream.read_message(head, reply.body, deadline)) {
      stream.shut();
      return {};
    }
    reply.status = std::stoi(head.substr(head.find(' ') + 1));
    if (stream.closes()) stream.shut();
    return reply;
  }
  void close() { stream_.reset(-1); }

 private:
  // Owns the stream, which cannot be moved.
  class Holder {
   public:
    explicit Holder(int fd) : stream_(new Stream(fd)) {}
    ~Holder() { delete stream_; }
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;
    Stream* get() { return stream_; }
    void reset(int fd) {
      delete stream_;
      stream_ = new Stream(fd);
    }

   private:
    Stream* stream_;
  };

  bool connect_until(std::int64_t deadline) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto left = std::max<std::int64_t>(1, deadline - now_ms());
    const timeval timeout{left / 1000, static_cast<suseconds_t>(left % 1000 * 1000)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    auto address = address_of(port_);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return false;
    }
    stream_.reset(fd);
    return true;
  }

  int port_;
  Holder stream_;
};

// One call over a connection of its own.
inline Reply call_once(int port, const std::string& method, const std::string& path,
                       const std::string& body = {}, std::int64_t timeout_ms = 2000) {
  return Client(port).call(method, path, body, timeout_ms);
}

}  // namespace review
