// The leader's steps from one feature level of the stored state to the next: looks at what holds
// the next level back, reads what every member has announced in the store, and switches, in a
// transaction that is conditioned on just those announcements. What decides is pure:
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
  // `support`: what this program reads and writes. `most`: the operators' limit. `process`: this
  // one's number. `level` is kept up to date by the caller, and `members` are read and marked here;
  // all references outlive this object.
  struct Config {
    feature_level::Support support;
    std::uint32_t most = 0;
    std::uint64_t process = 0;
  };
  FeatureLevelUpgrade(Outbox& out, StoreClient& store, const settings::Platform& platform,
                      const Config& config, const wire::FeatureLevel& level,
                      membership::Members& members);

  // `level` stands in the store now, with this version of its key.
  std::function<void(Ms now, const wire::FeatureLevel& level, std::uint64_t version)> on_switched;
  // A switch was refused, or nobody knows: what stands in the store decides.
  std::function<void(Ms now)> on_switch_failed;

  // ms by which the wall clock is ahead of the steady one.
  void set_wall_clock(std::int64_t wall_minus_steady_ms) {
    wall_minus_steady_ms_ = wall_minus_steady_ms;
  }
  // A store incarnation drawn by this process at `since_s`, wall clock.
  [[nodiscard]] std::string new_store_incarnation(std::int64_t since_s) const;

  // Takes the next step, kFeatureLevelStepIntervalMs after the last one at the earliest.
  // `other_values`: how many stored values are not of the active level's form.
  void advance(Ms now, const LeaderTerm& leader, std::size_t other_values);

  // What holds the next level back, by the last look.
  [[nodiscard]] const feature_level::Held& held() const { return held_; }
  // `other_values` of the last step.
  [[nodiscard]] std::size_t other_values() const { return other_values_; }

 private:
  [[nodiscard]] bool settings_name_all_members() const;
  void record_held(Ms now, std::uint32_t target, const feature_level::Held& held);
  void reset_held();
  void read_members(Ms now, const LeaderTerm& leader, const wire::FeatureLevel& next,
                    const std::string& after);
  void record_announcement(const wire::Item& item);
  void on_members_read(Ms now, const LeaderTerm& leader, const wire::FeatureLevel& next);
  void switch_to(Ms now, const LeaderTerm& leader, wire::FeatureLevel next);
  void on_switch_answered(Ms now, const wire::FeatureLevel& next, int status,
                          std::string_view body);

  Outbox& out_;
  StoreClient& store_;
  const settings::Platform& platform_;
  const Config config_;
  const wire::FeatureLevel& level_;
  membership::Members& members_;
  std::int64_t wall_minus_steady_ms_ = 0;

  Ms next_step_at_ = 0;
  bool switching_ = false;  // members are being read, or a switch is on its way
  std::size_t other_values_ = 0;
  feature_level::Held held_;
  Ms free_since_ = 0;  // since when nothing holds the next level back; 0: something does
  // Version of this process's own announcement, by the last reading; 0: it does not stand there.
  std::uint64_t own_announcement_version_ = 0;
};

}  // namespace hitchfront::core
