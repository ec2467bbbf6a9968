/*
 * A seeded feed of jobs into the scheduler under a virtual clock. It knows only
 * arrivals, starts, ends, evictions and one zone's leaving and return.
 */
#ifndef IBIS_COMMON_FEED_H
#define IBIS_COMMON_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_fleet.h"
#include "process/settings.h"

struct feed_config {
	const struct fleet_size *size;
	enum settings_policy policy;
	double load;		/* offered work as a share of the capacity */
	double run_time_factor; /* declared run times are off by up to this */
	bool bursts;		/* of small jobs */
	bool zone_change;
	int64_t length_ms; /* of the arrivals */
	uint64_t seed;
};

struct feed_samples {
	double *values;
	size_t count;
	size_t capacity;
};

struct feed_class {
	uint64_t submitted;
	uint64_t finished;
	uint64_t missed; /* late, given up, refused or never finished */
	struct feed_samples deadline_share; /* of finished jobs */
	struct feed_samples start_ms;	    /* to the confirmed start */
};

struct feed_result {
	struct feed_class classes[FLEET_CLASSES];
	double goodput_share;	  /* of the capacity, by work done in time */
	double zone_work_share;	  /* of what the remaining capacity allows */
	double thrown_away_share; /* of all work */
	double unusable_for_guarantee_share; /* of what is free, over time */
	double unusable_for_rack_share;
	uint64_t evictions;
	uint64_t refused;
	uint64_t starts;
};

/* Runs a feed to the end of its jobs. Free the result with feed_free. */
void feed_run(const struct feed_config *config, struct feed_result *result);
void feed_free(struct feed_result *result);

/* Sorts the samples and returns a quantile, 0 when there are none. */
double feed_quantile(struct feed_samples *samples, double share);

#endif
