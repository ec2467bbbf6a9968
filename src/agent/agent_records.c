/*
 * Writes the progress of jobs, as decided and observed by the fleet, to the
 * store, and removes expired jobs. All transactions are conditional on the
 * lead key (this instance still leads). A write of progress is also
 * conditional on the revision of each record (nothing else has written it).
 * So a transaction that arrives late changes nothing.
 */
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"

/* The store accepts 32 rows in a transaction: a condition on the lead key, and
 * a condition and a put for each job. */
#define BATCH_JOBS 15
/* No further record is added to a batch of this size: it has to reach the store
 * within STORE_TIMEOUT_MS on a slow link. */
#define BATCH_MAX_BYTES 65536
/* Pause after a successful write, to batch changes. */
#define BATCH_INTERVAL_MS 6
/* A further batch that is not full may be written while one is in flight, once
 * that has taken this long. */
#define BATCH_OVERLAP_MS 40
#define RECORD_RETRY_MS	 40
/* Keys removed in one transaction. */
#define REMOVAL_MAX_KEYS    24
#define REMOVAL_INTERVAL_MS 5000
/* Pause after a full transaction. */
#define REMOVAL_PAUSE_MS 200
/* An ended job is removed this long after its retention time. */
#define REMOVAL_MARGIN_MS 30000

struct record_batch {
	struct agent *agent; /* NULL: dropped while in flight */
	struct fleet_job *jobs[BATCH_JOBS];
	struct buffer values[BATCH_JOBS];
	char keys[BATCH_JOBS][PLATFORM_KEY_BYTES];
	uint64_t conditions[BATCH_JOBS];
	size_t count;
	bool in_flight;
	int64_t begun_ms;
	int64_t retry_at_ms;
};

uint32_t
agent_max_tasks(const struct agent *agent)
{
	uint32_t fitting =
	    (uint32_t)agent->settings.max_value_bytes / FLEET_TASK_RECORD_BYTES;

	return fitting < FLEET_MAX_TASKS ? fitting : FLEET_MAX_TASKS;
}

static void
free_batch(struct record_batch *batch)
{
	for (size_t i = 0; i < batch->count; i++)
		buffer_free(&batch->values[i]);
	mem_free(batch);
}

void
agent_records_drop(struct agent *agent)
{
	for (size_t i = 0; i < AGENT_RECORD_BATCHES; i++) {
		struct record_batch *batch = agent->batches[i];

		agent->batches[i] = NULL;
		if (batch == NULL)
			continue;
		if (batch->in_flight)
			batch->agent = NULL; /* freed when its answer arrives */
		else
			free_batch(batch);
	}
}

/* Frees a batch whose jobs have been handled. */
static void
end_batch(struct agent *agent, struct record_batch *batch)
{
	for (size_t i = 0; i < AGENT_RECORD_BATCHES; i++) {
		if (agent->batches[i] == batch)
			agent->batches[i] = NULL;
	}
	free_batch(batch);
}

static void
batch_stored(struct agent *agent, struct record_batch *batch, uint64_t revision)
{
	for (size_t i = 0; i < batch->count; i++)
		fleet_record_stored(agent->fleet, batch->jobs[i], revision);
	end_batch(agent, batch);
}

static const struct platform_store_item *
find_item(const struct platform_store_answer *answer, const char *key)
{
	for (size_t i = 0; i < answer->items_count; i++) {
		if (strcmp(answer->items[i].key, key) == 0)
			return &answer->items[i];
	}
	return NULL;
}

/* Returns whether the store's record of the batch's job i is the one to be
 * written, which an earlier try has stored. */
static bool
stored_before(const struct record_batch *batch, size_t i,
    const struct platform_store_item *item)
{
	return item != NULL && item->value != NULL &&
	    item->value_length == batch->values[i].length &&
	    memcmp(item->value, batch->values[i].data, item->value_length) == 0;
}

/* Returns whether the store has a record that this lead has neither read nor
 * written, in place of that of the batch's job i. */
static bool
is_unread_record(const struct record_batch *batch, size_t i,
    const struct platform_store_item *item)
{
	return item != NULL && item->revision != batch->conditions[i] &&
	    !stored_before(batch, i, item);
}

/* Steps down, which drops the batch, and reads all records again: an unread
 * record may say where a task runs that this lead would start elsewhere. */
static void
handle_unread_record(
    struct agent *agent, const struct platform_store_item *item)
{
	log_event(LOG_ERROR, "record_unread", "key", item->key, "revision",
	    log_number((int64_t)item->revision), NULL);
	agent_lead_reload(agent, "a record in the store was not read");
}

/* Handles a condition that did not hold. */
static void
batch_conflict(struct agent *agent, struct record_batch *batch,
    const struct platform_store_answer *answer)
{
	const struct platform_store_item *lead =
	    find_item(answer, AGENT_LEAD_KEY);

	if (lead == NULL || lead->revision != agent->lead.epoch) {
		/* Stepping down drops the batch as well. */
		agent_lead_step_down(agent, "another epoch in the store");
		return;
	}
	for (size_t i = 0; i < batch->count; i++) {
		const struct platform_store_item *item =
		    find_item(answer, batch->keys[i]);

		if (is_unread_record(batch, i, item)) {
			handle_unread_record(agent, item);
			return;
		}
	}
	for (size_t i = 0; i < batch->count; i++) {
		const struct platform_store_item *item =
		    find_item(answer, batch->keys[i]);
		uint64_t revision = item == NULL ? 0 : item->revision;

		if (stored_before(batch, i, item))
			fleet_record_stored(
			    agent->fleet, batch->jobs[i], revision);
		else
			fleet_record_failed(
			    agent->fleet, batch->jobs[i], revision);
	}
	end_batch(agent, batch);
}

/* Logs a record of the batch if the store has another revision of it than this
 * lead: the batch was stored by an earlier try, or something else has written
 * the record. */
static void
log_conflict(const struct agent *agent, const struct record_batch *batch,
    size_t index, const struct platform_store_item *stored)
{
	const struct buffer *value = &batch->values[index];
	uint64_t revision = stored == NULL ? 0 : stored->revision;
	bool same = stored != NULL && stored->value != NULL &&
	    stored->value_length == value->length &&
	    memcmp(stored->value, value->data, value->length) == 0;

	if (revision == batch->conditions[index])
		return;
	counter_add(same ? COUNTER_RECORD_CONFLICTS_SAME
			 : COUNTER_RECORD_CONFLICTS_OTHER,
	    1);
	log_event(LOG_WARN, "record_conflict", "job",
	    fleet_job_id(batch->jobs[index]), "expected_revision",
	    log_number((int64_t)batch->conditions[index]), "revision",
	    log_number((int64_t)revision), "value", same ? "same" : "other",
	    "epoch", log_number((int64_t)agent->lead.epoch), NULL);
}

static void
log_conflicts(const struct agent *agent, const struct record_batch *batch,
    const struct platform_store_answer *answer)
{
	const struct platform_store_item *lead =
	    find_item(answer, AGENT_LEAD_KEY);

	if (lead == NULL || lead->revision != agent->lead.epoch)
		return;
	for (size_t i = 0; i < batch->count; i++)
		log_conflict(
		    agent, batch, i, find_item(answer, batch->keys[i]));
}

static void
batch_answered(void *context, const struct platform_store_answer *answer)
{
	struct record_batch *batch = context;
	struct agent *agent = batch->agent;

	if (agent == NULL) {
		free_batch(batch);
		return;
	}
	batch->in_flight = false;
	switch (answer->outcome) {
	case STORE_DONE:
		batch_stored(agent, batch, answer->revision);
		agent->next_record_ms = answer->received_ms + BATCH_INTERVAL_MS;
		break;
	case STORE_CONFLICT:
		log_conflicts(agent, batch, answer);
		batch_conflict(agent, batch, answer);
		break;
	case STORE_MISSING:
	case STORE_COMPACTED:
	case STORE_TOO_LONG:
	case STORE_REFUSED:
	case STORE_NOT_SENT:
	case STORE_UNKNOWN:
		log_event(LOG_WARN, "record_retry", "jobs",
		    log_number((int64_t)batch->count), "age_ms",
		    log_number(answer->received_ms - answer->sent_ms), NULL);
		batch->retry_at_ms = answer->received_ms + RECORD_RETRY_MS;
		break;
	}
}

static void
send_batch(struct agent *agent, struct record_batch *batch)
{
	struct platform_store_op changes[BATCH_JOBS + 1] = {
	    {
		.key = AGENT_LEAD_KEY,
		.has_condition = true,
		.condition = agent->lead.epoch,
	    },
	};

	for (size_t i = 0; i < batch->count; i++)
		changes[i + 1] = (struct platform_store_op){
		    .key = batch->keys[i],
		    .has_condition = true,
		    .condition = batch->conditions[i],
		    .put = true,
		    .value = buffer_string(&batch->values[i]),
		    .value_length = batch->values[i].length,
		};
	batch->in_flight = true;
	platform_store_commit(
	    &agent->store, changes, batch->count + 1, batch_answered, batch);
}

static struct record_batch *
collect_batch(struct agent *agent)
{
	struct record_batch *batch = mem_calloc(1, sizeof(*batch));
	struct fleet_job *job;
	size_t bytes = 0;

	batch->agent = agent;
	batch->begun_ms = clock_now_ms();
	while (batch->count < BATCH_JOBS && bytes < BATCH_MAX_BYTES &&
	    (job = fleet_take_unrecorded(agent->fleet)) != NULL) {
		size_t i = batch->count++;

		batch->jobs[i] = job;
		batch->conditions[i] = fleet_progress_revision(job);
		(void)snprintf(batch->keys[i], sizeof(batch->keys[i]), "%s%s",
		    AGENT_PROGRESS_PREFIX, fleet_job_id(job));
		fleet_pack_progress(job, clock_wall_ms(), &batch->values[i]);
		bytes += batch->values[i].length;
	}
	if (batch->count > 0)
		return batch;
	mem_free(batch);
	return NULL;
}

/*
 * Removal of ended jobs after their retention time.
 */

static void
removal_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	agent->removal_in_flight = false;
	if (answer->outcome != STORE_DONE)
		log_event(LOG_INFO, "removal_failed", NULL);
	for (size_t i = 0; i < agent->jobs.count; i++) {
		struct view_job *job = agent->jobs.items[i].item;

		job->removal_requested = false;
	}
}

/* A transaction that removes keys while this instance leads. */
struct removal {
	struct platform_store_op changes[REMOVAL_MAX_KEYS + 1];
	char keys[REMOVAL_MAX_KEYS][PLATFORM_KEY_BYTES];
	size_t count; /* keys */
};

/* Appends a key. The caller has checked that there is room. */
static void
add_key(struct removal *removal, const char *prefix, const char *id)
{
	char *key = removal->keys[removal->count++];

	(void)snprintf(key, PLATFORM_KEY_BYTES, "%s%s", prefix, id);
	removal->changes[removal->count] =
	    (struct platform_store_op){.key = key, .remove = true};
}

/* Returns whether this is the cancellation of a job that has no record. */
static bool
is_lone_cancellation(const struct view_job *job)
{
	return job->cancelled && job->spec == NULL && job->progress.length == 0;
}

/* Appends all keys of a job, or none if there is no room for all. Returns
 * whether there was. */
static bool
add_job_keys(struct removal *removal, const struct view_job *job)
{
	bool has_records = !is_lone_cancellation(job);
	size_t needed = (has_records ? 2 : 0) + (job->cancelled ? 1 : 0);

	if (needed > COUNT_OF(removal->keys) - removal->count)
		return false;
	if (has_records) {
		add_key(removal, AGENT_JOB_PREFIX, job->id);
		add_key(removal, AGENT_PROGRESS_PREFIX, job->id);
	}
	if (job->cancelled)
		add_key(removal, AGENT_CANCEL_PREFIX, job->id);
	return true;
}

/* Returns whether a job, or a cancellation without one, has been kept for long
 * enough. */
static bool
is_expired(const struct agent *agent, const struct view_job *job,
    int64_t now_ms, int64_t wall_ms)
{
	int64_t kept_ms = agent->settings.retention_ms + REMOVAL_MARGIN_MS;

	if (is_lone_cancellation(job))
		return job->cancel_seen_ms <= now_ms - kept_ms;
	return job->ended_wall_ms != 0 &&
	    job->ended_wall_ms <= wall_ms - kept_ms;
}

/* Removes expired jobs. Those for which there is no room stay until the next
 * round. */
static void
remove_expired(struct agent *agent, int64_t now_ms)
{
	struct removal removal = {
	    .changes = {{
		.key = AGENT_LEAD_KEY,
		.has_condition = true,
		.condition = agent->lead.epoch,
	    }},
	};
	int64_t wall_ms = clock_wall_ms();

	agent->next_removal_ms = now_ms + REMOVAL_INTERVAL_MS;
	for (size_t i = 0; i < agent->jobs.count; i++) {
		struct view_job *job = agent->jobs.items[i].item;

		if (job->removal_requested ||
		    !is_expired(agent, job, now_ms, wall_ms))
			continue;
		if (!add_job_keys(&removal, job)) {
			agent->next_removal_ms = now_ms + REMOVAL_PAUSE_MS;
			agent_wake_at(agent, agent->next_removal_ms);
			break;
		}
		job->removal_requested = true;
	}
	if (removal.count == 0)
		return;
	agent->removal_in_flight = true;
	platform_store_commit(&agent->store, removal.changes, removal.count + 1,
	    removal_answered, agent);
}

/* Returns when the next batch may begin: after a pause, or beside the batches
 * in flight when there are enough jobs for a full one or the latest takes long.
 */
static int64_t
next_batch_ms(const struct agent *agent)
{
	int64_t latest_ms = 0;

	for (size_t i = 0; i < AGENT_RECORD_BATCHES; i++) {
		const struct record_batch *batch = agent->batches[i];

		if (batch != NULL && batch->begun_ms > latest_ms)
			latest_ms = batch->begun_ms;
	}
	if (latest_ms == 0 || fleet_has_unrecorded(agent->fleet, BATCH_JOBS))
		return agent->next_record_ms;
	return latest_ms + BATCH_OVERLAP_MS;
}

static void
send_if_due(struct agent *agent, struct record_batch *batch, int64_t now_ms)
{
	if (batch->in_flight)
		return;
	if (now_ms >= batch->retry_at_ms)
		send_batch(agent, batch);
	else
		agent_wake_at(agent, batch->retry_at_ms);
}

void
agent_records_step(struct agent *agent, int64_t now_ms)
{
	if (agent->fleet == NULL)
		return;
	if (!agent->removal_in_flight && now_ms >= agent->next_removal_ms)
		remove_expired(agent, now_ms);
	for (size_t i = 0; i < AGENT_RECORD_BATCHES; i++) {
		if (agent->batches[i] == NULL &&
		    fleet_has_unrecorded(agent->fleet, 1)) {
			if (now_ms >= next_batch_ms(agent))
				agent->batches[i] = collect_batch(agent);
			else
				agent_wake_at(agent, next_batch_ms(agent));
		}
		if (agent->batches[i] != NULL)
			send_if_due(agent, agent->batches[i], now_ms);
	}
}
