// The feature level of the stored state, as this node sees it, and whether this process may serve
// under it.
//
// The gate reads the level before anything else and announces this process
// (feature_level/member_announcement.hpp); from then on the process serves. It reads the level
// again whenever there is a sign that it has changed, detects losses of stored data, and on the
// leader's node brings the store to the next level once every controller supports it
// (feature_level/feature_level_upgrade.hpp). docs/rollout.md has the ways weighed, docs/safety.md
// the argument. Everything runs on the core's thread.
#pragma once
#include "feature_level/data_loss_state.hpp"
#include "feature_level/feature_level.hpp"
#include "feature_level/feature_level_observer.hpp"
#include "feature_level/feature_level_upgrade.hpp"
#include "feature_level/member_announcement.hpp"
#include "kv/store_client.hpp"
#include "membership/members.hpp"
#include "settings/constants.hpp"
#include "settings/platform.hpp"
#include "wire/feature_level.hpp"
#include "wire/progress.hpp"

namespace hitchfront::core {

class FeatureLevelGate {
 public:
  using DataLossEvidence = feature_level::DataLossEvidence;

  // `support`: the levels that this program reads and writes. `most`: the operators' limit.
  // `process`: drawn anew by each process. `observer` is not called before start(); it and the
  // other references outlive the gate.
  FeatureLevelGate(Outbox& out, StoreClient& store, const settings::Platform& platform,
                   feature_level::Support support, std::uint32_t most, std::uint64_t process,
                   FeatureLevelObserver& observer);
  FeatureLevelGate(const FeatureLevelGate&) = delete;
  FeatureLevelGate& operator=(const FeatureLevelGate&) = delete;

  void start(Ms now, std::int64_t wall_ms);  // once
  void tick(Ms now);                         // each kTickIntervalMs from then on

  // ---- the level

  // The level was read, this process supports it, and its announcement stood in the store at that
  // level: from then on no switch passes it by. Before that, and after it has met a level that it
  // does not support, it does nothing.
  [[nodiscard]] bool serving() const { return serving_; }
  [[nodiscard]] bool unsupported() const { return unsupported_; }
  [[nodiscard]] const wire::FeatureLevel& level() const { return level_; }
  // In which form progress is written under this level.
  [[nodiscard]] wire::ProgressForm progress_form() const;
  // The newest version of the key `level` that this node has seen, to go with each peer heartbeat:
  // others read the key at once, and need not find out by a write that is refused.
  [[nodiscard]] std::uint64_t level_version() const { return level_version_; }
  // The same of another controller.
  void on_peer_level_version(Ms now, std::uint64_t version);

  // ---- the members

  [[nodiscard]] std::uint64_t process() const { return announcement_.self().process; }
  [[nodiscard]] const membership::Members& members() const { return members_; }
  // To go with each peer heartbeat; empty: this version says nothing.
  [[nodiscard]] std::string member_status() const;
  // A peer heartbeat of `node`, with its member status.
  void on_peer_heartbeat(Ms now, const std::string& node, std::string_view member_status);
  // Every other controller was heard, or would have been, since this process began: what it reads
  // can be held against what they know.
  [[nodiscard]] bool heard_all(Ms now) const;
  [[nodiscard]] bool heard_any(Ms now) const;  // the same of one of them

  // ---- data loss

  // The stored state has lost something, and has not been recovered: this node serves nobody and
  // decides nothing but who leads the recovery. Known by an answer of the store, or by another
  // controller.
  [[nodiscard]] bool lost() const { return data_loss_.lost(); }
  // This version detects losses, whatever the level: a store incarnation is only what says that the
  // state was recovered.
  [[nodiscard]] bool detects_data_loss() const {
    return support_.announces && support_.to >= settings::kDataLossDetectionFeatureLevel;
  }
  // A controller of a version that does not detect losses: it was heard, and did not say that it
  // does.
  [[nodiscard]] bool ignores_data_loss(const std::string& node) const;
  // The store contradicts what is known. Nothing where a loss is known already.
  void report_data_loss(Ms now, DataLossEvidence evidence);
  // Logs what this node waits for while a loss lasts. Each tick.
  void log_waiting(Ms now, const std::string& leader);

  // ---- recovery (recovery/state_recovery.hpp)

  // The level as it was known before the loss; without one, as it is.
  [[nodiscard]] const wire::FeatureLevel& known_level() const {
    return lost() ? data_loss_.level_before() : level_;
  }
  // Another controller's known_level().
  void note_level_before_loss(const wire::FeatureLevel& level) {
    data_loss_.note_level_before(level);
  }
  // For the recovery's last write: what was known before the loss and what stands there now, one
  // generation on.
  [[nodiscard]] wire::FeatureLevel recovered_level() const;
  // The recovery has stored `level`; `version` is of its key.
  void adopt_recovered(Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
    adopt(now, level, version);
  }

  // ---- the leader

  // Takes the next step towards the level that the operators and all members allow. Each tick.
  // `other_values`: how many stored values are not of the active level's form.
  void advance(Ms now, std::uint64_t term, std::uint64_t leader_version, std::size_t other_values);

  void update_gauges(Ms now) const;

 private:
  void read_level(Ms now);
  void on_level_read(Ms now, std::uint64_t expected_generation, int status, std::string_view body);
  bool report_old_generation(Ms now, std::uint64_t generation, std::uint64_t expected);
  void adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t version);
  void refuse_level(Ms now, std::string what);
  void on_announcement(Ms now, MemberAnnouncement::Result result);
  void on_peer_state(Ms now, const wire::MemberStatus& status);
  void begin_data_loss(Ms now, const char* why);
  void end_data_loss(Ms now, std::uint64_t generation);

  Outbox& out_;
  StoreClient& store_;
  FeatureLevelObserver& observer_;
  const settings::Platform& platform_;
  const feature_level::Support support_;
  membership::Members members_;
  MemberAnnouncement announcement_;
  Ms started_at_ = 0;
  std::int64_t wall_minus_steady_ms_ = 0;

  wire::FeatureLevel level_;
  std::uint64_t level_version_ = 0;  // of its key
  bool level_known_ = false;         // it was read
  bool reading_level_ = false;
  Ms look_at_ = 0;  // when to read it, or to announce this process, again; 0: not planned
  bool serving_ = false, unsupported_ = false;

  feature_level::DataLossState data_loss_;
  Ms next_waiting_log_ = 0;

  FeatureLevelUpgrade upgrade_;  // after level_ and members_, which it refers to
};

}  // namespace hitchfront::core
