/** @file configuration_source_base.h Brings the newest configuration into force: from the store, or else from other hosts. */

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
    /** @param changed Called after a configuration has come into force. */
    configuration_source(sidecar_core &core, object_store &store, std::function<void()> changed);

    void start();
    void stop();

    /** Takes in what another host sent. */
    void offered(const configuration_offer &offer);

    /** Notes that a host has a version in force. */
    void heard(std::uint64_t version, const std::string &host);

    /** @return A host to ask for the configuration now, since the store hasn't brought it in time; empty if none. */
    std::string hostToAsk(clock_ms now);

    /** @return The configuration in force as the store holds it; version 0 if there is none. */
    const configuration_offer &inForce() const;

private:
    void take(const std::string &text, std::string_view source);

    sidecar_core &m_core;
    std::function<void()> m_changed;
    std::shared_ptr<object_mirror> m_mirror;
    configuration_offer m_inForce;
    std::uint64_t m_heardVersion = 0; ///< Highest that another host has in force.
    std::string m_heardFrom;
    clock_ms m_heardAt;
};

} // namespace cicadamux
