/* Tests of job ids, checks of specifications and state transitions. */
#include <string.h>

#include "common_cunit.h"
#include "request/job.h"

static void
fill_spec(Ibis__JobSpec *spec)
{
	static char workspace[] = "rounds";
	static char request_class[] = "reshuffle";
	static char key[] = "k1";
	static char payload[] = "";

	*spec = (Ibis__JobSpec)IBIS__JOB_SPEC__INIT;
	spec->workspace = workspace;
	spec->request_class = request_class;
	spec->idempotency_key = key;
	spec->payload = payload;
	spec->tasks = 1;
	spec->accelerators_per_task = 1;
	spec->run_time_ms = 1000;
}

static void
test_id_round_trip(void)
{
	struct job_id id = job_id_from_key("rounds", "k1");
	struct job_id parsed;
	char text[JOB_ID_BYTES];

	job_id_format(id, text);
	CU_ASSERT_TRUE(job_id_parse(text, &parsed));
	CU_ASSERT_TRUE(job_id_equal(id, parsed));
	CU_ASSERT_FALSE(job_id_parse("xyz", &parsed));
	CU_ASSERT_FALSE(job_id_equal(id, job_id_from_key("round", "sk1")));
}

static void
test_fingerprint_ignores_key(void)
{
	Ibis__JobSpec one;
	Ibis__JobSpec other;
	char key[] = "k2";

	fill_spec(&one);
	fill_spec(&other);
	other.idempotency_key = key;
	CU_ASSERT_EQUAL(
	    job_spec_fingerprint(&one), job_spec_fingerprint(&other));
	other.tasks = 2;
	CU_ASSERT_NOT_EQUAL(
	    job_spec_fingerprint(&one), job_spec_fingerprint(&other));
}

static void
test_error_names_field(void)
{
	struct ibis_status status = {0};
	Ibis__JobSpec spec;

	fill_spec(&spec);
	CU_ASSERT_EQUAL(job_spec_check(&spec, &status), IBIS_OK);
	spec.tasks = 0;
	CU_ASSERT_EQUAL(job_spec_check(&spec, &status), IBIS_INVALID);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "tasks"));
}

static void
test_not_run_never_follows_running(void)
{
	CU_ASSERT_FALSE(job_state_can_change(
	    IBIS__JOB_STATE__JOB_RUNNING, IBIS__JOB_STATE__JOB_NOT_RUN));
	CU_ASSERT_FALSE(job_state_can_change(
	    IBIS__JOB_STATE__JOB_NOT_RUN, IBIS__JOB_STATE__JOB_INTENDED));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"id round trip", test_id_round_trip},
	    {"fingerprint ignores the key", test_fingerprint_ignores_key},
	    {"error names the field", test_error_names_field},
	    {"not run never follows running",
		test_not_run_never_follows_running},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("job", tests);
}
