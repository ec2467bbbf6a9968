#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/histogram.h"
#include "process/proto_memory.h"
#include "process/slo_burn.h"

#define BUCKET_COUNT	   (SLO_LONG_WINDOW_MS / SLO_BUCKET_MS)
#define SHORT_BUCKET_COUNT (SLO_SHORT_WINDOW_MS / SLO_BUCKET_MS)
#define PEER_COUNTS_TTL_MS 60000
#define COMPLETION_METRIC  "ibis_completion_seconds"

/* The fast rate uses 2 % of a month's error budget in an hour. */
#define FAST_BURN_RATE 14.4
#define SLOW_BURN_RATE 6.0

/* Keeps the burn rate for a target of 1 finite. */
#define MIN_ALLOWED_SHARE 1e-6

struct bucket {
	uint32_t good;
	uint32_t bad;
};

/* Jobs of one class whose end this instance recorded. buckets is a ring
 * buffer. */
struct class_burn {
	char name[JOB_NAME_BYTES];
	struct bucket buckets[BUCKET_COUNT];
	int64_t newest; /* newest bucket, numbered from time 0 */
	struct histogram completion;
};

/* Counts of one class from the latest heartbeat of another instance. */
struct peer_counts {
	char peer[JOB_NAME_BYTES];
	char request_class[JOB_NAME_BYTES];
	struct slo_counts counts;
	int64_t received_ms;
};

struct slo_burn {
	struct class_burn **classes;
	size_t classes_count;
	size_t classes_capacity;
	struct peer_counts *peers;
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

enum slo_outcome
slo_burn_classify(
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

/* Makes the bucket of now_ms the newest and clears all buckets added since the
 * previous newest one. */
static void
advance_buckets(struct class_burn *class_burn, int64_t now_ms)
{
	int64_t current = now_ms / SLO_BUCKET_MS;

	if (current - class_burn->newest >= BUCKET_COUNT)
		class_burn->newest = current - BUCKET_COUNT;
	while (class_burn->newest < current) {
		class_burn->newest++;
		class_burn->buckets[class_burn->newest % BUCKET_COUNT] =
		    (struct bucket){0};
	}
}

void
slo_burn_record(struct slo_burn *burn, const char *request_class,
    enum slo_outcome outcome, int64_t completion_ms, int64_t now_ms)
{
	struct class_burn *class_burn;
	struct bucket *bucket;

	if (outcome == SLO_IGNORED)
		return;
	class_burn = add_class(burn, request_class, now_ms);
	advance_buckets(class_burn, now_ms);
	bucket = &class_burn->buckets[class_burn->newest % BUCKET_COUNT];
	if (outcome == SLO_GOOD)
		bucket->good++;
	else
		bucket->bad++;
	histogram_observe(&class_burn->completion, completion_ms);
}

/* Returns the counts of a class on this instance. */
static struct slo_counts
local_counts(struct class_burn *burn, int64_t now_ms)
{
	struct slo_counts counts = {0};

	advance_buckets(burn, now_ms);
	for (int64_t age = 0; age < BUCKET_COUNT && age <= burn->newest;
	     age++) {
		const struct bucket *bucket =
		    &burn->buckets[(burn->newest - age) % BUCKET_COUNT];

		counts.good_long += bucket->good;
		counts.bad_long += bucket->bad;
		if (age < SHORT_BUCKET_COUNT) {
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
drop_expired_peers(struct slo_burn *burn, int64_t now_ms)
{
	size_t remaining = 0;

	for (size_t i = 0; i < burn->peers_count; i++) {
		if (now_ms - burn->peers[i].received_ms < PEER_COUNTS_TTL_MS)
			burn->peers[remaining++] = burn->peers[i];
	}
	burn->peers_count = remaining;
}

struct slo_counts
slo_burn_counts(
    struct slo_burn *burn, const char *request_class, int64_t now_ms)
{
	struct class_burn *class_burn = find_class(burn, request_class);
	struct slo_counts counts = {0};

	if (class_burn != NULL)
		counts = local_counts(class_burn, now_ms);
	drop_expired_peers(burn, now_ms);
	for (size_t i = 0; i < burn->peers_count; i++) {
		if (strcmp(burn->peers[i].request_class, request_class) == 0)
			add_counts(&counts, &burn->peers[i].counts);
	}
	return counts;
}

double
slo_burn_rate(uint64_t good, uint64_t bad, double target)
{
	double allowed_share = 1.0 - target;

	if (bad == 0)
		return 0.0;
	if (allowed_share < MIN_ALLOWED_SHARE)
		allowed_share = MIN_ALLOWED_SHARE;
	return (double)bad / (double)(good + bad) / allowed_share;
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
	return SLO_NO_ALERT;
}

void
slo_burn_fill_heartbeat(
    struct slo_burn *burn, Ibis__Heartbeat *heartbeat, int64_t now_ms)
{
	heartbeat->burn =
	    mem_calloc(burn->classes_count, sizeof(Ibis__ClassBurn *));
	heartbeat->n_burn = burn->classes_count;
	for (size_t i = 0; i < burn->classes_count; i++) {
		struct slo_counts counts =
		    local_counts(burn->classes[i], now_ms);
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
drop_peer_counts(struct slo_burn *burn, const char *peer)
{
	size_t remaining = 0;

	for (size_t i = 0; i < burn->peers_count; i++) {
		if (strcmp(burn->peers[i].peer, peer) != 0)
			burn->peers[remaining++] = burn->peers[i];
	}
	burn->peers_count = remaining;
}

void
slo_burn_update_peer(
    struct slo_burn *burn, const Ibis__Heartbeat *heartbeat, int64_t now_ms)
{
	drop_peer_counts(burn, heartbeat->name);
	for (size_t i = 0; i < heartbeat->n_burn; i++) {
		const Ibis__ClassBurn *message = heartbeat->burn[i];
		struct peer_counts *peer;

		if (!STRING_FITS(peer->request_class, message->request_class))
			continue;
		burn->peers = mem_grow(burn->peers, &burn->peers_capacity,
		    burn->peers_count + 1, sizeof(*burn->peers));
		peer = &burn->peers[burn->peers_count++];
		*peer = (struct peer_counts){
		    .counts =
			{
			    .good_short = message->good_short,
			    .bad_short = message->bad_short,
			    .good_long = message->good_long,
			    .bad_long = message->bad_long,
			},
		    .received_ms = now_ms,
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
