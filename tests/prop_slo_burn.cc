/* Compares the counts over sliding windows with those of a list of all jobs. */
#include <cstdint>
#include <vector>

#include <rapidcheck.h>

#include "process/slo_burn.h"

namespace
{

struct EndedJob {
	int64_t bucket;
	bool good;
};

struct slo_counts
count_by_list(const std::vector<EndedJob> &jobs, int64_t now_ms)
{
	struct slo_counts counts = {};
	int64_t current = now_ms / SLO_BUCKET_MS;

	for (const EndedJob &job : jobs) {
		int64_t age_ms = (current - job.bucket) * SLO_BUCKET_MS;

		if (age_ms < SLO_LONG_WINDOW_MS)
			(job.good ? counts.good_long : counts.bad_long)++;
		if (age_ms < SLO_SHORT_WINDOW_MS)
			(job.good ? counts.good_short : counts.bad_short)++;
	}
	return counts;
}

bool
windows_match_a_list()
{
	return rc::check("windows match a list of all jobs", [] {
		struct slo_burn *burn = slo_burn_new();
		std::vector<EndedJob> jobs;
		int64_t now_ms = *rc::gen::inRange<int64_t>(0, 10000000);
		const auto steps = *rc::gen::container<
		    std::vector<std::pair<int64_t, bool>>>(rc::gen::pair(
		    rc::gen::weightedOneOf<int64_t>(
			{{8, rc::gen::inRange<int64_t>(0, 60000)},
			    {1, rc::gen::inRange<int64_t>(0, 9000000)}}),
		    rc::gen::arbitrary<bool>()));

		for (const auto &step : steps) {
			struct slo_counts expected;
			struct slo_counts counts;

			now_ms += step.first;
			slo_burn_record(burn, "a",
			    step.second ? SLO_GOOD : SLO_BAD, 1, now_ms);
			jobs.push_back({now_ms / SLO_BUCKET_MS, step.second});
			expected = count_by_list(jobs, now_ms);
			counts = slo_burn_counts(burn, "a", now_ms);
			RC_ASSERT(counts.good_short == expected.good_short);
			RC_ASSERT(counts.bad_short == expected.bad_short);
			RC_ASSERT(counts.good_long == expected.good_long);
			RC_ASSERT(counts.bad_long == expected.bad_long);
		}
		slo_burn_free(burn);
	});
}

} // namespace

int
main()
{
	return windows_match_a_list() ? 0 : 1;
}
