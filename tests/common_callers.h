/*
 * Callers behind a balancer, as threads: each keeps a connection, sends one
 * job after another, and notes what became of every request. Nothing is sent
 * twice. The balancer follows /readyz and passes over instances that refuse
 * connections.
 */
#ifndef IBIS_COMMON_CALLERS_H
#define IBIS_COMMON_CALLERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common_cunit.h"
#include "common_deployment.h"

/* What the callers saw, in requests. */
struct callers_count {
	uint64_t sent;
	uint64_t finished; /* with the whole answer to the caller's own job */
	uint64_t refused;  /* told that it was not run */
	uint64_t pending;  /* accepted; had not ended when the wait was over */
	uint64_t unknown;  /* told that its effect is not known */
	uint64_t other;	   /* ended otherwise, or refused otherwise */
	uint64_t wrong;	   /* with another answer than its own */
	uint64_t cut;	   /* the connection closed without an answer */
	uint64_t late;	   /* no answer long after wait_ms */
	char first_odd[256]; /* first that was not finished or refused */
};

struct callers_config {
	uint32_t callers;
	const char *workspace;
	const char *request_class;
	int32_t run_time_ms;
	int32_t wait_ms;
	int32_t think_ms; /* 0 to twice as much between two requests */
	uint32_t seed;
	uint32_t requests_each; /* 0: until callers_finish */
};

struct callers;

struct callers *callers_start(
    struct deployment *deployment, const struct callers_config *config);

/* Tells the balancer that an instance has a new address, or none: NULL. */
void callers_set_address(
    struct callers *callers, uint32_t instance, const char *address);

struct callers_count callers_count(struct callers *callers);

/* Requests sent and not answered yet. */
uint64_t callers_waiting(struct callers *callers);

/* Waits until so many more requests have finished. */
bool callers_wait_finished(
    struct callers *callers, uint64_t more, int32_t timeout_ms);

/*
 * Lets each caller finish its request, ends the threads, prints the counts
 * under a name and frees. Asserts that no request was cut, late or wrong, and
 * by the workers' log that no job was told as not run but had started, ran
 * twice though it must not, or finished without a start.
 */
struct callers_count callers_judge(
    struct callers *callers, const char *name, const char *workers_log);

/* Runs a suite against one site over the first example document; keeps its logs
 * when a test fails. Returns the exit code. */
int callers_run_suite(const char *name, CU_TestInfo *tests,
    struct deployment *deployment, uint32_t instances, uint32_t seed);

#endif
