/*
 * Faults of one worker of a site: how it treats its connections and reports,
 * for how many calls, and what sets them off. The site serialises all calls.
 */
#ifndef IBIS_FAKE_SITE_FAULT_H
#define IBIS_FAKE_SITE_FAULT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/fake_server.h"
#include "workers/sync.h"
#include "workers/worker.h"

enum {
	FAULT_MODE_BYTES = 24
};

/* How a worker treats its connections. */
enum link_fault {
	LINK_SOUND,
	LINK_SILENT,  /* requests on connections of before get no answer */
	LINK_MUTE,    /* requests are not carried out and get no answer */
	LINK_LOSE,    /* carried out, then the connection is cut */
	LINK_SWALLOW, /* carried out, then there is no answer */
	LINK_LATE     /* carried out, answered delay_ms later */
};

/* A fault that begins once a command of a kind comes. */
struct trigger {
	bool armed;
	bool after; /* the command has been carried out */
	enum worker_verb verb;
	char mode[FAULT_MODE_BYTES];
};

/* A fault lasts for count sync calls; 0: until it is changed. */
struct site_worker {
	struct fake_worker model;
	enum link_fault link;
	enum report_fault report;
	int64_t silenced_ms; /* when the connections of before went silent */
	int64_t delay_ms;
	int64_t count;
	struct trigger trigger;
};

/* What a request meets. */
struct meeting {
	bool mute;
	bool cut;
	bool lose;
	bool swallow;
	int64_t delay_ms;
	enum report_fault report;
};

/* Begins the fault in a request's body at once, or arms it for a verb. Returns
 * false when mode or verb is unknown. */
bool site_fault_begin(
    struct site_worker *worker, struct json_object *body, const char *mode);

/* Begins an armed fault if its command is there. after tells whether the
 * commands have been carried out. */
void site_fault_trigger(struct site_worker *worker,
    const struct worker_command *commands, size_t count, bool after);

struct meeting site_fault_meet(
    const struct site_worker *worker, const struct fake_request *request);

/* Counts a sync call against the fault. */
void site_fault_count(struct site_worker *worker);

#endif
