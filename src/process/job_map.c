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
	struct job_map *map = mem_calloc(1, sizeof(*map));

	map->buckets_count = FIRST_BUCKETS;
	map->buckets = mem_calloc(map->buckets_count, sizeof(*map->buckets));
	map->segments_count = segments;
	map->segments = mem_calloc(segments, sizeof(*map->segments));
	return map;
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
bucket_of(const struct job_map *map, struct job_id id)
{
	return &map->buckets[id.low & (map->buckets_count - 1)];
}

struct job *
job_map_find(const struct job_map *map, struct job_id id)
{
	struct job *job = *bucket_of(map, id);

	while (job != NULL && !job_id_equal(job->id, id))
		job = job->next_in_bucket;
	return job;
}

static void
insert_into_bucket(struct job_map *map, struct job *job)
{
	struct job **bucket = bucket_of(map, job->id);

	job->next_in_bucket = *bucket;
	*bucket = job;
}

static void
double_buckets(struct job_map *map)
{
	struct job **old = map->buckets;
	size_t old_count = map->buckets_count;

	map->buckets_count *= 2;
	map->buckets = mem_calloc(map->buckets_count, sizeof(*map->buckets));
	for (size_t i = 0; i < old_count; i++) {
		struct job *job = old[i];

		while (job != NULL) {
			struct job *next = job->next_in_bucket;

			insert_into_bucket(map, job);
			job = next;
		}
	}
	mem_free(old);
}

uint32_t
job_map_segment(const struct job_map *map, struct job_id id)
{
	return (uint32_t)(id.high % map->segments_count);
}

struct job *
job_map_add(struct job_map *map, struct job_id id, Ibis__JobRecord *record)
{
	struct job *job = mem_calloc(1, sizeof(*job));
	struct job **first;

	if (map->count >= map->buckets_count)
		double_buckets(map);
	job->id = id;
	job->record = record;
	CDS_INIT_LIST_HEAD(&job->waiters);
	job->segment = job_map_segment(map, id);
	insert_into_bucket(map, job);
	first = &map->segments[job->segment];
	job->next_in_segment = *first;
	if (*first != NULL)
		(*first)->previous_in_segment = job;
	*first = job;
	map->count++;
	return job;
}

static void
unlink_from_bucket(struct job_map *map, struct job *job)
{
	struct job **link = bucket_of(map, job->id);

	while (*link != job)
		link = &(*link)->next_in_bucket;
	*link = job->next_in_bucket;
}

static void
unlink_from_segment(struct job_map *map, struct job *job)
{
	if (job->previous_in_segment == NULL)
		map->segments[job->segment] = job->next_in_segment;
	else
		job->previous_in_segment->next_in_segment =
		    job->next_in_segment;
	if (job->next_in_segment != NULL)
		job->next_in_segment->previous_in_segment =
		    job->previous_in_segment;
}

void
job_map_remove(struct job_map *map, struct job *job)
{
	unlink_from_bucket(map, job);
	unlink_from_segment(map, job);
	map->count--;
	job_free(job);
}

void
job_map_clear(struct job_map *map)
{
	for (uint32_t i = 0; i < map->segments_count; i++) {
		while (map->segments[i] != NULL)
			job_map_remove(map, map->segments[i]);
	}
}

void
job_map_free(struct job_map *map)
{
	if (map == NULL)
		return;
	job_map_clear(map);
	mem_free(map->segments);
	mem_free(map->buckets);
	mem_free(map);
}

size_t
job_map_count(const struct job_map *map)
{
	return map->count;
}

struct job *
job_map_first_in_segment(const struct job_map *map, uint32_t segment)
{
	return map->segments[segment];
}
