/* The pool's lead lease, recovery of the job records by a new lead, and group
 * commit of changed records. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* How long a leaving lead waits for gangs that are starting. */
#define GANG_START_TIMEOUT_MS 1500
#define GENERATION_SHIFT      32
#define RECOVERY_RETRY_MS     200

static void
lead_key(const struct control *control, char key[STORE_KEY_BYTES])
{
	(void)snprintf(
	    key, STORE_KEY_BYTES, "pool/%s/lead", control->settings->pool);
}

static void
segment_key(
    const struct control *control, uint32_t index, char key[STORE_KEY_BYTES])
{
	(void)snprintf(key, STORE_KEY_BYTES, "pool/%s/segments/%" PRIu32,
	    control->settings->pool, index);
}

static uint64_t
segment_token(const struct control *control, uint32_t index)
{
	return (uint64_t)control->pool_generation << GENERATION_SHIFT | index;
}

/* ---- Recovery -------------------------------------------------------- */

static void
read_segment(struct control *control, uint32_t index)
{
	struct store_call call = {
	    .op = STORE_GET,
	    .owner = OWNER_RECOVERY,
	    .token = segment_token(control, index),
	};

	segment_key(control, index, call.key);
	store_client_call(control->store, &call);
}

static struct scheduler *
create_scheduler(struct control *control)
{
	const struct ibis_settings *settings = control->settings;
	struct scheduler_config config = {
	    .policy = settings->policy,
	    .reclaim_bound_ms = settings->reclaim_bound_ms,
	    .zone_return_ramp_ms = settings->zone_return_ramp_ms,
	    .max_queued_jobs = (uint32_t)settings->max_queued_jobs,
	    .max_attempts = (uint32_t)settings->max_attempts,
	    .seed = control->incarnation,
	};

	return scheduler_new(&config);
}

static void
drop_pool_state(struct control *control)
{
	control->pool_generation++;
	control_waiters_refuse_all(control);
	CDS_INIT_LIST_HEAD(&control->active_jobs);
	job_map_clear(control->jobs);
	for (uint32_t i = 0; i < control->segments_count; i++)
		segment_reset(&control->segments[i], 0, 0);
	worker_table_reset(&control->workers, control->now_ms);
	scheduler_free(control->scheduler);
	control->scheduler = create_scheduler(control);
}

static void
begin_recovery(struct control *control)
{
	log_event(LOG_INFO, "lead_taken", "epoch",
	    log_number((int64_t)control->lease.epoch), NULL);
	drop_pool_state(control);
	control->segments_to_read = control->segments_count;
	for (uint32_t i = 0; i < control->segments_count; i++)
		read_segment(control, i);
}

static void
add_recovered_record(struct control *control, Ibis__JobRecord *record)
{
	struct job_id id;
	struct job *job;

	if (record->spec == NULL || !job_id_parse(record->id, &id) ||
	    job_map_find(control->jobs, id) != NULL) {
		proto_free(&record->base);
		return;
	}
	job = job_map_add(control->jobs, id, record);
	job->admitted = true;
	job->recovered = true;
	job->end_durable = job_state_final(record->state);
	/* An idempotent job may start before its record says so. */
	if (record->spec->idempotent && !job->end_durable)
		record->started = true;
}

static void
handle_recovery_read(struct control *control, const struct store_result *result)
{
	uint32_t index = (uint32_t)result->token;
	Ibis__Segment *message;

	if (result->token != segment_token(control, index) ||
	    control->lease.role != LEAD_RECOVERING)
		return;
	if (result->code == IBIS_NOT_FOUND) {
		segment_reset(&control->segments[index], 0, 0);
		control->segments_to_read--;
		return;
	}
	if (result->code != IBIS_OK) {
		read_segment(control, index);
		return;
	}
	message = (Ibis__Segment *)proto_unpack(&ibis__segment__descriptor,
	    result->value.data, result->value.length);
	if (message == NULL) {
		log_event(
		    LOG_ERROR, "segment_damaged", "key", result->key, NULL);
		control_pool_step_down(control, "a segment is damaged");
		return;
	}
	segment_reset(
	    &control->segments[index], result->revision, message->sequence);
	control->segments[index].size_bytes = result->value.length;
	for (size_t i = 0; i < message->n_jobs; i++)
		add_recovered_record(control, message->jobs[i]);
	message->n_jobs = 0;
	mem_free(message->jobs);
	message->jobs = NULL;
	proto_free(&message->base);
	control->segments_to_read--;
}

/* Adds a recovered job to the scheduler, with its workers if an attempt is
 * under way. */
static void
restore_job(struct control *control, struct job *job)
{
	Ibis__JobRecord *record = job->record;
	struct scheduler_job view;
	const char *const *workers = NULL;

	if (job_state_final(record->state))
		return;
	if (record->state != IBIS__JOB_STATE__JOB_ACCEPTED)
		control_gang_adopt(control, job);
	if (job->gang != NULL)
		workers = (const char *const *)record->workers;
	control_fill_scheduler_job(control, job, &view);
	job->accepted_ms = view.accepted_ms;
	scheduler_restore(control->scheduler, &view, workers, control->now_ms);
	if (record->cancel_requested)
		control_gang_cancel(control, job);
}

static void
finish_recovery(struct control *control)
{
	struct job *job;

	scheduler_set_document(
	    control->scheduler, control->document, control->now_ms);
	for (size_t i = 0; i < control->document->zones_count; i++) {
		const char *zone = control->document->zones[i].name;

		scheduler_set_zone(control->scheduler, zone,
		    control_zone_allows_starts(control, zone), control->now_ms);
	}
	for (uint32_t i = 0; i < control->segments_count; i++) {
		job = job_map_first_in_segment(control->jobs, i);
		for (; job != NULL; job = job->next_in_segment)
			restore_job(control, job);
	}
	lead_recovered(&control->lease);
	control->lead_ready_ms = control->now_ms;
	control->orphans_over = false;
	counter_add(COUNTER_LEADS_TAKEN, 1);
	control->decide_due = true;
	control->next_heartbeat_ms = control->now_ms;
	log_event(LOG_INFO, "lead_ready", "epoch",
	    log_number((int64_t)control->lease.epoch), "jobs",
	    log_number((int64_t)job_map_count(control->jobs)), NULL);
}

/* ---- Group commit ---------------------------------------------------- */

static void
build_segment(struct control *control, uint32_t index, struct buffer *value)
{
	Ibis__Segment message = IBIS__SEGMENT__INIT;
	struct segment *segment = &control->segments[index];
	struct job *job = job_map_first_in_segment(control->jobs, index);
	CLEANUP(buffer_free) struct buffer records = {0};
	char writer[SETTINGS_TEXT_BYTES + 32];

	for (; job != NULL; job = job->next_in_segment) {
		if (!job->withdrawn)
			buffer_append(
			    &records, &job->record, sizeof(job->record));
	}
	(void)snprintf(writer, sizeof(writer), "%s/%" PRIu64,
	    control->settings->name, control->incarnation);
	message.epoch = control->lease.epoch;
	message.writer = writer;
	message.sequence = ++segment->sequence;
	message.n_jobs = records.length / sizeof(job->record);
	message.jobs = (Ibis__JobRecord **)(void *)records.data;
	proto_pack(&message.base, value);
}

static void
send_segment(struct control *control, uint32_t index, enum store_op op)
{
	struct segment *segment = &control->segments[index];
	struct store_call call = {
	    .op = op,
	    .owner = OWNER_SEGMENT,
	    .token = segment_token(control, index),
	    .expected_revision = segment->revision,
	};

	segment_key(control, index, call.key);
	if (op == STORE_SWAP)
		buffer_append(&call.value, segment->in_flight.data,
		    segment->in_flight.length);
	store_client_call(control->store, &call);
}

static void
commit_segment(struct control *control, uint32_t index)
{
	struct segment *segment = &control->segments[index];
	struct buffer value = {0};

	switch (segment_next(segment, control->now_ms)) {
	case SEGMENT_NOTHING:
		break;
	case SEGMENT_BUILD_SWAP:
		build_segment(control, index, &value);
		segment_begin_swap(segment, &value);
		send_segment(control, index, STORE_SWAP);
		break;
	case SEGMENT_SEND_SWAP:
		send_segment(control, index, STORE_SWAP);
		break;
	case SEGMENT_SEND_READ:
		send_segment(control, index, STORE_GET);
		break;
	}
}

static void
commit_segments(struct control *control)
{
	/* Commits wait; other store calls detect the end of the outage. */
	if (control->store_down)
		return;
	for (uint32_t i = 0; i < control->segments_count; i++)
		commit_segment(control, i);
}

static void
handle_commit(struct control *control, struct segment *segment)
{
	struct segment_entry *entries = segment->committing;
	size_t count = segment->committing_count;

	/* Finish the commit first: handling an entry may add new changes. */
	segment->committing = NULL;
	segment->committing_capacity = 0;
	segment_finish_swap(segment);
	for (size_t i = 0; i < count; i++)
		control_job_handle_stored(control, &entries[i]);
	mem_free(entries);
}

static void
handle_segment_result(
    struct control *control, const struct store_result *result)
{
	uint32_t index = (uint32_t)result->token;
	struct segment *segment;
	bool done;

	if (result->token != segment_token(control, index) ||
	    control->lease.role == LEAD_FOLLOWER)
		return;
	segment = &control->segments[index];
	if (result->op == STORE_SWAP)
		done = segment_handle_swap_result(
		    segment, result->code, result->revision, control->now_ms);
	else
		done = segment_handle_read_result(segment, result->code,
		    result->revision, &result->value, control->now_ms);
	if (done)
		handle_commit(control, segment);
	else if (segment->state == SEGMENT_LOST)
		control_pool_step_down(
		    control, "another instance has written the records");
}

/* ---- Lead lease ------------------------------------------------------ */

void
control_pool_step_down(struct control *control, const char *reason)
{
	counter_add(COUNTER_LEADS_LOST, 1);
	log_event(LOG_WARN, "lead_lost", "reason", reason, "epoch",
	    log_number((int64_t)control->lease.epoch), NULL);
	lead_step_down(&control->lease, control->now_ms);
	drop_pool_state(control);
}

static void
send_lead_call(struct control *control, enum store_op op)
{
	struct store_call call = {
	    .op = op,
	    .owner = OWNER_LEAD,
	    .token = control->pool_generation,
	    .expected_revision = control->lease.revision,
	};

	lead_key(control, call.key);
	if (op == STORE_SWAP) {
		lead_encode_value(&control->lease, &call.value);
		call.lease_ms = control->lease.lease_ms;
	}
	store_client_call(control->store, &call);
}

static void
handle_lead_result(struct control *control, const struct store_result *result)
{
	struct lead_lease *lease = &control->lease;
	bool was_lead =
	    lease->role == LEAD_LEADING || lease->role == LEAD_RECOVERING;
	bool changed;

	if (result->op == STORE_GET)
		changed = lead_read_result(lease, result->code,
		    result->revision, &result->value, control->now_ms);
	else
		changed =
		    lead_swap_result(lease, result->code, result->revision,
			&result->value, result->sent_ms, control->now_ms);
	if (!changed)
		return;
	if (lease->role == LEAD_RECOVERING) {
		begin_recovery(control);
	} else if (was_lead) {
		counter_add(COUNTER_LEADS_LOST, 1);
		log_event(LOG_WARN, "lead_lost", "reason",
		    "another instance holds the lease", "holder", lease->holder,
		    NULL);
		drop_pool_state(control);
	}
}

void
control_pool_handle_store_result(
    struct control *control, struct store_result *result)
{
	switch ((enum store_owner)result->owner) {
	case OWNER_LEAD:
		handle_lead_result(control, result);
		break;
	case OWNER_RECOVERY:
		handle_recovery_read(control, result);
		break;
	default:
		handle_segment_result(control, result);
		break;
	}
}

/* Tells whether every change is stored. */
static bool
all_committed(const struct control *control)
{
	for (uint32_t i = 0; i < control->segments_count; i++) {
		const struct segment *segment = &control->segments[i];

		if (segment->state != SEGMENT_IDLE || segment->dirty)
			return false;
	}
	return true;
}

/*
 * Tells whether a leaving lead may release its lease. It waits until starting
 * gangs run, because their first leases may expire before the next lead has
 * recovered. Then it freezes the records and waits until all changes are
 * stored. During an outage it releases at once.
 */
static bool
can_release_lead(struct control *control)
{
	int64_t leaving_ms = control->now_ms - control->leaving_since_ms;

	if (control->store_down)
		return true;
	if (control_has_starting_gangs(control) &&
	    leaving_ms < GANG_START_TIMEOUT_MS)
		return false;
	control->records_frozen = true;
	return all_committed(control);
}

void
control_pool_release_lead(struct control *control)
{
	struct lead_lease *lease = &control->lease;
	bool was_lead = lease->role == LEAD_LEADING;

	if (lease->role == LEAD_RELEASING)
		return;
	if (was_lead && !can_release_lead(control))
		return;
	lead_release(lease, control->now_ms);
	if (!was_lead)
		return;
	log_event(LOG_INFO, "lead_released", "epoch",
	    log_number((int64_t)lease->epoch), NULL);
	drop_pool_state(control);
}

void
control_pool_tick(struct control *control)
{
	switch (lead_next_action(&control->lease, control->now_ms)) {
	case LEAD_NOTHING:
		break;
	case LEAD_READ:
		send_lead_call(control, STORE_GET);
		break;
	case LEAD_SWAP:
		send_lead_call(control, STORE_SWAP);
		break;
	case LEAD_DELETE:
		send_lead_call(control, STORE_DELETE);
		break;
	}
	if (control->lease.role == LEAD_RECOVERING &&
	    control->segments_to_read == 0 && control->document != NULL)
		finish_recovery(control);
	if (control_leading(control))
		commit_segments(control);
}
