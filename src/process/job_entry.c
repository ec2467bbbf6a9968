#include "process/alloc.h"
#include "process/cluster.h"
#include "process/job_entry.h"

#define FIRST_BUCKETS 64

bool
job_entry_is_non_preemptible(const struct job_entry *entry)
{
	return !entry->job.idempotent && !entry->job.checkpointable;
}

uint32_t
job_entry_accelerators(const struct job_entry *entry)
{
	return entry->job.tasks * entry->job.accelerators_per_task;
}

static struct job_entry **
bucket_of(const struct job_table *table, struct job_id id)
{
	return &table->buckets[id.low & (table->buckets_count - 1)];
}

static void
grow(struct job_table *table)
{
	struct job_table larger = {.count = table->count};

	larger.buckets_count =
	    table->buckets_count > 0 ? table->buckets_count * 2 : FIRST_BUCKETS;
	larger.buckets =
	    mem_calloc(larger.buckets_count, sizeof(struct job_entry *));
	for (size_t i = 0; i < table->buckets_count; i++) {
		struct job_entry *entry = table->buckets[i];

		while (entry != NULL) {
			struct job_entry *next = entry->next;
			struct job_entry **bucket =
			    bucket_of(&larger, entry->job.id);

			entry->next = *bucket;
			*bucket = entry;
			entry = next;
		}
	}
	mem_free(table->buckets);
	*table = larger;
}

struct job_entry *
job_table_add(struct job_table *table, const struct scheduler_job *job)
{
	struct job_entry *entry = mem_calloc(1, sizeof(*entry));
	struct job_entry **bucket;

	if (table->count >= table->buckets_count)
		grow(table);
	entry->job = *job;
	entry->workspace = NO_INDEX;
	entry->request_class = NO_INDEX;
	entry->reservation = NO_INDEX;
	bucket = bucket_of(table, job->id);
	entry->next = *bucket;
	*bucket = entry;
	table->count++;
	return entry;
}

struct job_entry *
job_table_find(const struct job_table *table, struct job_id id)
{
	struct job_entry *entry;

	if (table->buckets_count == 0)
		return NULL;
	entry = *bucket_of(table, id);
	while (entry != NULL && !job_id_equal(entry->job.id, id))
		entry = entry->next;
	return entry;
}

static void
entry_free(struct job_entry *entry)
{
	mem_free(entry->workers);
	mem_free(entry);
}

void
job_table_remove(struct job_table *table, struct job_entry *entry)
{
	struct job_entry **link = bucket_of(table, entry->job.id);

	while (*link != entry)
		link = &(*link)->next;
	*link = entry->next;
	table->count--;
	entry_free(entry);
}

void
job_table_clear(struct job_table *table)
{
	for (size_t i = 0; i < table->buckets_count; i++) {
		struct job_entry *entry = table->buckets[i];

		while (entry != NULL) {
			struct job_entry *next = entry->next;

			entry_free(entry);
			entry = next;
		}
	}
	mem_free(table->buckets);
	*table = (struct job_table){0};
}
