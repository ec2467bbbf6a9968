/* Leading: the lease on the lead's key, taking over and stepping down. */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* How long the lead's key outlives its holder. */
#define LEAD_LEASE_MS 1000
#define LEAD_RENEW_MS 220
/* Renewals that may be without an answer: some answers get lost. */
#define LEAD_RENEWALS  5
#define LEAD_RETRY_MS  150
#define LEAD_JITTER_MS 40
#define LEAD_ANSWER_MS 2000
/* A lead that the store does not answer goes on renewing what runs so long: a
 * new lead waits for these leases where it can't reach a worker. */
#define RUN_GRACE_MS 2500
/* It goes on looking after its workers so long. */
#define LEAD_GRACE_MS 8000
/* Lease of what runs: outlasts a takeover. */
#define RUN_LEASE_MS 6000

static void
next_try(struct agent *agent, int64_t now_ms, int64_t delay_ms)
{
	agent->lead.state = LEAD_FOLLOWS;
	agent->lead.replaces = 0;
	agent->lead.next_try_ms =
	    now_ms + delay_ms + agent_random(agent, LEAD_JITTER_MS);
}

void
agent_lead_job(struct agent *agent, struct view_job *job, int64_t now_ms)
{
	Ibis__JobProgress *progress = NULL;
	struct fleet_job *known;

	if (agent->fleet == NULL || job->spec == NULL)
		return;
	known = fleet_find_job(agent->fleet, job->id);
	if (known == NULL) {
		if (job->progress.length > 0)
			progress = (Ibis__JobProgress *)proto_unpack(
			    &ibis__job_progress__descriptor, job->progress.data,
			    job->progress.length);
		known = fleet_add_job(agent->fleet, job->id,
		    (Ibis__StepJob *)proto_copy(&job->spec->base), progress,
		    job->progress_revision, now_ms);
		if (progress != NULL)
			proto_free(&progress->base);
	}
	if (job->cancelled && known != NULL)
		fleet_cancel_job(agent->fleet, known, now_ms);
}

static void
take_over(struct agent *agent, int64_t now_ms)
{
	struct fleet_config config = {
	    .lease_ms = RUN_LEASE_MS < agent->settings.max_lease_ms
		? RUN_LEASE_MS
		: agent->settings.max_lease_ms,
	    .max_lease_ms = agent->settings.max_lease_ms,
	    .old_lead_ms = RUN_GRACE_MS,
	    .remote_factor = agent->settings.remote_factor,
	};

	agent->lead.state = LEAD_LEADS;
	agent->lead.epoch = agent->lead_key.revision;
	agent->lead.term++;
	agent->lead.lapsed = false;
	agent->lead.replaces = 0;
	agent->lead.release_ms = 0;
	agent->fleet = fleet_new(&config, now_ms);
	for (size_t i = 0; i < agent->jobs.count; i++)
		agent_lead_job(agent, agent->jobs.items[i].item, now_ms);
	for (size_t i = 0; i < agent->zones_out.count; i++)
		fleet_set_zone(
		    agent->fleet, agent->zones_out.items[i].name, false);
	for (size_t i = 0;
	     agent->routes != NULL && i < agent->routes->workspaces_count; i++)
		fleet_set_guarantee(agent->fleet,
		    agent->routes->workspaces[i].name,
		    agent->routes->workspaces[i].guaranteed_accelerators);
	agent_workers_start(agent);
	counter_add(COUNTER_LEADS_TAKEN, 1);
	gauge_set(GAUGE_LEADING, 1);
	log_event(LOG_INFO, "lead_taken", "epoch",
	    log_number((int64_t)agent->lead.epoch), "jobs",
	    log_number((int64_t)agent->jobs.count), NULL);
}

void
agent_lead_step_down(struct agent *agent, const char *reason)
{
	if (agent->lead.state != LEAD_LEADS)
		return;
	log_event(LOG_WARN, "lead_lost", "epoch",
	    log_number((int64_t)agent->lead.epoch), "reason", reason, NULL);
	counter_add(COUNTER_LEADS_LOST, 1);
	gauge_set(GAUGE_LEADING, 0);
	agent_records_drop(agent);
	agent_workers_stop(agent);
	fleet_free(agent->fleet);
	agent->fleet = NULL;
	agent->lead.term++;
	agent->lead.lease = 0;
	next_try(agent, clock_now_ms(), LEAD_RETRY_MS);
}

/*
 * A listing brings the key before the records that follow it in order: who
 * takes over waits for all of it.
 */
static void
note_key(struct agent *agent, int64_t now_ms)
{
	struct lead_key *key = &agent->lead_key;

	if (!key->changed ||
	    (agent->lead.state != LEAD_LEADS && !agent_watch_whole(agent->own)))
		return;
	key->changed = false;
	if (agent->lead.state == LEAD_LEADS) {
		if (!key->present || key->revision != agent->lead.epoch)
			agent_lead_step_down(agent, "key taken or gone");
		return;
	}
	if (key->present && key->lease == agent->lead.lease &&
	    agent->lead.lease != 0 && !agent->stopping)
		take_over(agent, now_ms);
	else if (!key->present && agent->lead.state == LEAD_FOLLOWS)
		agent->lead.next_try_ms =
		    now_ms + agent_random(agent, LEAD_JITTER_MS);
}

static void
key_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	if (agent->lead.state != LEAD_ASKS_KEY)
		return;
	if (answer->outcome == STORE_DONE || answer->outcome == STORE_UNKNOWN) {
		agent->lead.state = LEAD_WAITS_KEY;
		agent->lead.asked_ms = clock_now_ms();
		return;
	}
	next_try(agent, clock_now_ms(), LEAD_RETRY_MS);
}

static void
ask_key(struct agent *agent)
{
	struct platform_change change = {
	    .key = AGENT_LEAD_KEY,
	    .has_condition = true,
	    .condition = agent->lead.replaces,
	    .put = true,
	    .value = agent->settings.name,
	    .value_length = strlen(agent->settings.name),
	    .lease = agent->lead.lease,
	};

	agent->lead.state = LEAD_ASKS_KEY;
	platform_store_change(&agent->store, &change, 1, key_answered, agent);
}

/* Tells whether the key is still as it was when the lease was asked for. */
static bool
key_is_open(const struct agent *agent)
{
	if (agent->lead.replaces == 0)
		return !agent->lead_key.present;
	return agent->lead_key.present &&
	    agent->lead_key.revision == agent->lead.replaces;
}

static void
lease_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	if (agent->lead.state != LEAD_ASKS_LEASE)
		return;
	if (answer->outcome != STORE_DONE || !key_is_open(agent)) {
		next_try(agent, clock_now_ms(), LEAD_RETRY_MS);
		return;
	}
	agent->lead.lease = answer->lease;
	agent->lead.renewed_ms = answer->sent_ms;
	agent->lead.next_renew_ms = answer->sent_ms + LEAD_RENEW_MS;
	ask_key(agent);
}

void
agent_lead_ask(struct agent *agent, uint64_t replaces)
{
	int32_t lease_ms = LEAD_LEASE_MS > agent->settings.min_store_lease_ms
	    ? LEAD_LEASE_MS
	    : agent->settings.min_store_lease_ms;

	agent->lead.replaces = replaces;
	agent->lead.state = LEAD_ASKS_LEASE;
	platform_store_lease(&agent->store, lease_ms, lease_answered, agent);
}

static void
try_to_lead(struct agent *agent, int64_t now_ms)
{
	if (agent->lead_key.present || agent->stopping ||
	    !agent_view_fresh(agent, now_ms))
		return;
	if (now_ms < agent->lead.next_try_ms) {
		agent_wake_at(agent, agent->lead.next_try_ms);
		return;
	}
	agent_lead_ask(agent, 0);
}

/* A renewal on its way; a later lease may be ours when it is answered. */
struct renewal {
	struct agent *agent;
	uint64_t lease;
};

static void
renewed(void *context, const struct platform_store_answer *answer)
{
	struct renewal *renewal = context;
	struct agent *agent = renewal->agent;
	bool current = agent->lead.state == LEAD_LEADS &&
	    agent->lead.lease == renewal->lease;

	mem_free(renewal);
	agent->lead.renewing--;
	if (!current)
		return;
	if (answer->outcome == STORE_DONE) {
		if (answer->sent_ms > agent->lead.renewed_ms)
			agent->lead.renewed_ms = answer->sent_ms;
		if (agent->lead.lapsed)
			log_event(LOG_INFO, "lead_lease_back", NULL);
		agent->lead.lapsed = false;
		return;
	}
	if (answer->outcome == STORE_MISSING)
		agent_lead_step_down(agent, "lease ended");
}

static void
send_renewal(struct agent *agent)
{
	struct renewal *renewal = mem_calloc(1, sizeof(*renewal));

	renewal->agent = agent;
	renewal->lease = agent->lead.lease;
	platform_store_renew(&agent->store, renewal->lease, renewed, renewal);
}

int64_t
agent_lead_grant_from(const struct agent *agent, int64_t now_ms)
{
	int64_t latest_ms = agent->lead.renewed_ms + RUN_GRACE_MS;

	return now_ms < latest_ms ? now_ms : latest_ms;
}

static void
renew(struct agent *agent, int64_t now_ms)
{
	int64_t age_ms = now_ms - agent->lead.renewed_ms;

	if (age_ms > LEAD_GRACE_MS) {
		agent_lead_step_down(agent, "store silent");
		return;
	}
	if (age_ms > LEAD_LEASE_MS && !agent->lead.lapsed) {
		agent->lead.lapsed = true;
		log_event(LOG_WARN, "lead_lease_unsure", "age_ms",
		    log_number(age_ms), NULL);
	}
	if (agent->lead.renewing < LEAD_RENEWALS &&
	    now_ms >= agent->lead.next_renew_ms) {
		agent->lead.renewing++;
		agent->lead.next_renew_ms = now_ms + LEAD_RENEW_MS;
		send_renewal(agent);
	}
	if (agent->lead.renewing < LEAD_RENEWALS)
		agent_wake_at(agent, agent->lead.next_renew_ms);
}

void
agent_lead_step(struct agent *agent, int64_t now_ms)
{
	note_key(agent, now_ms);
	switch (agent->lead.state) {
	case LEAD_FOLLOWS:
		try_to_lead(agent, now_ms);
		break;
	case LEAD_ASKS_LEASE:
	case LEAD_ASKS_KEY:
		break;
	case LEAD_WAITS_KEY:
		if (now_ms - agent->lead.asked_ms > LEAD_ANSWER_MS)
			next_try(agent, now_ms, 0);
		else
			agent_wake_at(
			    agent, agent->lead.asked_ms + LEAD_ANSWER_MS + 1);
		break;
	case LEAD_LEADS:
		if (agent->lead.release_ms != 0 &&
		    now_ms >= agent->lead.release_ms) {
			agent_lead_release(agent);
			break;
		}
		if (agent->lead.release_ms != 0)
			agent_wake_at(agent, agent->lead.release_ms);
		renew(agent, now_ms);
		break;
	}
}

static void
released(void *context, const struct platform_store_answer *answer)
{
	(void)context;
	log_event(LOG_INFO, "lead_released", "done",
	    answer->outcome == STORE_DONE ? "true" : "false", NULL);
}

/* The lease of a try that came too late; it ends by itself as well. */
static void
unused_lease_ended(void *context, const struct platform_store_answer *answer)
{
	(void)context;
	(void)answer;
}

void
agent_lead_release(struct agent *agent)
{
	bool leading = agent->lead.state == LEAD_LEADS;
	uint64_t lease = agent->lead.lease;

	if (lease == 0)
		return;
	agent_lead_step_down(agent, "stopping");
	agent->lead.lease = 0;
	platform_store_end_lease(&agent->store, lease,
	    leading ? released : unused_lease_ended, agent);
}
