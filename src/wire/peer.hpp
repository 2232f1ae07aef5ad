// Messages between controllers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cancellation/cancellation_log.hpp"

namespace hitchfront::wire {

// One message. Which fields count depends on the kind.
struct PeerMessage {
  enum class Kind : std::uint64_t {
    count_ask = 1,  // id, text = jobs, encode_jobs(): how many of their tasks are done and running?
    count_answer = 2,  // id, text = encode_counts(), in the same order
    relay_ask = 3,     // id, text = a worker's heartbeat, passed on as it came
    relay_answer = 4,  // id, a = HTTP status, text = body
    peer_heartbeat =
        5,  // a = term, b = stamp of `level`, text = encode_member_status(): a peer heartbeat
    abstention_request =
        6,           // id = round, taken, and as `ping`: will you leave the lead to me for now?
    abstention = 7,  // id = round: yes; text = a CancellationBatch (wire/cancellation_batch.hpp),
                     // or empty, as from versions before it
    replica_request = 8,  // id = round: what do you know of the stored state?
    replica_part = 9,  // id = round (0: unasked, of what a user is told), a = number of this part,
                       // b = of how many, text: part 0 is a Level as JSON, the others rebuild::Copy
  };
  Kind kind = Kind::count_ask;
  std::uint64_t id = 0, a = 0, b = 0;
  std::string text;
  // With a peer heartbeat: tenths of writes a second that the sender needs of the store, and one;
  // 0: it does not say, as versions before this field.
  std::uint64_t needs = 0;
  // abstention_request: what the asker has taken in of the receiver's list of cancellations.
  // `wants_cancellations` is false where a version before this field asks.
  cancellation::ReplicationPosition position;
  bool wants_cancellations = false;
};
// Tasks of a job that are done and running; `known` is false where the leader doesn't know the job.
struct JobCounts {
  bool known = false;
  std::uint32_t done = 0, running = 0;
};
std::string encode_jobs(const std::vector<std::string>& ids);
std::optional<std::vector<std::string>> decode_jobs(std::string_view text);
std::string encode_counts(const std::vector<JobCounts>& counts);
std::optional<std::vector<JobCounts>> decode_counts(std::string_view text);

std::string encode(const PeerMessage& message);
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace hitchfront::wire
