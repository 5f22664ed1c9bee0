/** @file in_force.cpp Determines from the daemons' reports in which data centres an object is in force. */

#include "operator/query_run_func.h"

#include "policy/policy_type.h"

#include <algorithm>
#include <map>
#include <set>

namespace cicadamux::detail
{

namespace
{
using object_generations = std::map<std::string, std::uint64_t>; // By the name that operators use: a service or `ranks`.

constexpr std::size_t maxListedMissing = 100; ///< Silent daemons that are listed in the answer.

/** Report of one daemon. */
struct member_report {
    std::string dataCenter;
    std::optional<object_generations> generations; ///< Nothing if the daemon didn't answer.
};

/** Numbers of daemons of one data centre by their report on one object. */
struct data_center_count {
    std::int64_t inForce = 0; ///< Have the generation, or a higher one.
    std::int64_t behind = 0; ///< Have a lower generation, or none.
    std::int64_t silent = 0; ///< Didn't answer.

    std::string state() const
    {
        if (inForce + behind == 0) {
            return "unreachable";
        }
        return behind + silent == 0 ? "in force" : "not yet";
    }
};

object_generations readGenerations(const query_result &answer)
{
    object_generations read;
    for (const query_table &table : answer.tables) {
        for (const query_row &row : table.rows) {
            const auto *name = row.empty() ? nullptr : std::get_if<std::string>(row.data());
            const auto *generation = row.size() < 2 ? nullptr : std::get_if<std::int64_t>(&row[1]);
            if (name != nullptr && generation != nullptr && *generation > 0) {
                read[*name] = static_cast<std::uint64_t>(*generation);
            }
        }
    }
    return read;
}

/** Collects the reports and counts them by data centre. */
class in_force_count
{
public:
    in_force_count(show_in_force_command query, const operator_hooks &hooks)
        : m_query(std::move(query))
        , m_localGenerations(readGenerations(localInForce(m_query, hooks)))
    {
        for (std::string &dataCenter : hooks.dataCenters()) {
            m_dataCenters.insert(std::move(dataCenter));
        }
    }

    /** Counts a daemon whose configuration digest equals this daemon's. */
    void addEqual(const member_record &member)
    {
        add(member.dataCenter, m_localGenerations);
    }

    void addAnswer(const member_answer &answer)
    {
        add(answer.member.dataCenter, readGenerations(answer.result));
    }

    void addMissing(const missing_answer &entry)
    {
        m_reports.push_back({entry.dataCenter, std::nullopt});
        m_dataCenters.insert(entry.dataCenter);
        if (m_missing.size() < maxListedMissing) {
            m_missing.push_back(entry);
        }
    }

    query_result result() const
    {
        const object_generations targets = findTargets();
        if (targets.empty()) {
            return makeResult(query_status::not_found, "no daemon that answered has " + (m_query.object.empty() ? "any policy" : m_query.object));
        }
        query_table table{"in force", {"object", "generation", "data_center", "in_force", "behind", "silent", "state"}, {}};
        std::set<std::string> notYet;
        std::set<std::string> unreachable;
        for (const auto &[object, generation] : targets) {
            for (const std::string &dataCenter : m_dataCenters) {
                const data_center_count count = countOf(object, generation, dataCenter);
                const std::string state = count.state();
                table.rows.push_back({object, static_cast<std::int64_t>(generation), dataCenter, count.inForce, count.behind, count.silent, state});
                if (state != "in force") {
                    (state == "unreachable" ? unreachable : notYet).insert(dataCenter);
                }
            }
        }
        return summarize(std::move(table), notYet, unreachable);
    }

private:
    void add(const std::string &dataCenter, object_generations generations)
    {
        m_reports.push_back({dataCenter, std::move(generations)});
        m_dataCenters.insert(dataCenter);
    }

    /** @return The generation to count for each object: the requested one, else the highest reported one. */
    object_generations findTargets() const
    {
        object_generations targets;
        for (const member_report &report : m_reports) {
            for (const auto &[object, generation] : report.generations.value_or(object_generations())) {
                targets[object] = std::max(targets[object], generation);
            }
        }
        if (!m_query.object.empty() && m_query.generation != 0) {
            return {{m_query.object, m_query.generation}};
        }
        return targets;
    }

    data_center_count countOf(const std::string &object, std::uint64_t generation, const std::string &dataCenter) const
    {
        data_center_count count;
        for (const member_report &report : m_reports) {
            if (report.dataCenter != dataCenter) {
                continue;
            }
            if (!report.generations) {
                ++count.silent;
                continue;
            }
            const auto found = report.generations->find(object);
            const bool isInForce = found != report.generations->end() && found->second >= generation;
            ++(isInForce ? count.inForce : count.behind);
        }
        return count;
    }

    query_result summarize(query_table table, const std::set<std::string> &notYet, const std::set<std::string> &unreachable) const
    {
        query_result result = makeResult(query_status::ok, "in force in every data centre");
        if (!notYet.empty() || !unreachable.empty()) {
            result.status = query_status::accepted;
            result.summary = "not in force everywhere" + listNames("; not yet in", notYet) + listNames("; unreachable:", unreachable);
        }
        result.missing = m_missing;
        for (const std::string &dataCenter : unreachable) {
            result.missing.push_back({"", dataCenter, "no daemon of it can be reached; nothing is known of it"});
        }
        result.tables.push_back(std::move(table));
        return result;
    }

    static std::string listNames(std::string_view title, const std::set<std::string> &names)
    {
        std::string text;
        for (const std::string &name : names) {
            text += (text.empty() ? std::string(title) : ",") + ' ' + name;
        }
        return text;
    }

    const show_in_force_command m_query;
    const object_generations m_localGenerations;
    std::set<std::string> m_dataCenters; ///< All known ones, reachable or not.
    std::vector<member_report> m_reports;
    std::vector<missing_answer> m_missing;
};
} // namespace

void fleetInForce(const show_in_force_command &query, query_run run)
{
    auto hooks = run.hooks;
    const std::uint64_t digest = hooks->configurationDigest();
    auto count = std::make_shared<in_force_count>(query, *hooks);
    const bool isDigestCurrent = hooks->configurationDigest() == digest; // If it changed meanwhile, an equal digest doesn't prove equal generations.
    std::vector<member_record> toAsk;
    for (member_record &member : membersOf(*hooks, {}, {})) {
        if (member.state == member_state::leaving) {
            continue;
        }
        if (isDigestCurrent && member.configurationDigest == digest && member.state == member_state::alive) {
            count->addEqual(member);
        } else {
            toAsk.push_back(std::move(member));
        }
    }
    const std::string line = std::string(localPrefix) + run.line;
    askFleet(hooks, std::move(toAsk), line, [count, run = std::move(run)](const std::vector<member_reply> &replies) {
        const fleet_answers fleet = parseReplies(replies);
        std::ranges::for_each(fleet.answers, [&](const member_answer &answer) {
            count->addAnswer(answer);
        });
        std::ranges::for_each(fleet.missing, [&](const missing_answer &entry) {
            count->addMissing(entry);
        });
        run.finish(count->result());
    });
}

} // namespace cicadamux::detail
