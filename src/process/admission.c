#include <inttypes.h>
#include <string.h>

#include "process/admission.h"
#include "process/alloc.h"

#define STEP "admit"

/* Dequeue rate: window over which it is measured, weight of a new window, and
 * the lowest rate assumed when a wait is computed. */
#define RATE_WINDOW_MS	   1000
#define RATE_SMOOTHING	   0.2
#define MIN_DEQUEUES_PER_S 0.1

/* Wait recommended to refused callers. */
#define MIN_RETRY_AFTER_MS 250
#define MAX_RETRY_AFTER_MS 60000
#define JITTER_SHARE	   0.25

/* Part of the queue limit that the lowest class may fill. */
#define MIN_QUEUE_SHARE 0.6

/* Retry budget: retries may make up this part of all first starts, and a burst
 * of MAX_RETRY_TOKENS more. Beyond that their delay is multiplied by
 * EXHAUSTED_BUDGET_FACTOR. */
#define RETRY_TOKENS_PER_START 0.2
#define MAX_RETRY_TOKENS       50.0

/* Backoff of failed attempts. */
#define RETRY_DELAY_MS		100
#define MAX_RETRY_DELAY_MS	10000
#define MAX_RETRY_DOUBLINGS	6
#define EXHAUSTED_BUDGET_FACTOR 8

/* Size of a token bucket without burst_jobs, in seconds of its rate. */
#define DEFAULT_BURST_S 1.0

#define MS_PER_S 1000.0

void
admission_init(
    struct admission *admission, uint32_t max_queued_jobs, uint64_t seed)
{
	*admission = (struct admission){
	    .max_queued_jobs = max_queued_jobs,
	    .random_state = seed != 0 ? seed : 1,
	    .retry_tokens = MAX_RETRY_TOKENS,
	    .window_start_ms = INT64_MIN,
	};
}

void
admission_clear(struct admission *admission)
{
	mem_free(admission->workspaces);
	mem_free(admission->classes);
	admission->workspaces = NULL;
	admission->classes = NULL;
}

/* Returns a pseudo-random number in [0, 1), by xorshift64*. */
static double
next_random(struct admission *admission)
{
	uint64_t x = admission->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	admission->random_state = x;
	x *= UINT64_C(2685821657736338717);
	return (double)(x >> 11) / (double)(UINT64_C(1) << 53);
}

/* Varies a delay by up to JITTER_SHARE, so that callers do not all retry at the
 * same time.
 */
static int64_t
add_jitter(struct admission *admission, double delay_ms)
{
	double factor =
	    1.0 - JITTER_SHARE + 2.0 * JITTER_SHARE * next_random(admission);

	return (int64_t)(delay_ms * factor);
}

static int64_t
clamp(int64_t value, int64_t lowest, int64_t highest)
{
	if (value < lowest)
		return lowest;
	return value > highest ? highest : value;
}

static double
token_bucket_size(const struct admission_workspace *workspace)
{
	if (workspace->burst_jobs > 0)
		return workspace->burst_jobs;
	if (workspace->max_jobs_per_s < 1.0)
		return 1.0;
	return workspace->max_jobs_per_s * DEFAULT_BURST_S;
}

static const struct admission_workspace *
find_workspace(const struct admission *admission, const char *name)
{
	for (size_t i = 0; i < admission->workspaces_count; i++) {
		if (strcmp(admission->workspaces[i].name, name) == 0)
			return &admission->workspaces[i];
	}
	return NULL;
}

static void
set_workspace(const struct admission *admission,
    struct admission_workspace *workspace,
    const struct document_workspace *from)
{
	const struct admission_workspace *known =
	    find_workspace(admission, from->name);

	STRING_COPY(workspace->name, from->name);
	workspace->max_queued_jobs = from->max_queued_jobs;
	workspace->max_jobs_per_s = from->max_jobs_per_s;
	workspace->burst_jobs = from->burst_jobs;
	workspace->tokens = token_bucket_size(workspace);
	workspace->last_refill_ms = INT64_MIN;
	if (known == NULL)
		return;
	if (known->tokens < workspace->tokens)
		workspace->tokens = known->tokens;
	workspace->last_refill_ms = known->last_refill_ms;
}

/* Part of the queue limit that a class may fill. When the queue fills up, lower
 * classes are refused first and urgent ones last. */
static double
queue_share(const struct document *document, const struct document_class *class)
{
	size_t before = 0;

	if (class->urgent || document->classes_count < 2)
		return 1.0;
	for (size_t i = 0; i < document->classes_count; i++) {
		if (document->classes[i].precedence < class->precedence)
			before++;
	}
	return 1.0 -
	    (1.0 - MIN_QUEUE_SHARE) * (double)before /
	    (double)(document->classes_count - 1);
}

void
admission_set_document(
    struct admission *admission, const struct document *document)
{
	struct admission_workspace *workspaces =
	    mem_calloc(document->workspaces_count, sizeof(*workspaces));
	struct admission_class *classes =
	    mem_calloc(document->classes_count, sizeof(*classes));

	for (size_t i = 0; i < document->workspaces_count; i++)
		set_workspace(
		    admission, &workspaces[i], &document->workspaces[i]);
	for (size_t i = 0; i < document->classes_count; i++) {
		classes[i].max_queued_jobs =
		    document->classes[i].max_queued_jobs;
		classes[i].queue_share =
		    queue_share(document, &document->classes[i]);
	}
	admission_clear(admission);
	admission->workspaces = workspaces;
	admission->workspaces_count = document->workspaces_count;
	admission->classes = classes;
	admission->classes_count = document->classes_count;
	admission->queued = 0;
}

static enum ibis_code
refuse_full(struct admission *admission, const char *what, uint32_t queued,
    uint32_t bound, int64_t *retry_after_ms, struct ibis_status *status)
{
	/* Callers that were refused in this window will retry too. */
	double excess = (double)queued - bound + ++admission->refused_in_window;
	double rate = admission->dequeues_per_s > MIN_DEQUEUES_PER_S
	    ? admission->dequeues_per_s
	    : MIN_DEQUEUES_PER_S;

	*retry_after_ms = clamp(add_jitter(admission, excess / rate * MS_PER_S),
	    MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
	return ibis_status_set(status, IBIS_LIMIT, STEP, NULL,
	    "%s: %" PRIu32 " jobs queued; expected fewer than %" PRIu32, what,
	    queued, bound);
}

static void
refill_tokens(struct admission_workspace *workspace, int64_t now_ms)
{
	double size = token_bucket_size(workspace);

	if (workspace->last_refill_ms != INT64_MIN &&
	    now_ms > workspace->last_refill_ms)
		workspace->tokens +=
		    (double)(now_ms - workspace->last_refill_ms) *
		    workspace->max_jobs_per_s / MS_PER_S;
	workspace->last_refill_ms = now_ms;
	if (workspace->tokens > size)
		workspace->tokens = size;
}

static enum ibis_code
check_rate(struct admission *admission, struct admission_workspace *workspace,
    int64_t now_ms, int64_t *retry_after_ms, struct ibis_status *status)
{
	double missing;

	if (workspace->max_jobs_per_s <= 0)
		return IBIS_OK;
	refill_tokens(workspace, now_ms);
	if (workspace->tokens >= 1.0) {
		workspace->tokens -= 1.0;
		return IBIS_OK;
	}
	missing = 1.0 - workspace->tokens;
	*retry_after_ms =
	    clamp(add_jitter(admission,
		      missing / workspace->max_jobs_per_s * MS_PER_S),
		MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
	return ibis_status_set(status, IBIS_LIMIT, STEP, NULL,
	    "workspace %s: exceeds its limit of %g jobs per second",
	    workspace->name, workspace->max_jobs_per_s);
}

enum ibis_code
admission_check(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms, int64_t *retry_after_ms,
    struct ibis_status *status)
{
	struct admission_workspace *limits = &admission->workspaces[workspace];
	const struct admission_class *class =
	    &admission->classes[request_class];
	uint32_t bound =
	    (uint32_t)(admission->max_queued_jobs * class->queue_share);

	if (admission->max_queued_jobs > 0 && admission->queued >= bound)
		return refuse_full(admission, "queue", admission->queued, bound,
		    retry_after_ms, status);
	if (class->max_queued_jobs > 0 &&
	    class->queued >= class->max_queued_jobs)
		return refuse_full(admission, "class", class->queued,
		    class->max_queued_jobs, retry_after_ms, status);
	if (limits->max_queued_jobs > 0 &&
	    limits->queued >= limits->max_queued_jobs)
		return refuse_full(admission, "workspace", limits->queued,
		    limits->max_queued_jobs, retry_after_ms, status);
	return check_rate(admission, limits, now_ms, retry_after_ms, status);
}

void
admission_enqueued(
    struct admission *admission, uint32_t workspace, uint32_t request_class)
{
	admission->queued++;
	if (workspace < admission->workspaces_count)
		admission->workspaces[workspace].queued++;
	if (request_class < admission->classes_count)
		admission->classes[request_class].queued++;
}

/* Counts one dequeued job and, at the end of a window, smooths the rate. */
static void
update_dequeue_rate(struct admission *admission, int64_t now_ms)
{
	int64_t elapsed_ms;
	double rate;

	if (admission->window_start_ms == INT64_MIN)
		admission->window_start_ms = now_ms;
	admission->dequeued++;
	elapsed_ms = now_ms - admission->window_start_ms;
	if (elapsed_ms < RATE_WINDOW_MS)
		return;
	rate = admission->dequeued * MS_PER_S / (double)elapsed_ms;
	admission->dequeues_per_s +=
	    RATE_SMOOTHING * (rate - admission->dequeues_per_s);
	admission->dequeued = 0;
	admission->refused_in_window = 0;
	admission->window_start_ms = now_ms;
}

void
admission_dequeued(struct admission *admission, uint32_t workspace,
    uint32_t request_class, int64_t now_ms)
{
	admission->queued--;
	if (workspace < admission->workspaces_count)
		admission->workspaces[workspace].queued--;
	if (request_class < admission->classes_count)
		admission->classes[request_class].queued--;
	update_dequeue_rate(admission, now_ms);
}

void
admission_started(struct admission *admission)
{
	admission->retry_tokens += RETRY_TOKENS_PER_START;
	if (admission->retry_tokens > MAX_RETRY_TOKENS)
		admission->retry_tokens = MAX_RETRY_TOKENS;
}

int64_t
admission_retry_delay_ms(struct admission *admission, uint32_t failed_attempts)
{
	uint32_t doublings = failed_attempts > 0 ? failed_attempts - 1 : 0;
	double delay_ms;

	if (doublings > MAX_RETRY_DOUBLINGS)
		doublings = MAX_RETRY_DOUBLINGS;
	delay_ms = (double)RETRY_DELAY_MS * (double)(1U << doublings);
	if (admission->retry_tokens >= 1.0)
		admission->retry_tokens -= 1.0;
	else
		delay_ms *= EXHAUSTED_BUDGET_FACTOR;
	if (delay_ms > MAX_RETRY_DELAY_MS)
		delay_ms = MAX_RETRY_DELAY_MS;
	return add_jitter(admission, delay_ms);
}
