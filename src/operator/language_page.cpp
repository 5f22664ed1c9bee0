/** @file language_page.cpp Writes docs/LANGUAGE.md from the tables. */

#include "operator/command_parser_func.h"

#include "operator/command_table.h"
#include "operator/exit_code_type.h"

namespace cicadamux
{

std::string explainLanguageMarkdown()
{
    std::string text = "# The operators' language\n\n"
                       "This page is written by `cicadamux help --markdown` from the tables in `src/operator/`.\n\n"
                       "The same lines work as `cicadamux query 'LINE' --admin=ADDRESS`, in `cicadamux prompt --admin=ADDRESS`, and over HTTP: "
                       "`POST /query` at any daemon's `admin` listener with `{\"query\":\"LINE\"}`. Words in capitals are placeholders; parts in square "
                       "brackets may be absent and stand in any order.\n\n";
    for (const detail::command_row &row : detail::commandRows()) {
        text += "## `" + std::string(row.grammar) + "`\n\n" + std::string(row.help) + ".\n\n    " + std::string(row.example) + "\n\n";
    }
    text += "## Changes\n\nA line that begins with `set` or `replace` is a change. `preview` before it shows the difference and writes nothing; "
            "`from generation N` at its end makes it a conflict if the object has another generation by then. A change is answered `accepted` once the "
            "platform has it; the tool then asks `show in-force` until it is in force in every data centre, or until `--wait_s` has passed.\n\n"
            "## Placeholders\n\n| placeholder | what may stand there |\n| --- | --- |\n";
    for (const detail::placeholder_row &row : detail::placeholderRows()) {
        text += "| " + std::string(row.name) + " | " + std::string(row.allowed) + " |\n";
    }
    text += "\n## Statuses and exit codes\n\n| exit code | status | meaning |\n| --- | --- | --- |\n";
    for (const status_row &row : statusRows()) {
        text += "| " + std::to_string(static_cast<int>(row.status)) + " | `" + std::string(row.name) + "` | " + std::string(row.help) + " |\n";
    }
    return text;
}

} // namespace cicadamux
