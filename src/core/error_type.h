/** @file error_type.h Base classes of all exceptions thrown by the program. */

#pragma once

#include <stdexcept>
#include <string>

namespace cicadamux
{

/**
 * Base class of all exceptions. Each module derives its own type, which carries the data a caller needs to
 * handle it; what() is meant for humans only.
 */
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/** An invariant of the program was violated; see core/invariant_func.h. */
class invariant_error : public error
{
public:
    using error::error;
};

} // namespace cicadamux
