// HTTP statuses that the controllers send or handle specially.
#pragma once

namespace hitchfront::wire::http_status {

// No response was received. The request may or may not have been executed.
inline constexpr int kNoResponse = 0;
inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;
// A compare-and-swap condition of a transaction does not hold; nothing was changed.
inline constexpr int kConflict = 409;
// The revision of a watch is too old: the store no longer keeps the changes since then.
inline constexpr int kGone = 410;
// Redirects a worker's heartbeats to another controller.
inline constexpr int kMisdirected = 421;
inline constexpr int kUnavailable = 503;

}  // namespace hitchfront::wire::http_status
