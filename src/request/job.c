#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "process/alloc.h"
#include "process/buffer.h"
#include "request/job.h"

#define STEP		 "submit"
#define MAX_TASKS	 4096
#define MAX_ACCELERATORS 64
#define MAX_KEY_BYTES	 256
#define ID_HALF_DIGITS	 16
#define MAX_JOB_TIME_MS	 INT64_C(31536000000) /* 365 days */

struct job_id
job_id_from_key(const char *workspace, const char *key)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	XXH128_hash_t hash;

	/* The NUL separates the parts, so that workspace "a" with key "bc" and
	 * workspace "ab" with key "c" get different ids. */
	buffer_append(&text, workspace, strlen(workspace) + 1);
	buffer_puts(&text, key);
	hash = XXH3_128bits(text.data, text.length);
	return (struct job_id){.high = hash.high64, .low = hash.low64};
}

/* Parses the 16 digits of one half of an id. */
static bool
parse_half(const char *text, uint64_t *half)
{
	*half = 0;
	for (int i = 0; i < ID_HALF_DIGITS; i++) {
		char c = text[i];
		uint64_t digit;

		if (c >= '0' && c <= '9')
			digit = (uint64_t)(c - '0');
		else if (c >= 'a' && c <= 'f')
			digit = (uint64_t)(c - 'a') + 10;
		else
			return false;
		*half = *half << 4 | digit;
	}
	return true;
}

bool
job_id_parse(const char *text, struct job_id *id)
{
	if (strnlen(text, JOB_ID_BYTES) != JOB_ID_BYTES - 1)
		return false;
	return parse_half(text, &id->high) &&
	    parse_half(text + ID_HALF_DIGITS, &id->low);
}

void
job_id_format(struct job_id id, char text[JOB_ID_BYTES])
{
	(void)snprintf(
	    text, JOB_ID_BYTES, "%016" PRIx64 "%016" PRIx64, id.high, id.low);
}

bool
job_id_equal(struct job_id left, struct job_id right)
{
	return left.high == right.high && left.low == right.low;
}

uint64_t
job_spec_fingerprint(const Ibis__JobSpec *spec)
{
	CLEANUP(buffer_free) struct buffer packed = {0};
	Ibis__JobSpec without_key = *spec;
	char no_key[] = "";

	without_key.idempotency_key = no_key;
	packed.capacity = ibis__job_spec__get_packed_size(&without_key) + 1;
	packed.data = mem_calloc(packed.capacity, 1);
	packed.length =
	    ibis__job_spec__pack(&without_key, (uint8_t *)packed.data);
	return XXH3_64bits(packed.data, packed.length);
}

static enum ibis_code
check_name(const char *field, const char *value, struct ibis_status *status)
{
	if (*value == '\0')
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "%s: missing; expected a name", field);
	if (strlen(value) >= JOB_NAME_BYTES)
		return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
		    "%s: longer than %d bytes", field, JOB_NAME_BYTES - 1);
	return IBIS_OK;
}

static enum ibis_code
check_range(const char *field, int64_t value, int64_t lowest, int64_t highest,
    struct ibis_status *status)
{
	if (value >= lowest && value <= highest)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_INVALID, STEP, NULL,
	    "%s: %" PRId64 "; expected %" PRId64 " to %" PRId64, field, value,
	    lowest, highest);
}

enum ibis_code
job_spec_check(const Ibis__JobSpec *spec, struct ibis_status *status)
{
	enum ibis_code code;

	code = check_name("workspace", spec->workspace, status);
	if (code == IBIS_OK)
		code = check_name("class", spec->request_class, status);
	if (code == IBIS_OK)
		code = check_range("tasks", spec->tasks, 1, MAX_TASKS, status);
	if (code == IBIS_OK)
		code = check_range("accelerators_per_task",
		    spec->accelerators_per_task, 1, MAX_ACCELERATORS, status);
	if (code == IBIS_OK)
		code = check_range("run_time_ms", spec->run_time_ms, 1,
		    MAX_JOB_TIME_MS, status);
	if (code == IBIS_OK)
		code = check_range("deadline_ms", spec->deadline_ms, 0,
		    MAX_JOB_TIME_MS, status);
	if (code == IBIS_OK)
		code = check_range("Idempotency-Key length",
		    (int64_t)strlen(spec->idempotency_key), 1, MAX_KEY_BYTES,
		    status);
	return code;
}

bool
job_state_final(Ibis__JobState state)
{
	switch (state) {
	case IBIS__JOB_STATE__JOB_FINISHED:
	case IBIS__JOB_STATE__JOB_FAILED:
	case IBIS__JOB_STATE__JOB_CANCELLED:
	case IBIS__JOB_STATE__JOB_NOT_RUN:
	case IBIS__JOB_STATE__JOB_UNKNOWN:
		return true;
	default:
		return false;
	}
}

bool
job_state_can_change(Ibis__JobState from, Ibis__JobState to)
{
	switch (from) {
	case IBIS__JOB_STATE__JOB_ACCEPTED:
		return to == IBIS__JOB_STATE__JOB_INTENDED ||
		    to == IBIS__JOB_STATE__JOB_RUNNING || job_state_final(to);
	case IBIS__JOB_STATE__JOB_INTENDED:
		return to != IBIS__JOB_STATE__JOB_INTENDED;
	case IBIS__JOB_STATE__JOB_RUNNING:
		return to == IBIS__JOB_STATE__JOB_ACCEPTED ||
		    (job_state_final(to) && to != IBIS__JOB_STATE__JOB_NOT_RUN);
	default:
		return false;
	}
}

const char *
job_state_name(Ibis__JobState state)
{
	switch (state) {
	case IBIS__JOB_STATE__JOB_ACCEPTED:
		return "accepted";
	case IBIS__JOB_STATE__JOB_INTENDED:
		return "intended";
	case IBIS__JOB_STATE__JOB_RUNNING:
		return "running";
	case IBIS__JOB_STATE__JOB_FINISHED:
		return "finished";
	case IBIS__JOB_STATE__JOB_FAILED:
		return "failed";
	case IBIS__JOB_STATE__JOB_CANCELLED:
		return "cancelled";
	case IBIS__JOB_STATE__JOB_NOT_RUN:
		return "not_run";
	default:
		return "unknown";
	}
}

const char *
job_adjacency_name(Ibis__Adjacency adjacency)
{
	switch (adjacency) {
	case IBIS__ADJACENCY__ADJACENCY_ZONE:
		return "zone";
	case IBIS__ADJACENCY__ADJACENCY_RACK:
		return "rack";
	case IBIS__ADJACENCY__ADJACENCY_WORKER:
		return "worker";
	default:
		return "any";
	}
}
