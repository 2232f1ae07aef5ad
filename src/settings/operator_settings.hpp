// The operators' settings file: one named setting per line, each with an expression as its value.
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

// Settings that are missing from the file have their default values.
struct OperatorSettings {
  std::map<std::string, Expression> expressions;
  // The value of a setting, clamped to its range; 0 for an unknown setting. `inputs` are the values
  // of queue_jobs, queue_tasks and machines, in this order.
  double get(const std::string& setting, const Inputs& inputs) const;
  // Whether `admit` allows the policy with these components, such as ODA, LXF and FF.
  bool admits(const std::string& scale_out, const std::string& order,
              const std::string& machine_selection) const;
};
struct LoadedOperatorSettings {
  OperatorSettings settings;
  std::vector<Problem> problems;
};
// Reports all problems of the file, not only the first. The settings may be used only if there are
// none.
LoadedOperatorSettings parse_operator_settings(std::string_view text);
LoadedOperatorSettings load_operator_settings(const std::string& path);

}  // namespace hitchfront::settings
