// What a case writes down: a line for each thing that was sent, answered or run, with its time.
#pragma once
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

namespace review {

inline std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Waits until `condition` holds; false: not within the time.
template <class Condition>
bool wait_until(std::int64_t timeout_ms, Condition condition, std::int64_t step_ms = 10) {
  const auto end = now_ms() + timeout_ms;
  while (!condition()) {
    if (now_ms() >= end) return false;
    sleep_ms(step_ms);
  }
  return true;
}

// Ends the program at once, without waiting for its threads.
[[noreturn]] inline void finish(int status) {
  std::fflush(nullptr);
  std::_Exit(status);
}

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f  ", static_cast<double>(now_ms() - began_) / 1000);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  std::int64_t began_ = now_ms();
};

}  // namespace review
