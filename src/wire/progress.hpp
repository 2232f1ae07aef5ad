// Which tasks of a part of a job are done, as the store keeps it under prog/<job>/<chunk>.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::wire {

// bitmap: four tasks a hexadecimal digit, the first task its lowest bit; zeros at the end are left
// out. runs: '=', then in varints, base64 coded, by turns how many tasks in a row are not done and
// are done. shortest: runs, or where that is shorter '#' and the bits, eight tasks a byte, the
// first task its lowest bit, base64 coded: never longer than a sixth of the tasks, so that any
// chunk fits a value of 2 KiB.
enum class ProgressForm : std::uint8_t { bitmap = 1, runs = 2, shortest = 3 };
inline constexpr std::uint32_t kRunsLevel =
    2;  // from which level on (wire/feature_level.hpp) it is written as runs
inline constexpr std::uint32_t kShortestLevel = 5;  // and as what is shortest
constexpr ProgressForm progress_form(std::uint32_t level) {
  return level >= kShortestLevel ? ProgressForm::shortest
         : level >= kRunsLevel   ? ProgressForm::runs
                                 : ProgressForm::bitmap;
}
// Whether a value that was read as `stored` may stay as it is where `wanted` is written.
constexpr bool is_of_form(ProgressForm stored, ProgressForm wanted) {
  return stored == wanted || (stored == ProgressForm::runs && wanted == ProgressForm::shortest);
}

std::string encode_progress(const std::vector<bool>& done, ProgressForm form);  // without quotes
struct Progress {
  ProgressForm form = ProgressForm::bitmap;
  std::vector<std::uint32_t> done;  // ascending, below `tasks`
};
// Either form. Nothing where it is not what one of them can be.
std::optional<Progress> decode_progress(std::string_view text, std::uint32_t tasks);

}  // namespace hitchfront::wire
