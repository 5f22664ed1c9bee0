/** @file measure_deployment.cpp The users' two deployments, scaled down to one machine, and a chain of services. */

#include "bench/measure_deployment.h"

#include "core/error_type.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace cicadamux::test
{

namespace
{
constexpr double serviceMs = 50; ///< Mean processing time of one call; long enough that slots run out before the machine's processors.
constexpr double slowServiceMs = 150; ///< Processing time of agenda-taller, which would otherwise take most of the load.
constexpr std::uint32_t layerRetries = 2; ///< Retries of a backend server's calls to other services.
constexpr std::uint32_t clientRetries = 2;

std::string readFile(const std::filesystem::path &file)
{
    std::ifstream stream(file);
    if (!stream) {
        throw error("can't read " + file.string());
    }
    return {std::istreambuf_iterator<char>(stream), {}};
}

void readPolicies(const std::filesystem::path &folder, fleet_options &fleet)
{
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().filename() == "rank_table.json") {
            fleet.rankTable = readFile(entry.path());
        } else {
            fleet.policies.push_back(readFile(entry.path()));
        }
    }
}

fleet_service
makeService(const std::string &name, std::size_t upstreams, std::uint32_t slots, std::uint32_t connections, double scale, const std::string &calls)
{
    fleet_service service;
    service.name = name;
    constexpr std::size_t dataCenters = 3;
    for (std::size_t number = 0; number < upstreams; ++number) {
        service.dataCenters.push_back("dc-" + std::to_string(number % dataCenters + 1));
    }
    service.slots = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(slots * scale)));
    service.connections = connections;
    service.serviceMs = serviceMs;
    service.calls = calls;
    service.retries = layerRetries;
    return service;
}

deployment_request makeRequest(const std::string &service, const std::string &operation, const std::string &label, double perSecond, std::int64_t deadline)
{
    deployment_request request;
    request.operation = {service, operation, label, perSecond, {deadline}, clientRetries, false};
    return request;
}

deployment_request makeProtected(const std::string &service, const std::string &operation, const std::string &label, double perSecond, bool atMostOnce)
{
    constexpr std::int64_t deadline = 2'000;
    deployment_request request = makeRequest(service, operation, label, perSecond, deadline);
    request.operation.atMostOnce = atMostOnce;
    request.isProtected = true;
    return request;
}

deployment_request addDownstreamCalls(deployment_request request)
{
    request.callsDownstream = true;
    return request;
}

deployment_request makeLeastUrgent(const std::string &service, const std::string &operation, const std::string &label, double perSecond)
{
    constexpr std::int64_t deadline = 1'000;
    deployment_request request = makeRequest(service, operation, label, perSecond, deadline);
    request.isLeastUrgent = true;
    return request;
}
} // namespace

deployment makeStallgrid(double scale, const std::string &examples)
{
    deployment setup;
    setup.name = "stallgrid";
    setup.scale = scale;
    setup.downstreamService = "feebox";
    readPolicies(std::filesystem::path(examples) / "stallgrid", setup.fleet);
    setup.fleet.services = {makeService("mapview", 4, 40, 330, scale, R"({"browse":[["stallfind","search"],["pitchdesk","availability"]]})"),
                            makeService("pitchdesk", 3, 50, 400, scale, R"({"hold":[["feebox","fee-table"]],"availability":[["feebox","fee-table"]]})"),
                            makeService("stallfind", 3, 15, 180, scale, "{}"),
                            makeService("feebox", 3, 50, 400, scale, "{}")};
    // Requests per second at full size, 90% of what the slots allow. A slot is in use while its call waits for calls to other services:
    // browse 206 ms on 160 slots, hold and availability 102 ms on 150, search 50 ms on 45, fee table and pay 50 ms on 150.
    constexpr std::int64_t searchDeadline = 1'000;
    setup.requests = {addDownstreamCalls(makeProtected("pitchdesk", "hold", "pitch-hold", 620 * scale, true)),
                      makeProtected("feebox", "pay", "fee-payment", 1'380 * scale, true),
                      makeRequest("stallfind", "search", "stall-search", 110 * scale, searchDeadline),
                      addDownstreamCalls(makeLeastUrgent("mapview", "browse", "map-browsing", 700 * scale))};
    return setup;
}

deployment makeGuild(double scale, const std::string &examples)
{
    deployment setup;
    setup.name = "guild";
    setup.scale = scale;
    setup.downstreamService = "archivo-tol";
    readPolicies(std::filesystem::path(examples) / "guild", setup.fleet);
    setup.fleet.services = {makeService("compras", 4, 50, 420, scale, R"({"order":[["archivo-tol","tolerance"]],"catalogue":[["archivo-tol","tolerance"]]})"),
                            makeService("reclamos", 3, 20, 230, scale, R"({"warranty":[["archivo-tol","tolerance"]]})"),
                            makeService("agenda-taller", 3, 70, 530, scale, "{}"),
                            makeService("archivo-tol", 5, 40, 350, scale, "{}")};
    setup.fleet.services[2].serviceMs = slowServiceMs;
    // Requests per second at full size, 90% of what the slots allow. A slot is in use while its call waits for calls to other services:
    // warranty 102 ms on 60 slots, order and catalogue 102 ms on 200, reserve 150 ms on 210, tolerance 50 ms on 200.
    constexpr std::int64_t toleranceDeadline = 5'000;
    setup.requests = {addDownstreamCalls(makeProtected("reclamos", "warranty", "warranty-check", 530 * scale, false)),
                      addDownstreamCalls(makeProtected("compras", "order", "prism-order", 600 * scale, true)),
                      makeProtected("agenda-taller", "reserve", "bench-reservation", 1'260 * scale, true),
                      makeRequest("archivo-tol", "tolerance", "tolerance-lookup", 1'290 * scale, toleranceDeadline),
                      addDownstreamCalls(makeLeastUrgent("compras", "catalogue", "catalogue", 1'160 * scale))};
    return setup;
}

namespace
{
/** @param deeperLayers Names of the deeper layers, as the elements of a JSON list. */
std::string makeChainPolicy(const std::string &service, const std::string &deeperLayers)
{
    std::string policy = R"({"generation":1,"operation_id":"chain","service":")";
    policy += service;
    policy += R"(","operations":[{"name":"work","class":"work","rank":"urgent","passes_through":[)";
    policy += deeperLayers;
    policy += R"(],"deadline_ms":5000,"deadline_kind":"strict","retries":3,"at_most_once":false}]})";
    return policy;
}
} // namespace

deployment makeChain(std::size_t depth, std::uint32_t slots)
{
    deployment setup;
    setup.name = "chain";
    setup.downstreamService = "layer-" + std::to_string(depth);
    setup.fleet.rankTable = R"({"generation":1,"operation_id":"chain","ranks":[{"name":"urgent","protected":true,"effort":100}]})";
    constexpr double chainServiceMs = 2;
    for (std::size_t layer = 1; layer <= depth; ++layer) {
        const std::string name = "layer-" + std::to_string(layer);
        std::string deeperLayers;
        for (std::size_t deeper = layer + 1; deeper <= depth; ++deeper) {
            deeperLayers += deeperLayers.empty() ? "\"layer-" : ",\"layer-";
            deeperLayers += std::to_string(deeper);
            deeperLayers += "\"";
        }
        const std::string calls = layer == depth ? "{}" : R"({"work":[["layer-)" + std::to_string(layer + 1) + R"(","work"]]})";
        fleet_service service = makeService(name, 1, slots, 400, 1, calls);
        service.serviceMs = chainServiceMs;
        service.callTimeout = {5'000};
        setup.fleet.services.push_back(service);
        setup.fleet.policies.push_back(makeChainPolicy(name, deeperLayers));
    }
    constexpr double perSecond = 4;
    constexpr std::int64_t deadline = 5'000;
    deployment_request request = makeRequest("layer-1", "work", "work", perSecond, deadline);
    request.operation.retries = 0;
    setup.requests = {request};
    return setup;
}

void keepDownstreamCallers(deployment &setup)
{
    std::erase_if(setup.requests, [](const deployment_request &request) {
        return !request.callsDownstream;
    });
}

std::vector<load_operation> scaledMix(const deployment &setup, double factor)
{
    std::vector<load_operation> mix;
    for (const deployment_request &request : setup.requests) {
        mix.push_back(request.operation);
        mix.back().perSecond *= factor;
    }
    return mix;
}

} // namespace cicadamux::test
