#include <math.h>
#include <string.h>

#include "process/alloc.h"
#include "process/estimate.h"

#define BUCKETS_PER_OCTAVE 2	 /* per doubling of the ratio */
#define RATIO_ONE_BUCKET   16	 /* index of the bucket of ratio 1 */
#define MIN_SAMPLES	   8.0	 /* below, the default ratios are used */
#define MAX_SAMPLES	   256.0 /* above, all counts are halved */

static const double quantile_shares[ESTIMATE_QUANTILES] = {0.05, 0.5, 0.9};

/* Used until there are enough samples. The low one is small since declared run
 * times are often far too long. */
static const double default_ratios[ESTIMATE_QUANTILES] = {0.1, 1.0, 1.5};

static void
reset_histogram(struct estimate_histogram *histogram)
{
	*histogram = (struct estimate_histogram){0};
	memcpy(histogram->quantile_ratios, default_ratios,
	    sizeof(histogram->quantile_ratios));
}

static const struct estimate_histogram *
find_histogram(const struct estimate_table *table, const char *workspace,
    const char *request_class)
{
	for (size_t i = 0; i < table->workspaces_count; i++) {
		if (strcmp(table->workspaces[i], workspace) != 0)
			continue;
		for (size_t j = 0; j < table->classes_count; j++) {
			if (strcmp(table->classes[j], request_class) == 0)
				return &table->histograms[i *
					table->classes_count +
				    j];
		}
	}
	return NULL;
}

static void
copy_or_reset_histogram(struct estimate_table *table,
    const struct estimate_table *old, size_t workspace, size_t request_class)
{
	struct estimate_histogram *histogram =
	    &table
		 ->histograms[workspace * table->classes_count + request_class];
	const struct estimate_histogram *known = find_histogram(
	    old, table->workspaces[workspace], table->classes[request_class]);

	if (known != NULL)
		*histogram = *known;
	else
		reset_histogram(histogram);
}

void
estimate_set_document(
    struct estimate_table *table, const struct document *document)
{
	struct estimate_table old = *table;

	table->workspaces_count = document->workspaces_count;
	table->classes_count = document->classes_count;
	table->workspaces =
	    mem_calloc(table->workspaces_count, sizeof(*table->workspaces));
	table->classes =
	    mem_calloc(table->classes_count, sizeof(*table->classes));
	table->histograms =
	    mem_calloc(table->workspaces_count * table->classes_count,
		sizeof(*table->histograms));
	for (size_t i = 0; i < table->workspaces_count; i++)
		STRING_COPY(table->workspaces[i], document->workspaces[i].name);
	for (size_t i = 0; i < table->classes_count; i++)
		STRING_COPY(table->classes[i], document->classes[i].name);
	for (size_t i = 0; i < table->workspaces_count; i++) {
		for (size_t j = 0; j < table->classes_count; j++)
			copy_or_reset_histogram(table, &old, i, j);
	}
	estimate_clear(&old);
}

void
estimate_clear(struct estimate_table *table)
{
	mem_free(table->histograms);
	mem_free(table->workspaces);
	mem_free(table->classes);
	*table = (struct estimate_table){0};
}

static struct estimate_histogram *
histogram_at(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class)
{
	if (workspace >= table->workspaces_count ||
	    request_class >= table->classes_count)
		return NULL;
	return &table->histograms[workspace * table->classes_count +
	    request_class];
}

static int
bucket_for_ratio(double ratio)
{
	double position = log2(ratio) * BUCKETS_PER_OCTAVE + RATIO_ONE_BUCKET;

	if (position < 0)
		return 0;
	if (position > ESTIMATE_BUCKETS - 1)
		return ESTIMATE_BUCKETS - 1;
	return (int)lround(position);
}

static double
ratio_for_bucket(int bucket)
{
	return exp2((double)(bucket - RATIO_ONE_BUCKET) / BUCKETS_PER_OCTAVE);
}

/* Returns the ratio below which this part of the observations lies. */
static double
ratio_at_quantile(const struct estimate_histogram *histogram, double quantile)
{
	double sum = 0;

	for (int i = 0; i < ESTIMATE_BUCKETS; i++) {
		sum += histogram->counts[i];
		if (sum >= quantile * histogram->total)
			return ratio_for_bucket(i);
	}
	return ratio_for_bucket(ESTIMATE_BUCKETS - 1);
}

/* Halves the counts, so that newer observations weigh more. */
static void
decay(struct estimate_histogram *histogram)
{
	for (int i = 0; i < ESTIMATE_BUCKETS; i++)
		histogram->counts[i] /= 2;
	histogram->total /= 2;
}

void
estimate_observe(struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms, int64_t actual_ms)
{
	struct estimate_histogram *histogram =
	    histogram_at(table, workspace, request_class);

	if (histogram == NULL || declared_ms <= 0 || actual_ms <= 0)
		return;
	histogram->counts[bucket_for_ratio(
	    (double)actual_ms / (double)declared_ms)]++;
	histogram->total++;
	if (histogram->total > MAX_SAMPLES)
		decay(histogram);
	if (histogram->total < MIN_SAMPLES)
		return;
	for (int i = 0; i < ESTIMATE_QUANTILES; i++)
		histogram->quantile_ratios[i] =
		    ratio_at_quantile(histogram, quantile_shares[i]);
}

int64_t
estimate_run_ms(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms,
    enum estimate_quantile quantile)
{
	const struct estimate_histogram *histogram =
	    histogram_at(table, workspace, request_class);
	double ratio = histogram != NULL ? histogram->quantile_ratios[quantile]
					 : default_ratios[quantile];
	double run_ms = (double)declared_ms * ratio;

	return run_ms < 1.0 ? 1 : (int64_t)run_ms;
}
