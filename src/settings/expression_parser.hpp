// The language of the operators' settings: parses and checks one expression.
//
//     5 s
//     if queue_jobs > 100 then 0.5 else 1
//     not ODE and (LXF or UNICEF)
//
// Numbers with units (ms, s, min, h, %), true, false, + - * /, comparisons, and/or/not,
// if-then-else, min(a, b), max(a, b) and named inputs. There are no loops and no names of one's
// own.
#pragma once
#include <cstddef>
#include <string_view>
#include <vector>

#include "settings/expression.hpp"

namespace hitchfront::settings {

// Compiles one expression. Problems carry `line` and columns counted from `column`. False: there
// are new problems, and `out` is not to be used.
bool compile(std::string_view text, std::size_t line, std::size_t column,
             const std::vector<InputName>& inputs, Expression& out, std::vector<Problem>& problems);

}  // namespace hitchfront::settings
