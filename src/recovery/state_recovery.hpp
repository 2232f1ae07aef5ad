// Rebuilds the stored state after a loss, on the controller that leads: asks the others for their
// copies, joins them with its own and with what is still stored, writes what is missing or older,
// and then raises the generation, by which all serve again. Whoever takes over in between begins
// anew; every step may be repeated. docs/rebuild.md.
#pragma once
#include <map>
#include <set>

#include "feature_level/feature_level_gate.hpp"
#include "recovery/replica_sync.hpp"
#include "wire/peer.hpp"

namespace hitchfront::core {

class StateRecovery {
 public:
  using OnDone = std::function<void(Ms)>;
  StateRecovery(Outbox& out, StoreClient& store, FeatureLevelGate& feature_levels,
                const recovery::StateReplica& own, const settings::Platform& platform,
                std::uint64_t term, std::uint64_t leader_version, OnDone done);

  void start(Ms now);
  void tick(Ms now);
  void part(Ms now, const std::string& node, const wire::PeerMessage& m);  // replica_part
  // Each job that is known to be cancelled by any copy.
  void on_cancelled(std::function<void(const std::string& job)> f) {
    merged_.on_cancelled = std::move(f);
  }
  // This controller can't bring it to an end: another is to lead, and begins anew.
  std::function<void(Ms)> on_deposed;

 private:
  struct From {
    std::set<std::uint64_t> got;
    std::uint64_t of = 0;  // 0: nothing yet
    bool whole() const { return of != 0 && got.size() == of; }
  };
  // What the store holds: stamps of the keys, and the records' texts.
  struct Stored {
    std::uint64_t version = 0;
    std::string text;
  };
  void load(Ms now, std::size_t prefix, std::string after);
  void gathered(Ms now);
  void write(Ms now);
  void open(Ms now);
  void finish(Ms now);
  void put_level(Ms now, const wire::FeatureLevel& level, OnDone done);
  bool abandoned(Ms now, int status, std::string_view body);
  bool watermarks_unpublished() const;
  bool awaited(Ms now, const std::string& node, const From& from) const;
  template <class F>
  Done mine(F f) {
    return while_alive(alive_, std::move(f));
  }

  Outbox& out_;
  StoreClient& store_;
  FeatureLevelGate& feature_levels_;
  const settings::Platform& platform_;
  const std::uint64_t term_, leader_version_;
  OnDone done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
  recovery::StateReplica merged_;
  std::map<std::string, From> from_;
  std::map<std::string, Stored> stored_;
  struct Put {
    std::string key, text;  // text empty: to be dropped
  };
  std::deque<std::vector<Put>> jobs_;  // each written in one transaction
  Ms began_ = 0, retry_at_ = 0;
  bool loaded_ = false, writing_ = false, gathering_ = true, opening_ = false;
  std::size_t written_ = 0, refused_ = 0;  // refused_: writes in a row
};

}  // namespace hitchfront::core
