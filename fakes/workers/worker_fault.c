#include <inttypes.h>
#include <string.h>

#include "common/fake_json.h"
#include "common/fake_log.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "workers/worker_fault.h"

#define DEFAULT_DELAY_MS 1500

static void
clear_faults(struct pool_worker *worker, int64_t now_ms)
{
	worker->link = LINK_OK;
	worker->report = REPORT_OK;
	worker->count = 0;
	worker->trigger.armed = false;
	worker->model.leaving = false;
	fake_worker_set_condition(&worker->model, WORKER_HEALTHY, now_ms);
}

/* Fault modes by their names in the HTTP interface. */
struct condition_mode {
	const char *name;
	enum fake_worker_condition condition;
};

struct link_mode {
	const char *name;
	enum link_fault link;
};

struct report_mode {
	const char *name;
	enum report_fault report;
};

static const struct condition_mode condition_modes[] = {
    {"fail_reserve", WORKER_FAIL_RESERVE},
    {"fail_stage", WORKER_FAIL_STAGE},
    {"fail_all", WORKER_FAIL_ALL},
    {"frozen", WORKER_FROZEN},
    {"dead", WORKER_DEAD},
};

static const struct link_mode link_modes[] = {
    {"silent", LINK_HANG_EXISTING},
    {"mute", LINK_HANG_ALL},
    {"lose_answers", LINK_DROP_ANSWER},
    {"swallow_answers", LINK_WITHHOLD_ANSWER},
    {"late", LINK_DELAY_ANSWER},
};

static const struct report_mode report_modes[] = {
    {"truncate", REPORT_TRUNCATE},
    {"corrupt", REPORT_CORRUPT_ANSWER},
    {"crossed", REPORT_WRONG_ANSWER},
    {"doubled", REPORT_DUPLICATE_ANSWER},
};

static bool
set_condition(struct pool_worker *worker, const char *mode, int64_t now_ms)
{
	for (size_t i = 0; i < COUNT_OF(condition_modes); i++) {
		if (strcmp(mode, condition_modes[i].name) != 0)
			continue;
		fake_worker_set_condition(
		    &worker->model, condition_modes[i].condition, now_ms);
		return true;
	}
	return false;
}

static bool
set_link_fault(struct pool_worker *worker, const char *mode, int64_t now_ms)
{
	for (size_t i = 0; i < COUNT_OF(link_modes); i++) {
		if (strcmp(mode, link_modes[i].name) != 0)
			continue;
		worker->link = link_modes[i].link;
		worker->link_fault_since_ms = now_ms;
		return true;
	}
	return false;
}

static bool
set_report_fault(struct pool_worker *worker, const char *mode)
{
	for (size_t i = 0; i < COUNT_OF(report_modes); i++) {
		if (strcmp(mode, report_modes[i].name) != 0)
			continue;
		worker->report = report_modes[i].report;
		return true;
	}
	return false;
}

/* Applies the named fault at once. Returns false when the name is unknown. */
static bool
set_fault(struct pool_worker *worker, const char *mode, int64_t now_ms)
{
	if (strcmp(mode, "none") == 0)
		clear_faults(worker, now_ms);
	else if (strcmp(mode, "restart") == 0)
		fake_worker_restart(&worker->model, now_ms);
	else if (strcmp(mode, "leaving") == 0)
		worker->model.leaving = true;
	else
		return set_condition(worker, mode, now_ms) ||
		    set_link_fault(worker, mode, now_ms) ||
		    set_report_fault(worker, mode);
	return true;
}

static void
log_fault(const struct pool_worker *worker, const char *mode)
{
	fake_log("event=fault worker=%s mode=%s count=%" PRId64,
	    worker->model.name, mode, worker->count);
}

bool
worker_fault_set(
    struct pool_worker *worker, struct json_object *body, const char *mode)
{
	const char *verb = fake_json_text(body, "on", NULL);
	struct trigger *trigger = &worker->trigger;

	worker->delay_ms = fake_json_number(body, "delay_ms", DEFAULT_DELAY_MS);
	worker->count = fake_json_number(body, "count", 0);
	if (verb == NULL) {
		log_fault(worker, mode);
		return set_fault(worker, mode, clock_now_ms());
	}
	trigger->after = fake_json_number(body, "after", 0) != 0;
	STRING_COPY(trigger->mode, mode);
	trigger->armed = sync_parse_verb(verb, &trigger->verb);
	return trigger->armed;
}

void
worker_fault_trigger(struct pool_worker *worker,
    const struct worker_command *commands, size_t count, bool after)
{
	struct trigger *trigger = &worker->trigger;

	for (size_t i = 0; i < count && trigger->armed; i++) {
		if (trigger->after != after ||
		    commands[i].verb != trigger->verb)
			continue;
		trigger->armed = false;
		log_fault(worker, trigger->mode);
		(void)set_fault(worker, trigger->mode, clock_now_ms());
	}
}

struct request_faults
worker_fault_for_request(
    const struct pool_worker *worker, const struct fake_request *request)
{
	return (struct request_faults){
	    .cut = worker->model.condition == WORKER_DEAD,
	    .hang = worker->link == LINK_HANG_ALL ||
		(worker->link == LINK_HANG_EXISTING &&
		    request->connected_ms <= worker->link_fault_since_ms),
	    .drop_answer = worker->link == LINK_DROP_ANSWER,
	    .withhold_answer = worker->link == LINK_WITHHOLD_ANSWER,
	    .delay_ms =
		worker->link == LINK_DELAY_ANSWER ? worker->delay_ms : 0,
	    .report = worker->report,
	};
}

void
worker_fault_count_sync(struct pool_worker *worker)
{
	bool faulty = worker->link != LINK_OK || worker->report != REPORT_OK;

	if (!faulty || worker->count == 0 || --worker->count > 0)
		return;
	worker->link = LINK_OK;
	worker->report = REPORT_OK;
}
