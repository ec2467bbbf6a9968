/*
 * Election of the lead: takes the lead key with a lease, renews the lease,
 * takes over and steps down.
 */
#include <string.h>

#include "agent/agent_state.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/log.h"
#include "process/proto_memory.h"

/* Lease of the lead key, unless the store's shortest lease is longer. The
 * store deletes the key when it has not been renewed for this time. */
#define LEAD_LEASE_MS	       1000
#define LEAD_RENEW_INTERVAL_MS 220
/* Limit of renewals in flight. There may be several, since answers can be
 * lost. */
#define LEAD_MAX_RENEWALS 5
/* Wait after a failed attempt to lead, and the upper bound of the random
 * time added to it. */
#define LEAD_RETRY_MS  150
#define LEAD_JITTER_MS 40
/* A new lead does not offer the lead to a fitter peer before this time. */
#define LEAD_SETTLE_MS 1000
/* How long an instance waits for the watch to show its lead key. */
#define LEAD_KEY_TIMEOUT_MS 2000
/* A lead that can't confirm its lead keeps renewing the leases of runs for this
 * long. A new lead waits for these leases to expire on workers that it
 * can't reach. */
#define RUN_RENEWAL_LIMIT_MS 2500
/* A lead that can't confirm its lead steps down, and so stops polling its
 * workers, after this time. */
#define LEAD_STEP_DOWN_MS 8000
/* Lease of runs; long enough to last until a new lead has taken over. */
#define RUN_LEASE_MS 6000

/* Returns to following; the next attempt to lead is due after a delay. */
static void
schedule_retry(struct agent *agent, int64_t now_ms, int64_t delay_ms)
{
	agent->lead.state = AGENT_FOLLOWING;
	agent->lead.replaced_revision = 0;
	agent->lead.next_try_ms =
	    now_ms + delay_ms + agent_random(agent, LEAD_JITTER_MS);
}

/* Adds a job to the fleet, for the service that its route leads to now. */
static struct fleet_job *
add_to_fleet(struct agent *agent, const struct view_job *job, int64_t now_ms)
{
	const char *service = agent_config_service(agent, job->spec->route);
	Ibis__StepJob *spec = (Ibis__StepJob *)proto_copy(&job->spec->base);
	Ibis__JobProgress *progress = NULL;
	struct fleet_job *added;

	if (service != NULL)
		proto_set_string(&spec->service, service);
	if (job->progress.length > 0)
		progress = (Ibis__JobProgress *)proto_unpack(
		    &ibis__job_progress__descriptor, job->progress.data,
		    job->progress.length);
	added = fleet_add_job(agent->fleet, job->id, spec, progress,
	    job->progress_revision, now_ms);
	if (progress != NULL)
		proto_free(&progress->base);
	return added;
}

void
agent_lead_update_job(struct agent *agent, struct view_job *job, int64_t now_ms)
{
	struct fleet_job *known;

	/* Without its progress it isn't known what runs of the job. */
	if (agent->fleet == NULL || job->spec == NULL ||
	    job->progress_unreadable)
		return;
	known = fleet_find_job(agent->fleet, job->id);
	if (known == NULL)
		known = add_to_fleet(agent, job, now_ms);
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
	    .previous_lead_renew_ms = RUN_RENEWAL_LIMIT_MS,
	    .stop_timeout_ms = agent->settings.stop_timeout_ms,
	    .remote_factor = agent->settings.remote_factor,
	    .max_open_tasks = agent_max_tasks(agent),
	};

	agent->lead.state = AGENT_LEADING;
	agent->lead.epoch = agent->lead_key.revision;
	agent->lead.generation++;
	agent->lead.lease_unconfirmed = false;
	agent->lead.replaced_revision = 0;
	agent->lead.offer_expires_ms = 0;
	agent->lead.taken_ms = now_ms;
	agent->lead.next_offer_ms = now_ms + LEAD_SETTLE_MS;
	agent->fleet = fleet_new(&config, now_ms);
	for (size_t i = 0; i < agent->jobs.count; i++)
		agent_lead_update_job(agent, agent->jobs.items[i].item, now_ms);
	agent_config_prepare_fleet(agent);
	agent_workers_start(agent);
	counter_add(COUNTER_LEADS_TAKEN, 1);
	gauge_set(GAUGE_LEADING, 1);
	log_event(LOG_INFO, "lead_taken", "epoch",
	    log_number((int64_t)agent->lead.epoch), "jobs",
	    log_number((int64_t)agent->jobs.count), "capacity",
	    log_number(agent_fitness_capacity(agent)), "best_peer_capacity",
	    log_number(agent_fitness_best_peer(agent)), NULL);
}

void
agent_lead_step_down(struct agent *agent, const char *reason)
{
	if (agent->lead.state != AGENT_LEADING)
		return;
	log_event(LOG_WARN, "lead_lost", "epoch",
	    log_number((int64_t)agent->lead.epoch), "reason", reason, NULL);
	counter_add(COUNTER_LEADS_LOST, 1);
	gauge_set(GAUGE_LEADING, 0);
	agent_records_drop(agent);
	agent_workers_stop(agent);
	agent_fleet_log(agent);
	fleet_free(agent->fleet);
	agent->fleet = NULL;
	agent->lead.generation++;
	agent->lead.lease = 0;
	schedule_retry(agent, clock_now_ms(), LEAD_RETRY_MS);
}

void
agent_lead_reload(struct agent *agent, const char *reason)
{
	agent_watch_reload(agent->records_watch);
	agent_lead_step_down(agent, reason);
}

/* Returns whether nobody leads. A key without a lease is not a lead's, and
 * would never expire. */
static bool
is_vacant(const struct agent_lead_key *key)
{
	return !key->present || key->lease == 0;
}

/*
 * Takes over, steps down or schedules an attempt to lead after the lead key
 * has changed. A listing reports the lead key before the records that follow
 * it in key order, so an instance takes over only once the listing is
 * complete.
 */
static void
handle_key_change(struct agent *agent, int64_t now_ms)
{
	struct agent_lead_key *key = &agent->lead_key;

	if (!key->changed ||
	    (agent->lead.state != AGENT_LEADING &&
		!agent_watch_complete(agent->records_watch)))
		return;
	key->changed = false;
	if (agent->lead.state == AGENT_LEADING) {
		if (!key->present || key->revision != agent->lead.epoch)
			agent_lead_step_down(agent, "key taken or gone");
		return;
	}
	if (key->present && key->lease == agent->lead.lease &&
	    agent->lead.lease != 0 && !agent->stopping)
		take_over(agent, now_ms);
	else if (is_vacant(key) && agent->lead.state == AGENT_FOLLOWING)
		agent->lead.next_try_ms = now_ms +
		    agent_fitness_yield_ms(agent) +
		    agent_random(agent, LEAD_JITTER_MS);
}

static void
key_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	if (agent->lead.state != AGENT_REQUESTING_KEY)
		return;
	if (answer->outcome == STORE_DONE || answer->outcome == STORE_UNKNOWN) {
		agent->lead.state = AGENT_AWAITING_KEY;
		agent->lead.key_requested_ms = clock_now_ms();
		return;
	}
	schedule_retry(agent, clock_now_ms(), LEAD_RETRY_MS);
}

static void
request_key(struct agent *agent)
{
	struct platform_store_op change = {
	    .key = AGENT_LEAD_KEY,
	    .has_condition = true,
	    .condition = agent->lead.replaced_revision,
	    .put = true,
	    .value = agent->settings.name,
	    .value_length = strlen(agent->settings.name),
	    .lease = agent->lead.lease,
	};

	agent->lead.state = AGENT_REQUESTING_KEY;
	platform_store_commit(&agent->store, &change, 1, key_answered, agent);
}

/* Returns whether the lead key is still as it was when the lease was requested.
 */
static bool
key_is_unchanged(const struct agent *agent)
{
	if (agent->lead.replaced_revision == 0)
		return !agent->lead_key.present;
	return agent->lead_key.present &&
	    agent->lead_key.revision == agent->lead.replaced_revision;
}

static void
lease_answered(void *context, const struct platform_store_answer *answer)
{
	struct agent *agent = context;

	if (agent->lead.state != AGENT_REQUESTING_LEASE)
		return;
	/* A key with lease 0 would never expire. */
	if (answer->outcome != STORE_DONE || answer->lease == 0 ||
	    !key_is_unchanged(agent)) {
		schedule_retry(agent, clock_now_ms(), LEAD_RETRY_MS);
		return;
	}
	agent->lead.lease = answer->lease;
	agent->lead.renewed_ms = answer->sent_ms;
	agent->lead.next_renew_ms = answer->sent_ms + LEAD_RENEW_INTERVAL_MS;
	request_key(agent);
}

void
agent_lead_request(struct agent *agent, uint64_t replaced_revision)
{
	int32_t lease_ms = LEAD_LEASE_MS > agent->settings.min_store_lease_ms
	    ? LEAD_LEASE_MS
	    : agent->settings.min_store_lease_ms;

	agent->lead.replaced_revision = replaced_revision;
	agent->lead.state = AGENT_REQUESTING_LEASE;
	platform_store_grant_lease(
	    &agent->store, lease_ms, lease_answered, agent);
}

static void
try_to_lead(struct agent *agent, int64_t now_ms)
{
	const struct agent_lead_key *key = &agent->lead_key;

	if (!is_vacant(key) || agent->stopping ||
	    !agent_view_fresh(agent, now_ms))
		return;
	if (now_ms < agent->lead.next_try_ms) {
		agent_wake_at(agent, agent->lead.next_try_ms);
		return;
	}
	agent_lead_request(agent, key->present ? key->revision : 0);
}

/* A renewal in flight. When it is answered, this instance may hold another
 * lease or none. */
struct renewal {
	struct agent *agent;
	uint64_t lease;
};

static void
renewal_answered(void *context, const struct platform_store_answer *answer)
{
	struct renewal *renewal = context;
	struct agent *agent = renewal->agent;
	bool current = agent->lead.state == AGENT_LEADING &&
	    agent->lead.lease == renewal->lease;

	mem_free(renewal);
	agent->lead.renewals_in_flight--;
	if (!current)
		return;
	if (answer->outcome == STORE_DONE) {
		if (answer->sent_ms > agent->lead.renewed_ms)
			agent->lead.renewed_ms = answer->sent_ms;
		if (agent->lead.lease_unconfirmed)
			log_event(LOG_INFO, "lead_lease_back", NULL);
		agent->lead.lease_unconfirmed = false;
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
	platform_store_renew_lease(
	    &agent->store, renewal->lease, renewal_answered, renewal);
}

/* Returns the last time at which this instance is known to have led. A lease
 * lives on when a peer overwrites the lead key in a handover, so a renewal
 * alone doesn't show that the key still has this epoch. */
static int64_t
lead_confirmed_ms(const struct agent *agent)
{
	int64_t key_seen_ms = agent_watch_current_ms(agent->records_watch);

	return key_seen_ms < agent->lead.renewed_ms ? key_seen_ms
						    : agent->lead.renewed_ms;
}

int64_t
agent_lead_grant_start_ms(const struct agent *agent, int64_t now_ms)
{
	int64_t latest_ms = lead_confirmed_ms(agent) + RUN_RENEWAL_LIMIT_MS;

	return now_ms < latest_ms ? now_ms : latest_ms;
}

/* Renews the lead lease, or steps down when the lead has not been confirmed for
 * too long. */
static void
maintain_lease(struct agent *agent, int64_t now_ms)
{
	int64_t age_ms = now_ms - agent->lead.renewed_ms;

	if (now_ms - lead_confirmed_ms(agent) > LEAD_STEP_DOWN_MS) {
		agent_lead_step_down(agent, "store silent");
		return;
	}
	if (age_ms > LEAD_LEASE_MS && !agent->lead.lease_unconfirmed) {
		agent->lead.lease_unconfirmed = true;
		log_event(LOG_WARN, "lead_lease_unsure", "age_ms",
		    log_number(age_ms), NULL);
	}
	if (agent->lead.renewals_in_flight < LEAD_MAX_RENEWALS &&
	    now_ms >= agent->lead.next_renew_ms) {
		agent->lead.renewals_in_flight++;
		agent->lead.next_renew_ms = now_ms + LEAD_RENEW_INTERVAL_MS;
		send_renewal(agent);
	}
	if (agent->lead.renewals_in_flight < LEAD_MAX_RENEWALS)
		agent_wake_at(agent, agent->lead.next_renew_ms);
}

void
agent_lead_step(struct agent *agent, int64_t now_ms)
{
	handle_key_change(agent, now_ms);
	switch (agent->lead.state) {
	case AGENT_FOLLOWING:
		try_to_lead(agent, now_ms);
		break;
	case AGENT_REQUESTING_LEASE:
	case AGENT_REQUESTING_KEY:
		break;
	case AGENT_AWAITING_KEY:
		if (now_ms - agent->lead.key_requested_ms > LEAD_KEY_TIMEOUT_MS)
			schedule_retry(agent, now_ms, 0);
		else
			agent_wake_at(agent,
			    agent->lead.key_requested_ms + LEAD_KEY_TIMEOUT_MS +
				1);
		break;
	case AGENT_LEADING:
		agent_handover_step(agent, now_ms);
		if (agent->lead.state == AGENT_LEADING)
			maintain_lease(agent, now_ms);
		break;
	}
}

static void
release_answered(void *context, const struct platform_store_answer *answer)
{
	(void)context;
	log_event(LOG_INFO, "lead_released", "done",
	    answer->outcome == STORE_DONE ? "true" : "false", NULL);
}

/* Ignores the answer for a lease that was never used to lead; if the call has
 * failed, the lease expires. */
static void
unused_lease_ended(void *context, const struct platform_store_answer *answer)
{
	(void)context;
	(void)answer;
}

void
agent_lead_release(struct agent *agent)
{
	bool leading = agent->lead.state == AGENT_LEADING;
	uint64_t lease = agent->lead.lease;

	if (lease == 0)
		return;
	agent_lead_step_down(agent, "stopping");
	agent->lead.lease = 0;
	platform_store_revoke_lease(&agent->store, lease,
	    leading ? release_answered : unused_lease_ended, agent);
}
