// This process's announcement in the store: which feature levels it reads and writes, under a lease
// that it renews. The leader brings the store to another feature level only while every member's
// announcement stands there.
#pragma once
#include <functional>

#include "kv/store_client.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::core {

class MemberAnnouncement {
 public:
  enum class Result : std::uint8_t {
    announced,  // it stands in the store
    failed,     // it does not, as far as is known; nothing is on its way any more
    expired,    // its lease has ended, and the announcement with it
  };
  using OnResult = std::function<void(Ms now, Result result)>;

  MemberAnnouncement(StoreClient& store, wire::Announcement self, OnResult on_result);

  [[nodiscard]] const wire::Announcement& self() const { return self_; }
  // Wall clock, seconds since 1970, when this process began. Before the first announce().
  void set_since(std::int64_t since_s) { self_.since_s = since_s; }

  // Announces this process, or announces it anew. Nothing while that is on its way.
  void announce(Ms now);
  // Renews the lease where that is due. Each tick, while the announcement should stand.
  void renew_if_due(Ms now);

 private:
  // The steps of announce(), each in a turn of its own.
  void read_former(Ms now, std::uint64_t lease);
  void write(Ms now, std::uint64_t lease, std::uint64_t former_version);
  void finish(Ms now, Result result);

  StoreClient& store_;
  wire::Announcement self_;
  OnResult on_result_;
  bool announcing_ = false;
  std::uint64_t lease_ = 0;
  Ms renew_at_ = 0;  // 0: it was never announced
};

}  // namespace hitchfront::core
