/** @file configuration_source.cpp Applies the newest configuration from the store, or from another host if the store is late. */

#include "sidecar/configuration_source_base.h"

namespace cicadamux
{

namespace
{
constexpr clock_ms watchTimeout{30'000}; ///< The platform's maximum, since each watch is charged; a silent connection is detected separately.
/** Time for this host's watch to deliver a version that another host has; well below the time limit for applying a configuration. */
constexpr clock_ms storeLeadTime{250};
} // namespace

configuration_source::configuration_source(sidecar_core &core, object_store &store, std::function<void()> changed)
    : m_core(core)
    , m_changed(std::move(changed))
{
    object_mirror_settings settings;
    settings.kind = core.adapter.configurationKind;
    settings.wait = watchTimeout;
    auto mirrored = [this](const std::map<std::string, stored_object> &objects) {
        const auto found = objects.find(m_core.adapter.configurationName);
        if (found != objects.end()) {
            apply(found->second.value, "store");
        }
    };
    m_mirror = std::make_shared<object_mirror>(core.context, store, settings, std::move(mirrored), threadRandom);
}

void configuration_source::start()
{
    m_mirror->start();
}

void configuration_source::refresh()
{
    m_mirror->refresh();
}

void configuration_source::stop()
{
    m_mirror->stop();
}

void configuration_source::receiveOffer(const configuration_offer &offer)
{
    apply(offer.text, "host");
}

void configuration_source::noteRemoteVersion(std::uint64_t version, const std::string &host)
{
    if (version > m_remoteVersion) {
        m_remoteVersion = version;
        m_remoteHost = host;
        m_remoteNotedAt = steadyNow();
    }
}

std::string configuration_source::hostToAsk(clock_ms now)
{
    if (m_remoteVersion <= m_core.routes.version() || now - m_remoteNotedAt < storeLeadTime) {
        return {};
    }
    m_remoteNotedAt = now; // Restarts the delay before the next ask.
    return m_remoteHost;
}

const configuration_offer &configuration_source::inForce() const
{
    return m_inForce;
}

void configuration_source::apply(const std::string &text, std::string_view source)
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
