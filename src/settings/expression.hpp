// The operators' settings: named values, each an expression of a small language; one a line.
//
//     # comment
//     period = 5 s
//     alpha  = if queue_jobs > 100 then 0.5 else 1
//     admit  = not ODE and (LXF or UNICEF)
//
// Numbers with units (ms, s, min, h, %), true, false, + - * /, comparisons, and/or/not,
// if-then-else, min(a, b), max(a, b) and named inputs. There are no loops and no names of one's
// own, so an evaluation takes a bounded time and no memory; it never gives NaN or infinity.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hitchfront::settings {

enum class Type { number, seconds, boolean };
const char* name(Type type);

struct Problem {
  std::size_t line = 0, column = 0;
  std::string found, expected;
  std::string text(const std::string& file) const;
};

// Values of the inputs, by their place in the list that the expression was compiled with.
using Inputs = std::vector<double>;
struct InputName {
  const char* name;
  Type type;
};

class Expression {
 public:
  enum class Op {
    value,
    input,
    negate,
    invert,
    add,
    sub,
    mul,
    div,
    less,
    less_equal,
    more,
    more_equal,
    equal,
    unequal,
    both,
    either,
    choose,
    least,
    most
  };
  struct Node {
    Op op = Op::value;
    Type type = Type::number;
    double value = 0;
    std::size_t input = 0, column = 0;
    std::vector<Node> children;
    bool constant() const;
    double evaluate(const Inputs& inputs) const;
  };
  Expression() = default;
  explicit Expression(Node root) : root_(std::move(root)) {}
  // 0 where the arithmetic leaves the finite numbers. Booleans are 0 and 1, times are seconds.
  double evaluate(const Inputs& inputs) const;
  Type type() const { return root_.type; }
  bool constant() const { return root_.constant(); }

 private:
  Node root_;
};

// Compiles one expression. Problems carry `line` and columns counted from `column`.
bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputName>& inputs, Expression& out, std::vector<Problem>& problems);

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
LoadedOperator parse_operator(std::string_view text);
LoadedOperator load_operator(const std::string& path);

}  // namespace hitchfront::settings
