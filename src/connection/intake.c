#include "connection/intake.h"

/* A body up to this long may use the reserve, which is this part of the budget.
 */
#define SHORT_BODY_BYTES (16U << 10)
#define RESERVE_PART	 4
/* A body without progress for this long gives way to others. */
#define STALLED_MS 1000

void
intake_init(struct intake *intake, const struct intake_limits *limits,
    intake_closer *closer, void *context)
{
	*intake = (struct intake){
	    .limits = *limits,
	    .closer = closer,
	    .context = context,
	};
	CDS_INIT_LIST_HEAD(&intake->by_progress);
}

bool
intake_is_over_limit(const struct intake *intake)
{
	return intake->connections > intake->limits.max_connections;
}

static void
close_chosen(struct intake *intake, struct intake_connection *connection,
    enum intake_reason reason)
{
	connection->closing = true;
	intake->connections--;
	intake_release(intake, connection);
	intake->closer(intake->context, connection, reason);
}

/* Returns the idle connection without progress for the longest, or NULL when
 * all but the newest are busy or closing. */
static struct intake_connection *
longest_idle(struct intake *intake, const struct intake_connection *newest)
{
	struct intake_connection *connection;

	cds_list_for_each_entry (
	    connection, &intake->by_progress, by_progress) {
		if (connection != newest && !connection->busy &&
		    !connection->closing)
			return connection;
	}
	return NULL;
}

void
intake_open(struct intake *intake, struct intake_connection *connection,
    void *owner, int64_t now_ms)
{
	*connection = (struct intake_connection){
	    .owner = owner,
	    .progress_ms = now_ms,
	};
	cds_list_add_tail(&connection->by_progress, &intake->by_progress);
	intake->connections++;
	while (intake_is_over_limit(intake)) {
		struct intake_connection *idle =
		    longest_idle(intake, connection);

		if (idle == NULL ||
		    now_ms - idle->progress_ms < intake->limits.idle_ms)
			return;
		close_chosen(intake, idle, INTAKE_TOO_MANY);
	}
}

void
intake_close(struct intake *intake, struct intake_connection *connection)
{
	intake_release(intake, connection);
	cds_list_del(&connection->by_progress);
	if (!connection->closing)
		intake->connections--;
}

void
intake_progress(
    struct intake *intake, struct intake_connection *connection, int64_t now_ms)
{
	connection->progress_ms = now_ms;
	cds_list_del(&connection->by_progress);
	cds_list_add_tail(&connection->by_progress, &intake->by_progress);
}

void
intake_release(struct intake *intake, struct intake_connection *connection)
{
	intake->bytes -= connection->bytes;
	connection->bytes = 0;
}

/* Returns whether the budget has room for some more bytes of a body. */
static bool
has_room(const struct intake *intake,
    const struct intake_connection *connection, size_t bytes)
{
	size_t limit = intake->limits.max_bytes;

	if (connection->bytes + bytes > SHORT_BODY_BYTES)
		limit -= limit / RESERVE_PART;
	return bytes <= limit && intake->bytes <= limit - bytes;
}

/* Returns the next connection to close for some more bytes of another one's
 * body, or NULL. */
static struct intake_connection *
longest_stalled(struct intake *intake, const struct intake_connection *waiting,
    size_t bytes, int64_t now_ms)
{
	bool at_once = waiting->bytes + bytes <= SHORT_BODY_BYTES;
	struct intake_connection *connection;

	cds_list_for_each_entry (
	    connection, &intake->by_progress, by_progress) {
		if (connection == waiting || connection->busy ||
		    connection->closing || connection->bytes == 0)
			continue;
		return at_once || now_ms - connection->progress_ms >= STALLED_MS
		    ? connection
		    : NULL;
	}
	return NULL;
}

bool
intake_take(struct intake *intake, struct intake_connection *connection,
    size_t bytes, int64_t now_ms)
{
	while (!has_room(intake, connection, bytes)) {
		struct intake_connection *stalled =
		    longest_stalled(intake, connection, bytes, now_ms);

		if (stalled == NULL)
			return false;
		close_chosen(intake, stalled, INTAKE_STALLED);
	}
	intake->bytes += bytes;
	connection->bytes += bytes;
	intake_progress(intake, connection, now_ms);
	return true;
}

void
intake_set_busy(struct intake *intake, struct intake_connection *connection,
    bool busy, int64_t now_ms)
{
	connection->busy = busy;
	intake_progress(intake, connection, now_ms);
}
