#include "settings/expression.hpp"

#include <algorithm>
#include <cmath>

namespace hitchfront::settings {

const char* name(Type type) {
  return type == Type::seconds ? "time" : type == Type::boolean ? "boolean" : "number";
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
    case Op::invert:
      return v(0) == 0 ? 1 : 0;
    case Op::add:
      return v(0) + v(1);
    case Op::sub:
      return v(0) - v(1);
    case Op::mul:
      return v(0) * v(1);
    case Op::div:
      return v(0) / v(1);
    case Op::less:
      return v(0) < v(1);
    case Op::less_equal:
      return v(0) <= v(1);
    case Op::more:
      return v(0) > v(1);
    case Op::more_equal:
      return v(0) >= v(1);
    case Op::equal:
      return v(0) == v(1);
    case Op::unequal:
      return v(0) != v(1);
    case Op::both:
      return v(0) != 0 && v(1) != 0;
    case Op::either:
      return v(0) != 0 || v(1) != 0;
    case Op::choose:
      return v(0) != 0 ? v(1) : v(2);
    case Op::least:
      return std::min(v(0), v(1));
    case Op::most:
      return std::max(v(0), v(1));
  }
  return 0;
}

double Expression::evaluate(const Inputs& inputs) const {
  const double v = root_.evaluate(inputs);
  return std::isfinite(v) ? v : 0;
}

}  // namespace hitchfront::settings
