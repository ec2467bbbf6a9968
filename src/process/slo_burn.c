#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/histogram.h"
#include "process/proto_memory.h"
#include "process/slo_burn.h"

#define BUCKETS		  (SLO_LONG_WINDOW_MS / SLO_BUCKET_MS)
#define SHORT_BUCKETS	  (SLO_SHORT_WINDOW_MS / SLO_BUCKET_MS)
#define PEER_COUNTS_MS	  60000
#define FAST_BURN_RATE	  14.4 /* 2 % of a month's budget in an hour */
#define SLOW_BURN_RATE	  6.0
#define COMPLETION_METRIC "ibis_completion_seconds"

struct bucket {
	uint32_t good;
	uint32_t bad;
};

/* Jobs of one class that ended on this instance. */
struct class_burn {
	char name[JOB_NAME_BYTES];
	struct bucket buckets[BUCKETS];
	int64_t newest; /* number of the newest bucket since time 0 */
	struct histogram completion;
};

/* What another instance reported of one class. */
struct peer_burn {
	char peer[JOB_NAME_BYTES];
	char request_class[JOB_NAME_BYTES];
	struct slo_counts counts;
	int64_t heard_ms;
};

struct slo_burn {
	struct class_burn **classes;
	size_t classes_count;
	size_t classes_capacity;
	struct peer_burn *peers;
	size_t peers_count;
	size_t peers_capacity;
};

struct slo_burn *
slo_burn_new(void)
{
	return mem_calloc(1, sizeof(struct slo_burn));
}

void
slo_burn_free(struct slo_burn *burn)
{
	if (burn == NULL)
		return;
	for (size_t i = 0; i < burn->classes_count; i++)
		mem_free(burn->classes[i]);
	mem_free(burn->classes);
	mem_free(burn->peers);
	mem_free(burn);
}

enum slo_verdict
slo_burn_judge(
    Ibis__JobState state, int64_t completion_ms, int32_t objective_ms)
{
	if (state == IBIS__JOB_STATE__JOB_CANCELLED)
		return SLO_IGNORED;
	if (state == IBIS__JOB_STATE__JOB_FINISHED &&
	    (objective_ms == 0 || completion_ms <= objective_ms))
		return SLO_GOOD;
	return SLO_BAD;
}

static struct class_burn *
find_class(const struct slo_burn *burn, const char *name)
{
	for (size_t i = 0; i < burn->classes_count; i++) {
		if (strcmp(burn->classes[i]->name, name) == 0)
			return burn->classes[i];
	}
	return NULL;
}

static struct class_burn *
add_class(struct slo_burn *burn, const char *name, int64_t now_ms)
{
	struct class_burn *class_burn = find_class(burn, name);

	if (class_burn != NULL)
		return class_burn;
	class_burn = mem_calloc(1, sizeof(*class_burn));
	STRING_COPY(class_burn->name, name);
	class_burn->newest = now_ms / SLO_BUCKET_MS;
	burn->classes = mem_grow(burn->classes, &burn->classes_capacity,
	    burn->classes_count + 1, sizeof(struct class_burn *));
	burn->classes[burn->classes_count++] = class_burn;
	return class_burn;
}

/* Empties the buckets that came into use since the newest one. */
static void
advance(struct class_burn *class_burn, int64_t now_ms)
{
	int64_t current = now_ms / SLO_BUCKET_MS;

	if (current - class_burn->newest >= BUCKETS)
		class_burn->newest = current - BUCKETS;
	while (class_burn->newest < current) {
		class_burn->newest++;
		class_burn->buckets[class_burn->newest % BUCKETS] =
		    (struct bucket){0};
	}
}

void
slo_burn_record(struct slo_burn *burn, const char *request_class,
    enum slo_verdict verdict, int64_t completion_ms, int64_t now_ms)
{
	struct class_burn *class_burn;
	struct bucket *bucket;

	if (verdict == SLO_IGNORED)
		return;
	class_burn = add_class(burn, request_class, now_ms);
	advance(class_burn, now_ms);
	bucket = &class_burn->buckets[class_burn->newest % BUCKETS];
	if (verdict == SLO_GOOD)
		bucket->good++;
	else
		bucket->bad++;
	histogram_observe(&class_burn->completion, completion_ms);
}

static struct slo_counts
own_counts(struct class_burn *class_burn, int64_t now_ms)
{
	struct slo_counts counts = {0};

	advance(class_burn, now_ms);
	for (int64_t age = 0; age < BUCKETS && age <= class_burn->newest;
	     age++) {
		const struct bucket *bucket =
		    &class_burn->buckets[(class_burn->newest - age) % BUCKETS];

		counts.good_long += bucket->good;
		counts.bad_long += bucket->bad;
		if (age < SHORT_BUCKETS) {
			counts.good_short += bucket->good;
			counts.bad_short += bucket->bad;
		}
	}
	return counts;
}

static void
add_counts(struct slo_counts *sum, const struct slo_counts *counts)
{
	sum->good_short += counts->good_short;
	sum->bad_short += counts->bad_short;
	sum->good_long += counts->good_long;
	sum->bad_long += counts->bad_long;
}

static void
drop_old_peers(struct slo_burn *burn, int64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < burn->peers_count; i++) {
		if (now_ms - burn->peers[i].heard_ms < PEER_COUNTS_MS)
			burn->peers[kept++] = burn->peers[i];
	}
	burn->peers_count = kept;
}

struct slo_counts
slo_burn_counts(
    struct slo_burn *burn, const char *request_class, int64_t now_ms)
{
	struct class_burn *class_burn = find_class(burn, request_class);
	struct slo_counts counts = {0};

	if (class_burn != NULL)
		counts = own_counts(class_burn, now_ms);
	drop_old_peers(burn, now_ms);
	for (size_t i = 0; i < burn->peers_count; i++) {
		if (strcmp(burn->peers[i].request_class, request_class) == 0)
			add_counts(&counts, &burn->peers[i].counts);
	}
	return counts;
}

double
slo_burn_rate(uint64_t good, uint64_t bad, double target)
{
	double allowed = 1.0 - target;

	if (bad == 0)
		return 0.0;
	/* A target of 1 allows nothing; keep the rate finite. */
	if (allowed < 1e-6)
		allowed = 1e-6;
	return (double)bad / (double)(good + bad) / allowed;
}

enum slo_alert
slo_burn_alert(const struct slo_counts *counts, double target)
{
	double short_rate =
	    slo_burn_rate(counts->good_short, counts->bad_short, target);
	double long_rate =
	    slo_burn_rate(counts->good_long, counts->bad_long, target);

	if (short_rate >= FAST_BURN_RATE && long_rate >= FAST_BURN_RATE)
		return SLO_FAST_BURN;
	if (short_rate >= SLOW_BURN_RATE && long_rate >= SLOW_BURN_RATE)
		return SLO_SLOW_BURN;
	return SLO_QUIET;
}

void
slo_burn_fill_heartbeat(
    struct slo_burn *burn, Ibis__Heartbeat *heartbeat, int64_t now_ms)
{
	heartbeat->burn =
	    mem_calloc(burn->classes_count, sizeof(Ibis__ClassBurn *));
	heartbeat->n_burn = burn->classes_count;
	for (size_t i = 0; i < burn->classes_count; i++) {
		struct slo_counts counts = own_counts(burn->classes[i], now_ms);
		Ibis__ClassBurn *message = mem_calloc(1, sizeof(*message));

		ibis__class_burn__init(message);
		proto_set_string(
		    &message->request_class, burn->classes[i]->name);
		message->good_short = counts.good_short;
		message->bad_short = counts.bad_short;
		message->good_long = counts.good_long;
		message->bad_long = counts.bad_long;
		heartbeat->burn[i] = message;
	}
}

void
slo_burn_clear_heartbeat(Ibis__Heartbeat *heartbeat)
{
	for (size_t i = 0; i < heartbeat->n_burn; i++)
		proto_free(&heartbeat->burn[i]->base);
	mem_free(heartbeat->burn);
	heartbeat->burn = NULL;
	heartbeat->n_burn = 0;
}

static void
drop_peer(struct slo_burn *burn, const char *peer)
{
	size_t kept = 0;

	for (size_t i = 0; i < burn->peers_count; i++) {
		if (strcmp(burn->peers[i].peer, peer) != 0)
			burn->peers[kept++] = burn->peers[i];
	}
	burn->peers_count = kept;
}

void
slo_burn_merge(
    struct slo_burn *burn, const Ibis__Heartbeat *heartbeat, int64_t now_ms)
{
	drop_peer(burn, heartbeat->name);
	for (size_t i = 0; i < heartbeat->n_burn; i++) {
		const Ibis__ClassBurn *message = heartbeat->burn[i];
		struct peer_burn *peer;

		burn->peers = mem_grow(burn->peers, &burn->peers_capacity,
		    burn->peers_count + 1, sizeof(*burn->peers));
		peer = &burn->peers[burn->peers_count++];
		*peer = (struct peer_burn){
		    .counts =
			{
			    .good_short = message->good_short,
			    .bad_short = message->bad_short,
			    .good_long = message->good_long,
			    .bad_long = message->bad_long,
			},
		    .heard_ms = now_ms,
		};
		STRING_COPY(peer->peer, heartbeat->name);
		STRING_COPY(peer->request_class, message->request_class);
	}
}

void
slo_burn_write_metrics(const struct slo_burn *burn, struct buffer *text)
{
	buffer_puts(text,
	    "# HELP " COMPLETION_METRIC
	    " Time from a job's acceptance to its end, by class, of jobs that "
	    "ended here.\n# TYPE " COMPLETION_METRIC " histogram\n");
	for (size_t i = 0; i < burn->classes_count; i++) {
		char labels[JOB_NAME_BYTES + sizeof("class=\"\"")];

		(void)snprintf(labels, sizeof(labels), "class=\"%s\"",
		    burn->classes[i]->name);
		histogram_write(&burn->classes[i]->completion,
		    COMPLETION_METRIC, labels, text);
	}
}
