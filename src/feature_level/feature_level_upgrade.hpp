// The leader's steps from one feature level of the stored state to the next: checks what blocks the
// switch, reads all members' announcements from the store, and switches in a transaction that is
// conditioned on the versions of these announcements. The decisions themselves do no I/O:
// feature_level/feature_level.hpp and membership/members.hpp.
#pragma once
#include <functional>
#include <string>

#include "feature_level/feature_level.hpp"
#include "kv/store_client.hpp"
#include "membership/members.hpp"
#include "settings/platform.hpp"
#include "wire/feature_level.hpp"

namespace hitchfront::core {

// The leadership under which a step is taken.
struct LeaderTerm {
  std::uint64_t term = 0;
  std::uint64_t key_version = 0;  // of the key `leader`
};

class FeatureLevelUpgrade {
 public:
  // `support`: the levels that this program reads and writes. `max_level`: the operators' limit.
  // `process`: the random identifier of this process.
  struct Config {
    feature_level::Support support;
    std::uint32_t max_level = 0;
    std::uint64_t process = 0;
  };
  // The caller keeps `level` up to date; this object records announcements in `members`. All
  // references outlive this object.
  FeatureLevelUpgrade(Outbox& outbox, StoreClient& store, const settings::Platform& platform,
                      const Config& config, const wire::FeatureLevel& level,
                      membership::Members& members);

  // `level` has been stored; `version` is the new version of its key.
  std::function<void(Ms now, const wire::FeatureLevel& level, std::uint64_t version)> on_switched;
  // A switch was refused, or its outcome is unknown: the level has to be read again.
  std::function<void(Ms now)> on_switch_failed;

  // The wall clock minus the steady clock, in ms.
  void set_wall_clock_offset(std::int64_t wall_minus_steady_ms) {
    wall_minus_steady_ms_ = wall_minus_steady_ms;
  }
  // An identifier for a new store incarnation, unique to this process and `unix_time_s`.
  [[nodiscard]] std::string new_store_incarnation(std::int64_t unix_time_s) const;

  // Takes the next step, at most once per kFeatureLevelStepIntervalMs. `unmigrated_values`: the
  // number of stored values that are not in the active level's format.
  void advance(Ms now, const LeaderTerm& leader, std::size_t unmigrated_values);

  // What blocked the next level when it was last checked.
  [[nodiscard]] const feature_level::Blocker& blocker() const { return blocker_; }
  // As passed to advance() for the last step.
  [[nodiscard]] std::size_t unmigrated_values() const { return unmigrated_values_; }

 private:
  [[nodiscard]] bool can_verify_all_members() const;
  void record_blocker(Ms now, std::uint32_t target, const feature_level::Blocker& blocker);
  void reset_blocker();
  void read_announcements(Ms now, const LeaderTerm& leader, const wire::FeatureLevel& next,
                          const std::string& after_key);
  void record_announcement(const wire::Item& item);
  void on_announcements_read(Ms now, const LeaderTerm& leader, const wire::FeatureLevel& next);
  void switch_to(Ms now, const LeaderTerm& leader, wire::FeatureLevel next);
  void on_switch_response(Ms now, const wire::FeatureLevel& next, int status,
                          std::string_view body);

  Outbox& outbox_;
  StoreClient& store_;
  const settings::Platform& platform_;
  const Config config_;
  const wire::FeatureLevel& level_;
  membership::Members& members_;
  std::int64_t wall_minus_steady_ms_ = 0;

  Ms next_step_at_ = 0;
  bool switching_ = false;  // announcements are being read, or a switch is in progress
  std::size_t unmigrated_values_ = 0;
  feature_level::Blocker blocker_;
  Ms unblocked_since_ = 0;  // 0: the next level is blocked, or not checked yet
  // The version of this process's announcement when last read from the store; 0: not stored.
  std::uint64_t own_announcement_version_ = 0;
};

}  // namespace hitchfront::core
