// Expressions of the operators' settings, as compiled by settings/expression_parser, and their
// evaluation: it takes a bounded time and no memory, and never gives NaN or infinity.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace hitchfront::settings {

enum class Type { number, seconds, boolean };
const char* name(Type type);

// Why a text can't be used, and where. Lines and columns count from 1.
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
  // One operation, or a value or an input.
  struct Node {
    Op op = Op::value;
    Type type = Type::number;
    double value = 0;
    std::size_t input = 0, column = 0;
    std::vector<Node> children;
    bool constant() const;  // it takes no input
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

}  // namespace hitchfront::settings
