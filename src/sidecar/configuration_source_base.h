/** @file configuration_source_base.h Applies the newest configuration from the store, or from another host if the store is late. */

#pragma once

#include "link/link_type.h"
#include "sidecar/sidecar_core_type.h"
#include "store/object_mirror_base.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cicadamux
{

/** Used by one thread. */
class configuration_source
{
public:
    /** @param changed Called after a new configuration has been applied. */
    configuration_source(sidecar_core &core, object_store &store, std::function<void()> changed);

    void start();
    /** Lists again at once, after the store was replaced. */
    void refresh();

    void stop();

    /** Applies a configuration that another host sent, if it is newer. */
    void receiveOffer(const configuration_offer &offer);

    /** Records the version that another host has in force. */
    void noteRemoteVersion(std::uint64_t version, const std::string &host);

    /** @return Host to ask for a newer configuration that the store has not delivered in time; empty if there is none. */
    std::string hostToAsk(clock_ms now);

    /** @return The configuration in force, as stored; version 0 if there is none. */
    const configuration_offer &inForce() const;

private:
    void apply(const std::string &text, std::string_view source);

    sidecar_core &m_core;
    std::function<void()> m_changed;
    std::shared_ptr<object_mirror> m_mirror;
    configuration_offer m_inForce;
    std::uint64_t m_remoteVersion = 0; ///< Highest version that another host has in force.
    std::string m_remoteHost;
    clock_ms m_remoteNotedAt;
};

} // namespace cicadamux
