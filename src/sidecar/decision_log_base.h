/** @file decision_log_base.h Rate limit for the log lines on individual requests. */

#pragma once

#include "core/clock_type.h"
#include "core/log_func.h"

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace cicadamux
{

/** Rate limits; lines above them are counted, not written. */
struct decision_log_settings {
    double failuresPerSecond = 60; ///< Lines on requests that failed.
    double successesPerSecond = 5; ///< Lines on answered requests; a sample.
    double burst = 3; ///< Bucket size, in seconds of the rate.
};

/** Limits only lines on requests; changes of hosts, links and configuration are rare and not limited. Not thread-safe. */
class decision_log
{
public:
    explicit decision_log(const decision_log_settings &settings);

    /** @return Whether a line on a failed request may be written now; otherwise it is counted as dropped. */
    bool mayLogFailure();

    /** @return Whether a line on an answered request may be written now; otherwise it is counted as dropped. */
    bool mayLogSuccess();

    /** Logs how many lines were dropped since the last report, once a failure was dropped; called about once a second. */
    void reportDropped();

private:
    struct token_bucket {
        double perSecond = 0;
        double tokens = 0;
        clock_ms refilledAt;
        std::uint64_t dropped = 0;
    };

    bool takeToken(token_bucket &bucket) const;

    decision_log_settings m_settings;
    token_bucket m_failures;
    token_bucket m_successes;
};

} // namespace cicadamux
