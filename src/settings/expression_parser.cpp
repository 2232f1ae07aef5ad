#include "settings/expression_parser.hpp"

#include <cctype>
#include <map>
#include <string>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <utility>

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

// From a parse tree to a typed expression.
class Checker {
 public:
  Checker(std::size_t line, std::size_t column, const std::vector<InputName>& inputs,
          std::vector<Problem>& problems)
      : line_(line), column_(column), inputs_(inputs), problems_(problems) {}

  Node convert(const Tree& t) {
    using namespace grammar;
    if (t.is_type<literal>()) return make_literal(t);
    if (t.is_type<yes>()) return make_boolean(t, true);
    if (t.is_type<no>()) return make_boolean(t, false);
    if (t.is_type<variable>()) return make_input(t);
    if (t.is_type<minus>()) return make_negative(t);
    if (t.is_type<inverted>()) return make_inverse(t);
    if (t.is_type<call>()) return make_call(t);
    if (t.is_type<conditional>()) return make_choice(t);
    if (t.is_type<conjunction>()) return make_logical(Op::both, t);
    if (t.is_type<grammar::expression>()) return make_logical(Op::either, t);
    return make_chain(t);
  }

 private:
  static std::size_t at(const Tree& t) { return t.m_begin.column - 1; }
  static bool is_boolean(const Node& n) { return n.type == Type::boolean; }

  void problem(std::size_t column, std::string found, std::string expected) {
    problems_.push_back({line_, column_ + column, std::move(found), std::move(expected)});
  }
  void need(const Node& n, Type type) {
    if (n.type != type)
      problem(n.column, std::string("a ") + name(n.type), std::string("a ") + name(type));
  }
  void need_number_or_time(const Node& n) {
    if (is_boolean(n)) need(n, Type::number);
  }

  // ---- values
  Node leaf(const Tree& t, Type type, double value = 0) {
    return {Op::value, type, value, 0, at(t), {}};
  }
  Node make_boolean(const Tree& t, bool value) { return leaf(t, Type::boolean, value ? 1 : 0); }
  Node make_literal(const Tree& t) {
    Node n = leaf(*t.children[0], Type::number, std::stod(t.children[0]->string()));
    if (t.children.size() == 1) return n;
    const auto unit = t.children[1]->string();
    if (unit == "%") {
      n.value /= 100;
      return n;
    }
    n.type = Type::seconds;
    n.value *= unit == "ms" ? 0.001 : unit == "min" ? 60 : unit == "h" ? 3600 : 1;
    return n;
  }
  Node make_input(const Tree& t) {
    for (std::size_t i = 0; i < inputs_.size(); ++i)
      if (t.string_view() == inputs_[i].name) return {Op::input, inputs_[i].type, 0, i, at(t), {}};
    std::string known;
    for (const auto& i : inputs_) known += (known.empty() ? "" : ", ") + std::string(i.name);
    problem(at(t), "unknown name " + t.string(), "one of " + known);
    return leaf(t, Type::number);
  }

  // ---- operations
  Node unary(Op op, const Tree& t) {
    Node n{op, Type::number, 0, 0, at(*t.children[0]), {convert(*t.children[0])}};
    n.type = n.children[0].type;
    return n;
  }
  Node make_negative(const Tree& t) {
    Node n = unary(Op::negate, t);
    if (is_boolean(n)) problem(n.column, "a boolean", "a number or a time");
    return n;
  }
  Node make_inverse(const Tree& t) {
    Node n = unary(Op::invert, t);
    need(n.children[0], Type::boolean);
    return n;
  }
  Node make_call(const Tree& t) {
    const auto op = t.children[0]->string() == "min" ? Op::least : Op::most;
    Node a = convert(*t.children[1]);
    Node b = convert(*t.children[2]);
    return binary(op, std::move(a), std::move(b));
  }
  Node make_choice(const Tree& t) {
    Node n{Op::choose, Type::number, 0, 0, at(t), {}};
    for (const auto& c : t.children) n.children.push_back(convert(*c));
    need(n.children[0], Type::boolean);
    n.type = n.children[1].type;
    need(n.children[2], n.type);
    return n;
  }
  // Operands alone: the operator is the same between all of them.
  Node make_logical(Op op, const Tree& t) {
    Node n = convert(*t.children[0]);
    for (std::size_t i = 1; i < t.children.size(); ++i)
      n = binary(op, std::move(n), convert(*t.children[i]));
    return n;
  }
  // Sums, products and comparisons: operand, operator, operand, ...
  Node make_chain(const Tree& t) {
    static const std::map<std::string, Op> ops = {
        {"+", Op::add},    {"-", Op::sub},         {"*", Op::mul},  {"/", Op::div},
        {"<", Op::less},   {"<=", Op::less_equal}, {">", Op::more}, {">=", Op::more_equal},
        {"==", Op::equal}, {"!=", Op::unequal}};
    Node n = convert(*t.children[0]);
    for (std::size_t i = 1; i + 1 < t.children.size(); i += 2)
      n = binary(ops.at(t.children[i]->string()), std::move(n), convert(*t.children[i + 1]));
    return n;
  }

  Node binary(Op op, Node a, Node b) {
    const auto type = result_type(op, a, b);
    Node n{op, type, 0, 0, a.column, {}};
    n.children.push_back(std::move(a));
    n.children.push_back(std::move(b));
    return n;
  }
  // Reports what does not fit together.
  Type result_type(Op op, const Node& a, const Node& b) {
    switch (op) {
      case Op::both:
      case Op::either:
        need(a, Type::boolean);
        need(b, Type::boolean);
        return a.type;
      case Op::mul:
        return product_type(a, b);
      case Op::div:
        return quotient_type(a, b);
      case Op::add:
      case Op::sub:
      case Op::least:
      case Op::most:
        need_number_or_time(a);
        need(b, is_boolean(a) ? Type::number : a.type);
        return a.type;
      default:
        return comparison_type(op, a, b);
    }
  }
  Type product_type(const Node& a, const Node& b) {
    need_number_or_time(a);
    need_number_or_time(b);
    if (a.type == Type::seconds && b.type == Type::seconds)
      problem(b.column, "a time times a time", "a number on one side");
    return b.type == Type::seconds ? Type::seconds : a.type;
  }
  Type quotient_type(const Node& a, const Node& b) {
    need_number_or_time(a);
    need_number_or_time(b);
    const bool by_time = b.type == Type::seconds;
    if (by_time) need(a, Type::seconds);
    if (b.constant() && b.evaluate({}) == 0)
      problem(b.column, "a division by zero", "a divisor that is not zero");
    return by_time ? Type::number : a.type;
  }
  Type comparison_type(Op op, const Node& a, const Node& b) {
    need(b, a.type);
    if (op != Op::equal && op != Op::unequal) need_number_or_time(a);
    return Type::boolean;
  }

  std::size_t line_, column_;
  const std::vector<InputName>& inputs_;
  std::vector<Problem>& problems_;
};

// At most: how many are open at one place is not more than there are.
std::size_t depth_bound(std::string_view text) {
  std::size_t deep = 0;
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '(' || text.substr(i, 2) == "if" || text.substr(i, 3) == "not") ++deep;
  return deep;
}

// Where the parser got stuck, `at` bytes into the text.
Problem syntax_problem(std::string_view text, std::size_t at, std::size_t line,
                       std::size_t column) {
  if (at >= text.size()) return {line, column + at, "the end of the line", "a value"};
  std::size_t end = at;
  while (end < text.size() && std::isspace(static_cast<unsigned char>(text[end])) == 0) ++end;
  return {line, column + at, "'" + std::string(text.substr(at, end - at)) + "'",
          "a value, an operator or the end of the line"};
}

}  // namespace

bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputName>& inputs, Expression& out,
             std::vector<Problem>& problems) {
  if (text.size() > kLongest || depth_bound(text) > kDeepest) {
    problems.push_back(
        {line, column, "an expression too long or too deep", "at most 1000 bytes and 40 levels"});
    return false;
  }
  const auto before = problems.size();
  tao::pegtl::memory_input in(text.data(), text.size(), "");
  try {
    const auto tree = tao::pegtl::parse_tree::parse<grammar::whole, grammar::selector>(in);
    Checker checker(line, column, inputs, problems);
    out = Expression(checker.convert(*tree->children.at(0)));
  } catch (const tao::pegtl::parse_error& e) {
    problems.push_back(syntax_problem(text, e.positions().front().column - 1, line, column));
  }
  return problems.size() == before;
}

}  // namespace hitchfront::settings
