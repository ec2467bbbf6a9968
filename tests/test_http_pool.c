/* The pool of HTTP calls: what can't be sent, and time limits. */
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
#define MAX_LATE_MS  150
#define LONG_WAIT_MS 1000

struct outcome {
	enum http_outcome kind;
	int64_t took_ms;
	bool told;
};

static void
note(void *context, const struct http_answer *answer)
{
	struct outcome *outcome = context;

	outcome->kind = answer->outcome;
	outcome->took_ms = answer->received_ms - answer->sent_ms;
	outcome->told = true;
}

static void
wait_for(struct http_pool *pool, const struct outcome *outcome)
{
	int64_t end_ms = clock_now_ms() + 5000;

	while (!outcome->told && clock_now_ms() < end_ms)
		http_pool_wait(pool, LONG_WAIT_MS);
}

/* A name would be looked up, which holds the caller's thread. */
static void
test_what_is_no_address_is_not_sent(void)
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

		http_pool_call(pool, &call, note, &outcome);
		wait_for(pool, &outcome);
		CU_ASSERT_TRUE(outcome.told);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_NOT_SENT);
		CU_ASSERT_TRUE(outcome.took_ms < MAX_LATE_MS);
	}
	http_pool_free(pool);
}

/* A peer that takes connections and never answers: each call ends in time, and
 * not when something else happens to wake the pool. */
static void
test_time_limits_hold_without_other_events(void)
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

		http_pool_call(pool, &call, note, &outcome);
		wait_for(pool, &outcome);
		CU_ASSERT_EQUAL(outcome.kind, HTTP_NO_ANSWER);
		CU_ASSERT_TRUE(outcome.took_ms >= TIMEOUT_MS);
		CU_ASSERT_TRUE(outcome.took_ms < TIMEOUT_MS + MAX_LATE_MS);
	}
	(void)close(fd);
	http_pool_free(pool);
}

static void
test_calls_that_wait_are_freed(void)
{
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct outcome outcome = {0};
	struct http_call call = {.method = "GET", .address = "", .path = "/"};

	http_pool_call(pool, &call, note, &outcome);
	http_pool_free(pool);
	CU_ASSERT_FALSE(outcome.told);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"what is no address is not sent",
		test_what_is_no_address_is_not_sent},
	    {"time limits hold without other events",
		test_time_limits_hold_without_other_events},
	    {"calls that wait are freed", test_calls_that_wait_are_freed},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("http_pool", tests);
}
