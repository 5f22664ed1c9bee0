/**
 * @file policy_change.cpp Applies a change to an object in the platform: reads, edits, checks and writes it, and resolves conflicts.
 *
 * Each write is conditional on the version that was read and carries an operation id. A write whose answer was lost is
 * retried unchanged. If the first attempt took effect, the retry conflicts, and reading the object back finds the operation id;
 * otherwise, the retry takes effect or conflicts with another change. So a write takes effect at most once.
 */

#include "operator/query_run_func.h"

#include "core/log_func.h"
#include "operator/policy_edit_func.h"
#include "policy/policy_func.h"

#include <algorithm>

namespace cicadamux::detail
{

namespace
{
constexpr int maxAttempts = 6; ///< Failed calls to the platform after which the change is abandoned.
constexpr clock_ms retryDelay{250}; ///< Between two attempts.

class policy_change : public std::enable_shared_from_this<policy_change>
{
public:
    policy_change(change_command change, query_run run)
        : m_change(std::move(change))
        , m_run(std::move(run))
        , m_hooks(*m_run.hooks)
    {
    }

    void start()
    {
        try {
            m_target = targetOf(m_change);
        } catch (const policy_error &exception) {
            finishRefused(toChangeFaults(exception.faults()));
            return;
        }
        if (m_hooks.platform == nullptr) {
            finish(query_status::unreachable, "the daemon's settings name no platform; nothing was written");
            return;
        }
        read();
    }

private:
    void read()
    {
        m_hooks.platform->get(m_target.kind, m_target.name, [self = shared_from_this()](const store_result<stored_object> &result) {
            self->onRead(result);
        });
    }

    void onRead(const store_result<stored_object> &result)
    {
        if (result.failure != store_failure::none && result.failure != store_failure::not_found) {
            if (!scheduleRetry([this] {
                    read();
                })) {
                finish(query_status::unreachable, "the platform can't be read (" + std::string(toString(result.failure)) + "); nothing was written");
            }
            return;
        }
        m_version = result.failure == store_failure::none ? result.value.version : 0;
        m_base = objectInForce(*m_hooks.policies(), m_target);
        if (m_version != 0) {
            useStoredBase(result.value.value);
        }
        prepare();
    }

    /** Uses the platform's object as the base unless a newer one is in force: the platform may have returned an old copy. */
    void useStoredBase(const std::string &value)
    {
        try {
            policy_object stored = parseObject(m_target.kind, value);
            if (generationOf(stored) >= generationOf(m_base)) {
                m_base = std::move(stored);
            }
        } catch (const policy_error &) {
            return; // A malformed object can't be in force anywhere; the change is applied to the one in force.
        }
    }

    void prepare()
    {
        if (m_change.fromGeneration && *m_change.fromGeneration != generationOf(m_base)) {
            finishConflict(&m_base);
            return;
        }
        try {
            m_edited = applyEdit(m_change, m_base);
        } catch (const edit_target_error &exception) {
            finish(query_status::not_found, std::string(exception.what()) + "; nothing was written");
            return;
        } catch (const policy_error &exception) {
            finishRefused(toChangeFaults(exception.faults()));
            return;
        }
        setWriteIdentity(m_edited, generationOf(m_base) + 1, "op-" + toHex(m_hooks.random()) + toHex(m_hooks.random()));
        m_differences = compareObjects(generationOf(m_base) == 0 ? "" : formatObject(m_base), formatObject(m_edited));
        checkAndWrite();
    }

    void checkAndWrite()
    {
        const std::vector<change_fault> faults = checkObject(m_edited, *m_hooks.policies());
        if (!faults.empty()) {
            finishRefused(faults);
        } else if (m_differences.empty()) {
            finish(query_status::ok, "already so in generation " + std::to_string(generationOf(m_base)) + "; nothing was written");
        } else if (m_change.previewOnly) {
            query_result result = makeResult(query_status::ok, "a preview; nothing was written");
            result.base = named(m_base);
            finish(std::move(result));
        } else {
            m_attempts = 0;
            m_value = formatObject(m_edited);
            write();
        }
    }

    void write()
    {
        m_hooks.platform->put(m_target.kind, m_target.name, m_value, m_version, [self = shared_from_this()](const store_result<std::uint64_t> &result) {
            self->onWritten(result);
        });
    }

    void onWritten(const store_result<std::uint64_t> &result)
    {
        switch (result.failure) {
        case store_failure::none:
            finishAccepted();
            return;
        case store_failure::conflict:
        case store_failure::not_found:
            m_currentVersion = result.currentVersion;
            readBack();
            return;
        case store_failure::too_large:
            finishRefused({{"(object)", "too large", "at most " + std::to_string(maxObjectSize) + " bytes"}});
            return;
        case store_failure::timeout:
        case store_failure::connection_lost:
        case store_failure::bad_answer:
        case store_failure::cursor_too_old:
            m_writeMayHaveSucceeded = true;
            break;
        case store_failure::unreachable:
        case store_failure::over_budget:
        case store_failure::rejected:
            break; // The write had no effect.
        }
        if (!scheduleRetry([this] {
                write();
            })) {
            finishGivenUp(result.failure);
        }
    }

    /** After a conflict: finds out which write came first. */
    void readBack()
    {
        m_hooks.platform->get(m_target.kind, m_target.name, [self = shared_from_this()](const store_result<stored_object> &result) {
            self->onReadBack(result);
        });
    }

    void onReadBack(const store_result<stored_object> &result)
    {
        const bool isStale = result.failure == store_failure::none && result.value.version < m_currentVersion;
        const bool isAbsent = result.failure == store_failure::not_found;
        if (isStale || (result.failure != store_failure::none && !isAbsent)) {
            if (!scheduleRetry([this] {
                    readBack();
                })) {
                finishUnresolved(result.failure);
            }
            return;
        }
        const std::optional<policy_object> stored = isAbsent ? std::nullopt : parseStored(result.value.value);
        if (stored && operationIdOf(*stored) == operationIdOf(m_edited)) {
            finishAccepted();
        } else if (stored && isBaseOrOlder(*stored)) {
            m_version = result.value.version; // The first read returned an old copy; no other change was made.
            if (!scheduleRetry([this] {
                    write();
                })) {
                finishGivenUp(store_failure::conflict);
            }
        } else {
            finishOvertaken(stored ? &*stored : nullptr);
        }
    }

    std::optional<policy_object> parseStored(const std::string &value) const
    {
        try {
            return parseObject(m_target.kind, value);
        } catch (const policy_error &) {
            return std::nullopt;
        }
    }

    bool isBaseOrOlder(const policy_object &stored) const
    {
        const std::uint64_t generation = generationOf(stored);
        return generation < generationOf(m_base) || (generation == generationOf(m_base) && operationIdOf(stored) == operationIdOf(m_base));
    }

    /**
     * The stored object comes from another change. This change may have taken effect before it only if an answer was lost
     * and the other change was based on it.
     */
    void finishOvertaken(const policy_object *other)
    {
        const bool mayHaveBeenFirst = m_writeMayHaveSucceeded && (other == nullptr || generationOf(*other) > generationOf(m_edited));
        if (!mayHaveBeenFirst) {
            finishConflict(other);
            return;
        }
        query_result result = makeResult(query_status::unknown, "another change has been made since; this one may have been in force before it");
        result.change = named(m_edited);
        result.other = other == nullptr ? std::nullopt : std::optional(named(*other));
        finish(std::move(result));
    }

    void finishConflict(const policy_object *other)
    {
        query_result result = makeResult(query_status::conflict, "another change came first; nothing of this one was written");
        if (other != nullptr) {
            result.other = named(*other);
        }
        finish(std::move(result));
    }

    void finishGivenUp(store_failure last)
    {
        if (!m_writeMayHaveSucceeded) {
            finish(query_status::unreachable, "the platform can't be written (" + std::string(toString(last)) + "); nothing was written");
            return;
        }
        query_result result = makeResult(query_status::unknown, "the platform did not answer; the write may or may not take effect");
        result.change = named(m_edited);
        finish(std::move(result));
    }

    /** The last write conflicted, but the stored object can't be read to find out which write came first. */
    void finishUnresolved(store_failure last)
    {
        if (m_writeMayHaveSucceeded) {
            finishGivenUp(last);
        } else {
            finishConflict(nullptr);
        }
    }

    void finishAccepted()
    {
        const offer_result offered = m_hooks.applyConfiguration({m_target.kind, m_target.name, generationOf(m_edited), m_value});
        logEvent(log_level::info,
                 "change_accepted",
                 {{"kind", m_target.kind}, {"name", m_target.name}, {"generation", generationOf(m_edited)}, {"operation_id", operationIdOf(m_edited)}});
        query_result result = makeResult(query_status::accepted, "the platform has it as generation " + std::to_string(generationOf(m_edited)));
        if (offered == offer_result::conflicting || offered == offer_result::stale) {
            result.summary += "; a later change is already in force at this daemon";
        }
        result.change = named(m_edited);
        finish(std::move(result));
    }

    named_generation named(const policy_object &object) const
    {
        return {m_target.kind, m_target.name, generationOf(object), operationIdOf(object)};
    }

    /** @return False if maxAttempts is reached. */
    template<typename Action>
    bool scheduleRetry(Action action)
    {
        if (++m_attempts >= maxAttempts) {
            return false;
        }
        m_hooks.schedule(retryDelay, [self = shared_from_this(), action] {
            action();
        });
        return true;
    }

    void finishRefused(std::vector<change_fault> faults)
    {
        query_result result = makeResult(query_status::refused, "the change has faults; nothing was written");
        result.faults = std::move(faults);
        finish(std::move(result));
    }

    void finish(query_status status, std::string summary)
    {
        finish(makeResult(status, std::move(summary)));
    }

    void finish(query_result result)
    {
        result.differences = m_differences;
        m_run.finish(result);
    }

    const change_command m_change;
    const query_run m_run;
    const operator_hooks &m_hooks; ///< Kept alive by m_run.
    edited_object m_target;
    std::uint64_t m_version = 0; ///< Of the platform's object that the write replaces; 0: there is none.
    std::uint64_t m_currentVersion = 0; ///< Reported by the last conflict.
    policy_object m_base;
    policy_object m_edited;
    std::string m_value;
    std::vector<value_difference> m_differences;
    bool m_writeMayHaveSucceeded = false; ///< The answer to a write was lost.
    int m_attempts = 0;
};
} // namespace

void runChange(change_command change, query_run run)
{
    std::make_shared<policy_change>(std::move(change), std::move(run))->start();
}

} // namespace cicadamux::detail
