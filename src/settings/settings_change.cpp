/** @file settings_change.cpp Compares two sets of settings. */

#include "settings/settings_func.h"

#include "settings/settings_table.h"

#include <algorithm>

namespace cicadamux
{

namespace
{
/** Compares one setting in both sets. */
struct value_comparer {
    daemon_settings &before;
    daemon_settings &after;

    template<typename Value>
    bool operator()(detail::setting_accessor<Value> access) const
    {
        return access(before) == access(after);
    }
};

/** Copies one setting. */
struct value_copier {
    daemon_settings &from;
    daemon_settings &to;

    template<typename Value>
    void operator()(detail::setting_accessor<Value> access) const
    {
        access(to) = access(from);
    }
};
} // namespace

std::vector<setting_change> compareSettings(daemon_settings before, daemon_settings after)
{
    std::vector<setting_change> changes;
    for (const detail::setting_row &row : detail::settingRows()) {
        if (!std::visit(value_comparer{before, after}, row.target)) {
            changes.push_back({row.path, row.reload == setting_reload::live});
        }
    }
    return changes;
}

daemon_settings withLiveSettings(daemon_settings current, daemon_settings fresh)
{
    for (const detail::setting_row &row : detail::settingRows()) {
        if (row.reload == setting_reload::live) {
            std::visit(value_copier{fresh, current}, row.target);
        }
    }
    return current;
}

} // namespace cicadamux
