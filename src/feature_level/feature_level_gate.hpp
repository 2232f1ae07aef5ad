// The feature level of the stored state as last read by this node, and whether this process may
// serve at that level.
//
// At startup the gate reads the level and announces this process
// (feature_level/member_announcement.hpp); after that the process serves. The gate reads the level
// again whenever it may have changed, detects loss of stored data, and on the leader switches the
// store to the next level once every controller supports it
// (feature_level/feature_level_upgrade.hpp). The alternatives are discussed in docs/rollout.md,
// and safety in docs/safety.md. Everything runs on the core's thread.
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

  // `support`: the levels that this program reads and writes. `max_level`: the operators' limit.
  // `process`: a random identifier of this process. `observer` is not called before start(). All
  // references outlive the gate.
  FeatureLevelGate(Outbox& outbox, StoreClient& store, const settings::Platform& platform,
                   feature_level::Support support, std::uint32_t max_level, std::uint64_t process,
                   FeatureLevelObserver& observer);
  FeatureLevelGate(const FeatureLevelGate&) = delete;
  FeatureLevelGate& operator=(const FeatureLevelGate&) = delete;

  void start(Ms now, std::int64_t wall_ms);  // called once
  void tick(Ms now);                         // called every kTickIntervalMs after start()

  // --- level ---

  // The level has been read, this process supports it, and its announcement was stored at that
  // level: from then on no switch happens without this process's support. Until then, and after
  // reading a level that it does not support, the process takes no part in elections and stores
  // nothing but its announcement.
  [[nodiscard]] bool serving() const { return serving_; }
  // The level last read is not supported by this process.
  [[nodiscard]] bool unsupported() const { return unsupported_; }
  [[nodiscard]] const wire::FeatureLevel& level() const { return level_; }
  // The format in which progress is written at this level.
  [[nodiscard]] wire::ProgressForm progress_form() const;
  // The version of the key `level` that this node has adopted. Sent with each peer heartbeat, so
  // that other controllers read a new level at once instead of after a refused write.
  [[nodiscard]] std::uint64_t level_version() const { return level_version_; }
  // Processes the level version in another controller's heartbeat.
  void on_peer_level_version(Ms now, std::uint64_t version);

  // --- members ---

  [[nodiscard]] std::uint64_t process() const { return announcement_.self().process; }
  [[nodiscard]] const membership::Members& members() const { return members_; }
  // Sent with each peer heartbeat; empty if this version does not announce itself.
  [[nodiscard]] std::string member_status() const;
  // Processes the member status in a peer heartbeat of `node`.
  void on_peer_heartbeat(Ms now, const std::string& node, std::string_view member_status);
  // Every other controller has sent a heartbeat since start(), or kPeerSilenceTimeoutMs have
  // passed: what this process reads can be compared with what they know.
  [[nodiscard]] bool heard_from_all_peers(Ms now) const;
  // As heard_from_all_peers(), for at least one of them.
  [[nodiscard]] bool heard_any_peer(Ms now) const;

  // --- data loss ---

  // The stored state has lost data and has not been recovered, as detected in a response of the
  // store or reported by another controller. This node refuses users and takes part only in the
  // election of a leader and in the recovery.
  [[nodiscard]] bool lost() const { return data_loss_.lost(); }
  // Whether this version detects data loss. Independent of the active level: the generation is only
  // needed to tell that the state has been recovered.
  [[nodiscard]] bool detects_data_loss() const {
    return support_.announces && support_.to >= settings::kDataLossDetectionFeatureLevel;
  }
  // `node` has sent a heartbeat, and runs a version that does not detect data loss.
  [[nodiscard]] bool ignores_data_loss(const std::string& node) const;
  // Reports that the store contradicts what is known. No effect during a known loss.
  void report_data_loss(Ms now, DataLossEvidence evidence);
  // While a loss lasts, periodically logs what this node waits for. Called each tick. `leader` is
  // empty if there is none.
  void log_recovery_wait(Ms now, const std::string& leader);

  // --- recovery (recovery/state_recovery.hpp) ---

  // During a loss the level before it; otherwise the current level.
  [[nodiscard]] const wire::FeatureLevel& known_level() const {
    return lost() ? data_loss_.level_before_loss() : level_;
  }
  // Processes another controller's known_level().
  void merge_level_before_loss(const wire::FeatureLevel& level) {
    data_loss_.merge_level_before_loss(level);
  }
  // The level that the recovery writes last: covers the level before the loss and the one stored
  // now, in the next generation.
  [[nodiscard]] wire::FeatureLevel recovered_level() const;
  // The recovery has stored `level`; `version` is the new version of its key.
  void adopt_recovered(Ms now, const wire::FeatureLevel& level, std::uint64_t version) {
    adopt(now, level, version);
  }

  // --- leader ---

  // Takes the next step towards the highest level that the operators allow and all controllers
  // support. Called periodically on the leader. `leader_version`: of the key `leader`.
  // `unmigrated_values`: the number of stored values that are not in the active level's format.
  void advance(Ms now, std::uint64_t term, std::uint64_t leader_version,
               std::size_t unmigrated_values);

  void update_gauges(Ms now) const;

 private:
  void read_level(Ms now);
  void on_level_read(Ms now, std::uint64_t expected_generation, int status, std::string_view body);
  bool report_old_generation(Ms now, std::uint64_t generation, std::uint64_t expected);
  void adopt(Ms now, const wire::FeatureLevel& level, std::uint64_t version);
  void reject_level(Ms now, std::string stored);
  void on_announcement(Ms now, MemberAnnouncement::Result result);
  void on_member_status(Ms now, const wire::MemberStatus& status);
  void begin_data_loss(Ms now, const char* reason);
  void end_data_loss(Ms now, std::uint64_t generation);

  Outbox& outbox_;
  StoreClient& store_;
  FeatureLevelObserver& observer_;
  const settings::Platform& platform_;
  const feature_level::Support support_;
  membership::Members members_;
  MemberAnnouncement announcement_;
  Ms started_at_ = 0;
  std::int64_t wall_minus_steady_ms_ = 0;

  wire::FeatureLevel level_;
  std::uint64_t level_version_ = 0;  // version of the key `level`
  bool level_known_ = false;         // the level has been read
  bool reading_level_ = false;
  Ms next_check_at_ = 0;  // when to read the level or announce this process again; 0: not scheduled
  bool serving_ = false, unsupported_ = false;

  feature_level::DataLossState data_loss_;
  Ms next_recovery_wait_log_at_ = 0;

  FeatureLevelUpgrade upgrade_;  // declared after level_ and members_, to which it holds references
};

}  // namespace hitchfront::core
