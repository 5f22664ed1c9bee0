/** @file store_answer_func.h Decodes the platform's answers and checks that they match the request. */

#pragma once

#include "store/store_type.h"

#include <string_view>

namespace cicadamux
{

/** Decodes the answer to a get; `bad_answer` if it holds another object. */
store_result<stored_object> readObjectAnswer(unsigned status, std::string_view body, std::string_view kind, std::string_view name);

/** Decodes the answer to a conditional write; `bad_answer` unless the new version is higher than `ifVersion`. */
store_result<std::uint64_t> readWriteAnswer(unsigned status, std::string_view body, std::uint64_t ifVersion);

/** Decodes the answer to a list; `bad_answer` if it holds an object of another kind. */
store_result<store_changes> readListAnswer(unsigned status, std::string_view body, std::string_view kind);

/** Decodes the answer to a watch; `bad_answer` also if its cursor is lower than the requested one, or equal to it despite changes. */
store_result<store_changes> readWatchAnswer(unsigned status, std::string_view body, std::string_view kind, std::uint64_t cursor);

} // namespace cicadamux
