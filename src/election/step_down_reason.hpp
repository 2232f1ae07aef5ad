// The reasons for which a leader steps down.
#pragma once
#include <cstdint>

namespace hitchfront::election {

enum class StepDownReason : std::uint8_t {
  lease_expired,              // the store no longer has its lease or its leader key
  replaced,                   // another node holds the leader key
  later_term_known,           // another controller has reported a later term
  stored_state_lost,          // the store has lost data
  recovery_refused,           // the store rejects the writes that recover the stored state
  watch_compacted,            // the store has compacted the changes since the watch's revision
  unsupported_feature_level,  // this version does not support the stored state's feature level
  unreachable_by_workers,     // workers reach only the other controllers
};

// The value of the field `why` of the log event leader.lost.
[[nodiscard]] constexpr const char* log_text(StepDownReason reason) {
  switch (reason) {
    case StepDownReason::lease_expired:
      return "the lease ended";
    case StepDownReason::replaced:
      return "another node took over";
    case StepDownReason::later_term_known:
      return "a later term is known";
    case StepDownReason::stored_state_lost:
      return "the stored state has lost something";
    case StepDownReason::recovery_refused:
      return "the rebuild is refused";
    case StepDownReason::watch_compacted:
      return "the watch fell too far behind";
    case StepDownReason::unsupported_feature_level:
      return "the stored state is of a level that this version does not know";
    case StepDownReason::unreachable_by_workers:
      return "workers reach only the other controllers";
  }
  return "";
}

}  // namespace hitchfront::election
