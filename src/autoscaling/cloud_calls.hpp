// The leader's calls to the cloud provider, within the rate limit in the settings.
#pragma once
#include <string>

#include "leader/leader_context.hpp"

namespace hitchfront::core {

class CloudCalls {
 public:
  explicit CloudCalls(LeaderContext& context);

  // Takes one call from the rate budget, as each get() and post() requires. False: the budget is
  // exhausted, and no call may be sent now.
  [[nodiscard]] bool try_acquire(Ms now);
  void get(const std::string& path, ResponseCallback callback);
  void post(const std::string& path, std::string body, ResponseCallback callback);
  // Logs the beginning and the end of an outage of the cloud. `no_capacity`: the status only means
  // that an offer has no capacity.
  void record_status(Ms now, int status, bool no_capacity = false);

 private:
  void call(Method method, const std::string& path, std::string body, ResponseCallback callback);

  LeaderContext& context_;
  TokenBucket budget_;
  Ms down_since_ = 0;  // 0: available
};

}  // namespace hitchfront::core
