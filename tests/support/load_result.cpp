/** @file load_result.cpp Aggregation of load results. */

#include "support/load_type.h"

#include <algorithm>

namespace cicadamux::test
{

void load_count::add(const load_count &other)
{
    tried += other.tried;
    good += other.good;
    late += other.late;
    failed += other.failed;
    notRun += other.notRun;
    unknown += other.unknown;
    notSent += other.notSent;
    wrongAnswers += other.wrongAnswers;
    attempts += other.attempts;
    for (const auto &[reason, count] : other.reasons) {
        reasons[reason] += count;
    }
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    series.resize(std::max(series.size(), other.series.size()));
    for (std::size_t step = 0; step < other.series.size(); ++step) {
        series[step] += other.series[step];
    }
    notRunIds.insert(notRunIds.end(), other.notRunIds.begin(), other.notRunIds.end());
    sentIds.insert(sentIds.end(), other.sentIds.begin(), other.sentIds.end());
}

load_count load_result::total() const
{
    load_count sum;
    for (const auto &[label, count] : byLabel) {
        sum.add(count);
    }
    return sum;
}

double percentile(std::vector<float> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return values[position];
}

} // namespace cicadamux::test
