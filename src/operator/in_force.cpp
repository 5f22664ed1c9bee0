/** @file in_force.cpp Counts in which data centres an object is in force, from what the daemons report. */

#include "operator/query_run_func.h"

#include "policy/policy_type.h"

#include <algorithm>
#include <map>
#include <set>

namespace cicadamux::detail
{

namespace
{
using object_generations = std::map<std::string, std::uint64_t>; // By the name that operators use.

constexpr std::size_t maxNamedMissing = 100; ///< Silent daemons that are named.

/** What one daemon reports; nothing if it is silent. */
struct member_report {
    std::string dataCenter;
    std::optional<object_generations> generations;
};

/** Daemons of one data centre, by what they report on one object. */
struct data_center_count {
    std::int64_t inForce = 0;
    std::int64_t behind = 0;
    std::int64_t silent = 0;

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

/** Collects reports and counts them. */
class in_force_count
{
public:
    in_force_count(show_in_force_command wanted, const operator_hooks &hooks)
        : m_wanted(std::move(wanted))
        , m_own(readGenerations(localInForce(m_wanted, hooks)))
    {
        for (std::string &dataCenter : hooks.dataCenters()) {
            m_known.insert(std::move(dataCenter));
        }
    }

    /** Counts a daemon whose digest says that its configuration equals this daemon's. */
    void addEqual(const member_record &member)
    {
        add(member.dataCenter, m_own);
    }

    void addAnswer(const member_answer &answer)
    {
        add(answer.member.dataCenter, readGenerations(answer.result));
    }

    void addMissing(const missing_part &part)
    {
        m_reports.push_back({part.dataCenter, std::nullopt});
        m_known.insert(part.dataCenter);
        if (m_missing.size() < maxNamedMissing) {
            m_missing.push_back(part);
        }
    }

    query_result result() const
    {
        const object_generations targets = findTargets();
        if (targets.empty()) {
            return makeAnswer(query_status::not_found, "no daemon that answered has " + (m_wanted.object.empty() ? "any policy" : m_wanted.object));
        }
        query_table table{"in force", {"object", "generation", "data_center", "in_force", "behind", "silent", "state"}, {}};
        std::set<std::string> lacking;
        std::set<std::string> unreachable;
        for (const auto &[object, generation] : targets) {
            for (const std::string &dataCenter : m_known) {
                const data_center_count count = countOf(object, generation, dataCenter);
                const std::string state = count.state();
                table.rows.push_back({object, static_cast<std::int64_t>(generation), dataCenter, count.inForce, count.behind, count.silent, state});
                if (state != "in force") {
                    (state == "unreachable" ? unreachable : lacking).insert(dataCenter);
                }
            }
        }
        return describe(std::move(table), lacking, unreachable);
    }

private:
    void add(const std::string &dataCenter, object_generations generations)
    {
        m_reports.push_back({dataCenter, std::move(generations)});
        m_known.insert(dataCenter);
    }

    /** @return For each object the generation to count: the one wanted, else the highest that is reported. */
    object_generations findTargets() const
    {
        object_generations targets;
        for (const member_report &report : m_reports) {
            for (const auto &[object, generation] : report.generations.value_or(object_generations())) {
                targets[object] = std::max(targets[object], generation);
            }
        }
        if (!m_wanted.object.empty() && m_wanted.generation != 0) {
            return {{m_wanted.object, m_wanted.generation}};
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
            const bool holds = found != report.generations->end() && found->second >= generation;
            ++(holds ? count.inForce : count.behind);
        }
        return count;
    }

    query_result describe(query_table table, const std::set<std::string> &lacking, const std::set<std::string> &unreachable) const
    {
        query_result result = makeAnswer(query_status::ok, "in force in every data centre");
        if (!lacking.empty() || !unreachable.empty()) {
            result.status = query_status::accepted;
            result.summary = "not in force everywhere" + listNames("; not yet in", lacking) + listNames("; unreachable:", unreachable);
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

    const show_in_force_command m_wanted;
    const object_generations m_own;
    std::set<std::string> m_known; ///< Data centres, reachable or not.
    std::vector<member_report> m_reports;
    std::vector<missing_part> m_missing;
};
} // namespace

void fleetInForce(const show_in_force_command &wanted, query_run run)
{
    auto hooks = run.hooks;
    const std::uint64_t digest = hooks->configurationDigest();
    auto count = std::make_shared<in_force_count>(wanted, *hooks);
    const bool digestHolds = hooks->configurationDigest() == digest; // Else a change came in between, and the digest proves nothing.
    std::vector<member_record> toAsk;
    for (member_record &member : membersOf(*hooks, {}, {})) {
        if (member.state == member_state::leaving) {
            continue;
        }
        if (digestHolds && member.configurationDigest == digest && member.state == member_state::alive) {
            count->addEqual(member);
        } else {
            toAsk.push_back(std::move(member));
        }
    }
    const std::string line = std::string(localPrefix) + run.line;
    askFleet(hooks, std::move(toAsk), line, [count, run = std::move(run)](const std::vector<asked_part> &parts) {
        const fleet_answers fleet = readParts(parts);
        std::ranges::for_each(fleet.answers, [&](const member_answer &answer) {
            count->addAnswer(answer);
        });
        std::ranges::for_each(fleet.missing, [&](const missing_part &part) {
            count->addMissing(part);
        });
        run.finish(count->result());
    });
}

} // namespace cicadamux::detail
