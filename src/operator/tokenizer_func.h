/** @file tokenizer_func.h Splits a line of the query language into words. */

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

constexpr std::size_t maxWords = 64; ///< Words in one line.
constexpr std::size_t maxWordLength = 4'096; ///< Bytes of one word that isn't JSON.

/** One word and its position in the line. */
struct query_word {
    std::string text;
    std::size_t position = 0; ///< Byte offset.
};

/**
 * Splits a line at white space. A word that begins with `{` is a JSON object and ends with its closing brace.
 * @throws parse_error for characters other than printable ASCII, too many or too long words, and unterminated JSON.
 */
std::vector<query_word> splitWords(std::string_view line);

} // namespace cicadamux::detail
