/** @file command_table.h Table of the query language's commands: grammar, help, example and builder of each. */

#pragma once

#include "operator/command_type.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux::detail
{

/** The values of a line for the placeholders of a grammar. */
class matched_values
{
public:
    void add(std::string_view placeholder, std::string value);

    /** @return The value; empty if the line doesn't have the placeholder's optional part. */
    const std::string &text(std::string_view placeholder) const;

    bool has(std::string_view placeholder) const;

private:
    struct matched_value {
        std::string_view placeholder;
        std::string value;
    };
    std::vector<matched_value> m_values;
};

/** A placeholder of the grammars and the values that it accepts. */
struct placeholder_row {
    std::string_view name; ///< In capitals, as written in the grammars.
    std::string_view allowed; ///< Description of the accepted values, for messages and help.
    bool (*accepts)(std::string_view word); ///< Checks a value; null if only `choices` are accepted.
    std::span<const std::string_view> choices; ///< The only accepted values; empty if `accepts` decides.
};

/**
 * One command. In a grammar, words in lower case are literal, words in capitals are placeholders,
 * and parts in square brackets are optional and may follow in any order at the end of the line.
 */
struct command_row {
    std::string_view grammar;
    std::string_view help;
    std::string_view example;
    command (*build)(const matched_values &values);
};

std::span<const placeholder_row> placeholderRows();
std::span<const command_row> commandRows();

} // namespace cicadamux::detail
