// HTTP statuses that the controllers' calls and responses have a meaning for.
#pragma once

namespace hitchfront::wire::http_status {

// No response came: the call may have been carried out, or not.
inline constexpr int kNone = 0;
inline constexpr int kOk = 200;
inline constexpr int kNotFound = 404;
// A condition of a transaction does not hold; nothing was changed.
inline constexpr int kConflict = 409;
// A watch's revision is too old: the store no longer has the changes since.
inline constexpr int kGone = 410;
// A worker is to send its heartbeats to another controller.
inline constexpr int kMisdirected = 421;
inline constexpr int kUnavailable = 503;

}  // namespace hitchfront::wire::http_status
