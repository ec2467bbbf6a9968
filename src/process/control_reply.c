/* Sends replies to callers of this instance and to peers that forwarded a
 * request. */
#include <string.h>

#include "process/alloc.h"
#include "process/control.h"
#include "process/proto_memory.h"

static Ibis__Code
wire_code(enum ibis_code code)
{
	switch (code) {
	case IBIS_OK:
		return IBIS__CODE__CODE_OK;
	case IBIS_INVALID:
		return IBIS__CODE__CODE_INVALID;
	case IBIS_CONFLICT:
		return IBIS__CODE__CODE_CONFLICT;
	case IBIS_NOT_FOUND:
		return IBIS__CODE__CODE_NOT_FOUND;
	case IBIS_LIMIT:
		return IBIS__CODE__CODE_LIMIT;
	case IBIS_UNAVAILABLE:
		return IBIS__CODE__CODE_UNAVAILABLE;
	case IBIS_UNKNOWN:
		return IBIS__CODE__CODE_UNKNOWN;
	case IBIS_NO_MEMORY:
	case IBIS_INTERNAL:
		break;
	}
	return IBIS__CODE__CODE_INTERNAL;
}

void
control_reply(struct control *control, const struct origin *origin,
    const Ibis__Reply *reply)
{
	Ibis__Frame frame = IBIS__FRAME__INIT;
	Ibis__ForwardReply forward = IBIS__FORWARD_REPLY__INIT;
	Ibis__Reply copy;

	if (origin->caller != NULL) {
		caller_server_reply(control->callers, origin->caller, reply);
		return;
	}
	copy = *reply;
	forward.call = origin->call;
	forward.reply = &copy;
	if (strcmp(origin->peer, control->settings->name) == 0) {
		control_handle_forward_reply(control, origin->peer, &forward);
		return;
	}
	frame.body_case = IBIS__FRAME__BODY_REPLY;
	frame.reply = &forward;
	/* If the link is down, the reply is lost, and the peer sends the
	 * request again to the current lead. */
	(void)peer_links_send(control->links, origin->peer, &frame);
}

void
control_refuse(struct control *control, const struct origin *origin,
    enum ibis_code code, const char *step, const char *message, bool not_run,
    int64_t retry_after_ms)
{
	Ibis__Reply reply = IBIS__REPLY__INIT;
	CLEANUP(mem_free_string) char *step_copy = mem_strdup(step);
	CLEANUP(mem_free_string) char *message_copy = mem_strdup(message);
	CLEANUP(mem_free_string)
	char *name = mem_strdup(control->settings->name);

	reply.code = wire_code(code);
	reply.step = step_copy;
	reply.peer = name;
	reply.message = message_copy;
	reply.not_run = not_run;
	reply.retry_after_ms = retry_after_ms;
	control_reply(control, origin, &reply);
}

void
control_reply_json(
    struct control *control, const struct origin *origin, const char *json)
{
	Ibis__Reply reply = IBIS__REPLY__INIT;
	CLEANUP(mem_free_string) char *copy = mem_strdup(json);

	reply.json = copy;
	control_reply(control, origin, &reply);
}

void
control_reply_job(struct control *control, const struct origin *origin,
    const struct job *job, bool with_answer)
{
	Ibis__Reply reply = IBIS__REPLY__INIT;
	Ibis__JobView view = IBIS__JOB_VIEW__INIT;
	Ibis__JobRecord record = *job->record;

	/* The job has finished, but this is not stored yet. */
	if (job->answer != NULL && !job_state_final(record.state))
		record.state = IBIS__JOB_STATE__JOB_FINISHED;
	view.record = &record;
	view.durable = !job->unstored &&
	    (!job_state_final(record.state) || job->end_durable);
	if (with_answer)
		view.answer = job->answer;
	reply.not_run = job->record->state == IBIS__JOB_STATE__JOB_NOT_RUN;
	reply.job = &view;
	control_reply(control, origin, &reply);
}
