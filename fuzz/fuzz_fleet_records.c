/*
 * Takes arbitrary bytes for the record of a job and that of its progress, and
 * lets a fleet run with them, if they pass their checks: none may crash it.
 */
#include <string.h>

#include "fleet/fleet.h"
#include "process/alloc.h"
#include "process/buffer.h"
#include "process/proto_memory.h"

/* More only takes time. */
#define MOST_TASKS 2048
#define NOW_MS	   1000000

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

static void
run_fleet(Ibis__StepJob *job, const Ibis__JobProgress *progress)
{
	struct fleet_config config = {
	    .lease_ms = 6000,
	    .max_lease_ms = 10000,
	    .remote_factor = 3,
	    .max_open_tasks = MOST_TASKS,
	};
	struct fleet_worker_entry entry = {
	    .id = "w",
	    .address = "127.0.0.1:1",
	    .resources = {8000, 8000, 8},
	};
	struct fleet *fleet = fleet_new(&config, NOW_MS);
	CLEANUP(buffer_free) struct buffer packed = {0};
	const struct fleet_order *orders;
	struct fleet_usage usage;
	struct fleet_job *added;

	(void)fleet_set_worker(fleet, &entry, NOW_MS);
	added =
	    fleet_add_job(fleet, "00000000000000aa", job, progress, 1, NOW_MS);
	(void)fleet_decide(fleet, NOW_MS, NOW_MS, &orders);
	(void)fleet_decide(fleet, NOW_MS + 20000, NOW_MS + 20000, &orders);
	fleet_usage(fleet, &usage);
	fleet_pack_progress(added, NOW_MS, &packed);
	fleet_cancel_job(fleet, added, NOW_MS + 20000);
	fleet_free(fleet);
}

/* The first byte is the length of the job's record, the progress follows. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	struct ibis_status status = {0};
	Ibis__JobProgress *progress = NULL;
	Ibis__StepJob *job;
	size_t job_length;

	if (length == 0)
		return 0;
	job_length = bytes[0] < length ? bytes[0] : length - 1;
	job = (Ibis__StepJob *)proto_unpack(
	    &ibis__step_job__descriptor, (const char *)bytes + 1, job_length);
	if (job == NULL)
		return 0;
	if (fleet_check_job(job, &status) != IBIS_OK ||
	    fleet_count_tasks(job) > MOST_TASKS) {
		proto_free(&job->base);
		return 0;
	}
	progress =
	    (Ibis__JobProgress *)proto_unpack(&ibis__job_progress__descriptor,
		(const char *)bytes + 1 + job_length, length - 1 - job_length);
	if (progress != NULL &&
	    fleet_check_progress(job, progress, &status) == IBIS_OK)
		run_fleet(job, progress);
	else
		run_fleet(job, NULL);
	if (progress != NULL)
		proto_free(&progress->base);
	return 0;
}
