#include "settings/expression.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::settings {

const char* name(ValueType type) {
  return type == ValueType::seconds ? "time" : type == ValueType::boolean ? "boolean" : "number";
}

std::string Problem::text(const std::string& file) const {
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": found " + found +
         ", expected " + expected;
}

bool Expression::Node::constant() const {
  return op != Op::input &&
         std::all_of(children.begin(), children.end(), [](const Node& c) { return c.constant(); });
}

double Expression::Node::evaluate(const Inputs& in) const {
  const auto v = [&](std::size_t i) { return children[i].evaluate(in); };
  switch (op) {
    case Op::value:
      return value;
    case Op::input:
      return input < in.size() ? in[input] : 0;
    case Op::negate:
      return -v(0);
    case Op::logical_not:
      return v(0) == 0 ? 1 : 0;
    case Op::add:
      return v(0) + v(1);
    case Op::subtract:
      return v(0) - v(1);
    case Op::multiply:
      return v(0) * v(1);
    case Op::divide:
      return v(0) / v(1);
    case Op::less:
      return v(0) < v(1);
    case Op::less_equal:
      return v(0) <= v(1);
    case Op::greater:
      return v(0) > v(1);
    case Op::greater_equal:
      return v(0) >= v(1);
    case Op::equal:
      return v(0) == v(1);
    case Op::not_equal:
      return v(0) != v(1);
    case Op::logical_and:
      return v(0) != 0 && v(1) != 0;
    case Op::logical_or:
      return v(0) != 0 || v(1) != 0;
    case Op::conditional:
      return v(0) != 0 ? v(1) : v(2);
    case Op::min:
      return std::min(v(0), v(1));
    case Op::max:
      return std::max(v(0), v(1));
  }
  return 0;
}

double Expression::evaluate(const Inputs& inputs) const {
  const double v = root_.evaluate(inputs);
  return std::isfinite(v) ? v : 0;
}

}  // namespace hitchfront::settings
