// The level of the stored state, as this node sees it: reads it before anything else, announces
// this process, and, while leading, brings the store to the next level once every controller
// supports it. What decides is feature_level/ and membership/; this class asks the store and tells
// the others.
#pragma once
#include "feature_level/feature_level.hpp"
#include "kv/store_client.hpp"
#include "membership/members.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"
#include "wire/feature_level.hpp"
#include "wire/progress.hpp"

namespace hitchfront::core {

class FeatureLevelGate {
 public:
  // `most`: the operators' limit. `life`: drawn anew by each process.
  FeatureLevelGate(Outbox& out, StoreClient& store, const settings::Platform& platform,
                   feature_level::Support mine, std::uint32_t most, std::uint64_t process);

  void start(Ms now, std::int64_t wall_ms);
  void tick(Ms now);
  // The level was read, this process supports it, and its announcement stood in the store at that
  // level: from then on no switch passes it by. Before that, and after it has met a level that it
  // does not support, it does nothing.
  bool serving() const { return serving_; }
  bool unsupported() const { return unsupported_; }
  const wire::FeatureLevel& level() const { return level_; }
  wire::ProgressForm progress_form() const;

  // The newest version of the key `level` that this node has seen, to go with each peer heartbeat:
  // others look at once, and need not find out by a write that is refused.
  std::uint64_t stamp() const { return stamp_; }
  void newer(Ms now, std::uint64_t stamp) {
    if (stamp > stamp_ && known_ && !lost_) look(now);
  }
  // The stored state has lost something, and has not been rebuilt: this node serves nobody and
  // decides nothing but who leads the rebuild. Known by an answer of the store, or told by another
  // controller.
  bool lost() const { return lost_; }
  // This version knows losses from the start, whatever the level: an identity is only what says
  // that it was rebuilt.
  bool detects_data_loss() const { return mine_.announces && mine_.to >= settings::kDataLossLevel; }
  // A controller of a version that heeds no loss: it was heard, and did not say that it does.
  bool ignores_data_loss(const std::string& node) const;
  void log_waiting(Ms now, const std::string& leader);  // by each tick
  // For the rebuild's last write: what was known before the loss and what stands there now, one
  // generation on.
  wire::FeatureLevel recovered_level() const;
  const wire::FeatureLevel& known_level() const { return lost_ ? before_ : level_; }
  // A term that is stored is below one that is known, or a record is gone.
  void report_data_loss(Ms now, const char* why);
  // Every other controller was heard, or would have been, since this process began: what it reads
  // can be held against what they know.
  bool heard_all(Ms now) const;
  bool heard_any(Ms now) const;  // one of them
  std::function<void(const std::string& node)>
      on_new_process;                          // another controller's: it knows nothing yet
  void knew(const wire::FeatureLevel& level);  // another controller, before the loss
  void adopt_recovered(Ms now, const wire::FeatureLevel& level, std::uint64_t stamp) {
    adopt(now, level, stamp);
  }

  std::uint64_t process() const { return self_.process; }  // this process's number
  std::string member_status()
      const;  // to go with each peer heartbeat; empty: this version says nothing
  void heard(Ms now, const std::string& node, std::string_view member_status);
  const membership::Members& members() const { return members_; }

  // By the leader, each tick: `others` is how many stored values are not of the active form.
  void advance(Ms now, std::uint64_t term, std::uint64_t leader_version, std::size_t others);
  void update_gauges(Ms now) const;

  std::function<void(Ms)> on_serving, on_unsupported, on_loss, on_recovered;

 private:
  void look(Ms now);  // reads the level again
  void adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t stamp);
  void refuse(Ms now, std::string what);
  void announce(Ms now);
  void renew(Ms now);
  void hold(Ms now, std::uint32_t target, const feature_level::Held& held);
  void read_members(Ms now, std::uint64_t term, std::uint64_t leader_version,
                    const wire::FeatureLevel& next, std::string after);
  void switch_to(Ms now, std::uint64_t term, std::uint64_t leader_version, wire::FeatureLevel next);

  Outbox& out_;
  StoreClient& store_;
  const settings::Platform& platform_;
  const feature_level::Support mine_;
  const std::uint32_t most_;
  wire::Announcement self_;
  membership::Members members_;
  void losing(Ms now, const char* why);
  std::string new_store_incarnation(std::int64_t since_s) const;
  wire::FeatureLevel level_;
  wire::FeatureLevel before_;  // the loss: the most that anybody knew
  std::uint64_t lost_generation_ = 0, peer_generation_ = 0;
  Ms started_ = 0, lost_since_ = 0, next_wait_ = 0;
  bool lost_ = false;
  std::uint64_t stamp_ = 0;       // of the key `level`
  std::uint64_t self_stamp_ = 0;  // of this process's announcement, by the leader's reading
  std::uint64_t lease_ = 0;
  std::int64_t wall_minus_steady_ = 0;
  Ms look_at_ = 0, renew_at_ = 0, advance_at_ = 0, free_since_ = 0;
  bool serving_ = false, unsupported_ = false, known_ = false, looking_ = false,
       announcing_ = false, switching_ = false;
  std::size_t others_ = 0;
  feature_level::Held held_;
};

}  // namespace hitchfront::core
