/** @file two_service_fleet.cpp A test fleet with two services, shared by process tests and measurements. */

#include "support/two_service_fleet_func.h"

#include "support/http_client_base.h"
#include "support/payload_func.h"

#include <boost/json/parse.hpp>

#include <charconv>
#include <thread>

namespace cicadamux::test
{

namespace
{
constexpr clock_ms callTimeout{10'000};
constexpr std::int64_t checkPeriod = 10; // Milliseconds.

constexpr const char *rankTable = R"({"generation":1,"operation_id":"ranks-1","ranks":[
    {"name":"urgent","protected":true,"effort":100},
    {"name":"browse","protected":false,"effort":10}]})";

constexpr const char *pitchdesk = R"({"generation":1,"operation_id":"pitchdesk-1","service":"pitchdesk","operations":[
    {"name":"hold","class":"pitch-hold","rank":"urgent","passes_through":[],"deadline_ms":2000,"deadline_kind":"strict","retries":2,"at_most_once":true},
    {"name":"pay","class":"fee-payment","rank":"urgent","passes_through":["feebox"],"deadline_ms":2000,"deadline_kind":"strict","retries":2,"at_most_once":false},
    {"name":"show","class":"browse","rank":"browse","passes_through":[],"deadline_ms":2000,"deadline_kind":"strict","retries":0,"at_most_once":false}]})";

constexpr const char *feebox = R"({"generation":1,"operation_id":"feebox-1","service":"feebox","operations":[
    {"name":"charge","class":"fee-payment","rank":"urgent","passes_through":[],"deadline_ms":2000,"deadline_kind":"strict","retries":2,"at_most_once":false}]})";

std::string getBody(const std::string &address, const std::string &target)
{
    http_message request;
    request.method = "GET";
    request.target = target;
    return callHttp(address, request, callTimeout).message.body;
}

double sumOfSamples(std::string_view exposition, std::string_view name)
{
    double sum = 0;
    while (!exposition.empty()) {
        const std::size_t end = std::min(exposition.find('\n'), exposition.size());
        const std::string_view line = exposition.substr(0, end);
        exposition.remove_prefix(std::min(end + 1, exposition.size()));
        if (line.starts_with(name)) {
            const std::string_view number = line.substr(line.rfind(' ') + 1);
            double value = 0;
            std::from_chars(number.data(), number.data() + number.size(), value);
            sum += value;
        }
    }
    return sum;
}
} // namespace

fleet_options twoServiceOptions()
{
    fleet_options options;
    fleet_service desk;
    desk.name = "pitchdesk";
    desk.dataCenters = {"tbs-1", "tbs-2"};
    desk.calls = R"({"pay":[["feebox","charge"]]})";
    fleet_service box;
    box.name = "feebox";
    box.dataCenters = {"tbs-1", "tbs-2"};
    options.services = {desk, box};
    options.rankTable = rankTable;
    options.policies = {pitchdesk, feebox};
    return options;
}

http_reply callWith(const std::string &address, std::string_view service, std::string_view operation, std::string_view id, const call_extras &extras)
{
    http_message request;
    request.method = "POST";
    request.target = "/";
    request.headers = {{"cicadamux-service", std::string(service)}, {"cicadamux-operation", std::string(operation)}};
    const std::vector<http_field> optional
        = {{"cicadamux-ticket", extras.ticket}, {"cicadamux-context", extras.context}, {"cicadamux-deadline-ms", extras.deadline}};
    for (const http_field &field : optional) {
        if (!field.value.empty()) {
            request.headers.push_back(field);
        }
    }
    request.body = formatPayload(id);
    return callHttp(address, request, callTimeout);
}

std::string takeTicket(const std::string &address, std::string_view service, std::string_view operation)
{
    http_message request;
    request.method = "POST";
    request.target = "/cicadamux/ticket";
    request.headers = {{"cicadamux-service", std::string(service)}, {"cicadamux-operation", std::string(operation)}};
    const http_reply reply = callHttp(address, request, callTimeout);
    boost::json::error_code failure;
    const auto body = boost::json::parse(reply.message.body, failure);
    if (failure || !body.is_object() || !body.as_object().contains("ticket")) {
        return {};
    }
    return std::string(body.as_object().at("ticket").as_string());
}

std::string outcomeIn(const http_reply &reply)
{
    if (reply.failure != http_failure::none) {
        return std::string(toString(reply.failure));
    }
    std::string outcome(headerOf(reply.message, "cicadamux-outcome"));
    const std::string_view reason = headerOf(reply.message, "cicadamux-reason");
    return reason.empty() ? outcome : outcome + ' ' + std::string(reason);
}

double metricAt(const std::string &admin, std::string_view name)
{
    return sumOfSamples(getBody(admin, "/metrics"), "cicadamux_" + std::string(name));
}

double metricSum(const test_fleet &fleet, std::string_view name)
{
    double sum = 0;
    for (const fleet_host &host : fleet.hosts()) {
        sum += metricAt(host.admin, name);
    }
    return sum;
}

double violations(const test_fleet &fleet)
{
    return metricSum(fleet, "violations_");
}

std::int64_t runsOf(const std::string &backend, std::string_view operation, std::string_view id)
{
    boost::json::error_code failure;
    const auto runs = boost::json::parse(getBody(backend, "/control/runs?operation=" + std::string(operation)), failure);
    if (failure || !runs.is_object()) {
        return -1;
    }
    const auto *count = runs.as_object().if_contains(id);
    return count == nullptr ? 0 : count->to_number<std::int64_t>();
}

bool allAnswer(const test_fleet &fleet, std::string_view operation)
{
    static int probes = 0;
    for (const fleet_host &host : fleet.hosts()) {
        if (outcomeIn(callWith(host.edge, "pitchdesk", operation, "probe-" + std::to_string(++probes), {})) != "answered") {
            return false;
        }
    }
    return true;
}

bool waitUntil(const std::function<bool()> &condition, clock_ms timeout)
{
    const clock_ms end = steadyNow() + timeout;
    while (!condition()) {
        if (steadyNow() >= end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(checkPeriod));
    }
    return true;
}

} // namespace cicadamux::test
