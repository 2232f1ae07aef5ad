// The leader's calls of the cloud, within the rate that the settings allow.
#pragma once
#include <string>

#include "leader/leader_context.hpp"

namespace hitchfront::core {

class CloudCalls {
 public:
  explicit CloudCalls(LeaderContext& context);

  // Takes one call out of the budget; false: it is spent, and nothing may be called now.
  [[nodiscard]] bool take(Ms now);
  void get(const std::string& path, ResponseCallback done);
  void post(const std::string& path, std::string body, ResponseCallback done);
  // Says in the log when the cloud stops and starts to answer. `no_capacity`: it answered that it
  // has none.
  void note_status(Ms now, int status, bool no_capacity = false);

 private:
  void call(Method method, const std::string& path, std::string body, ResponseCallback done);

  LeaderContext& context_;
  TokenBucket budget_;
  Ms down_since_ = 0;  // 0: it can be used
};

}  // namespace hitchfront::core
