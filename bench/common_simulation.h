/*
 * Discrete-event simulation of a seeded job workload on the scheduler, with a
 * virtual clock. It models only job arrivals, starts, ends and evictions, and
 * one zone that is taken out of service and put back.
 */
#ifndef IBIS_COMMON_SIMULATION_H
#define IBIS_COMMON_SIMULATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_fleet.h"
#include "process/settings.h"

/* Parameters of one simulation. */
struct simulation_config {
	const struct fleet_size *size;
	enum settings_policy policy;
	double load; /* offered work as a share of the capacity */
	/* Declared run times are wrong by up to this factor either way. */
	double run_time_error_factor;
	bool bursts;	     /* half of the idle jobs arrive in bursts */
	bool zone_change;    /* the first zone leaves and returns */
	int64_t arrivals_ms; /* how long jobs keep arriving */
	uint64_t seed;
};

/* Growable array of measured values. */
struct simulation_samples {
	double *values;
	size_t count;
	size_t capacity;
};

/* Totals of one request class. */
struct simulation_class {
	uint64_t submitted;
	uint64_t finished;
	uint64_t missed; /* finished late, given up, refused or not finished */
	/* Completion time of each finished job as a share of the time from
	 * acceptance to its deadline. */
	struct simulation_samples deadline_share;
	/* Time from acceptance to the first confirmed start. */
	struct simulation_samples start_ms;
};

/* Totals of one simulation. Shares are fractions, not percentages. */
struct simulation_result {
	struct simulation_class classes[FLEET_CLASSES];
	/* Work done within arrivals_ms by jobs that met their deadline, as a
	 * share of the capacity over that time. */
	double goodput_share;
	/* Work done around the zone change, as a share of the capacity in
	 * service at the time. */
	double zone_work_share;
	double lost_work_share; /* work lost to evictions, of all work */
	/* Free accelerators that the largest guaranteed shape can't use, as a
	 * share of all free ones. */
	double unusable_for_guarantee_share;
	/* The same for a job that needs a whole rack. */
	double unusable_for_rack_share;
	uint64_t evictions;
	uint64_t refused;
	uint64_t starts;
};

/*
 * Simulates until all jobs have ended or four times arrivals_ms has passed;
 * jobs still open then count as missed. Overwrites result, which the caller
 * frees with simulation_free.
 */
void simulation_run(
    const struct simulation_config *config, struct simulation_result *result);

/* Frees the samples of a result and zeroes it, but not the struct itself. */
void simulation_free(struct simulation_result *result);

/* Sorts the samples in place and returns the quantile at share (0 to 1), or 0
 * if there are no samples. */
double simulation_quantile(struct simulation_samples *samples, double share);

#endif
