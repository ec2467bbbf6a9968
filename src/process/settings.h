/*
 * Settings of one instance: the definition of struct ibis_settings, which is
 * opaque in ibistrestle.h, its parser and the commented defaults.
 */
#ifndef IBIS_SETTINGS_H
#define IBIS_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "process/buffer.h"
#include "process/log.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	SETTINGS_TEXT_BYTES = 128 /* with the NUL */
};

enum settings_policy {
	POLICY_GUARANTEED,
	POLICY_FIRST_FIT /* baseline for measurements */
};

/* Each field is read from the key with its name. The comments give the
 * defaults. The key table in settings.c has the descriptions and the valid
 * ranges. */
struct ibis_settings {
	char name[SETTINGS_TEXT_BYTES];
	char availability_zone[SETTINGS_TEXT_BYTES];
	char pool[SETTINGS_TEXT_BYTES];		  /* "main" */
	char caller_address[SETTINGS_TEXT_BYTES]; /* IP:PORT; port 0: any */
	char peer_address[SETTINGS_TEXT_BYTES];	  /* IP:PORT; port 0: any */
	char store_address[SETTINGS_TEXT_BYTES];  /* IP:PORT */
	enum log_level log_level;
	int32_t log_event_lines_per_s; /* 50 */
	enum settings_policy policy;
	int32_t segments;		/* 16 */
	int32_t lead_lease_ms;		/* 3000 */
	int32_t heartbeat_interval_ms;	/* 250 */
	int32_t peer_timeout_ms;	/* 1000 */
	int32_t store_timeout_ms;	/* 1000 */
	int32_t freshness_ms;		/* 1500 */
	int32_t reservation_ms;		/* 1200 */
	int32_t first_lease_ms;		/* 2000 */
	int32_t task_lease_ms;		/* 10000 */
	int32_t worker_poll_ms;		/* 200 */
	int32_t worker_timeout_ms;	/* 700 */
	int32_t worker_lost_ms;		/* 5000 */
	int32_t drain_ms;		/* 30000 */
	int32_t tombstone_retention_ms; /* 86400000 */
	int32_t max_wait_ms;		/* 120000 */
	int32_t max_body_bytes;		/* 262144 */
	int32_t max_bodies_bytes;	/* 67108864 */
	int32_t max_answer_bytes;	/* 524288 */
	int32_t max_connections;	/* 4000 */
	int32_t max_queued_jobs;	/* 20000 */
	int32_t reclaim_bound_ms;	/* 4200 */
	int32_t zone_return_ramp_ms;	/* 10000 */
	int32_t max_attempts;		/* 5 */
};

/*
 * Parses settings from a text. source names the text in errors. Each of the
 * count overrides is a KEY=VALUE string that replaces a value of the text.
 * Returns NULL and fills status if a key is unknown or repeated, a value is
 * invalid or missing, or two values contradict each other. The caller frees the
 * result with ibis_settings_free.
 */
struct ibis_settings *settings_parse(const char *text, const char *source,
    const char *const *overrides, size_t count, struct ibis_status *status);

/* Appends all keys with descriptions and default values to text, as JSON with
 * comments. Keys that have no default get an example value. */
void settings_write_defaults(struct buffer *text);

#ifdef __cplusplus
}
#endif

#endif
