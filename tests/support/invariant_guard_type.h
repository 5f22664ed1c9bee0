/** @file invariant_guard_type.h Makes invariant violations fail the running test. */

#pragma once

#include "core/error_type.h"
#include "core/invariant_func.h"

#include <string>

namespace cicadamux::test
{

/** While an object of this class exists, an invariant violation throws invariant_error on the thread that detects it. */
class invariant_guard
{
public:
    invariant_guard()
    {
        setInvariantHook([](invariant which, std::string_view detail) {
            throw invariant_error(std::string(toString(which)) + ": " + std::string(detail));
        });
    }

    ~invariant_guard()
    {
        setInvariantHook({});
    }

    invariant_guard(const invariant_guard &) = delete;
    invariant_guard &operator=(const invariant_guard &) = delete;
};

} // namespace cicadamux::test
