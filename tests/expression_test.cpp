#include "settings/expression.hpp"

#include <gtest/gtest.h>

#include <fstream>

#include "settings/expression_parser.hpp"
#include "settings/operator_settings.hpp"

namespace hitchfront::settings {
namespace {

double value(const std::string& text) {
  const std::vector<InputDeclaration> inputs = {{"x", ValueType::number}};
  Expression e;
  std::vector<Problem> problems;
  EXPECT_TRUE(compile(text, 1, 1, inputs, e, problems))
      << text << ": " << (problems.empty() ? "" : problems[0].text("f"));
  return e.evaluate({4});
}

TEST(Expression, Evaluates) {
  const std::pair<const char*, double> cases[] = {
      {"1 + 2 * 3", 7},
      {"(1 + 2) * 3", 9},
      {"10 - 2 - 3", 5},
      {"24 / 4 / 2", 3},
      {"-x + 1", -3},
      {"50 %", 0.5},
      {"2 min", 120},
      {"500 ms", 0.5},
      {"3 s / 1500 ms", 2},
      {"min(x, 3)", 3},
      {"max(x, 3) * 2", 8},
      {"x > 3 and x < 5", 1},
      {"not (x == 4) or false", 0},
      {"if x >= 4 then 1 else 2", 1},
      {"if x != 4 then 1 else if x < 0 then 2 else 3", 3},
      {"1 / (x - 4)", 0}};  // never infinite
  for (const auto& [text, expected] : cases) EXPECT_DOUBLE_EQ(value(text), expected) << text;
}

TEST(OperatorSettings, EveryProblemHasItsPlace) {
  const std::tuple<const char*, std::size_t, std::size_t> bad[] = {
      {"alpha = ", 1, 9},
      {"alpha = 1 +", 1, 12},
      {"alpha = 1 2", 1, 11},
      {"alpha = y", 1, 9},
      {"alpha = 5 s", 1, 8},
      {"period = 5", 1, 9},
      {"alpha = true", 1, 8},
      {"alpha = 1 / 0", 1, 13},
      {"alpha = 1 + 2 s", 1, 13},
      {"alpha = 99", 1, 8},
      {"\nbeth = 1", 2, 1},
      {"alpha", 1, 6},
      {"alpha = 1\nalpha = 1", 2, 1},
      {"lambda = 200 %", 1, 9},
      {"admit = false", 1, 1},
      {"alpha = if 1 then 2 else 3", 1, 12},
      {"alpha = (1", 1, 11}};
  for (const auto& [text, line, column] : bad) {
    const auto l = parse_operator_settings(text);
    ASSERT_EQ(l.problems.size(), 1U) << text;
    EXPECT_EQ(l.problems[0].line, line) << text;
    EXPECT_EQ(l.problems[0].column, column) << text << " " << l.problems[0].text("f");
  }
  EXPECT_EQ(parse_operator_settings("alpha = x\nbeta = 5 s\n# fine\nperiod = 3\n").problems.size(),
            3U);
  EXPECT_EQ(parse_operator_settings("alpha = " + std::string(2000, '(')).problems.size(), 1U);
}

TEST(OperatorSettings, DefaultsRangesAndPolicies) {
  const auto none = parse_operator_settings("");
  EXPECT_TRUE(none.problems.empty());
  EXPECT_DOUBLE_EQ(none.settings.get("lambda", {}), 0.6);
  const auto l = parse_operator_settings(
      "alpha = queue_jobs * 100  # bounded by its range\nadmit = not ODE and (LXF or UNICEF)");
  ASSERT_TRUE(l.problems.empty()) << l.problems[0].text("f");
  EXPECT_DOUBLE_EQ(l.settings.get("alpha", {7, 0, 0}), 10);
  EXPECT_TRUE(l.settings.admits("ODA", "LXF", "FF"));
  EXPECT_FALSE(l.settings.admits("ODE", "LXF", "FF"));
  EXPECT_FALSE(l.settings.admits("ODA", "FCFS", "FF"));
}

// The shipped file and the examples in the documentation.
TEST(OperatorSettings, ShippedFileAndDocumentedExamplesAreInOrder) {
  const auto shipped =
      load_operator_settings(std::string(HITCHFRONT_SOURCE) + "/deploy/operator.conf");
  ASSERT_TRUE(shipped.problems.empty()) << shipped.problems[0].text("operator.conf");
  for (const char* s :
       {"kappa", "alpha", "beta", "lambda", "period", "charge_unit", "replay_share"})
    EXPECT_DOUBLE_EQ(shipped.settings.get(s, {}), OperatorSettings{}.get(s, {})) << s;
  std::ifstream in(std::string(HITCHFRONT_SOURCE) + "/docs/operations.md");
  std::string line, examples;
  while (std::getline(in, line))
    if (line.starts_with("    ") && line.find(" = ") != std::string::npos) examples += line + "\n";
  EXPECT_NE(examples.find("alpha"), std::string::npos);
  const auto l = parse_operator_settings(examples);
  EXPECT_TRUE(l.problems.empty()) << l.problems[0].text("operations.md");
}

}  // namespace
}  // namespace hitchfront::settings
