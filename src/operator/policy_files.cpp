/** @file policy_files.cpp Checks policy files without a daemon. */

#include "operator/subcommands_func.h"

#include "policy/policy_func.h"
#include "store/store_type.h"

#include <boost/json.hpp>

#include <fstream>
#include <iterator>
#include <memory>
#include <ostream>

namespace cicadamux
{

namespace
{
/** Reads at most maxObjectSize + 1 bytes, so that the parser refuses a file that is too large. */
std::string readFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw policy_error({{"(file)", "can't be read", "a file that exists"}});
    }
    std::string text(maxObjectSize + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

bool isRankTable(std::string_view json)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(json, failure);
    return !failure && parsed.is_object() && parsed.get_object().contains("ranks");
}

void printFaults(const std::string &subject, std::span<const policy_fault> faults, std::ostream &out)
{
    for (const policy_fault &fault : faults) {
        out << subject << ": " << fault.path << ": " << fault.problem << " (allowed: " << fault.allowed << ")\n";
    }
}

/** Adds a file's object to a set. @throws policy_error */
std::shared_ptr<const policy_set> addFile(const std::string &file, const policy_set &set)
{
    const std::string text = readFile(file);
    if (isRankTable(text)) {
        return set.withRankTable(parseRankTable(text));
    }
    service_policy policy = parseServicePolicy(text);
    if (set.services().contains(policy.service)) {
        throw policy_error({{"service", "duplicate", "a service that no other file names"}});
    }
    return set.withService(std::move(policy));
}
} // namespace

query_status checkPolicyFiles(std::span<const std::string> files, std::ostream &out)
{
    auto set = std::make_shared<const policy_set>();
    bool areParsed = true;
    for (const std::string &file : files) {
        try {
            set = addFile(file, *set);
        } catch (const policy_error &exception) {
            areParsed = false;
            printFaults(file, exception.faults(), out);
        }
    }
    const auto faults = checkPolicySet(*set);
    printFaults("(all files together)", faults, out);
    if (!areParsed || !faults.empty()) {
        return query_status::refused;
    }
    out << files.size() << " files: ok\n";
    return query_status::ok;
}

} // namespace cicadamux
