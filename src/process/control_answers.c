#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/proto_memory.h"

#define ANSWER_KEPT_MS 60000
#define PUT_RETRY_MS   200

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
	return job->id.low ^ control->reign;
}

static void
call_answer(struct control *control, const struct job *job, enum store_op op,
    enum store_owner owner)
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

/* The job an answer call was about: its id stands at the end of the key. */
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
measure_answer(Ibis__JobRecord *record, const Ibis__Answer *answer)
{
	CLEANUP(buffer_free) struct buffer joined = {0};

	for (size_t i = 0; i < answer->n_parts; i++)
		buffer_puts(&joined, answer->parts[i]);
	record->answer_length = joined.length;
	record->answer_hash = XXH64(buffer_string(&joined), joined.length, 0);
}

void
control_answer_finish(struct control *control, struct job *job)
{
	Ibis__JobRecord *record = job->record;

	job->answer = collect_answer(job);
	job->answer_used_ms = control->now_ms;
	measure_answer(record, job->answer);
	if (record->answer_length >
	    (uint64_t)control->settings->max_answer_bytes) {
		proto_free(&job->answer->base);
		job->answer = NULL;
		control_job_end(control, job, IBIS__JOB_STATE__JOB_FAILED,
		    "answer is larger than max_answer_bytes");
		return;
	}
	call_answer(control, job, STORE_SWAP, OWNER_ANSWER_PUT);
	/* Tell now what is known; the store learns it later. */
	if (control->store_down)
		control_waiters_answer(control, job, true);
}

static void
answer_put_result(
    struct control *control, struct job *job, const struct store_result *result)
{
	/* The lead that takes over finds the answer with the workers. */
	if (job_state_final(job->record->state) || control->settling)
		return;
	switch (result->code) {
	case IBIS_OK:
	case IBIS_CONFLICT:
		/* A conflict: it was already written, by us or by an earlier
		 * lead; a job has one finishing attempt only. */
		control_job_end(
		    control, job, IBIS__JOB_STATE__JOB_FINISHED, "");
		return;
	default:
		job->answer_retry_ms = control->now_ms + PUT_RETRY_MS;
		return;
	}
}

static void
answer_get_result(
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
		    "the answer can't be read from the store now", false);
	else
		control_waiters_answer(control, job, true);
}

/* An expired answer has been read; its revision allows to delete it. */
static void
drop_answer(struct control *control, const struct store_result *result)
{
	struct store_call call = {
	    .op = STORE_DELETE,
	    .owner = OWNER_ANSWER_DROP,
	    .expected_revision = result->revision,
	};

	if (result->op != STORE_GET || result->code != IBIS_OK)
		return;
	STRING_COPY(call.key, result->key);
	store_client_call(control->store, &call);
}

void
control_answer_store_result(
    struct control *control, struct store_result *result)
{
	struct job *job;

	if (result->owner == OWNER_ANSWER_DROP) {
		drop_answer(control, result);
		return;
	}
	job = job_of_answer(control, result);
	if (job == NULL)
		return;
	if (result->owner == OWNER_ANSWER_PUT)
		answer_put_result(control, job, result);
	else if (result->owner == OWNER_ANSWER_GET)
		answer_get_result(control, job, result);
}

void
control_answer_load(struct control *control, struct job *job)
{
	if (job->answer_loading)
		return;
	job->answer_loading = true;
	call_answer(control, job, STORE_GET, OWNER_ANSWER_GET);
}

/* Puts again what failed to be put; drops from memory what is not asked for. */
void
control_answer_sweep(struct control *control, struct job *job)
{
	bool waiting_for_put =
	    job->answer != NULL && !job_state_final(job->record->state);

	if (waiting_for_put && job->answer_retry_ms > 0 &&
	    control->now_ms >= job->answer_retry_ms) {
		job->answer_retry_ms = 0;
		call_answer(control, job, STORE_SWAP, OWNER_ANSWER_PUT);
	}
	if (job->answer != NULL && job->end_durable &&
	    control->now_ms - job->answer_used_ms > ANSWER_KEPT_MS &&
	    cds_list_empty(&job->waiters)) {
		proto_free(&job->answer->base);
		job->answer = NULL;
	}
}

/* Deletes an expired job's answer from the store. */
void
control_answer_drop(struct control *control, const struct job *job)
{
	if (job->record->state == IBIS__JOB_STATE__JOB_FINISHED)
		call_answer(control, job, STORE_GET, OWNER_ANSWER_DROP);
}
