/** @file error_type.h The base of every error that the project throws. */

#pragma once

#include <stdexcept>
#include <string>

namespace cicadamux
{

/**
 * Base of all errors. Each subject derives its own type with the data that a caller needs to react;
 * what() is for people only.
 */
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** An invariant of the program doesn't hold; see core/invariant_func.h. */
class invariant_error : public error
{
public:
    using error::error;
};

} // namespace cicadamux
