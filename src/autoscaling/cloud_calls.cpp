#include "autoscaling/cloud_calls.hpp"

#include <utility>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;

CloudCalls::CloudCalls(LeaderContext& context)
    : context_(context),
      budget_(context.platform.cloud_rps * kRateLimitShare, context.platform.cloud_rps) {}

bool CloudCalls::try_acquire(Ms now) {
  if (!budget_.has_tokens(now, 1)) return false;
  budget_.take(1);
  return true;
}

void CloudCalls::get(const std::string& path, ResponseCallback callback) {
  call(Method::get, path, {}, std::move(callback));
}

void CloudCalls::post(const std::string& path, std::string body, ResponseCallback callback) {
  call(Method::post, path, std::move(body), std::move(callback));
}

void CloudCalls::call(Method method, const std::string& path, std::string body,
                      ResponseCallback callback) {
  HttpCall call;
  call.target = Target::cloud;
  call.method = method;
  call.path = path;
  call.body = std::move(body);
  call.timeout_ms = kCloudCallTimeoutMs;
  context_.outbox.call(std::move(call), std::move(callback));
}

void CloudCalls::record_status(Ms now, int status, bool no_capacity) {
  const bool down = status != 200 && status != 400 && !no_capacity;
  if (down == (down_since_ != 0)) return;
  if (down)
    context_.log(Event::cloud_down, status);
  else
    context_.log(Event::cloud_up, static_cast<double>(now - down_since_) / 1000);
  down_since_ = down ? now : 0;
}

}  // namespace hitchfront::core
