/** @file daemon_core.cpp Construction of the state shared by the components of a daemon. */

#include "daemon/daemon_core_type.h"

#include "daemon/settings_parts_func.h"

namespace cicadamux
{

daemon_core::daemon_core(boost::asio::io_context &ioContext, const daemon_settings &daemonSettings, incarnation_id incarnationId)
    : context(ioContext)
    , settings(daemonSettings)
    , incarnation(incarnationId)
    , routes(routerSettingsOf(daemonSettings), threadRandom)
    , tickets(daemonSettings.host, incarnationId, daemonSettings.ticketCapacity)
    , peers(daemonSettings.maxBodyBytes + messageOverhead)
{
}

refusal_detail makeRefusalDetail(const daemon_core &core, outcome_reason reason, std::string_view service, std::string_view operation)
{
    refusal_detail detail;
    detail.reason = reason;
    detail.service = service;
    detail.operation = operation;
    detail.host = core.settings.host;
    detail.dataCenter = core.settings.dataCenter;
    return detail;
}

} // namespace cicadamux
