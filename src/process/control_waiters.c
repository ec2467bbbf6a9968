/* Requests whose reply waits until a job is accepted or has ended. */
#include "process/alloc.h"
#include "process/control.h"

void
control_waiter_add(struct control *control, struct job *job,
    const struct origin *origin, const Ibis__Request *request)
{
	struct waiter *waiter = mem_calloc(1, sizeof(*waiter));

	waiter->job = job;
	waiter->origin = *origin;
	waiter->wants_end = request->wait_ms > 0 ||
	    request->kind == IBIS__REQUEST_KIND__REQUEST_ANSWER;
	waiter->wants_answer = true;
	waiter->deadline_ms = control->now_ms + request->wait_ms;
	cds_list_add_tail(&waiter->in_job, &job->waiters);
	cds_list_add_tail(&waiter->in_all, &control->waiters);
}

static void
free_waiter(struct waiter *waiter)
{
	cds_list_del(&waiter->in_job);
	cds_list_del(&waiter->in_all);
	mem_free(waiter);
}

static void
reply_to_waiter(struct control *control, struct waiter *waiter)
{
	struct job *job = waiter->job;

	control_reply_job(control, &waiter->origin, job, waiter->wants_answer);
	free_waiter(waiter);
}

void
control_waiters_reply(
    struct control *control, struct job *job, bool all_waiters)
{
	struct waiter *waiter;
	struct waiter *next;

	cds_list_for_each_entry_safe (waiter, next, &job->waiters, in_job) {
		if (all_waiters || !waiter->wants_end)
			reply_to_waiter(control, waiter);
	}
}

void
control_waiters_refuse(struct control *control, struct job *job,
    enum ibis_code code, const char *message, bool not_run)
{
	struct waiter *waiter;
	struct waiter *next;

	cds_list_for_each_entry_safe (waiter, next, &job->waiters, in_job) {
		control_refuse(control, &waiter->origin, code, "accept",
		    message, not_run, STORE_RETRY_AFTER_MS);
		free_waiter(waiter);
	}
}

void
control_waiters_tick(struct control *control)
{
	struct waiter *waiter;
	struct waiter *next;

	cds_list_for_each_entry_safe (waiter, next, &control->waiters, in_all) {
		if (waiter->wants_end &&
		    control->now_ms >= waiter->deadline_ms &&
		    waiter->job->admitted)
			reply_to_waiter(control, waiter);
	}
}

/* The refusal with step "lead" makes each instance, this one included, send its
 * forwarded requests again to the next lead. */
void
control_waiters_refuse_all(struct control *control)
{
	struct waiter *waiter;
	struct waiter *next;

	cds_list_for_each_entry_safe (waiter, next, &control->waiters, in_all) {
		control_refuse(control, &waiter->origin, IBIS_UNAVAILABLE,
		    "lead", "no longer the lead", false, 0);
		free_waiter(waiter);
	}
}
