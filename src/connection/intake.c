#include "connection/intake.h"

void
intake_init(struct intake *intake, const struct intake_limits *limits)
{
	*intake = (struct intake){.limits = *limits};
	CDS_INIT_LIST_HEAD(&intake->by_progress);
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

static bool
is_short(const struct intake *intake, size_t bytes)
{
	return bytes <= intake->limits.short_bytes;
}

bool
intake_take(struct intake *intake, struct intake_connection *connection,
    size_t bytes, int64_t now_ms)
{
	size_t limit = intake->limits.max_bytes;

	if (!is_short(intake, connection->bytes + bytes))
		limit -= intake->limits.reserve_bytes;
	if (intake->bytes + bytes > limit)
		return false;
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

static struct intake_connection *
choose(struct intake *intake, struct intake_connection *connection)
{
	connection->closing = true;
	intake->connections--;
	return connection;
}

struct intake_connection *
intake_over_limit(struct intake *intake, const struct intake_connection *newest,
    int64_t now_ms)
{
	struct intake_connection *connection;

	if (intake->connections <= intake->limits.max_connections)
		return NULL;
	cds_list_for_each_entry (
	    connection, &intake->by_progress, by_progress) {
		if (connection == newest || connection->busy ||
		    connection->closing)
			continue;
		return now_ms - connection->progress_ms < intake->limits.idle_ms
		    ? NULL
		    : choose(intake, connection);
	}
	return NULL;
}
struct intake_connection *
intake_next_stalled(struct intake *intake,
    const struct intake_connection *waiting, size_t bytes, int64_t now_ms)
{
	bool at_once = is_short(intake, waiting->bytes + bytes);
	struct intake_connection *connection;

	cds_list_for_each_entry (
	    connection, &intake->by_progress, by_progress) {
		if (connection == waiting || connection->busy ||
		    connection->closing || connection->bytes == 0)
			continue;
		if (!at_once &&
		    now_ms - connection->progress_ms <
			intake->limits.stalled_ms)
			return NULL;
		return choose(intake, connection);
	}
	return NULL;
}
