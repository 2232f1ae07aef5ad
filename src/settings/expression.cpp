#include "settings/expression.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "settings/constants.hpp"

namespace hitchfront::settings {
namespace {

constexpr std::size_t kLongest =
    1000;  // bytes of an expression; bounds the parser's depth and the evaluation
constexpr std::size_t kDeepest = 40;  // open parentheses and the like

namespace grammar {
using namespace tao::pegtl;  // the grammar reads as PEGTL's documentation writes it
struct ws : star<blank> {};
template <char... C>
struct word : seq<string<C...>, not_at<identifier_other>, ws> {};
struct digits : plus<digit> {};
struct number : seq<digits, opt<one<'.'>, digits>> {};
struct unit : seq<sor<string<'m', 's'>, string<'m', 'i', 'n'>, one<'s'>, one<'h'>, one<'%'>>,
                  not_at<identifier_other>> {};
struct literal : seq<number, ws, opt<unit, ws>> {};
struct yes : word<'t', 'r', 'u', 'e'> {};
struct no : word<'f', 'a', 'l', 's', 'e'> {};
struct reserved : sor<word<'i', 'f'>, word<'t', 'h', 'e', 'n'>, word<'e', 'l', 's', 'e'>,
                      word<'a', 'n', 'd'>, word<'o', 'r'>, word<'n', 'o', 't'>> {};
struct variable : seq<not_at<reserved>, identifier> {};
struct expression;
struct open : seq<one<'('>, ws> {};
struct close : seq<one<')'>, ws> {};
struct function : sor<string<'m', 'i', 'n'>, string<'m', 'a', 'x'>> {};
struct call : seq<function, ws, open, must<expression, one<','>, ws, expression, close>> {};
struct group : if_must<open, expression, close> {};
struct conditional : if_must<word<'i', 'f'>, expression, word<'t', 'h', 'e', 'n'>, expression,
                             word<'e', 'l', 's', 'e'>, expression> {};
struct atom : sor<literal, yes, no, conditional, call, seq<variable, ws>, group> {};
struct minus : if_must<seq<one<'-'>, ws>, atom> {};
struct factor : sor<minus, atom> {};
struct mul_op : one<'*', '/'> {};
struct product : seq<factor, star<if_must<seq<mul_op, ws>, factor>>> {};
struct add_op : one<'+', '-'> {};
struct sum : seq<product, star<if_must<seq<add_op, ws>, product>>> {};
struct compare_op
    : sor<string<'<', '='>, string<'>', '='>, string<'=', '='>, string<'!', '='>, one<'<', '>'>> {};
struct comparison : seq<sum, opt<if_must<seq<compare_op, ws>, sum>>> {};
struct negation;
struct inverted : if_must<word<'n', 'o', 't'>, negation> {};
struct negation : sor<inverted, comparison> {};
struct conjunction : seq<negation, star<if_must<word<'a', 'n', 'd'>, negation>>> {};
struct expression : seq<conjunction, star<if_must<word<'o', 'r'>, conjunction>>> {};
struct whole : must<ws, expression, eof> {};

template <class Rule>
using selector =
    parse_tree::selector<Rule,
                         parse_tree::store_content::on<number, unit, yes, no, variable, function,
                                                       mul_op, add_op, compare_op>,
                         parse_tree::remove_content::on<literal, call, conditional, minus, inverted,
                                                        conjunction, expression>,
                         parse_tree::fold_one::on<product, sum, comparison>>;
}  // namespace grammar

using Tree = tao::pegtl::parse_tree::node;
using Node = Expression::Node;
using Op = Expression::Op;

class Checker {
 public:
  Checker(std::size_t line, std::size_t column, const std::vector<InputName>& inputs,
          std::vector<Problem>& problems)
      : line_(line), column_(column), inputs_(inputs), problems_(problems) {}

  Node convert(const Tree& t) {
    using namespace grammar;
    if (t.is_type<literal>()) return make_literal(t);
    if (t.is_type<yes>() || t.is_type<no>()) {
      Node n = leaf(t, Type::boolean);
      n.value = t.is_type<yes>() ? 1 : 0;
      return n;
    }
    if (t.is_type<variable>()) return make_variable(t);
    if (t.is_type<minus>()) return unary(Op::negate, t, false);
    if (t.is_type<inverted>()) return unary(Op::invert, t, true);
    if (t.is_type<call>())
      return binary(t.children[0]->string() == "min" ? Op::least : Op::most,
                    convert(*t.children[1]), convert(*t.children[2]));
    if (t.is_type<conditional>()) {
      Node n{Op::choose, Type::number, 0, 0, at(t), {}};
      for (const auto& c : t.children) n.children.push_back(convert(*c));
      need(n.children[0], Type::boolean);
      n.type = n.children[1].type;
      need(n.children[2], n.type);
      return n;
    }
    if (t.is_type<conjunction>() || t.is_type<grammar::expression>()) {
      Node n = convert(*t.children[0]);
      for (std::size_t i = 1; i < t.children.size(); ++i)
        n = binary(t.is_type<conjunction>() ? Op::both : Op::either, std::move(n),
                   convert(*t.children[i]));
      return n;
    }
    // Sums, products and comparisons: operand, operator, operand, ...
    Node n = convert(*t.children[0]);
    for (std::size_t i = 1; i + 1 < t.children.size(); i += 2) {
      static const std::map<std::string, Op> ops = {
          {"+", Op::add},    {"-", Op::sub},         {"*", Op::mul},  {"/", Op::div},
          {"<", Op::less},   {"<=", Op::less_equal}, {">", Op::more}, {">=", Op::more_equal},
          {"==", Op::equal}, {"!=", Op::unequal}};
      n = binary(ops.at(t.children[i]->string()), std::move(n), convert(*t.children[i + 1]));
    }
    return n;
  }

  void need(const Node& n, Type type) {
    if (n.type != type)
      problem(n.column, std::string("a ") + name(n.type), std::string("a ") + name(type));
  }
  void problem(std::size_t column, std::string found, std::string expected) {
    problems_.push_back({line_, column_ + column, std::move(found), std::move(expected)});
  }

 private:
  static std::size_t at(const Tree& t) { return t.m_begin.column - 1; }
  Node leaf(const Tree& t, Type type) { return {Op::value, type, 0, 0, at(t), {}}; }
  Node make_literal(const Tree& t) {
    Node n = leaf(*t.children[0], Type::number);
    n.value = std::stod(t.children[0]->string());
    if (t.children.size() > 1) {
      const auto u = t.children[1]->string();
      if (u == "%") {
        n.value /= 100;
      } else {
        n.type = Type::seconds;
        n.value *= u == "ms" ? 0.001 : u == "min" ? 60 : u == "h" ? 3600 : 1;
      }
    }
    return n;
  }
  Node make_variable(const Tree& t) {
    for (std::size_t i = 0; i < inputs_.size(); ++i)
      if (t.string_view() == inputs_[i].name) return {Op::input, inputs_[i].type, 0, i, at(t), {}};
    std::string known;
    for (const auto& i : inputs_) known += (known.empty() ? "" : ", ") + std::string(i.name);
    problem(at(t), "unknown name " + t.string(), "one of " + known);
    return leaf(t, Type::number);
  }
  Node unary(Op op, const Tree& t, bool boolean) {
    Node n{op, Type::number, 0, 0, at(*t.children[0]), {convert(*t.children[0])}};
    n.type = n.children[0].type;
    if (boolean) {
      need(n.children[0], Type::boolean);
    } else if (n.type == Type::boolean) {
      problem(n.column, "a boolean", "a number or a time");
    }
    return n;
  }
  Node binary(Op op, Node a, Node b) {
    Node n{op, a.type, 0, 0, a.column, {}};
    switch (op) {
      case Op::both:
      case Op::either:
        need(a, Type::boolean);
        need(b, Type::boolean);
        break;
      case Op::mul:
      case Op::div:
        if (a.type == Type::boolean) need(a, Type::number);
        if (b.type == Type::boolean) need(b, Type::number);
        if (op == Op::mul) {
          if (a.type == Type::seconds && b.type == Type::seconds)
            problem(b.column, "a time times a time", "a number on one side");
          if (b.type == Type::seconds) n.type = Type::seconds;
        } else {
          if (b.type == Type::seconds) {
            need(a, Type::seconds);
            n.type = Type::number;
          }
          if (b.constant() && b.evaluate({}) == 0)
            problem(b.column, "a division by zero", "a divisor that is not zero");
        }
        break;
      case Op::add:
      case Op::sub:
      case Op::least:
      case Op::most:
        if (a.type == Type::boolean) need(a, Type::number);
        need(b, a.type == Type::boolean ? Type::number : a.type);
        break;
      default:  // comparisons
        need(b, a.type);
        if (a.type == Type::boolean && op != Op::equal && op != Op::unequal) need(a, Type::number);
        n.type = Type::boolean;
    }
    n.children.push_back(std::move(a));
    n.children.push_back(std::move(b));
    return n;
  }

  std::size_t line_, column_;
  const std::vector<InputName>& inputs_;
  std::vector<Problem>& problems_;
};

struct Setting {
  const char* name;
  Type type;
  double least, most, usual;
};
constexpr Setting kSettings[] = {
    {"kappa", Type::number, 1e-6, 1e6, kKappa},
    {"alpha", Type::number, 0, 10, kAlpha},
    {"beta", Type::number, 0, 10, kBeta},
    {"lambda", Type::number, 0.02, 1, kLambda},
    {"period", Type::seconds, 1, 600, static_cast<double>(kSelectMs) / 1000},
    {"charge_unit", Type::seconds, 5, 3600, kChargeUnitS},
    {"replay_share", Type::number, 0.01, 0.5, kReplayShare},
    {"admit", Type::boolean, 0, 1, 1},
    {"roster", Type::boolean, 0, 1, 1},
    {"direct", Type::boolean, 0, 1, 1},
    {"level_most", Type::number, 1, 1000, 1000},
};
const std::vector<InputName> kState = {
    {"queue_jobs", Type::number}, {"queue_tasks", Type::number}, {"machines", Type::number}};
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

}  // namespace

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

bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputName>& inputs, Expression& out,
             std::vector<Problem>& problems) {
  const auto before = problems.size();
  std::size_t deep = 0;
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '(' || text.substr(i, 2) == "if" || text.substr(i, 3) == "not") ++deep;
  if (text.size() > kLongest || deep > kDeepest) {
    problems.push_back(
        {line, column, "an expression too long or too deep", "at most 1000 bytes and 40 levels"});
    return false;
  }
  tao::pegtl::memory_input in(text.data(), text.size(), "");
  try {
    const auto tree = tao::pegtl::parse_tree::parse<grammar::whole, grammar::selector>(in);
    Checker checker(line, column, inputs, problems);
    out = Expression(checker.convert(*tree->children.at(0)));
  } catch (const tao::pegtl::parse_error& e) {
    const auto at = e.positions().front().column - 1;
    std::size_t end = at;
    while (end < text.size() && std::isspace(static_cast<unsigned char>(text[end])) == 0) ++end;
    problems.push_back(
        {line, column + at,
         at >= text.size() ? "the end of the line"
                           : "'" + std::string(text.substr(at, end - at)) + "'",
         at >= text.size() ? "a value" : "a value, an operator or the end of the line"});
  }
  return problems.size() == before;
}

LoadedOperator parse_operator(std::string_view text) {
  LoadedOperator out;
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const auto end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    line = line.substr(0, line.find('#'));
    if (line.ends_with('\r')) line.remove_suffix(1);
    const auto first = line.find_first_not_of(" \t");
    if (first == std::string_view::npos) continue;
    const auto equals = line.find('=');
    const auto name_end = line.find_first_of(" \t=", first);
    const std::string key(
        line.substr(first, name_end == std::string_view::npos ? name_end : name_end - first));
    const auto* setting = find_setting(key);
    if (setting == nullptr) {
      std::string known;
      for (const auto& s : kSettings) known += (known.empty() ? "" : ", ") + std::string(s.name);
      out.problems.push_back({number, first + 1, "unknown setting " + key, "one of " + known});
      continue;
    }
    if (equals == std::string_view::npos) {
      out.problems.push_back(
          {number, line.size() + 1, "the end of the line", "= and an expression"});
      continue;
    }
    if (out.settings.values.contains(key)) {
      out.problems.push_back({number, first + 1, key + " a second time", "each setting once"});
      continue;
    }
    Expression e;
    const std::string k(key);
    const auto& inputs = k == "admit" ? kParts : kState;
    if (!compile(line.substr(equals + 1), number, equals + 2, inputs, e, out.problems)) continue;
    if (e.type() != setting->type) {
      out.problems.push_back({number, equals + 2, std::string("a ") + name(e.type()),
                              std::string("a ") + name(setting->type)});
      continue;
    }
    if ((k == "roster" || k == "direct" || k == "level_most") && !e.constant()) {
      out.problems.push_back({number, equals + 2, "an expression with inputs",
                              "a value without inputs: it is asked once, at the start"});
      continue;
    }
    if (e.constant()) {
      const double v = e.evaluate({});
      if (v < setting->least || v > setting->most) {
        std::ostringstream range, found;
        range << setting->least << " to " << setting->most;
        found << v;
        out.problems.push_back({number, equals + 2, found.str(), range.str()});
        continue;
      }
    }
    out.settings.values[key] = std::move(e);
  }
  bool any = false;
  for (const char* r : {"ODA", "ODB", "ODE", "ODM", "ODX"})
    for (const char* o : {"FCFS", "LXF", "WFP3", "UNICEF"})
      for (const char* c : {"FF", "BF", "WF"}) any = any || out.settings.admits(r, o, c);
  if (!any)
    out.problems.push_back({1, 1, "admit that leaves no policy", "at least one policy admitted"});
  return out;
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
