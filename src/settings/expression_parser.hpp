// Parser and type checker for one expression of the operators' settings.
//
//     5 s
//     if queue_jobs > 100 then 0.5 else 1
//     not ODE and (LXF or UNICEF)
//
// Numbers with units (ms, s, min, h, %), true, false, + - * /, comparisons, and/or/not,
// if-then-else, min(a, b), max(a, b) and named inputs. There are no loops and no user-defined
// names.
#pragma once
#include <cstddef>
#include <string_view>
#include <vector>

#include "settings/expression.hpp"

namespace hitchfront::settings {

// Compiles one expression, which starts at `line` and `column` of the file. On failure returns
// false and appends to `problems`; `out` must not be used then.
bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputDeclaration>& inputs, Expression& out,
             std::vector<Problem>& problems);

}  // namespace hitchfront::settings
