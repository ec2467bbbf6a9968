/*
 * This instance's copy of the records in the store: jobs, their progress and
 * cancellations, and the lead key. While this instance leads, changes are
 * passed on to the fleet.
 */
#include <stdio.h>
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* A follower pauses between two watch calls to batch changes. */
#define RECORDS_PAUSE_MS 120

struct view_job *
agent_view_job(const struct agent *agent, const char *id)
{
	return name_index_get(&agent->jobs, id);
}

void
agent_view_render_phase(const struct view_job *job, struct buffer *body)
{
	Ibis__StepJobPhase phase = job->phase;

	if (job->cancelled &&
	    (phase == IBIS__STEP_JOB_PHASE__PHASE_PENDING ||
		phase == IBIS__STEP_JOB_PHASE__PHASE_RUNNING))
		phase = IBIS__STEP_JOB_PHASE__PHASE_CANCELLED;
	platform_render_phase(phase, body);
}

/* Returns the job, which is added if needed, or NULL when the id is none. */
static struct view_job *
get_or_add_job(struct agent *agent, const char *id)
{
	struct view_job *job = agent_view_job(agent, id);

	if (job != NULL || !platform_is_job_id(id))
		return job;
	job = mem_calloc(1, sizeof(*job));
	STRING_COPY(job->id, id);
	(void)name_index_add(&agent->jobs, job->id, job);
	return job;
}

static void
free_job(struct view_job *job)
{
	if (job->spec != NULL)
		ibis__step_job__free_unpacked(job->spec, proto_allocator());
	buffer_free(&job->progress);
	mem_free(job);
}

/* Reads a record of progress. Returns NULL with status filled when it can't be
 * used for the job, whose record may be unknown yet. */
static Ibis__JobProgress *
parse_progress(const struct view_job *job, const void *bytes, size_t length,
    struct ibis_status *status)
{
	Ibis__JobProgress *progress = (Ibis__JobProgress *)proto_unpack(
	    &ibis__job_progress__descriptor, bytes, length);

	if (progress == NULL) {
		(void)ibis_status_set(status, IBIS_INVALID, "record", NULL,
		    "the value is not a packed JobProgress");
		return NULL;
	}
	if (fleet_check_progress(job->spec, progress, status) == IBIS_OK)
		return progress;
	proto_free(&progress->base);
	return NULL;
}

/* Checks progress that has come before the job. */
static void
check_earlier_progress(
    struct view_job *job, const struct platform_store_item *item)
{
	struct ibis_status status = {0};
	Ibis__JobProgress *progress;

	if (job->progress.length == 0)
		return;
	progress = parse_progress(
	    job, job->progress.data, job->progress.length, &status);
	job->progress_unreadable = progress == NULL;
	if (progress == NULL)
		agent_watch_log_unreadable(item, status.message);
	else
		proto_free(&progress->base);
}

static void
apply_job_item(
    struct agent *agent, const char *id, const struct platform_store_item *item)
{
	struct view_job *job = get_or_add_job(agent, id);
	struct ibis_status status = {0};
	Ibis__StepJob *spec;

	if (job == NULL)
		return;
	if (item->deleted) {
		(void)name_index_remove(&agent->jobs, id);
		if (agent->fleet != NULL && fleet_find_job(agent->fleet, id))
			fleet_remove_job(
			    agent->fleet, fleet_find_job(agent->fleet, id));
		free_job(job);
		return;
	}
	if (job->spec != NULL)
		return; /* a job's record never changes */
	spec = (Ibis__StepJob *)proto_unpack(
	    &ibis__step_job__descriptor, item->value, item->value_length);
	if (spec == NULL || fleet_check_job(spec, &status) != IBIS_OK) {
		agent_watch_log_unreadable(item,
		    spec == NULL ? "the value is not a packed StepJob"
				 : status.message);
		if (spec != NULL)
			proto_free(&spec->base);
		return;
	}
	job->spec = spec;
	check_earlier_progress(job, item);
	job->revision = item->revision;
	agent_lead_update_job(agent, job, clock_now_ms());
}

static void
apply_progress_item(
    struct agent *agent, const char *id, const struct platform_store_item *item)
{
	struct view_job *job = item->deleted ? agent_view_job(agent, id)
					     : get_or_add_job(agent, id);
	struct ibis_status status = {0};
	Ibis__JobProgress *progress;

	if (job == NULL || item->deleted)
		return;
	progress =
	    parse_progress(job, item->value, item->value_length, &status);
	if (progress == NULL) {
		agent_watch_log_unreadable(item, status.message);
		job->progress_unreadable = true;
		return;
	}
	job->progress_unreadable = false;
	job->phase = progress->phase;
	job->ended_wall_ms = progress->ended_wall_ms;
	job->progress_revision = item->revision;
	buffer_clear(&job->progress);
	buffer_append(&job->progress, item->value, item->value_length);
	proto_free(&progress->base);
}

static void
apply_cancel_item(
    struct agent *agent, const char *id, const struct platform_store_item *item)
{
	struct view_job *job = item->deleted ? agent_view_job(agent, id)
					     : get_or_add_job(agent, id);

	if (job == NULL)
		return;
	if (item->deleted) {
		if (job->spec == NULL && job->progress.length == 0) {
			(void)name_index_remove(&agent->jobs, id);
			free_job(job);
		}
		return;
	}
	if (!job->cancelled)
		job->cancel_seen_ms = clock_now_ms();
	job->cancelled = true;
	agent_lead_update_job(agent, job, clock_now_ms());
}

static void
apply_lead_item(struct agent *agent, const struct platform_store_item *item)
{
	struct agent_lead_key *key = &agent->lead_key;

	*key = (struct agent_lead_key){
	    .present = !item->deleted,
	    .revision = item->revision,
	    .lease = item->lease,
	};
	if (!item->deleted && !STRING_COPY(key->holder, item->value))
		agent_watch_log_unreadable(item, "not the name of an instance");
	gauge_set(GAUGE_EPOCH, (int64_t)key->revision);
	log_event(LOG_INFO, "lead_seen", "holder", key->holder, "epoch",
	    log_number((int64_t)key->revision), NULL);
	key->changed = true;
}

static void
apply_record_item(void *context, const struct platform_store_item *item)
{
	struct agent *agent = context;
	const char *id;

	if ((id = agent_watch_key_suffix(item->key, AGENT_JOB_PREFIX)) != NULL)
		apply_job_item(agent, id, item);
	else if ((id = agent_watch_key_suffix(
		      item->key, AGENT_PROGRESS_PREFIX)) != NULL)
		apply_progress_item(agent, id, item);
	else if ((id = agent_watch_key_suffix(
		      item->key, AGENT_CANCEL_PREFIX)) != NULL)
		apply_cancel_item(agent, id, item);
	else if ((id = agent_watch_key_suffix(item->key, AGENT_PEER_PREFIX)) !=
	    NULL)
		agent_peers_apply_item(agent, id, item);
	else if ((id = agent_watch_key_suffix(
		      item->key, AGENT_CAPACITY_PREFIX)) != NULL)
		agent_peers_apply_capacity(agent, id, item);
	else if (strcmp(item->key, AGENT_LEAD_KEY) == 0)
		apply_lead_item(agent, item);
}

void
agent_view_add_job(struct agent *agent, const char *id, uint64_t revision,
    const char *record, size_t length)
{
	char key[PLATFORM_KEY_BYTES];
	struct platform_store_item item = {
	    .key = key,
	    .value = record,
	    .value_length = length,
	    .revision = revision,
	};

	(void)snprintf(key, sizeof(key), "%s%s", AGENT_JOB_PREFIX, id);
	agent_watch_apply(agent->records_watch, &item);
}

void
agent_view_start(struct agent *agent)
{
	struct agent_watch_config records = {
	    .prefix = AGENT_PREFIX,
	    .wait_ms = STORE_WATCH_WAIT_MS,
	    .pause_ms = RECORDS_PAUSE_MS,
	    .item = apply_record_item,
	    .context = agent,
	};

	agent->records_watch = agent_watch_new(&records, &agent->store);
}

void
agent_view_free(struct agent *agent)
{
	agent_watch_free(agent->records_watch);
	for (size_t i = 0; i < agent->jobs.count; i++)
		free_job(agent->jobs.items[i].item);
	name_index_free(&agent->jobs);
}

void
agent_view_step(struct agent *agent, int64_t now_ms)
{
	/* The lead, or an instance about to lead, needs changes at once. */
	agent_watch_set_pause(agent->records_watch,
	    agent->lead.state == AGENT_FOLLOWING ? RECORDS_PAUSE_MS : 0);
	agent_wake_at(agent, agent_watch_step(agent->records_watch, now_ms));
}

bool
agent_view_fresh(const struct agent *agent, int64_t now_ms)
{
	return agent_config_routes(agent) != NULL &&
	    agent_config_confirmed(agent, now_ms) &&
	    agent_watch_loaded(agent->records_watch) &&
	    now_ms - agent_watch_answered_ms(agent->records_watch) <
	    VIEW_MAX_AGE_MS &&
	    now_ms - agent_watch_answered_ms(agent->config.watch) <
	    VIEW_MAX_AGE_MS;
}
