/** @file load_base.h An open-loop load generator. */

#pragma once

#include "support/load_type.h"

#include <memory>

namespace cicadamux::test
{

/** Sends a mix of requests at fixed mean rates from its own threads, and checks that each answer echoes its request's id. */
class load_run
{
public:
    /** Starts sending immediately. */
    explicit load_run(load_options options);
    ~load_run();
    load_run(const load_run &) = delete;
    load_run &operator=(const load_run &) = delete;

    /** Blocks until all requests have been sent and have ended. */
    load_result finish();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace cicadamux::test
