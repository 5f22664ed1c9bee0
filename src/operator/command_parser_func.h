/** @file command_parser_func.h Parsing lines of the operators' language. */

#pragma once

#include "operator/command_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/**
 * Parses one line: a command of the table; a change may stand after `preview` and end with `from generation N`.
 * @throws parse_error with the place and what may stand there.
 */
command parseCommand(std::string_view line);

/** @return The words that may follow a line's beginning, for completion; placeholders in capitals. */
std::vector<std::string> nextWords(std::string_view beginning);

/** Writes the page docs/LANGUAGE.md from the table. */
std::string explainLanguageMarkdown();

} // namespace cicadamux
