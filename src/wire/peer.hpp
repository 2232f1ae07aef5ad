// Messages between controllers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cancellation/cancellation_log.hpp"

namespace hitchfront::wire {

// The meaning of `id`, `a`, `b` and `text` depends on the kind. Unused fields are 0 or empty.
struct PeerMessage {
  enum class Kind : std::uint64_t {
    // Asks the leader how many tasks of some jobs are done and running. text = encode_jobs().
    job_counts_request = 1,
    job_counts_response = 2,  // id of the request; text = encode_counts(), in the order requested
    relay_request = 3,        // text = body of a worker's heartbeat, unchanged
    relay_response = 4,       // id of the request; a = HTTP status, text = body
    // a = term, b = version of the store key `level`, text = encode_member_status().
    peer_heartbeat = 5,
    // id = round; otherwise as peer_heartbeat. Asks the receiver to abstain from the election for
    // now.
    abstention_request = 6,
    // id = round; text = encode() of a CancellationBatch (wire/cancellation_batch.hpp), or empty if
    // sent by versions without batches.
    abstention = 7,
    replica_request = 8,  // id = round; asks for the receiver's replica of the stored state
    // A part of the sender's replica. id = round, or 0 if sent without a request, as for state that
    // is about to be reported to a user; a = number of the part, b = number of parts. text = the
    // FeatureLevel as JSON in part 0, an encoded part of the replica in all others and in round 0.
    replica_part = 9,
  };
  Kind kind = Kind::job_counts_request;
  std::uint64_t id = 0, a = 0, b = 0;
  std::string text;
  // In a peer heartbeat: 1 plus the store writes that the sender needs, in tenths per second. 0 if
  // sent by a version without this field.
  std::uint64_t write_demand = 0;
  // In an abstention_request: the position up to which the sender has received the receiver's
  // cancellation log. `wants_cancellations` is false if sent by a version without this field.
  cancellation::ReplicationPosition position;
  bool wants_cancellations = false;
};
// Number of a job's tasks that are done and running. `known` is false if the leader does not know
// the job.
struct JobCounts {
  bool known = false;
  std::uint32_t done = 0, running = 0;
};
// The decoders return nullopt if the text is malformed.
std::string encode_jobs(const std::vector<std::string>& ids);
std::optional<std::vector<std::string>> decode_jobs(std::string_view text);
std::string encode_counts(const std::vector<JobCounts>& counts);
std::optional<std::vector<JobCounts>> decode_counts(std::string_view text);

std::string encode(const PeerMessage& message);
// Returns nullopt if the message is malformed or of an unknown kind.
std::optional<PeerMessage> decode_peer(std::string_view bytes);

}  // namespace hitchfront::wire
