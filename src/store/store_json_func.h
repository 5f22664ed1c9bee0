/** @file store_json_func.h Takes JSON texts apart without reading the values in them, which any writer of the store may have written. */

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadamux
{

/** @return Whether the text is one value, as far as its quotes and brackets tell. */
bool isWholeJson(std::string_view text);

/** @return The text of an object's member; nothing if there is none or the text is no object. */
std::optional<std::string_view> findJsonMember(std::string_view object, std::string_view name);

/** @return The texts of an array's elements; nothing if the text is no array. */
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view array);

/** @return The value without insignificant white space; unchanged if it can't be read, for example because it is nested too deeply. */
std::string normalizeJson(std::string_view value);

} // namespace cicadamux
