#include <math.h>
#include <string.h>

#include "process/alloc.h"
#include "process/estimate.h"

#define BUCKETS_PER_OCTAVE 2
#define MIDDLE_BUCKET	   16
#define MIN_SAMPLES	   8.0
#define MAX_SAMPLES	   256.0

static const double shares[ESTIMATE_QUANTILES] = {0.05, 0.5, 0.9};

/* Without samples a job may be far shorter than declared. */
static const double unseen_ratios[ESTIMATE_QUANTILES] = {0.1, 1.0, 1.5};

static void
reset_cell(struct estimate_cell *cell)
{
	*cell = (struct estimate_cell){0};
	memcpy(cell->ratios, unseen_ratios, sizeof(cell->ratios));
}

static const struct estimate_cell *
find_cell(const struct estimate_table *table, const char *workspace,
    const char *request_class)
{
	for (size_t i = 0; i < table->workspaces_count; i++) {
		if (strcmp(table->workspaces[i], workspace) != 0)
			continue;
		for (size_t j = 0; j < table->classes_count; j++) {
			if (strcmp(table->classes[j], request_class) == 0)
				return &table->cells[i * table->classes_count +
				    j];
		}
	}
	return NULL;
}

static void
fill_cell(struct estimate_table *table, const struct estimate_table *old,
    size_t workspace, size_t request_class)
{
	struct estimate_cell *cell =
	    &table->cells[workspace * table->classes_count + request_class];
	const struct estimate_cell *known = find_cell(
	    old, table->workspaces[workspace], table->classes[request_class]);

	if (known != NULL)
		*cell = *known;
	else
		reset_cell(cell);
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
	table->cells =
	    mem_calloc(table->workspaces_count * table->classes_count,
		sizeof(*table->cells));
	for (size_t i = 0; i < table->workspaces_count; i++)
		STRING_COPY(table->workspaces[i], document->workspaces[i].name);
	for (size_t i = 0; i < table->classes_count; i++)
		STRING_COPY(table->classes[i], document->classes[i].name);
	for (size_t i = 0; i < table->workspaces_count; i++) {
		for (size_t j = 0; j < table->classes_count; j++)
			fill_cell(table, &old, i, j);
	}
	estimate_clear(&old);
}

void
estimate_clear(struct estimate_table *table)
{
	mem_free(table->cells);
	mem_free(table->workspaces);
	mem_free(table->classes);
	*table = (struct estimate_table){0};
}

static struct estimate_cell *
cell_of(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class)
{
	if (workspace >= table->workspaces_count ||
	    request_class >= table->classes_count)
		return NULL;
	return &table->cells[workspace * table->classes_count + request_class];
}

static int
bucket_of(double ratio)
{
	double place = log2(ratio) * BUCKETS_PER_OCTAVE + MIDDLE_BUCKET;

	if (place < 0)
		return 0;
	if (place > ESTIMATE_BUCKETS - 1)
		return ESTIMATE_BUCKETS - 1;
	return (int)lround(place);
}

static double
ratio_of(int bucket)
{
	return exp2((double)(bucket - MIDDLE_BUCKET) / BUCKETS_PER_OCTAVE);
}

static double
ratio_at(const struct estimate_cell *cell, double share)
{
	double sum = 0;

	for (int i = 0; i < ESTIMATE_BUCKETS; i++) {
		sum += cell->counts[i];
		if (sum >= share * cell->total)
			return ratio_of(i);
	}
	return ratio_of(ESTIMATE_BUCKETS - 1);
}

/* Halves old counts, so that new ones weigh more. */
static void
fade(struct estimate_cell *cell)
{
	for (int i = 0; i < ESTIMATE_BUCKETS; i++)
		cell->counts[i] /= 2;
	cell->total /= 2;
}

void
estimate_observe(struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms, int64_t actual_ms)
{
	struct estimate_cell *cell = cell_of(table, workspace, request_class);

	if (cell == NULL || declared_ms <= 0 || actual_ms <= 0)
		return;
	cell->counts[bucket_of((double)actual_ms / (double)declared_ms)]++;
	cell->total++;
	if (cell->total > MAX_SAMPLES)
		fade(cell);
	if (cell->total < MIN_SAMPLES)
		return;
	for (int i = 0; i < ESTIMATE_QUANTILES; i++)
		cell->ratios[i] = ratio_at(cell, shares[i]);
}

int64_t
estimate_run_ms(const struct estimate_table *table, uint32_t workspace,
    uint32_t request_class, int64_t declared_ms,
    enum estimate_quantile quantile)
{
	const struct estimate_cell *cell =
	    cell_of(table, workspace, request_class);
	double ratio =
	    cell != NULL ? cell->ratios[quantile] : unseen_ratios[quantile];
	double run_ms = (double)declared_ms * ratio;

	return run_ms < 1.0 ? 1 : (int64_t)run_ms;
}
