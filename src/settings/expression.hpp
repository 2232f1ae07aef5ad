// Expressions in the operators' settings file, compiled by settings/expression_parser. Evaluation
// takes bounded time, allocates no memory and never returns NaN or infinity.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace hitchfront::settings {

enum class ValueType { number, seconds, boolean };
const char* name(ValueType type);

// A syntax or type error in a settings file. Lines and columns count from 1.
struct Problem {
  std::size_t line = 0, column = 0;
  std::string found, expected;
  // "FILE:LINE:COLUMN: found ..., expected ..."
  std::string text(const std::string& file) const;
};

// Input values, in the order of the declarations that the expression was compiled with.
using Inputs = std::vector<double>;
struct InputDeclaration {
  const char* name;
  ValueType type;
};

class Expression {
 public:
  enum class Op {
    value,
    input,
    negate,
    logical_not,
    add,
    subtract,
    multiply,
    divide,
    less,
    less_equal,
    greater,
    greater_equal,
    equal,
    not_equal,
    logical_and,
    logical_or,
    conditional,
    min,
    max
  };
  // An operation, a constant or an input.
  struct Node {
    Op op = Op::value;
    ValueType type = ValueType::number;
    double value = 0;
    std::size_t input = 0, column = 0;
    std::vector<Node> children;
    bool constant() const;  // does not depend on any input
    double evaluate(const Inputs& inputs) const;
  };
  Expression() = default;
  explicit Expression(Node root) : root_(std::move(root)) {}
  // Booleans are 0 and 1, times are in seconds. A result that is not finite is returned as 0.
  double evaluate(const Inputs& inputs) const;
  ValueType type() const { return root_.type; }
  bool constant() const { return root_.constant(); }

 private:
  Node root_;
};

}  // namespace hitchfront::settings
