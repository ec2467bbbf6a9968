/* Tests of the pool of HTTP calls: invalid addresses, timeouts and clean-up. */
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "common_cunit.h"
#include "connection/address.h"
#include "connection/http_pool.h"
#include "process/alloc.h"
#include "process/clock.h"

#define CALLS	     24
#define TIMEOUT_MS   40
#define MAX_DELAY_MS 150
#define LONG_WAIT_MS 1000

struct outcome {
	enum http_outcome kind;
	int64_t took_ms;
	bool called;
};

static void
record_result(void *context, const struct http_result *result)
{
	struct outcome *outcome = context;

	outcome->kind = result->outcome;
	outcome->took_ms = result->received_ms - result->sent_ms;
	outcome->called = true;
}

static void
wait_for_outcome(struct http_pool *pool, const struct outcome *outcome)
{
	int64_t deadline_ms = clock_now_ms() + 5000;

	while (!outcome->called && clock_now_ms() < deadline_ms)
		http_pool_wait(pool, LONG_WAIT_MS);
}

/* A call to a host name fails at once: its lookup would block the thread. */
static void
test_invalid_address_is_not_sent(void)
{
	static const char *const addresses[] = {"", ":80", "localhost:80",
	    "ibistrestle", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999"};
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);

	for (size_t i = 0; i < COUNT_OF(addresses); i++) {
		struct outcome outcome = {0};
		struct http_call call = {
		    .method = "GET",
		    .address = addresses[i],
		    .path = "/",
		    .timeout_ms = LONG_WAIT_MS,
		};

		http_pool_call(pool, &call, record_result, &outcome);
		wait_for_outcome(pool, &outcome);
		CU_ASSERT_TRUE(outcome.called);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_NOT_SENT);
		CU_ASSERT_TRUE(outcome.took_ms < MAX_DELAY_MS);
	}
	http_pool_free(pool);
}

/*
 * A peer accepts connections and never responds. Each call must end at its own
 * timeout, not at the next event that wakes the pool.
 */
static void
test_timeout_needs_no_other_event(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	char address[ADDRESS_TEXT_BYTES];
	int fd = address_listen("127.0.0.1:0", CALLS, &status);

	CU_ASSERT_TRUE_FATAL(fd >= 0);
	address_of_socket(fd, address);
	for (size_t i = 0; i < CALLS; i++) {
		struct outcome outcome = {0};
		struct http_call call = {
		    .method = "GET",
		    .address = address,
		    .path = "/",
		    .timeout_ms = TIMEOUT_MS,
		};

		http_pool_call(pool, &call, record_result, &outcome);
		wait_for_outcome(pool, &outcome);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_OUTCOME_UNKNOWN);
		CU_ASSERT_TRUE(outcome.took_ms >= TIMEOUT_MS);
		CU_ASSERT_TRUE(outcome.took_ms < TIMEOUT_MS + MAX_DELAY_MS);
	}
	(void)close(fd);
	http_pool_free(pool);
}

static void
test_pending_calls_are_freed(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	struct http_call call = {.method = "GET", .address = "", .path = "/"};

	http_pool_call(pool, &call, record_result, &outcome);
	http_pool_free(pool);
	CU_ASSERT_FALSE(outcome.called);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"a call to an invalid address is not sent",
		test_invalid_address_is_not_sent},
	    {"a timeout needs no other event",
		test_timeout_needs_no_other_event},
	    {"pending calls are freed", test_pending_calls_are_freed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("http_pool", tests);
}
