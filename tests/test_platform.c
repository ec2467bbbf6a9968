/* Parsers of the platform adapter, with valid and invalid inputs. */
#include <poll.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_cunit.h"
#include "connection/address.h"
#include "platform.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/buffer.h"
#include "process/proto_memory.h"

#define SETTINGS                                                              \
	"{\"NodeName\":\"edge-a-1\",\"Zone\":\"a\",\"Ip\":\"10.1.0.1\","      \
	"\"Future\":{\"x\":1},"                                               \
	"\"ListenAddresses\":{\"Frontend\":\"10.1.0.1:80\","                  \
	"\"Readiness\":\"10.1.0.1:81\"},\"InternalPortRange\":[7000,7015],"   \
	"\"Bounds\":{\"GraceS\":6,\"MaxHoldMs\":9000,\"RemotePenalty\":2.5}," \
	"\"Limits\":{\"CpuFraction\":0.25,\"Cores\":2,\"MemoryMb\":260,"      \
	"\"LinkMbps\":20.5},"                                                 \
	"\"platform\":{\"Address\":\"10.2.0.1:90\",\"MinTtlMs\":1200,"        \
	"\"ValueBytes\":65536}}"

/* Valid settings up to the members that a test adds. */
#define SETTINGS_WITHOUT_STORE                                   \
	"{\"NodeName\":\"a\",\"ListenAddresses\":{\"Frontend\":" \
	"\"1.2.3.4:5\",\"Readiness\":\"1.2.3.4:6\"},"
#define SETTINGS_WITH_STORE \
	SETTINGS_WITHOUT_STORE "\"platform\":{\"Address\":\"1.2.3.4:7\"},"

static void
test_settings(void)
{
	struct platform_settings settings;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(platform_settings_parse(
			    SETTINGS, strlen(SETTINGS), &settings, &status),
	    IBIS_OK);
	CU_ASSERT_STRING_EQUAL(settings.name, "edge-a-1");
	CU_ASSERT_STRING_EQUAL(settings.store_address, "10.2.0.1:90");
	CU_ASSERT_EQUAL(settings.grace_ms, 6000);
	CU_ASSERT_EQUAL(settings.max_lease_ms, 9000);
	CU_ASSERT_EQUAL(settings.internal_port, 7000);
	CU_ASSERT_EQUAL(settings.min_store_lease_ms, 1200);
	CU_ASSERT_EQUAL(settings.max_value_bytes, 65536);
	CU_ASSERT_DOUBLE_EQUAL(settings.remote_factor, 2.5, 0.001);
	CU_ASSERT_EQUAL(settings.cpu_milli, 500);
	CU_ASSERT_EQUAL(settings.memory_mb, 260);
	CU_ASSERT_EQUAL(settings.link_kbit, 20500);
}

/* Invalid settings, and a text that the error message has to contain. */
static const struct {
	const char *text;
	const char *expected;
} bad_settings[] = {
    {"", "not a JSON object"},
    {"[]", "not a JSON object"},
    {"{", "not a JSON object"},
    {"{}", "NodeName"},
    {"{\"NodeName\":7}", "NodeName"},
    {"{\"NodeName\":\"a\",\"ListenAddresses\":[]}", "ListenAddresses.Frontend"},
    {"{\"NodeName\":\"a\",\"ListenAddresses\":{\"Frontend\":\"x:1\"}}",
	"ListenAddresses.Frontend: x:1; expected IP:PORT"},
    {"{\"NodeName\":\"a\",\"ListenAddresses\":{\"Frontend\":"
     "\"1.2.3.4:5\"}}",
	"ListenAddresses.Readiness"},
    {SETTINGS_WITHOUT_STORE "\"platform\":{}}", "platform.Address"},
    {SETTINGS_WITHOUT_STORE "\"platform\":{\"Address\":\"1.2.3.4\"}}",
	"platform.Address: 1.2.3.4; expected IP:PORT"},
    {SETTINGS_WITHOUT_STORE "\"platform\":{\"Address\":\"1.2.3.4:5\","
			    "\"MinTtlMs\":\"soon\"}}",
	"platform.MinTtlMs: \"soon\"; expected a number from 1 to 600000 ms"},
    {SETTINGS_WITHOUT_STORE "\"platform\":{\"Address\":\"1.2.3.4:5\","
			    "\"ValueBytes\":1}}",
	"platform.ValueBytes: 1; expected a number from 4096 to"},
    {SETTINGS_WITH_STORE "\"Advice\":\"there\"}",
	"Advice: there; expected IP:PORT"},
    {SETTINGS_WITH_STORE "\"InternalPortRange\":[0,1]}", "InternalPortRange"},
    {SETTINGS_WITH_STORE "\"InternalPortRange\":7000}", "InternalPortRange"},
    {SETTINGS_WITH_STORE "\"Bounds\":{\"GraceS\":0}}",
	"Bounds.GraceS: 0; expected a number from 1 to 3600 s"},
    {SETTINGS_WITH_STORE "\"Bounds\":{\"MaxHoldMs\":true}}",
	"Bounds.MaxHoldMs: true; expected a number from 500 to 3600000 ms"},
    {SETTINGS_WITH_STORE "\"Bounds\":{\"status_s\":1e99}}", "Bounds.status_s"},
    {SETTINGS_WITH_STORE "\"Bounds\":{\"RemotePenalty\":-1}}",
	"Bounds.RemotePenalty"},
    {SETTINGS_WITH_STORE "\"Limits\":{\"CpuFraction\":\"half\"}}",
	"Limits.CpuFraction: \"half\"; expected a number from 0"},
    {SETTINGS_WITH_STORE "\"Limits\":{\"LinkMbps\":-1}}", "Limits.LinkMbps"},
};

static void
test_bad_settings(void)
{
	for (size_t i = 0; i < COUNT_OF(bad_settings); i++) {
		const char *text = bad_settings[i].text;
		struct platform_settings settings;
		struct ibis_status status = {0};

		CU_ASSERT_EQUAL(platform_settings_parse(
				    text, strlen(text), &settings, &status),
		    IBIS_INVALID);
		if (strstr(status.message, bad_settings[i].expected) == NULL)
			(void)printf("%s: %s\n", text, status.message);
		CU_ASSERT_PTR_NOT_NULL(
		    strstr(status.message, bad_settings[i].expected));
	}
}

static void
test_settings_detection(void)
{
	static const char own_settings[] = "{\"name\":\"entry-1\"}";

	CU_ASSERT_TRUE(platform_settings_detect(SETTINGS, strlen(SETTINGS)));
	CU_ASSERT_TRUE(platform_settings_detect(
	    "{\"NodeName\":7}", strlen("{\"NodeName\":7}")));
	CU_ASSERT_FALSE(
	    platform_settings_detect(own_settings, strlen(own_settings)));
	CU_ASSERT_FALSE(platform_settings_detect("", 0));
	CU_ASSERT_FALSE(platform_settings_detect("// x\n{}", 7));
}

#define CONFIG                                                              \
	"{\"Version\":7,\"Routes\":["                                       \
	"{\"Name\":\"r1\",\"Host\":\"h\",\"Prefix\":\"/a/\",\"Service\":"   \
	"\"s\",\"Priority\":0,\"Attempts\":3,\"Stretch\":1.5,"              \
	"\"TargetLatencyMs\":250},"                                         \
	"{\"Name\":\"r2\",\"Host\":\"h\",\"Prefix\":\"/a/b/\",\"Service\":" \
	"\"t\",\"Public\":true,\"Advice\":{\"DecisionMs\":5}},"             \
	"{\"Name\":\"broken\",\"Host\":3}],"                                \
	"\"Tenants\":[{\"Name\":\"w\",\"ApiKeys\":[\"k1\",8,\"k2\"],"       \
	"\"Guaranteed\":{\"Gpus\":72},\"Weight\":2.5,"                      \
	"\"Cap\":{\"Cpu\":3000,\"MemMb\":4000,\"Gpus\":5}},"                \
	"{\"Name\":\"x\",\"ApiKeys\":[\"k4\"],\"Weight\":-1,"               \
	"\"Cap\":{\"Cpu\":-1,\"Gpus\":\"many\"}}]}"

/* Guards against a cap that isn't read, and one that makes no sense and would
 * hold everything. */
static void
test_config_quota(void)
{
	struct ibis_status status = {0};
	struct routes *routes =
	    platform_config_parse(CONFIG, strlen(CONFIG), &status);
	const struct routes_workspace *workspace;

	CU_ASSERT_PTR_NOT_NULL_FATAL(routes);
	if (routes == NULL)
		return;
	workspace = routes_find_workspace(routes, "k1");
	CU_ASSERT_EQUAL(workspace->cap_cpu_milli, 3000);
	CU_ASSERT_EQUAL(workspace->cap_memory_mb, 4000);
	CU_ASSERT_EQUAL(workspace->cap_accelerators, 5);
	CU_ASSERT_EQUAL(workspace->weight_milli, 2500);
	workspace = routes_find_workspace(routes, "k4");
	CU_ASSERT_EQUAL(workspace->cap_cpu_milli, 0);
	CU_ASSERT_EQUAL(workspace->cap_memory_mb, 0);
	CU_ASSERT_EQUAL(workspace->cap_accelerators, 0);
	CU_ASSERT_EQUAL(workspace->weight_milli, 0);
	routes_free(routes);
}

static void
test_config(void)
{
	struct ibis_status status = {0};
	struct routes *routes =
	    platform_config_parse(CONFIG, strlen(CONFIG), &status);
	const struct route *route;
	const char *rest;

	CU_ASSERT_PTR_NOT_NULL_FATAL(routes);
	if (routes == NULL)
		return;
	CU_ASSERT_EQUAL(routes->version, 7);
	CU_ASSERT_EQUAL(routes->routes_count, 2);
	route = routes_match(routes, "h", "/a/b/0123", &rest);
	CU_ASSERT_PTR_NOT_NULL_FATAL(route);
	if (route == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(route->name, "r2");
	CU_ASSERT_STRING_EQUAL(rest, "0123");
	CU_ASSERT_TRUE(route->open);
	CU_ASSERT_TRUE(route->advice.needed);
	route = routes_match(routes, "H", "/a/x", &rest);
	CU_ASSERT_PTR_NOT_NULL_FATAL(route);
	if (route == NULL)
		return;
	CU_ASSERT_STRING_EQUAL(route->name, "r1");
	CU_ASSERT_EQUAL(route->stretch_milli, 1500);
	CU_ASSERT_PTR_NULL(routes_match(routes, "h", "/c/", &rest));
	CU_ASSERT_PTR_NULL(routes_match(routes, "other", "/a/", &rest));
	CU_ASSERT_PTR_NOT_NULL_FATAL(routes_find_workspace(routes, "k2"));
	CU_ASSERT_EQUAL(
	    routes_find_workspace(routes, "k2")->guaranteed_accelerators, 72);
	CU_ASSERT_PTR_NULL(routes_find_workspace(routes, "k3"));
	CU_ASSERT_PTR_NULL(routes_find_workspace(routes, ""));
	routes_free(routes);
}

static void
test_bad_config(void)
{
	static const char *const texts[] = {"", "7", "{}", "{\"Version\":1}",
	    "{\"Routes\":[]}", "{\"Version\":\"1\",\"Routes\":[]}"};

	for (size_t i = 0; i < COUNT_OF(texts); i++) {
		struct ibis_status status = {0};

		CU_ASSERT_PTR_NULL(
		    platform_config_parse(texts[i], strlen(texts[i]), &status));
		CU_ASSERT_NOT_EQUAL(status.message[0], '\0');
	}
}

#define JOB                                                                   \
	"{\"Spec\":\"te\\u00e9xt\",\"Times\":2,\"FirstMs\":5,\"IntervalMs\":" \
	"9,\"Steps\":[{\"Count\":4,\"Cpu\":500,\"MemMb\":256,\"Gpus\":2,"     \
	"\"EstimateMs\":900,\"DataRack\":\"r1-3\",\"Gang\":true},"            \
	"{\"Count\":20,\"After\":[0],\"Checkpointing\":true,"                 \
	"\"Requires\":\"a\",\"MaxPerServer\":3}]}"

static void
test_job(void)
{
	struct ibis_status status = {0};
	Ibis__StepJob *job = platform_job_parse(JOB, strlen(JOB), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	if (job == NULL)
		return;
	CU_ASSERT_EQUAL(job->n_steps, 2);
	CU_ASSERT_EQUAL(job->times, 2);
	CU_ASSERT_EQUAL(job->payload.len, 6);
	CU_ASSERT_EQUAL(job->steps[0]->accelerators, 2);
	CU_ASSERT_TRUE(job->steps[0]->gang);
	CU_ASSERT_STRING_EQUAL(job->steps[0]->data_rack, "r1-3");
	CU_ASSERT_EQUAL(job->steps[1]->n_after, 1);
	CU_ASSERT_STRING_EQUAL(job->steps[1]->label, "a");
	CU_ASSERT_EQUAL(job->steps[1]->max_per_worker, 3);
	ibis__step_job__free_unpacked(job, proto_allocator());
}

/* Guards against a step that takes a decision long to look at, as it waits for
 * one step thousands of times. */
static void
test_repeated_dependencies(void)
{
	static const char text[] = "{\"Steps\":[{\"Count\":1},{\"Count\":1},"
				   "{\"Count\":1,\"After\":[1,0,1,1,0]}]}";
	struct ibis_status status = {0};
	Ibis__StepJob *job = platform_job_parse(text, strlen(text), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(job);
	if (job == NULL)
		return;
	CU_ASSERT_EQUAL(job->steps[2]->n_after, 2);
	CU_ASSERT_EQUAL(job->steps[2]->after[0], 1);
	CU_ASSERT_EQUAL(job->steps[2]->after[1], 0);
	ibis__step_job__free_unpacked(job, proto_allocator());
}

static void
test_bad_jobs(void)
{
	static const char *const texts[] = {
	    "",
	    "[]",
	    "{}",
	    "{\"Steps\":[]}",
	    "{\"Steps\":[7]}",
	    "{\"Steps\":[{}]}",
	    "{\"Steps\":[{\"Count\":0}]}",
	    "{\"Steps\":[{\"Count\":1,\"Cpu\":-1}]}",
	    "{\"Steps\":[{\"Count\":1,\"After\":[0]}]}",
	    "{\"Steps\":[{\"Count\":1,\"After\":[-1]}]}",
	    "{\"Steps\":[{\"Count\":1}],\"Spec\":7}",
	    "{\"Steps\":[{\"Count\":1}],\"Times\":-1}",
	    "{\"Steps\":[{\"Count\":99999999}]}",
	};

	for (size_t i = 0; i < COUNT_OF(texts); i++) {
		struct ibis_status status = {0};

		CU_ASSERT_PTR_NULL(
		    platform_job_parse(texts[i], strlen(texts[i]), &status));
		CU_ASSERT_NOT_EQUAL(status.message[0], '\0');
	}
	CU_ASSERT_TRUE(platform_is_job_id("5c0e7a21d94b36f8"));
	CU_ASSERT_FALSE(platform_is_job_id("5c0e7a21d94b36f"));
	CU_ASSERT_FALSE(platform_is_job_id("5c0e7a21d94b36fx"));
}

/* An entry of a draining worker up to the time that it has left. */
#define LEAVING_ENTRY                                                    \
	"{\"Service\":\"s\",\"Address\":\"10.0.0.9:80\",\"Zone\":\"a\"," \
	"\"State\":\"draining\",\"Capacity\":{\"Cpu\":1,\"MemMb\":1,"    \
	"\"Gpus\":1},\"RemainingMs\":"

#define ENTRY                                                              \
	"{\"Service\":\"s\",\"Address\":\"10.0.0.9:80\",\"Zone\":\"a\","   \
	"\"State\":\"draining\",\"Capacity\":{\"Cpu\":16000,\"MemMb\":32," \
	"\"Gpus\":8},\"Labels\":[\"a\",\"r1-3\"],\"born\":77,\"New\":null}"

static void
test_worker_entry(void)
{
	struct fleet_worker_entry entry;
	struct ibis_status status = {0};

	CU_ASSERT_TRUE(platform_worker_parse(
	    "i-1", ENTRY, strlen(ENTRY), &entry, &status));
	CU_ASSERT_STRING_EQUAL(entry.id, "i-1");
	CU_ASSERT_STRING_EQUAL(entry.rack, "r1-3");
	CU_ASSERT_TRUE(entry.draining);
	CU_ASSERT_EQUAL(entry.resources.accelerators, 8);
	CU_ASSERT_EQUAL(entry.incarnation_wall_ms, 77);
	fleet_free_worker_entry(&entry);
}

/* Guards against a process that ends because of a number out of range: a time
 * that can't be right is unknown. */
static void
test_remaining_time_of_a_worker(void)
{
	static const struct {
		const char *text;
		int64_t remaining_ms;
	} entries[] = {
	    {LEAVING_ENTRY "2200}", 2200},
	    {LEAVING_ENTRY "2200.5}", 2200},
	    {LEAVING_ENTRY "-1}", 0},
	    {LEAVING_ENTRY "1e300}", 0},
	    {LEAVING_ENTRY "\"soon\"}", 0},
	};

	for (size_t i = 0; i < COUNT_OF(entries); i++) {
		struct fleet_worker_entry entry;
		struct ibis_status status = {0};

		CU_ASSERT_TRUE(platform_worker_parse("i-1", entries[i].text,
		    strlen(entries[i].text), &entry, &status));
		CU_ASSERT_EQUAL(entry.remaining_ms, entries[i].remaining_ms);
		fleet_free_worker_entry(&entry);
	}
}

/* Guards against an entry of another writer with which sums overflow, and
 * against calls to what is no address. */
static void
test_worker_entries_out_of_range(void)
{
	static const struct {
		const char *id;
		const char *address;
		const char *amount;
		const char *born;
		bool usable;
	} entries[] = {
	    {"i-1", "10.0.0.1:65535", "4294967296", "1796448607376", true},
	    {"i-1", "10.0.0.1:65536", "1", "1", false},
	    {"i-1", "10.0.0.1:99999999999999999999", "1", "1", false},
	    {"i-1", "10.0.0.1:0", "1", "1", false},
	    {"i-1", "10.0.0.1:00", "1", "1", false},
	    {"i-1", "10.0.0.1:-1", "1", "1", false},
	    {"i-1", "10.0.0.1: 80", "1", "1", false},
	    {"i-1", "10.0.0.1:+80", "1", "1", false},
	    {"i-1", "10.0.0.1", "1", "1", false},
	    {"i-1", "example.org:80", "1", "1", false},
	    {"i-1", "10.0.0.1:80", "4294967297", "1", false},
	    {"i-1", "10.0.0.1:80", "9223372036854775807", "1", false},
	    {"i-1", "10.0.0.1:80", "99999999999999999999", "1", false},
	    {"i-1", "10.0.0.1:80", "-1", "1", false},
	    {"i-1", "10.0.0.1:80", "1e3", "1", false},
	    {"i-1", "10.0.0.1:80", "NaN", "1", false},
	    {"i-1", "10.0.0.1:80", "1", "-1", false},
	    {"i-1", "10.0.0.1:80", "1", "9223372036854775807", false},
	    {"i\r\nX: y", "10.0.0.1:80", "1", "1", false},
	    {"i 1", "10.0.0.1:80", "1", "1", false},
	    {"i\xff", "10.0.0.1:80", "1", "1", false},
	    {"", "10.0.0.1:80", "1", "1", false},
	};

	for (size_t i = 0; i < COUNT_OF(entries); i++) {
		CLEANUP(buffer_free) struct buffer text = {0};
		struct fleet_worker_entry entry;
		struct ibis_status status = {0};

		buffer_printf(&text,
		    "{\"Service\":\"s\",\"Address\":\"%s\",\"Zone\":\"z\","
		    "\"State\":\"ready\",\"Capacity\":{\"Cpu\":1,\"MemMb\":1,"
		    "\"Gpus\":%s},\"born\":%s}",
		    entries[i].address, entries[i].amount, entries[i].born);
		CU_ASSERT_EQUAL(platform_worker_parse(entries[i].id, text.data,
				    text.length, &entry, &status),
		    entries[i].usable);
		fleet_free_worker_entry(&entry);
	}
}

static void
test_bad_worker_entries(void)
{
	static const char *const texts[] = {
	    "",
	    "\xff\xfe",
	    "{}",
	    "{\"Service\":\"s\",\"Address\":\"x\",\"Zone\":\"a\","
	    "\"State\":\"odd\"}",
	    "{\"Service\":1,\"Address\":\"x\",\"Zone\":\"a\","
	    "\"State\":\"ready\"}",
	    "{\"Service\":\"s\",\"Address\":\"x\",\"Zone\":\"a\","
	    "\"State\":\"ready\",\"Capacity\":{\"Cpu\":\"many\"}}",
	};

	for (size_t i = 0; i < COUNT_OF(texts); i++) {
		struct fleet_worker_entry entry;
		struct ibis_status status = {0};

		CU_ASSERT_FALSE(platform_worker_parse(
		    "i-1", texts[i], strlen(texts[i]), &entry, &status));
		CU_ASSERT_NOT_EQUAL(status.message[0], '\0');
	}
}

#define REPORT                                                                 \
	"{\"ClockMs\":482113,\"born\":5,\"Running\":[[\"5c0e7a21d94b36f8.0.1." \
	"17\",2,\"cp\",41,8],[\"bad\",1],7],\"EndedRuns\":["                   \
	"[58,\"5c0e7a21d94b36f8.2.1.9\",1,\"done\",\"\"],"                     \
	"[59,\"5c0e7a21d94b36f8.2.1.9\",1,\"odd\",\"\"]]}"

/* Guards against a row with a number out of range: an end with the largest one
 * hid all later ends of its worker, and was acknowledged. */
static void
test_report_rows_out_of_range(void)
{
	static const char text[] =
	    "{\"ClockMs\":5,\"Running\":["
	    "[\"5c0e7a21d94b36f8.0.0.1\",9223372036854775807,\"\",1],"
	    "[\"5c0e7a21d94b36f8.0.0.2\",0,\"\",1],"
	    "[\"5c0e7a21d94b36f8.0.0.3\",-1,\"\",1],"
	    "[\"5c0e7a21d94b36f8.0.4294967296.4\",1,\"\",1],"
	    "[[[[[[[[[[[[[[[[[[[[5]]]]]]]]]]]]]]]]]]]],"
	    "[\"5c0e7a21d94b36f8.0.0.5\",1,\"\",9223372036854775807]],"
	    "\"EndedRuns\":["
	    "[9223372036854775807,\"5c0e7a21d94b36f8.0.0.6\",1,\"done\",\"\"],"
	    "[99999999999999999999,\"5c0e7a21d94b36f8.0.0.6\",1,\"done\","
	    "\"\"],[0,\"5c0e7a21d94b36f8.0.0.7\",1,\"done\",\"\"],"
	    "[1,\"5c0e7a21d94b36f8.0.0.8\",-5,\"done\",\"\"],"
	    "[2,\"5c0e7a21d94b36f8.0.0.9\",1,\"done\",\"\"]]}";
	static const char *const malformed[] = {
	    "{\"ClockMs\":9223372036854775807,\"Running\":[],\"EndedRuns\":[]}",
	    "{\"ClockMs\":1,\"born\":-1,\"Running\":[],\"EndedRuns\":[]}",
	};
	struct ibis_status status = {0};
	struct fleet_report *report =
	    platform_report_parse(text, strlen(text), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(report);
	if (report == NULL)
		return;
	CU_ASSERT_EQUAL_FATAL(report->runs_count, 1);
	CU_ASSERT_EQUAL(report->runs[0].task.index, 5);
	CU_ASSERT_EQUAL(report->runs[0].percent, 100);
	CU_ASSERT_EQUAL_FATAL(report->ends_count, 1);
	CU_ASSERT_EQUAL(report->ends[0].task.index, 9);
	platform_report_free(report);
	for (size_t i = 0; i < COUNT_OF(malformed); i++)
		CU_ASSERT_PTR_NULL(platform_report_parse(
		    malformed[i], strlen(malformed[i]), &status));
}

static void
test_report(void)
{
	struct ibis_status status = {0};
	struct fleet_report *report =
	    platform_report_parse(REPORT, strlen(REPORT), &status);

	CU_ASSERT_PTR_NOT_NULL_FATAL(report);
	if (report == NULL)
		return;
	CU_ASSERT_EQUAL(report->clock_ms, 482113);
	CU_ASSERT_EQUAL(report->runs_count, 1);
	CU_ASSERT_STRING_EQUAL(report->runs[0].task.job, "5c0e7a21d94b36f8");
	CU_ASSERT_EQUAL(report->runs[0].task.index, 17);
	CU_ASSERT_EQUAL(report->runs[0].percent, 41);
	CU_ASSERT_EQUAL(report->ends_count, 1);
	CU_ASSERT_EQUAL(report->ends[0].outcome, FLEET_END_DONE);
	CU_ASSERT_EQUAL(report->ends[0].task.occurrence, 2);
	CU_ASSERT_FALSE(report->more_ends);
	platform_report_free(report);
	CU_ASSERT_PTR_NULL(platform_report_parse("{}", 2, &status));
	CU_ASSERT_PTR_NULL(platform_report_parse("", 0, &status));
}

#define ORDER_TIMEOUT_MS  1000
#define MAX_REQUEST_BYTES 4096

struct order_answer {
	enum platform_order_outcome outcome;
	bool called;
};

static void
record_order_answer(
    void *context, enum platform_order_outcome outcome, const char *reason)
{
	struct order_answer *answer = context;

	(void)reason;
	answer->outcome = outcome;
	answer->called = true;
}

/* Runs the pool until fd is readable or an order has been answered. */
static void
run_pool(struct http_pool *pool, int fd, const struct order_answer *answer)
{
	int64_t end_ms = clock_now_ms() + ORDER_TIMEOUT_MS;
	struct pollfd watched = {.fd = fd, .events = POLLIN};

	while (!answer->called && poll(&watched, 1, 0) == 0 &&
	    clock_now_ms() < end_ms)
		http_pool_wait(pool, 1);
}

/* Sends a stop to a worker that responds with a status line and a body. */
static enum platform_order_outcome
stop_outcome(const char *status_line, const char *body)
{
	struct fleet_config config = {.lease_ms = 6000, .max_lease_ms = 10000};
	struct ibis_status status = {0};
	struct http_pool *pool = http_pool_new(&status);
	struct fleet *fleet = fleet_new(&config, 0);
	char address[ADDRESS_TEXT_BYTES];
	struct fleet_worker_entry entry = {.id = "w", .address = address};
	struct fleet_order order = {.run = 1, .reason = ""};
	struct order_answer answer = {0};
	int listener = address_listen("127.0.0.1:0", 1, &status);
	char request[MAX_REQUEST_BYTES];
	int fd;

	CU_ASSERT_TRUE_FATAL(listener >= 0);
	address_of_socket(listener, address);
	order.worker = fleet_set_worker(fleet, &entry, 0);
	platform_stop_run(
	    pool, &order, 1, ORDER_TIMEOUT_MS, record_order_answer, &answer);
	run_pool(pool, listener, &answer);
	fd = accept(listener, NULL, NULL);
	CU_ASSERT_TRUE_FATAL(fd >= 0);
	run_pool(pool, fd, &answer);
	CU_ASSERT_TRUE(read(fd, request, sizeof(request)) > 0);
	(void)dprintf(fd, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s",
	    status_line, strlen(body), body);
	run_pool(pool, listener, &answer);
	CU_ASSERT_TRUE(answer.called);
	(void)close(fd);
	(void)close(listener);
	http_pool_free(pool);
	fleet_free(fleet);
	return answer.outcome;
}

/* Guards against a second run of a task: an order that was answered with a
 * status that doesn't exclude its execution counted as refused. */
static void
test_only_refusals_count_as_refused(void)
{
	static const char *const refusals[] = {
	    "429 Too Many Requests", "503 Service Unavailable"};
	static const char *const others[] = {"404 Not Found",
	    "408 Request Timeout", "500 Internal Server Error",
	    "502 Bad Gateway", "504 Gateway Timeout"};

	for (size_t i = 0; i < COUNT_OF(refusals); i++)
		CU_ASSERT_EQUAL(
		    stop_outcome(refusals[i], ""), PLATFORM_ORDER_REFUSED);
	CU_ASSERT_EQUAL(
	    stop_outcome("400 Bad Request", ""), PLATFORM_ORDER_INVALID);
	for (size_t i = 0; i < COUNT_OF(others); i++)
		CU_ASSERT_EQUAL(
		    stop_outcome(others[i], ""), PLATFORM_ORDER_UNKNOWN);
	CU_ASSERT_EQUAL(stop_outcome("421 Misdirected Request", ""),
	    PLATFORM_ORDER_REPLACED);
	CU_ASSERT_EQUAL(stop_outcome("409 Conflict", "{\"Reason\":\"room\"}"),
	    PLATFORM_ORDER_REFUSED);
	CU_ASSERT_EQUAL(stop_outcome("409 Conflict", "{\"Reason\":\"old\"}"),
	    PLATFORM_ORDER_OLD);
	CU_ASSERT_EQUAL(stop_outcome("409 Conflict", "{\"Reason\":\"fence\"}"),
	    PLATFORM_ORDER_FENCED);
	CU_ASSERT_EQUAL(stop_outcome("200 OK", "{}"), PLATFORM_ORDER_DONE);
}

/* Guards against a full list of ends that is taken for a complete one. */
static void
test_report_with_a_full_list_of_ends(void)
{
	CLEANUP(buffer_free) struct buffer text = {0};
	struct ibis_status status = {0};
	struct fleet_report *report;

	buffer_puts(
	    &text, "{\"ClockMs\":1,\"born\":5,\"Running\":[],\"EndedRuns\":[");
	for (uint32_t i = 1; i <= 500; i++)
		buffer_printf(&text,
		    "%s[%" PRIu32 ",\"5c0e7a21d94b36f8.0.0.%" PRIu32
		    "\",1,\"done\",\"\"]",
		    i == 1 ? "" : ",", i, i);
	buffer_puts(&text, "]}");
	report = platform_report_parse(text.data, text.length, &status);
	CU_ASSERT_PTR_NOT_NULL_FATAL(report);
	if (report == NULL)
		return;
	CU_ASSERT_EQUAL(report->ends_count, 500);
	CU_ASSERT_TRUE(report->more_ends);
	platform_report_free(report);
}

#define EVENTS                                                                \
	"{\"events\":[{\"Key\":\"my/leader\",\"Value\":\"bm9kZS0x\","         \
	"\"Revision\":412,\"Lease\":77120},{\"Key\":\"my/old\",\"Revision\":" \
	"413,\"Deleted\":true},{\"Key\":5,\"Value\":\"%%%\"}],\"At\":413}"

static void
test_store_events(void)
{
	struct platform_store_reply *reply =
	    platform_store_reply_parse(EVENTS, strlen(EVENTS));
	const struct platform_store_answer *answer;

	CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
	if (reply == NULL)
		return;
	answer = platform_store_reply_answer(reply);
	CU_ASSERT_EQUAL(answer->items_count, 3);
	CU_ASSERT_EQUAL(answer->store_revision, 413);
	CU_ASSERT_EQUAL(answer->items[0].value_length, 6);
	CU_ASSERT_EQUAL(memcmp(answer->items[0].value, "node-1", 6), 0);
	CU_ASSERT_EQUAL(answer->items[0].lease, 77120);
	CU_ASSERT_TRUE(answer->items[1].deleted);
	CU_ASSERT_STRING_EQUAL(answer->items[2].key, "");
	platform_store_reply_free(reply);
	CU_ASSERT_PTR_NULL(platform_store_reply_parse("", 0));
	CU_ASSERT_PTR_NULL(platform_store_reply_parse("[]", 2));
}

/* A store call, recorded instead of being sent. */
struct store_call {
	http_callback *done;
	void *context;
};

static void
record_store_call(void *context, const struct http_call *call,
    http_callback *done, void *done_context)
{
	struct store_call *recorded = context;

	(void)call;
	*recorded = (struct store_call){done, done_context};
}

static void
record_store_outcome(void *context, const struct platform_store_answer *answer)
{
	enum platform_store_outcome *outcome = context;

	*outcome = answer->outcome;
}

/* Returns the outcome of a write that is answered with a status. */
static enum platform_store_outcome
write_outcome(int32_t http_status)
{
	struct store_call call = {0};
	struct platform_store store = {
	    .send = record_store_call,
	    .send_context = &call,
	    .address = "127.0.0.1:1",
	    .timeout_ms = ORDER_TIMEOUT_MS,
	};
	struct platform_store_op change = {
	    .key = "k", .has_condition = true, .put = true, .value = ""};
	struct http_result result = {
	    .outcome = HTTP_RESPONDED, .status = http_status, .body = ""};
	enum platform_store_outcome outcome = STORE_DONE;

	platform_store_commit(
	    &store, &change, 1, record_store_outcome, &outcome);
	call.done(call.context, &result);
	return outcome;
}

/* Guards against an accepted job that its caller is told was refused: a status
 * that doesn't exclude that the write was applied counted as a refusal. */
static void
test_only_refused_writes_count_as_refused(void)
{
	static const int32_t refusals[] = {400, 403, 429, 503};
	static const int32_t others[] = {408, 500, 502, 504};

	for (size_t i = 0; i < COUNT_OF(refusals); i++)
		CU_ASSERT_EQUAL(write_outcome(refusals[i]), STORE_REFUSED);
	for (size_t i = 0; i < COUNT_OF(others); i++)
		CU_ASSERT_EQUAL(write_outcome(others[i]), STORE_UNKNOWN);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"settings", test_settings},
	    {"bad settings", test_bad_settings},
	    {"settings detection", test_settings_detection},
	    {"config", test_config},
	    {"config quota", test_config_quota},
	    {"bad config", test_bad_config},
	    {"job", test_job},
	    {"repeated dependencies", test_repeated_dependencies},
	    {"bad jobs", test_bad_jobs},
	    {"worker entry", test_worker_entry},
	    {"remaining time of a worker", test_remaining_time_of_a_worker},
	    {"bad worker entries", test_bad_worker_entries},
	    {"worker entries out of range", test_worker_entries_out_of_range},
	    {"report", test_report},
	    {"report rows out of range", test_report_rows_out_of_range},
	    {"only refusals count as refused",
		test_only_refusals_count_as_refused},
	    {"report with a full list of ends",
		test_report_with_a_full_list_of_ends},
	    {"store events", test_store_events},
	    {"only refused writes count as refused",
		test_only_refused_writes_count_as_refused},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("platform", tests);
}
