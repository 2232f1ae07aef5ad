// The operators' own settings file: named values, each an expression, one a line.
//
//     # comment
//     period = 5 s
//     alpha  = if queue_jobs > 100 then 0.5 else 1
//     admit  = not ODE and (LXF or UNICEF)
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "settings/expression.hpp"

namespace hitchfront::settings {

// The operators' settings; what the file leaves out has the design's value.
struct Operator {
  std::map<std::string, Expression> values;
  // The value of a setting, within its range whatever the expression gives.
  double get(const std::string& setting, const Inputs& inputs) const;
  // Whether the policy whose parts are named (ODA, LXF, FF, ...) is admitted.
  bool admits(const std::string& scale_out, const std::string& order,
              const std::string& choose) const;
};
// Inputs of all settings but `admit`: queue_jobs, queue_tasks, machines.
struct LoadedOperator {
  Operator settings;
  std::vector<Problem> problems;
};
// Reads every line, and reports every problem; none: the settings can be used.
LoadedOperator parse_operator(std::string_view text);
LoadedOperator load_operator(const std::string& path);

}  // namespace hitchfront::settings
