#include "settings/operator_settings.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "settings/constants.hpp"
#include "settings/expression_parser.hpp"

namespace hitchfront::settings {
namespace {

struct Setting {
  const char* name;
  ValueType type;
  double min_value, max_value, default_value;
};
constexpr Setting kSettings[] = {
    {"kappa", ValueType::number, 1e-6, 1e6, kUtilityKappa},
    {"alpha", ValueType::number, 0, 10, kUtilityAlpha},
    {"beta", ValueType::number, 0, 10, kUtilityBeta},
    {"lambda", ValueType::number, 0.02, 1, kSmartPolicyShare},
    {"period", ValueType::seconds, 1, 600, static_cast<double>(kPolicySelectionIntervalMs) / 1000},
    {"charge_unit", ValueType::seconds, 5, 3600, kChargeUnitS},
    {"replay_share", ValueType::number, 0.01, 0.5, kReplayCpuShare},
    {"admit", ValueType::boolean, 0, 1, 1},
    {"roster", ValueType::boolean, 0, 1, 1},
    {"direct", ValueType::boolean, 0, 1, 1},
    {"level_most", ValueType::number, 1, 1000, 1000},
};
// Inputs of all settings except `admit`.
const std::vector<InputDeclaration> kStateInputs = {{"queue_jobs", ValueType::number},
                                                    {"queue_tasks", ValueType::number},
                                                    {"machines", ValueType::number}};
// Inputs of `admit`: the components of a policy. Each is true if the policy uses it.
const std::vector<InputDeclaration> kAdmitInputs = {
    {"ODA", ValueType::boolean}, {"ODB", ValueType::boolean},  {"ODE", ValueType::boolean},
    {"ODM", ValueType::boolean}, {"ODX", ValueType::boolean},  {"FCFS", ValueType::boolean},
    {"LXF", ValueType::boolean}, {"WFP3", ValueType::boolean}, {"UNICEF", ValueType::boolean},
    {"FF", ValueType::boolean},  {"BF", ValueType::boolean},   {"WF", ValueType::boolean}};

const Setting* find_setting(std::string_view name) {
  for (const auto& s : kSettings)
    if (name == s.name) return &s;
  return nullptr;
}

// Settings that are evaluated once at startup. Their expressions can't have inputs.
bool is_evaluated_once(std::string_view setting) {
  return setting == "roster" || setting == "direct" || setting == "level_most";
}

std::string setting_names() {
  std::string names;
  for (const auto& s : kSettings) names += (names.empty() ? "" : ", ") + std::string(s.name);
  return names;
}

std::string_view next_line(std::string_view& text) {
  const auto end = text.find('\n');
  const auto line = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return line;
}

std::string_view strip_comment(std::string_view line) {
  line = line.substr(0, line.find('#'));
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

class OperatorParser {
 public:
  LoadedOperatorSettings parse(std::string_view text) {
    while (!text.empty()) {
      ++line_;
      parse_line(strip_comment(next_line(text)));
    }
    check_any_policy_admitted();
    return std::move(result_);
  }

 private:
  void add_problem(std::size_t column, std::string found, std::string expected) {
    result_.problems.push_back({line_, column, std::move(found), std::move(expected)});
  }

  // name = expression
  void parse_line(std::string_view line) {
    const auto first = line.find_first_not_of(" \t");
    if (first == std::string_view::npos) return;
    const auto name_end = std::min(line.find_first_of(" \t=", first), line.size());
    const std::string key(line.substr(first, name_end - first));
    const auto* setting = find_setting(key);
    if (setting == nullptr)
      return add_problem(first + 1, "unknown setting " + key, "one of " + setting_names());
    const auto equals = line.find('=');
    if (equals == std::string_view::npos)
      return add_problem(line.size() + 1, "the end of the line", "= and an expression");
    if (result_.settings.expressions.contains(key))
      return add_problem(first + 1, "a second definition of " + key, "each setting at most once");
    parse_value(*setting, line.substr(equals + 1), equals + 2);
  }

  void parse_value(const Setting& setting, std::string_view text, std::size_t column) {
    const std::string key = setting.name;
    Expression expression;
    if (!compile(text, line_, column, key == "admit" ? kAdmitInputs : kStateInputs, expression,
                 result_.problems))
      return;
    if (expression.type() != setting.type)
      return add_problem(column, std::string("a ") + name(expression.type()),
                         std::string("a ") + name(setting.type));
    if (is_evaluated_once(key) && !expression.constant())
      return add_problem(column, "an expression with inputs",
                         "a constant, since this setting is evaluated once at startup");
    if (expression.constant() && !check_range(setting, expression.evaluate({}), column)) return;
    result_.settings.expressions[key] = std::move(expression);
  }

  bool check_range(const Setting& setting, double value, std::size_t column) {
    if (value >= setting.min_value && value <= setting.max_value) return true;
    std::ostringstream range, found;
    range << setting.min_value << " to " << setting.max_value;
    found << value;
    add_problem(column, found.str(), range.str());
    return false;
  }

  void check_any_policy_admitted() {
    for (const char* scale_out : {"ODA", "ODB", "ODE", "ODM", "ODX"})
      for (const char* order : {"FCFS", "LXF", "WFP3", "UNICEF"})
        for (const char* machine_selection : {"FF", "BF", "WF"})
          if (result_.settings.admits(scale_out, order, machine_selection)) return;
    result_.problems.push_back(
        {1, 1, "an admit expression that rejects all policies", "at least one admitted policy"});
  }

  LoadedOperatorSettings result_;
  std::size_t line_ = 0;
};

}  // namespace

LoadedOperatorSettings parse_operator_settings(std::string_view text) {
  return OperatorParser().parse(text);
}

LoadedOperatorSettings load_operator_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) return {{}, {{1, 1, "an unreadable file", "the operators' settings file"}}};
  std::stringstream text;
  text << in.rdbuf();
  return parse_operator_settings(text.str());
}

double OperatorSettings::get(const std::string& setting, const Inputs& inputs) const {
  const auto* definition = find_setting(setting);
  if (definition == nullptr) return 0;
  const auto it = expressions.find(setting);
  if (it == expressions.end()) return definition->default_value;
  return std::clamp(it->second.evaluate(inputs), definition->min_value, definition->max_value);
}

bool OperatorSettings::admits(const std::string& scale_out, const std::string& order,
                              const std::string& machine_selection) const {
  const auto it = expressions.find("admit");
  if (it == expressions.end()) return true;
  Inputs in;
  for (const auto& p : kAdmitInputs)
    in.push_back(p.name == scale_out || p.name == order || p.name == machine_selection ? 1 : 0);
  return it->second.evaluate(in) != 0;
}

}  // namespace hitchfront::settings
