/** @file command_parser_func.h Parser of the query language. */

#pragma once

#include "operator/command_type.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/**
 * Parses one line: a command of the table. A change may begin with `preview` and end with `from generation N`.
 * @throws parse_error with the position of the error and the words that are allowed there.
 */
command parseCommand(std::string_view line);

/** @return The words that may follow the beginning of a line, for completion; placeholders are in capitals. */
std::vector<std::string> nextWords(std::string_view beginning);

/** Generates the page docs/LANGUAGE.md from the table. */
std::string explainLanguageMarkdown();

} // namespace cicadamux
