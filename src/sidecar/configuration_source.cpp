/** @file configuration_source.cpp Brings the newest configuration into force: from the store, or else from other hosts. */

#include "sidecar/configuration_source_base.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms watchWait{30'000}; ///< The longest that the platform allows; each watch is paid for, and a silent connection is noticed by itself.
constexpr clock_ms askAfter{250}; ///< Time for the own watch to bring what another host has; well under the time in which a configuration has to be in force.
} // namespace

configuration_source::configuration_source(sidecar_core &core, object_store &store, std::function<void()> changed)
    : m_core(core)
    , m_changed(std::move(changed))
{
    object_mirror_settings settings;
    settings.kind = core.adapter.configurationKind;
    settings.wait = watchWait;
    auto mirrored = [this](const std::map<std::string, stored_object> &objects) {
        const auto found = objects.find(m_core.adapter.configurationName);
        if (found != objects.end()) {
            take(found->second.value, "store");
        }
    };
    m_mirror = std::make_shared<object_mirror>(core.context, store, settings, std::move(mirrored), threadRandom);
}

void configuration_source::start()
{
    m_mirror->start();
}

void configuration_source::stop()
{
    m_mirror->stop();
}

void configuration_source::offered(const configuration_offer &offer)
{
    take(offer.text, "host");
}

void configuration_source::heard(std::uint64_t version, const std::string &host)
{
    if (version > m_heardVersion) {
        m_heardVersion = version;
        m_heardFrom = host;
        m_heardAt = steadyNow();
    }
}

std::string configuration_source::hostToAsk(clock_ms now)
{
    if (m_heardVersion <= m_core.routes.version() || now - m_heardAt < askAfter) {
        return {};
    }
    m_heardAt = now; // Asked again after the same time.
    return m_heardFrom;
}

const configuration_offer &configuration_source::inForce() const
{
    return m_inForce;
}

void configuration_source::take(const std::string &text, std::string_view source)
{
    try {
        auto configuration = std::make_shared<route_configuration>(m_core.adapter.readConfiguration(text));
        const std::uint64_t before = m_core.routes.version();
        const std::uint64_t version = configuration->version;
        const std::size_t routes = configuration->routes.size();
        if (!m_core.routes.replace(std::move(configuration))) {
            return;
        }
        m_inForce = {version, text};
        logEvent(log_level::info,
                 "configuration_in_force",
                 {{"version", version}, {"before", before}, {"routes", static_cast<std::uint64_t>(routes)}, {"source", source}});
        m_changed();
    } catch (const decode_error &unreadable) {
        logEvent(log_level::error, "configuration_unreadable", {{"source", source}, {"problem", unreadable.what()}});
    }
}

} // namespace cicadamux
