/** @file tokenizer_func.h Splits a line of the operators' language into words. */

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

constexpr std::size_t maxWords = 64; ///< Words of one line.
constexpr std::size_t maxWordLength = 4'096; ///< Bytes of one word; JSON may be longer.

/** One word and where it begins in its line. */
struct query_word {
    std::string text;
    std::size_t position = 0; ///< Byte, from 0.
};

/**
 * Splits at blanks. A word that begins with `{` is JSON and ends with its closing bracket.
 * @throws parse_error for what isn't printable ASCII, too many or too long words, and JSON that doesn't end.
 */
std::vector<query_word> splitWords(std::string_view line);

} // namespace cicadamux::detail
