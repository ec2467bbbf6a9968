/* Stores the answers of finished jobs, reads them for callers and deletes those
 * of expired jobs. */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/proto_memory.h"

/* Time after its last use for which a stored answer stays in memory. */
#define ANSWER_CACHE_MS	    60000
#define ANSWER_PUT_RETRY_MS 200

static void
answer_key(const struct control *control, const struct job *job,
    char key[STORE_KEY_BYTES])
{
	(void)snprintf(key, STORE_KEY_BYTES, "pool/%s/answers/%s",
	    control->settings->pool, job->record->id);
}

static uint64_t
answer_token(const struct control *control, const struct job *job)
{
	return job->id.low ^ control->pool_generation;
}

static void
send_answer_call(struct control *control, const struct job *job,
    enum store_op op, enum store_owner owner)
{
	struct store_call call = {
	    .op = op,
	    .owner = owner,
	    .token = answer_token(control, job),
	};

	answer_key(control, job, call.key);
	if (op == STORE_SWAP)
		proto_pack(&job->answer->base, &call.value);
	store_client_call(control->store, &call);
}

/* Finds the job of an answer call by the id at the end of its key. Returns NULL
 * if the job is gone or the pool state was dropped since the call. */
static struct job *
job_of_answer(struct control *control, const struct store_result *result)
{
	const char *text = strrchr(result->key, '/');
	struct job_id id;
	struct job *job;

	if (text == NULL || !job_id_parse(text + 1, &id))
		return NULL;
	job = job_map_find(control->jobs, id);
	if (job == NULL || result->token != answer_token(control, job))
		return NULL;
	return job;
}

static Ibis__Answer *
collect_answer(const struct job *job)
{
	Ibis__Answer *answer = mem_calloc(1, sizeof(*answer));
	const struct gang *gang = job->gang;

	ibis__answer__init(answer);
	proto_set_string(&answer->job, job->record->id);
	answer->attempt = gang->attempt;
	answer->n_parts = gang->count;
	answer->parts = mem_calloc(gang->count, sizeof(*answer->parts));
	for (uint32_t i = 0; i < gang->count; i++) {
		const char *part = gang->members[i].answer;

		answer->parts[i] = mem_strdup(part == NULL ? "" : part);
	}
	return answer;
}

static void
record_answer_digest(Ibis__JobRecord *record, const Ibis__Answer *answer)
{
	CLEANUP(buffer_free) struct buffer joined = {0};

	for (size_t i = 0; i < answer->n_parts; i++)
		buffer_puts(&joined, answer->parts[i]);
	record->answer_length = joined.length;
	record->answer_hash = XXH64(buffer_string(&joined), joined.length, 0);
}

void
control_answer_save(struct control *control, struct job *job)
{
	Ibis__JobRecord *record = job->record;

	job->answer = collect_answer(job);
	job->answer_used_ms = control->now_ms;
	record_answer_digest(record, job->answer);
	if (record->answer_length >
	    (uint64_t)control->settings->max_answer_bytes) {
		proto_free(&job->answer->base);
		job->answer = NULL;
		control_job_end(control, job, IBIS__JOB_STATE__JOB_FAILED,
		    "answer is larger than max_answer_bytes");
		return;
	}
	send_answer_call(control, job, STORE_SWAP, OWNER_ANSWER_PUT);
	/* During an outage callers get the answer before it is stored. */
	if (control->store_down)
		control_waiters_reply(control, job, true);
}

/* Takes over the answer that the store has already, by this lead or by an
 * earlier one, whose attempt may be another. Returns false if it is damaged. */
static bool
adopt_stored_answer(struct job *job, const struct buffer *value)
{
	Ibis__Answer *stored = (Ibis__Answer *)proto_unpack(
	    &ibis__answer__descriptor, value->data, value->length);

	if (stored == NULL || strcmp(stored->job, job->record->id) != 0 ||
	    stored->n_parts != job->record->spec->tasks) {
		if (stored != NULL)
			proto_free(&stored->base);
		return false;
	}
	if (job->answer != NULL)
		proto_free(&job->answer->base);
	job->answer = stored;
	record_answer_digest(job->record, stored);
	return true;
}

static void
handle_put_result(
    struct control *control, struct job *job, const struct store_result *result)
{
	/* With frozen records the job stays unfinished, and the next lead
	 * collects the answer from the workers again. */
	if (job_state_final(job->record->state) || control->records_frozen)
		return;
	switch (result->code) {
	case IBIS_CONFLICT:
		if (!adopt_stored_answer(job, &result->value)) {
			control_job_end(control, job,
			    IBIS__JOB_STATE__JOB_FAILED,
			    "the stored answer is damaged");
			return;
		}
		/* FALLTHROUGH */
	case IBIS_OK:
		control_job_end(
		    control, job, IBIS__JOB_STATE__JOB_FINISHED, "");
		return;
	default:
		job->answer_retry_ms = control->now_ms + ANSWER_PUT_RETRY_MS;
		return;
	}
}

static void
handle_get_result(
    struct control *control, struct job *job, const struct store_result *result)
{
	job->answer_loading = false;
	if (result->code == IBIS_OK && job->answer == NULL)
		job->answer =
		    (Ibis__Answer *)proto_unpack(&ibis__answer__descriptor,
			result->value.data, result->value.length);
	job->answer_used_ms = control->now_ms;
	if (job->answer == NULL)
		control_waiters_refuse(control, job, IBIS_UNAVAILABLE,
		    "the job's answer can't be read from the store now", false);
	else
		control_waiters_reply(control, job, true);
}

/* Deletes an expired answer by the revision that a read of it returned. */
static void
delete_answer(struct control *control, const struct store_result *result)
{
	struct store_call call = {
	    .op = STORE_DELETE,
	    .owner = OWNER_ANSWER_DELETE,
	    .expected_revision = result->revision,
	};

	if (result->op != STORE_GET || result->code != IBIS_OK)
		return;
	STRING_COPY(call.key, result->key);
	store_client_call(control->store, &call);
}

void
control_answer_handle_store_result(
    struct control *control, struct store_result *result)
{
	struct job *job;

	if (result->owner == OWNER_ANSWER_DELETE) {
		delete_answer(control, result);
		return;
	}
	job = job_of_answer(control, result);
	if (job == NULL)
		return;
	if (result->owner == OWNER_ANSWER_PUT)
		handle_put_result(control, job, result);
	else if (result->owner == OWNER_ANSWER_GET)
		handle_get_result(control, job, result);
}

void
control_answer_load(struct control *control, struct job *job)
{
	if (job->answer_loading)
		return;
	job->answer_loading = true;
	send_answer_call(control, job, STORE_GET, OWNER_ANSWER_GET);
}

void
control_answer_sweep(struct control *control, struct job *job)
{
	bool waiting_for_put =
	    job->answer != NULL && !job_state_final(job->record->state);

	if (waiting_for_put && job->answer_retry_ms > 0 &&
	    control->now_ms >= job->answer_retry_ms) {
		job->answer_retry_ms = 0;
		send_answer_call(control, job, STORE_SWAP, OWNER_ANSWER_PUT);
	}
	if (job->answer != NULL && job->end_durable &&
	    control->now_ms - job->answer_used_ms > ANSWER_CACHE_MS &&
	    cds_list_empty(&job->waiters)) {
		proto_free(&job->answer->base);
		job->answer = NULL;
	}
}

void
control_answer_delete(struct control *control, const struct job *job)
{
	if (job->record->state == IBIS__JOB_STATE__JOB_FINISHED)
		send_answer_call(control, job, STORE_GET, OWNER_ANSWER_DELETE);
}
