// This process's announcement in the store: the feature levels that it reads and writes, held under
// a lease. The leader switches the store to another feature level only while every member's
// announcement exists.
#pragma once
#include <functional>

#include "kv/store_client.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::core {

class MemberAnnouncement {
 public:
  enum class Result : std::uint8_t {
    announced,  // the announcement is stored
    failed,     // the attempt failed or its outcome is unknown; no call is in progress
    expired,    // the lease expired, which deleted the announcement
  };
  using OnResult = std::function<void(Ms now, Result result)>;

  MemberAnnouncement(StoreClient& store, wire::Announcement self, OnResult on_result);

  [[nodiscard]] const wire::Announcement& self() const { return self_; }
  // The start time of this process in Unix time. Called before the first announce().
  void set_start_time_s(std::int64_t start_time_s) { self_.since_s = start_time_s; }

  // Stores the announcement under a new lease and reports to `on_result`. No effect while an
  // earlier attempt is in progress.
  void announce(Ms now);
  // Renews the lease when due. Called each tick while the announcement is to be kept.
  void renew_if_due(Ms now);

 private:
  // The asynchronous steps of announce().
  void read_previous(Ms now, std::uint64_t lease);
  void write(Ms now, std::uint64_t lease, std::uint64_t previous_version);
  void finish(Ms now, Result result);

  StoreClient& store_;
  wire::Announcement self_;
  OnResult on_result_;
  bool announcing_ = false;
  std::uint64_t lease_ = 0;
  Ms renew_at_ = 0;  // 0 before the first announcement
};

}  // namespace hitchfront::core
