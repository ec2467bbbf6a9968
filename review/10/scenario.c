/*
 * A tenant has two long API keys of one issuer, which differ in their last part
 * only. One is taken away. A call with it must be refused from ConfigApplyMs
 * on.
 */
#include <stdio.h>
#include <string.h>

#include "../common-2/http.h"
#include "../common-2/record.h"
#include "../common-2/site.h"

enum {
	WORKERS = 4,
	APPLY_MS = 2000, /* ConfigApplyMs */
	SLACK_MS = 3000,
	CONFIG_BYTES = 2048,
	CALLS = 6
};

/* A signed token: header and claims of the issuer, then what differs. */
#define ISSUED                                                                 \
	"eyJhbGciOiJFZERTQSIsInR5cCI6IkpXVCIsImtpZCI6InBsYXRmb3JtLTIwMjYtMSJ9" \
	".eyJpc3MiOiJodHRwczovL2tleXMucGxhdGZvcm0uZXhhbXBsZS90ZW5hbnRzIiwiYX"  \
	"VkIjoiaWJpc3RyZXN0bGUiLCJzdWIiOiJ0LWZhcnJpZXIiLCJqdGkiOiJr"
#define KEPT_KEY    ISSUED "MDAxIn0.Zm9vYmFyMDAxa2VwdGtlcHRrZXB0"
#define REVOKED_KEY ISSUED "MDAyIn0.cXV1eGJhejAwMnJldm9rZWRyZXZv"

/* Stores a version with one key or both. */
static void
configure(struct site *site, int version, bool both)
{
	char config[CONFIG_BYTES];

	(void)snprintf(config, sizeof(config),
	    "{\"Version\":%d,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
	    "\"Prefix\":\"/q/\",\"Service\":\"s\",\"Priority\":1,"
	    "\"Attempts\":3,\"Stretch\":3.0,\"TargetLatencyMs\":1000}],"
	    "\"Services\":[{\"Name\":\"s\",\"AdmissionCheck\":false}],"
	    "\"Limits\":{},\"Tenants\":[{\"Name\":\"t\",\"ApiKeys\":["
	    "\"%s\"%s%s%s]}]}",
	    version, KEPT_KEY, both ? ",\"" : "", both ? REVOKED_KEY : "",
	    both ? "\"" : "");
	site_configure(site, config);
}

/* Hands a job in with a key. */
static int
submit(struct site *site, int number, const char *key)
{
	char path[64];
	char answer[SITE_ANSWER_BYTES];

	(void)snprintf(path, sizeof(path), "/q/5c0e7a21d94b36%02x", number);
	return site_call(site, number % SITE_INSTANCES, "POST", path, key,
	    "{\"Spec\":\"work 300\",\"Steps\":[{\"Count\":1,\"Cpu\":1000,"
	    "\"MemMb\":1000,\"Gpus\":1,\"EstimateMs\":300}]}",
	    answer);
}

/* Returns how many jobs of a series have begun. */
static int
count_begun(struct site *site, int first)
{
	int begun = 0;

	for (int i = 0; i < CALLS; i++) {
		char job[32];

		(void)snprintf(job, sizeof(job), "5c0e7a21d94b36%02x",
		    (unsigned int)(first + i));
		begun += site_job(site, job).started > 0;
	}
	return begun;
}

static int
run_case(struct site *site)
{
	char id[WORKERS][16];
	int accepted = 0;
	int served = 0;

	for (int i = 0; i < WORKERS; i++) {
		(void)snprintf(id[i], sizeof(id[i]), "i-%d", i);
		if (site_add_worker(site, id[i], "a", "r1", 8) == NULL)
			return CASE_NOT_RUN;
	}
	configure(site, 3, true);
	if (!site_start_instances(site))
		return CASE_NOT_RUN;
	for (int i = 0; i < CALLS; i++)
		served +=
		    submit(site, i, i % 2 ? KEPT_KEY : REVOKED_KEY) == 200;
	if (served != CALLS)
		return CASE_NOT_RUN;
	if (site_has_trouble())
		configure(site, 7, false);
	sleep_ms(APPLY_MS + SLACK_MS);
	for (int i = 0; i < CALLS; i++)
		accepted += submit(site, CALLS + i, REVOKED_KEY) == 200;
	sleep_ms(1500);
	record("with the second key: %d of %d accepted, %d begun", accepted,
	    CALLS, count_begun(site, CALLS));
	if (!site_has_trouble()) {
		record(
		    accepted == CALLS ? "held" : "a key in force is refused");
		return accepted == CALLS ? CASE_HELD : CASE_NOT_RUN;
	}
	record(
	    accepted > 0 ? "broken: CONFIG: run with a dropped key" : "held");
	return accepted > 0 ? CASE_BROKEN : CASE_HELD;
}

int
main(int count, char **arguments)
{
	struct site *site;
	int result = CASE_NOT_RUN;

	if (count != 2 || !record_open(arguments[1]))
		return CASE_NOT_RUN;
	site = site_start();
	if (site != NULL)
		result = run_case(site);
	site_stop(site);
	record_close();
	return result;
}
