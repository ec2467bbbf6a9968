/*
 * Simulates callers behind a load balancer. Each caller is a thread that keeps
 * a connection open, sends one job after another without retries, and records
 * the result of each request. The balancer polls /readyz and skips instances
 * that are not ready or refuse connections.
 */
#ifndef IBIS_COMMON_CALLERS_H
#define IBIS_COMMON_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_cunit.h"
#include "common_deployment.h"

/* Number of requests by result. */
struct callers_count {
	uint64_t sent;
	uint64_t finished;     /* with the right answer */
	uint64_t refused;      /* answered as not run */
	uint64_t pending;      /* accepted, not ended within wait_ms */
	uint64_t unknown;      /* answered with an unknown outcome */
	uint64_t other;	       /* any other answer */
	uint64_t wrong_answer; /* finished with a wrong answer */
	uint64_t closed;       /* connection closed without an answer */
	uint64_t timed_out;    /* no answer 15 s after wait_ms */
	/* Describes the first request that was not finished or refused. */
	char first_unexpected[256];
};

struct callers_config {
	uint32_t callers;
	const char *workspace;
	const char *request_class;
	int32_t run_time_ms;
	int32_t wait_ms;  /* how long a request waits for its job's end */
	int32_t think_ms; /* pause between requests: 0 to 2 * think_ms */
	uint32_t seed;
	uint32_t requests_each; /* 0: until callers_join_and_check */
};

struct callers;

/* Starts the threads. callers_join_and_check stops them and frees the result.
 * config's strings must remain valid until then. */
struct callers *callers_start(
    struct deployment *deployment, const struct callers_config *config);

/* Sets the balancer's address of an instance (NULL: none). It counts as not
 * ready until the next health check. */
void callers_set_address(
    struct callers *callers, uint32_t instance, const char *address);

/* Returns a snapshot of the counts. */
struct callers_count callers_count(struct callers *callers);

/* Number of requests sent whose result is not recorded yet. */
uint64_t callers_unanswered(struct callers *callers);

/* Waits until a number of further requests have finished; false on timeout. */
bool callers_wait_finished(
    struct callers *callers, uint64_t more, int32_t timeout_ms);

/*
 * Waits for the requests in progress, ends the threads, prints the counts with
 * a name before them, frees the callers and returns the counts. Asserts that:
 * - each request got an answer in time, and none a wrong one;
 * - by the workers' log, no job answered as not run was started, no finished
 * job lacks a start, and no non-idempotent job ran more than once.
 */
struct callers_count callers_join_and_check(
    struct callers *callers, const char *name, const char *workers_log);

/* Starts *deployment with the hoofline example document, runs a suite against
 * it and stops it; keeps the logs when a test fails. Returns the exit code. */
int callers_run_suite(const char *name, CU_TestInfo *tests,
    struct deployment *deployment, uint32_t instances, uint32_t seed);

#endif
