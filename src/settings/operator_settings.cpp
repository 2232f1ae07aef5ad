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
  Type type;
  double least, most, usual;
};
constexpr Setting kSettings[] = {
    {"kappa", Type::number, 1e-6, 1e6, kUtilityKappa},
    {"alpha", Type::number, 0, 10, kUtilityAlpha},
    {"beta", Type::number, 0, 10, kUtilityBeta},
    {"lambda", Type::number, 0.02, 1, kSmartPolicyShare},
    {"period", Type::seconds, 1, 600, static_cast<double>(kPolicySelectionIntervalMs) / 1000},
    {"charge_unit", Type::seconds, 5, 3600, kChargeUnitS},
    {"replay_share", Type::number, 0.01, 0.5, kReplayCpuShare},
    {"admit", Type::boolean, 0, 1, 1},
    {"roster", Type::boolean, 0, 1, 1},
    {"direct", Type::boolean, 0, 1, 1},
    {"level_most", Type::number, 1, 1000, 1000},
};
// Inputs of all settings but `admit`.
const std::vector<InputName> kState = {
    {"queue_jobs", Type::number}, {"queue_tasks", Type::number}, {"machines", Type::number}};
// Inputs of `admit`: the parts of a policy.
const std::vector<InputName> kParts = {
    {"ODA", Type::boolean}, {"ODB", Type::boolean},  {"ODE", Type::boolean},
    {"ODM", Type::boolean}, {"ODX", Type::boolean},  {"FCFS", Type::boolean},
    {"LXF", Type::boolean}, {"WFP3", Type::boolean}, {"UNICEF", Type::boolean},
    {"FF", Type::boolean},  {"BF", Type::boolean},   {"WF", Type::boolean}};

const Setting* find_setting(std::string_view name) {
  for (const auto& s : kSettings)
    if (name == s.name) return &s;
  return nullptr;
}

// Whether the setting is evaluated once, at the start, so that its expression can't have inputs.
bool is_fixed(std::string_view setting) {
  return setting == "roster" || setting == "direct" || setting == "level_most";
}

std::string setting_names() {
  std::string names;
  for (const auto& s : kSettings) names += (names.empty() ? "" : ", ") + std::string(s.name);
  return names;
}

std::string_view take_line(std::string_view& text) {
  const auto end = text.find('\n');
  const auto line = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  return line;
}

std::string_view without_comment(std::string_view line) {
  line = line.substr(0, line.find('#'));
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

// One file, line by line.
class OperatorParser {
 public:
  LoadedOperator parse(std::string_view text) {
    while (!text.empty()) {
      ++line_;
      read(without_comment(take_line(text)));
    }
    check_admitted();
    return std::move(out_);
  }

 private:
  void problem(std::size_t column, std::string found, std::string expected) {
    out_.problems.push_back({line_, column, std::move(found), std::move(expected)});
  }

  // name = expression
  void read(std::string_view line) {
    const auto first = line.find_first_not_of(" \t");
    if (first == std::string_view::npos) return;
    const auto name_end = std::min(line.find_first_of(" \t=", first), line.size());
    const std::string key(line.substr(first, name_end - first));
    const auto* setting = find_setting(key);
    if (setting == nullptr)
      return problem(first + 1, "unknown setting " + key, "one of " + setting_names());
    const auto equals = line.find('=');
    if (equals == std::string_view::npos)
      return problem(line.size() + 1, "the end of the line", "= and an expression");
    if (out_.settings.values.contains(key))
      return problem(first + 1, key + " a second time", "each setting once");
    read_value(*setting, line.substr(equals + 1), equals + 2);
  }

  void read_value(const Setting& setting, std::string_view text, std::size_t column) {
    const std::string key = setting.name;
    Expression e;
    if (!compile(text, line_, column, key == "admit" ? kParts : kState, e, out_.problems)) return;
    if (e.type() != setting.type)
      return problem(column, std::string("a ") + name(e.type()),
                     std::string("a ") + name(setting.type));
    if (is_fixed(key) && !e.constant())
      return problem(column, "an expression with inputs",
                     "a value without inputs: it is asked once, at the start");
    if (e.constant() && !check_range(setting, e.evaluate({}), column)) return;
    out_.settings.values[key] = std::move(e);
  }

  bool check_range(const Setting& setting, double value, std::size_t column) {
    if (value >= setting.least && value <= setting.most) return true;
    std::ostringstream range, found;
    range << setting.least << " to " << setting.most;
    found << value;
    problem(column, found.str(), range.str());
    return false;
  }

  void check_admitted() {
    for (const char* scale_out : {"ODA", "ODB", "ODE", "ODM", "ODX"})
      for (const char* order : {"FCFS", "LXF", "WFP3", "UNICEF"})
        for (const char* choose : {"FF", "BF", "WF"})
          if (out_.settings.admits(scale_out, order, choose)) return;
    out_.problems.push_back({1, 1, "admit that leaves no policy", "at least one policy admitted"});
  }

  LoadedOperator out_;
  std::size_t line_ = 0;
};

}  // namespace

LoadedOperator parse_operator(std::string_view text) {
  return OperatorParser().parse(text);
}

LoadedOperator load_operator(const std::string& path) {
  std::ifstream in(path);
  if (!in) return {{}, {{1, 1, "a file that can't be read", "the operators' settings"}}};
  std::stringstream text;
  text << in.rdbuf();
  return parse_operator(text.str());
}

double Operator::get(const std::string& setting, const Inputs& inputs) const {
  const auto* s = find_setting(setting);
  if (s == nullptr) return 0;
  const auto it = values.find(setting);
  if (it == values.end()) return s->usual;
  return std::clamp(it->second.evaluate(inputs), s->least, s->most);
}

bool Operator::admits(const std::string& scale_out, const std::string& order,
                      const std::string& choose) const {
  const auto it = values.find("admit");
  if (it == values.end()) return true;
  Inputs in;
  for (const auto& p : kParts)
    in.push_back(p.name == scale_out || p.name == order || p.name == choose ? 1 : 0);
  return it->second.evaluate(in) != 0;
}

}  // namespace hitchfront::settings
