/*
 * Compares the scheduler's guaranteed policy with first fit (the baseline)
 * under the same simulated workloads, and measures the cost of single
 * decisions. Prints one line per metric. An argument selects scenarios by name
 * prefix.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common_cost.h"
#include "common_simulation.h"
#include "process/alloc.h"

#define SEED	    20261203
#define RUNS	    2
#define ARRIVALS_MS INT64_C(3600000)
#define P50	    0.5
#define P99	    0.99

static const struct fleet_size sizes[] = {
    {"hoofline", 4, 2, 6, 8},
    {"ikeja", 3, 2, 8, 8},
};

static const char *const class_names[FLEET_CLASSES] = {
    "urgent", "plan", "batch", "idle"};

/* Only scenarios whose name starts with this prefix are run. */
static const char *scenario_prefix = "";

static bool
is_selected(const char *scenario)
{
	return strncmp(scenario, scenario_prefix, strlen(scenario_prefix)) == 0;
}

/* Results of the same workloads under both policies. */
struct policy_results {
	struct simulation_result first_fit[RUNS];
	struct simulation_result guaranteed[RUNS];
};

static void
run_policies(struct simulation_config config, struct policy_results *results)
{
	for (int i = 0; i < RUNS; i++) {
		config.seed = (uint64_t)(SEED + i);
		config.policy = POLICY_FIRST_FIT;
		simulation_run(&config, &results->first_fit[i]);
		config.policy = POLICY_GUARANTEED;
		simulation_run(&config, &results->guaranteed[i]);
	}
}

static void
free_policy_results(struct policy_results *results)
{
	for (int i = 0; i < RUNS; i++) {
		simulation_free(&results->first_fit[i]);
		simulation_free(&results->guaranteed[i]);
	}
}

static void
print_metric(const char *scenario, const char *metric, double value,
    double baseline, const char *better, const char *unit, int runs)
{
	printf("metric=%s_%s value=%.4g baseline=%.4g better=%s unit=%s "
	       "seed=%d runs=%d\n",
	    scenario, metric, value, baseline, better, unit, SEED, runs);
	(void)fflush(stdout);
}

/* Figures that are printed from a simulation result. */
enum figure {
	FIGURE_DEADLINE_SHARE_P50,
	FIGURE_DEADLINE_SHARE_P99,
	FIGURE_MISSED,
	FIGURE_START_P50,
	FIGURE_START_P99,
	FIGURE_GUARANTEE_UNUSABLE,
	FIGURE_RACK_UNUSABLE,
	FIGURE_GOODPUT,
	FIGURE_ZONE_WORK,
	FIGURE_LOST_WORK,
	FIGURE_EVICTIONS
};

static double
read_figure(struct simulation_result *result, enum figure figure, int class)
{
	struct simulation_class *totals = &result->classes[class];

	switch (figure) {
	case FIGURE_DEADLINE_SHARE_P50:
		return simulation_quantile(&totals->deadline_share, P50);
	case FIGURE_DEADLINE_SHARE_P99:
		return simulation_quantile(&totals->deadline_share, P99);
	case FIGURE_MISSED:
		return (double)totals->missed / (double)totals->submitted;
	case FIGURE_START_P50:
		return simulation_quantile(&totals->start_ms, P50);
	case FIGURE_START_P99:
		return simulation_quantile(&totals->start_ms, P99);
	case FIGURE_GUARANTEE_UNUSABLE:
		return result->unusable_for_guarantee_share;
	case FIGURE_RACK_UNUSABLE:
		return result->unusable_for_rack_share;
	case FIGURE_GOODPUT:
		return result->goodput_share;
	case FIGURE_ZONE_WORK:
		return result->zone_work_share;
	case FIGURE_LOST_WORK:
		return result->lost_work_share;
	case FIGURE_EVICTIONS:
		return (double)result->evictions;
	}
	return 0;
}

static double
mean_figure(
    struct simulation_result results[RUNS], enum figure figure, int class)
{
	double sum = 0;

	for (int i = 0; i < RUNS; i++)
		sum += read_figure(&results[i], figure, class);
	return sum / RUNS;
}

static void
print_figure(const char *scenario, const char *metric,
    struct policy_results *results, enum figure figure, int class,
    const char *better, const char *unit)
{
	print_metric(scenario, metric,
	    mean_figure(results->guaranteed, figure, class),
	    mean_figure(results->first_fit, figure, class), better, unit, RUNS);
}

static void
print_class(const char *scenario, struct policy_results *results, int class)
{
	static const struct {
		const char *name;
		enum figure figure;
		const char *unit;
	} figures[] = {
	    {"deadline_share_p50", FIGURE_DEADLINE_SHARE_P50, "share"},
	    {"deadline_share_p99", FIGURE_DEADLINE_SHARE_P99, "share"},
	    {"missed", FIGURE_MISSED, "share"},
	    {"start_p50", FIGURE_START_P50, "ms"},
	    {"start_p99", FIGURE_START_P99, "ms"},
	};
	char metric[64];

	for (size_t i = 0; i < COUNT_OF(figures); i++) {
		(void)snprintf(metric, sizeof(metric), "%s_%s",
		    class_names[class], figures[i].name);
		print_figure(scenario, metric, results, figures[i].figure,
		    class, "lower", figures[i].unit);
	}
}

static void
print_common(const char *scenario, struct policy_results *results)
{
	print_figure(
	    scenario, "goodput", results, FIGURE_GOODPUT, 0, "higher", "share");
	print_figure(scenario, "unusable_for_guarantee", results,
	    FIGURE_GUARANTEE_UNUSABLE, 0, "lower", "share");
	print_figure(scenario, "unusable_for_rack", results,
	    FIGURE_RACK_UNUSABLE, 0, "lower", "share");
	print_figure(scenario, "thrown_away", results, FIGURE_LOST_WORK, 0,
	    "lower", "share");
}

/* Parameters of one load scenario. */
struct scenario {
	const char *name;
	double load;
	double run_time_error_factor;
	bool bursts;
};

/* Measures completion times, missed deadlines and fragmentation. */
static void
measure_load(const struct fleet_size *size, const struct scenario *scenario)
{
	struct simulation_config config = {
	    .size = size,
	    .load = scenario->load,
	    .run_time_error_factor = scenario->run_time_error_factor,
	    .bursts = scenario->bursts,
	    .arrivals_ms = ARRIVALS_MS,
	};
	struct policy_results results;
	char name[64];

	(void)snprintf(name, sizeof(name), "%s_%s", size->name, scenario->name);
	if (!is_selected(name))
		return;
	run_policies(config, &results);
	for (int i = 0; i < FLEET_CLASSES; i++)
		print_class(name, &results, i);
	print_common(name, &results);
	free_policy_results(&results);
}

static void
measure_loads(const struct fleet_size *size)
{
	static const struct scenario scenarios[] = {
	    {"load60", 0.60, 1.5, false},
	    {"load85", 0.85, 1.5, false},
	    {"load100", 1.00, 1.5, false},
	    {"load110", 1.10, 1.5, false},
	    {"bursts85", 0.85, 1.5, true},
	    {"off10x85", 0.85, 10.0, false},
	    {"off10x110_bursts", 1.10, 10.0, true},
	};

	for (size_t i = 0; i < COUNT_OF(scenarios); i++)
		measure_load(size, &scenarios[i]);
}

/* Measures the work done from when a zone leaves until some time after it
 * returns. */
static void
measure_zone(const struct fleet_size *size)
{
	struct simulation_config config = {
	    .size = size,
	    .load = 1.1,
	    .run_time_error_factor = 1.5,
	    .zone_change = true,
	    .arrivals_ms = ARRIVALS_MS,
	};
	struct policy_results results;
	char name[64];

	(void)snprintf(name, sizeof(name), "%s_zone", size->name);
	if (!is_selected(name))
		return;
	run_policies(config, &results);
	print_figure(
	    name, "work", &results, FIGURE_ZONE_WORK, 0, "higher", "share");
	print_figure(name, "thrown_away", &results, FIGURE_LOST_WORK, 0,
	    "lower", "share");
	print_figure(name, "urgent_missed", &results, FIGURE_MISSED, 0, "lower",
	    "share");
	free_policy_results(&results);
}

/* Measures the work finished by its deadline under overload, as a share of that
 * at a load of 1. */
static void
measure_overload(const struct fleet_size *size)
{
	static const double loads[] = {1.0, 2.0, 5.0};
	double at_1x[2] = {0}; /* goodput at the first load */
	char scenario[64];

	(void)snprintf(scenario, sizeof(scenario), "%s_overload", size->name);
	if (!is_selected(scenario))
		return;
	for (size_t i = 0; i < COUNT_OF(loads); i++) {
		struct simulation_config config = {
		    .size = size,
		    .load = loads[i],
		    .run_time_error_factor = 1.5,
		    .arrivals_ms = ARRIVALS_MS / 2,
		};
		struct policy_results results;
		char name[64];
		double goodput[2]; /* guaranteed policy, first fit */

		(void)snprintf(
		    name, sizeof(name), "%s_overload%gx", size->name, loads[i]);
		run_policies(config, &results);
		print_figure(name, "thrown_away", &results, FIGURE_LOST_WORK, 0,
		    "lower", "share");
		for (int class = 0; class < FLEET_CLASSES; class ++) {
			char metric[64];

			(void)snprintf(metric, sizeof(metric), "%s_missed",
			    class_names[class]);
			print_figure(name, metric, &results, FIGURE_MISSED,
			    class, "lower", "share");
		}
		goodput[0] = mean_figure(results.guaranteed, FIGURE_GOODPUT, 0);
		goodput[1] = mean_figure(results.first_fit, FIGURE_GOODPUT, 0);
		free_policy_results(&results);
		if (i == 0) {
			at_1x[0] = goodput[0];
			at_1x[1] = goodput[1];
		}
		print_metric(name, "goodput_of_1x", goodput[0] / at_1x[0],
		    goodput[1] / at_1x[1], "higher", "share", RUNS);
	}
}

/* Measures decision times and placements per second on growing fleets. */
static void
measure_cost(void)
{
	static const struct fleet_size fleets[] = {
	    {"cost_48_workers_8_slots", 3, 2, 8, 8},
	    {"cost_576_workers_28_slots", 3, 24, 8, 28},
	    {"cost_2304_workers_28_slots", 3, 96, 8, 28},
	};
	static const uint32_t gangs[] = {32, 256, 256};

	for (size_t i = 0; i < COUNT_OF(fleets); i++) {
		struct cost_result value;
		struct cost_result baseline;

		if (!is_selected(fleets[i].name))
			continue;
		value =
		    cost_measure(&fleets[i], POLICY_GUARANTEED, gangs[i], SEED);
		baseline =
		    cost_measure(&fleets[i], POLICY_FIRST_FIT, gangs[i], SEED);
		print_metric(fleets[i].name, "decide_p99", value.decide_p99_us,
		    baseline.decide_p99_us, "lower", "us", 1);
		print_metric(fleets[i].name, "decide_max", value.decide_max_us,
		    baseline.decide_max_us, "lower", "us", 1);
		print_metric(fleets[i].name, "placements",
		    value.placements_per_s, baseline.placements_per_s, "higher",
		    "1/s", 1);
	}
}

int
main(int argc, char **argv)
{
	if (argc > 1)
		scenario_prefix = argv[1];
	for (size_t i = 0; i < COUNT_OF(sizes); i++) {
		measure_loads(&sizes[i]);
		measure_zone(&sizes[i]);
		measure_overload(&sizes[i]);
	}
	measure_cost();
	return 0;
}
