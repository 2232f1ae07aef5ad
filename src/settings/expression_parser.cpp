#include "settings/expression_parser.hpp"

#include <cctype>
#include <map>
#include <string>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <utility>

namespace hitchfront::settings {
namespace {

// These bound the recursion of the parser and the evaluation time.
constexpr std::size_t kMaxExpressionBytes = 1000;
constexpr std::size_t kMaxNestingDepth = 40;

namespace grammar {
using namespace tao::pegtl;
struct whitespace : star<blank> {};
template <char... C>
struct word : seq<string<C...>, not_at<identifier_other>, whitespace> {};
struct digits : plus<digit> {};
struct number : seq<digits, opt<one<'.'>, digits>> {};
struct unit : seq<sor<string<'m', 's'>, string<'m', 'i', 'n'>, one<'s'>, one<'h'>, one<'%'>>,
                  not_at<identifier_other>> {};
struct literal : seq<number, whitespace, opt<unit, whitespace>> {};
struct true_literal : word<'t', 'r', 'u', 'e'> {};
struct false_literal : word<'f', 'a', 'l', 's', 'e'> {};
struct reserved : sor<word<'i', 'f'>, word<'t', 'h', 'e', 'n'>, word<'e', 'l', 's', 'e'>,
                      word<'a', 'n', 'd'>, word<'o', 'r'>, word<'n', 'o', 't'>> {};
struct variable : seq<not_at<reserved>, identifier> {};
struct expression;
struct open_paren : seq<one<'('>, whitespace> {};
struct close_paren : seq<one<')'>, whitespace> {};
struct function : sor<string<'m', 'i', 'n'>, string<'m', 'a', 'x'>> {};
struct call : seq<function, whitespace, open_paren,
                  must<expression, one<','>, whitespace, expression, close_paren>> {};
struct group : if_must<open_paren, expression, close_paren> {};
struct conditional : if_must<word<'i', 'f'>, expression, word<'t', 'h', 'e', 'n'>, expression,
                             word<'e', 'l', 's', 'e'>, expression> {};
struct atom : sor<literal, true_literal, false_literal, conditional, call,
                  seq<variable, whitespace>, group> {};
struct minus : if_must<seq<one<'-'>, whitespace>, atom> {};
struct factor : sor<minus, atom> {};
struct mul_op : one<'*', '/'> {};
struct product : seq<factor, star<if_must<seq<mul_op, whitespace>, factor>>> {};
struct add_op : one<'+', '-'> {};
struct sum : seq<product, star<if_must<seq<add_op, whitespace>, product>>> {};
struct compare_op
    : sor<string<'<', '='>, string<'>', '='>, string<'=', '='>, string<'!', '='>, one<'<', '>'>> {};
struct comparison : seq<sum, opt<if_must<seq<compare_op, whitespace>, sum>>> {};
struct negation;
struct not_operation : if_must<word<'n', 'o', 't'>, negation> {};
struct negation : sor<not_operation, comparison> {};
struct conjunction : seq<negation, star<if_must<word<'a', 'n', 'd'>, negation>>> {};
struct expression : seq<conjunction, star<if_must<word<'o', 'r'>, conjunction>>> {};
struct complete_expression : must<whitespace, expression, eof> {};

template <class Rule>
using selector = parse_tree::selector<
    Rule,
    parse_tree::store_content::on<number, unit, true_literal, false_literal, variable, function,
                                  mul_op, add_op, compare_op>,
    parse_tree::remove_content::on<literal, call, conditional, minus, not_operation, conjunction,
                                   expression>,
    parse_tree::fold_one::on<product, sum, comparison>>;
}  // namespace grammar

using Tree = tao::pegtl::parse_tree::node;
using Node = Expression::Node;
using Op = Expression::Op;

// Converts a parse tree to an expression and checks its types.
class ExpressionBuilder {
 public:
  ExpressionBuilder(std::size_t line, std::size_t column,
                    const std::vector<InputDeclaration>& inputs, std::vector<Problem>& problems)
      : line_(line), column_(column), inputs_(inputs), problems_(problems) {}

  Node convert(const Tree& t) {
    using namespace grammar;
    if (t.is_type<literal>()) return make_literal(t);
    if (t.is_type<true_literal>()) return make_boolean(t, true);
    if (t.is_type<false_literal>()) return make_boolean(t, false);
    if (t.is_type<variable>()) return make_input(t);
    if (t.is_type<minus>()) return make_negative(t);
    if (t.is_type<not_operation>()) return make_not(t);
    if (t.is_type<call>()) return make_call(t);
    if (t.is_type<conditional>()) return make_conditional(t);
    if (t.is_type<conjunction>()) return make_logical(Op::logical_and, t);
    if (t.is_type<grammar::expression>()) return make_logical(Op::logical_or, t);
    return make_binary_chain(t);
  }

 private:
  static std::size_t column_offset(const Tree& t) { return t.m_begin.column - 1; }
  static bool is_boolean(const Node& n) { return n.type == ValueType::boolean; }

  void add_problem(std::size_t column, std::string found, std::string expected) {
    problems_.push_back({line_, column_ + column, std::move(found), std::move(expected)});
  }
  void require_type(const Node& n, ValueType type) {
    if (n.type != type)
      add_problem(n.column, std::string("a ") + name(n.type), std::string("a ") + name(type));
  }
  void require_number_or_time(const Node& n) {
    if (is_boolean(n)) require_type(n, ValueType::number);
  }

  // --- values ---
  Node make_value(const Tree& t, ValueType type, double value = 0) {
    return {Op::value, type, value, 0, column_offset(t), {}};
  }
  Node make_boolean(const Tree& t, bool value) {
    return make_value(t, ValueType::boolean, value ? 1 : 0);
  }
  Node make_literal(const Tree& t) {
    Node n = make_value(*t.children[0], ValueType::number, std::stod(t.children[0]->string()));
    if (t.children.size() == 1) return n;
    const auto unit = t.children[1]->string();
    if (unit == "%") {
      n.value /= 100;
      return n;
    }
    n.type = ValueType::seconds;
    n.value *= unit == "ms" ? 0.001 : unit == "min" ? 60 : unit == "h" ? 3600 : 1;
    return n;
  }
  Node make_input(const Tree& t) {
    for (std::size_t i = 0; i < inputs_.size(); ++i)
      if (t.string_view() == inputs_[i].name)
        return {Op::input, inputs_[i].type, 0, i, column_offset(t), {}};
    std::string known;
    for (const auto& i : inputs_) known += (known.empty() ? "" : ", ") + std::string(i.name);
    add_problem(column_offset(t), "unknown name " + t.string(), "one of " + known);
    return make_value(t, ValueType::number);
  }

  // --- operations ---
  Node unary(Op op, const Tree& t) {
    Node n{op, ValueType::number, 0, 0, column_offset(*t.children[0]), {convert(*t.children[0])}};
    n.type = n.children[0].type;
    return n;
  }
  Node make_negative(const Tree& t) {
    Node n = unary(Op::negate, t);
    if (is_boolean(n)) add_problem(n.column, "a boolean", "a number or a time");
    return n;
  }
  Node make_not(const Tree& t) {
    Node n = unary(Op::logical_not, t);
    require_type(n.children[0], ValueType::boolean);
    return n;
  }
  Node make_call(const Tree& t) {
    const auto op = t.children[0]->string() == "min" ? Op::min : Op::max;
    Node a = convert(*t.children[1]);
    Node b = convert(*t.children[2]);
    return binary(op, std::move(a), std::move(b));
  }
  Node make_conditional(const Tree& t) {
    Node n{Op::conditional, ValueType::number, 0, 0, column_offset(t), {}};
    for (const auto& c : t.children) n.children.push_back(convert(*c));
    require_type(n.children[0], ValueType::boolean);
    n.type = n.children[1].type;
    require_type(n.children[2], n.type);
    return n;
  }
  // A chain of `and` or of `or`: the children are the operands only.
  Node make_logical(Op op, const Tree& t) {
    Node n = convert(*t.children[0]);
    for (std::size_t i = 1; i < t.children.size(); ++i)
      n = binary(op, std::move(n), convert(*t.children[i]));
    return n;
  }
  // Sums, products and comparisons: the children alternate between operands and operators.
  Node make_binary_chain(const Tree& t) {
    static const std::map<std::string, Op> ops = {
        {"+", Op::add},    {"-", Op::subtract},    {"*", Op::multiply}, {"/", Op::divide},
        {"<", Op::less},   {"<=", Op::less_equal}, {">", Op::greater},  {">=", Op::greater_equal},
        {"==", Op::equal}, {"!=", Op::not_equal}};
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
  // Also reports operands of unsuitable types.
  ValueType result_type(Op op, const Node& a, const Node& b) {
    switch (op) {
      case Op::logical_and:
      case Op::logical_or:
        require_type(a, ValueType::boolean);
        require_type(b, ValueType::boolean);
        return a.type;
      case Op::multiply:
        return product_type(a, b);
      case Op::divide:
        return quotient_type(a, b);
      case Op::add:
      case Op::subtract:
      case Op::min:
      case Op::max:
        require_number_or_time(a);
        require_type(b, is_boolean(a) ? ValueType::number : a.type);
        return a.type;
      default:
        return comparison_type(op, a, b);
    }
  }
  ValueType product_type(const Node& a, const Node& b) {
    require_number_or_time(a);
    require_number_or_time(b);
    if (a.type == ValueType::seconds && b.type == ValueType::seconds)
      add_problem(b.column, "a time times a time", "a number on one side");
    return b.type == ValueType::seconds ? ValueType::seconds : a.type;
  }
  ValueType quotient_type(const Node& a, const Node& b) {
    require_number_or_time(a);
    require_number_or_time(b);
    const bool by_time = b.type == ValueType::seconds;
    if (by_time) require_type(a, ValueType::seconds);
    if (b.constant() && b.evaluate({}) == 0)
      add_problem(b.column, "a division by zero", "a divisor that is not zero");
    return by_time ? ValueType::number : a.type;
  }
  ValueType comparison_type(Op op, const Node& a, const Node& b) {
    require_type(b, a.type);
    if (op != Op::equal && op != Op::not_equal) require_number_or_time(a);
    return ValueType::boolean;
  }

  std::size_t line_, column_;
  const std::vector<InputDeclaration>& inputs_;
  std::vector<Problem>& problems_;
};

// An upper bound of the nesting depth: counts every `(`, `if` and `not`.
std::size_t nesting_depth_bound(std::string_view text) {
  std::size_t depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i)
    if (text[i] == '(' || text.substr(i, 2) == "if" || text.substr(i, 3) == "not") ++depth;
  return depth;
}

// For a parse failure `column_offset` bytes into the text.
Problem syntax_problem(std::string_view text, std::size_t column_offset, std::size_t line,
                       std::size_t column) {
  if (column_offset >= text.size())
    return {line, column + column_offset, "the end of the line", "a value"};
  std::size_t end = column_offset;
  while (end < text.size() && std::isspace(static_cast<unsigned char>(text[end])) == 0) ++end;
  return {line, column + column_offset,
          "'" + std::string(text.substr(column_offset, end - column_offset)) + "'",
          "a value, an operator or the end of the line"};
}

}  // namespace

bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputDeclaration>& inputs, Expression& out,
             std::vector<Problem>& problems) {
  if (text.size() > kMaxExpressionBytes || nesting_depth_bound(text) > kMaxNestingDepth) {
    problems.push_back({line, column, "an expression that is too long or nested too deeply",
                        "at most 1000 bytes and 40 levels"});
    return false;
  }
  const auto before = problems.size();
  tao::pegtl::memory_input in(text.data(), text.size(), "");
  try {
    const auto tree =
        tao::pegtl::parse_tree::parse<grammar::complete_expression, grammar::selector>(in);
    ExpressionBuilder builder(line, column, inputs, problems);
    out = Expression(builder.convert(*tree->children.at(0)));
  } catch (const tao::pegtl::parse_error& e) {
    problems.push_back(syntax_problem(text, e.positions().front().column - 1, line, column));
  }
  return problems.size() == before;
}

}  // namespace hitchfront::settings
