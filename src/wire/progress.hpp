// Codec of prog/<job>/<chunk> in the store: which tasks of a chunk of a job are done.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

enum class ProgressForm : std::uint8_t {
  // Four tasks per hexadecimal digit, the first task in the lowest bit. Trailing zeros are omitted.
  bitmap = 1,
  // '=', then in base64 varints the lengths of the runs of tasks that alternately are not done and
  // are done.
  runs = 2,
  // The shorter one of runs and of '#' followed by a base64 bitmap, eight tasks per byte, the first
  // task in the lowest bit. The bitmap bounds the length, so that any chunk fits a value of 2 KiB.
  shortest = 3,
};
// The feature levels (wire/feature_level.hpp) from which on each form is written.
inline constexpr std::uint32_t kRunsFeatureLevel = 2;
inline constexpr std::uint32_t kShortestFeatureLevel = 5;
constexpr ProgressForm progress_form(std::uint32_t level) {
  return level >= kShortestFeatureLevel ? ProgressForm::shortest
         : level >= kRunsFeatureLevel   ? ProgressForm::runs
                                        : ProgressForm::bitmap;
}
// Whether a value decoded as `stored` need not be rewritten when `current` is the form to write.
constexpr bool is_current_form(ProgressForm stored, ProgressForm current) {
  return stored == current || (stored == ProgressForm::runs && current == ProgressForm::shortest);
}

// Returns the text of the JSON string, without quotes.
std::string encode_progress(const std::vector<bool>& done, ProgressForm form);
struct Progress {
  ProgressForm form = ProgressForm::bitmap;
  std::vector<std::uint32_t> done;  // ascending task numbers within the chunk
};
// Accepts every form. Returns nullopt if the text is malformed or marks a task beyond the chunk's
// `tasks` tasks as done.
std::optional<Progress> decode_progress(std::string_view text, std::uint32_t tasks);

}  // namespace hitchfront::wire
