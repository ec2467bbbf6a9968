#include "process/alloc.h"
#include "process/job_map.h"
#include "process/proto_memory.h"

#define FIRST_BUCKETS 1024

struct job_map {
	struct job **buckets;
	size_t buckets_count; /* a power of two */
	size_t count;
	struct job **segments;
	uint32_t segments_count;
};

struct job_map *
job_map_new(uint32_t segments)
{
	struct job_map *table = mem_calloc(1, sizeof(*table));

	table->buckets_count = FIRST_BUCKETS;
	table->buckets =
	    mem_calloc(table->buckets_count, sizeof(*table->buckets));
	table->segments_count = segments;
	table->segments = mem_calloc(segments, sizeof(*table->segments));
	return table;
}

static void
job_free(struct job *job)
{
	gang_free(job->gang);
	if (job->record != NULL)
		proto_free(&job->record->base);
	if (job->answer != NULL)
		proto_free(&job->answer->base);
	mem_free(job);
}

static struct job **
bucket_of(const struct job_map *table, struct job_id id)
{
	return &table->buckets[id.low & (table->buckets_count - 1)];
}

struct job *
job_map_find(const struct job_map *table, struct job_id id)
{
	struct job *job = *bucket_of(table, id);

	while (job != NULL && !job_id_equal(job->id, id))
		job = job->next_in_bucket;
	return job;
}

static void
insert_into_bucket(struct job_map *table, struct job *job)
{
	struct job **bucket = bucket_of(table, job->id);

	job->next_in_bucket = *bucket;
	*bucket = job;
}

static void
double_buckets(struct job_map *table)
{
	struct job **old = table->buckets;
	size_t old_count = table->buckets_count;

	table->buckets_count *= 2;
	table->buckets =
	    mem_calloc(table->buckets_count, sizeof(*table->buckets));
	for (size_t i = 0; i < old_count; i++) {
		struct job *job = old[i];

		while (job != NULL) {
			struct job *next = job->next_in_bucket;

			insert_into_bucket(table, job);
			job = next;
		}
	}
	mem_free(old);
}

uint32_t
job_map_segment(const struct job_map *table, struct job_id id)
{
	return (uint32_t)(id.high % table->segments_count);
}

struct job *
job_map_add(struct job_map *table, struct job_id id, Ibis__JobRecord *record)
{
	struct job *job = mem_calloc(1, sizeof(*job));
	struct job **first;

	if (table->count >= table->buckets_count)
		double_buckets(table);
	job->id = id;
	job->record = record;
	CDS_INIT_LIST_HEAD(&job->waiters);
	job->segment = job_map_segment(table, id);
	insert_into_bucket(table, job);
	first = &table->segments[job->segment];
	job->next_in_segment = *first;
	if (*first != NULL)
		(*first)->previous_in_segment = job;
	*first = job;
	table->count++;
	return job;
}

static void
unlink_from_bucket(struct job_map *table, struct job *job)
{
	struct job **link = bucket_of(table, job->id);

	while (*link != job)
		link = &(*link)->next_in_bucket;
	*link = job->next_in_bucket;
}

static void
unlink_from_segment(struct job_map *table, struct job *job)
{
	if (job->previous_in_segment == NULL)
		table->segments[job->segment] = job->next_in_segment;
	else
		job->previous_in_segment->next_in_segment =
		    job->next_in_segment;
	if (job->next_in_segment != NULL)
		job->next_in_segment->previous_in_segment =
		    job->previous_in_segment;
}

void
job_map_remove(struct job_map *table, struct job *job)
{
	unlink_from_bucket(table, job);
	unlink_from_segment(table, job);
	table->count--;
	job_free(job);
}

void
job_map_clear(struct job_map *table)
{
	for (uint32_t i = 0; i < table->segments_count; i++) {
		while (table->segments[i] != NULL)
			job_map_remove(table, table->segments[i]);
	}
}

void
job_map_free(struct job_map *table)
{
	if (table == NULL)
		return;
	job_map_clear(table);
	mem_free(table->segments);
	mem_free(table->buckets);
	mem_free(table);
}

size_t
job_map_count(const struct job_map *table)
{
	return table->count;
}

struct job *
job_map_first(const struct job_map *table, uint32_t segment)
{
	return table->segments[segment];
}
