// Requests of a follower to the leader for the task counts of jobs, which polls show.
//
// All jobs that are added while one input is processed share one message. Runs on the core's
// thread.
#pragma once
#include <string>
#include <unordered_map>
#include <vector>

#include "api/job_api_host.hpp"
#include "core/effects.hpp"
#include "membership/request_ids.hpp"
#include "wire/peer.hpp"

namespace hitchfront::core {

class TaskCountRequests {
 public:
  using OnTaskCounts = JobApiHost::OnTaskCounts;
  // The references outlive this object.
  TaskCountRequests(Outbox& outbox, membership::RequestIds& request_ids)
      : outbox_(outbox), request_ids_(request_ids) {}

  // Adds a job to the next message. Calls back with nullopt if the leader does not know the job or
  // does not respond in time.
  void add(Ms now, const std::string& job, OnTaskCounts on_counts);
  // Sends the message, if any job has been added since the last one.
  void send(const std::string& leader);
  // Handles a message of kind job_counts_response.
  void on_response(Ms now, const wire::PeerMessage& message);
  void tick(Ms now);  // each kTickIntervalMs

 private:
  // The callbacks are in the order of the jobs.
  struct Request {
    Ms deadline = 0;
    std::vector<std::string> jobs;
    std::vector<OnTaskCounts> callbacks;
  };

  Outbox& outbox_;
  membership::RequestIds& request_ids_;
  Request unsent_;
  std::unordered_map<std::uint64_t, Request> pending_;  // by message id
};

}  // namespace hitchfront::core
