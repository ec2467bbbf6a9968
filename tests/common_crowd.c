#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common_crowd.h"
#include "common_cunit.h"
#include "common_http.h"
#include "process/alloc.h"
#include "process/buffer.h"

/* Largest body that the pages allow. */
#define LEGAL_BODY_BYTES 262144
#define PIECE_BYTES	 8192
#define CHUNK_BYTES	 4096
#define LONG_BODY_BYTES	 (64 << 20)
#define LONG_SENT_BYTES	 (4 << 20)
#define REQUESTS_AHEAD	 400
/* Pauses in which the server may read, when it takes nothing more. */
#define PAUSE_MS   20
#define MAX_PAUSES 100
#define KIB_PER_MB 1024

static const char *const kind_names[CROWD_KINDS] = {
    [CROWD_BODIES_WHOLE] = "bodies that stop short, whole",
    [CROWD_BODIES_PIECES] = "bodies that stop short, in pieces",
    [CROWD_BODIES_CHUNKED] = "bodies that stop short, in chunks",
    [CROWD_BODIES_TOO_LONG] = "bodies far too long",
    [CROWD_SHORT_FIELDS] = "very many short fields",
    [CROWD_SENT_AHEAD] = "requests sent ahead",
    [CROWD_HALF_HEADERS] = "half headers",
    [CROWD_SLOW_READERS] = "answers not read",
};

static void
add_head(struct buffer *text, const char *method, const char *path)
{
	buffer_printf(text,
	    "%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
	    "Content-Type: application/json\r\n",
	    method, path);
}

static void
add_filler(struct buffer *text, size_t bytes)
{
	for (size_t i = 0; i < bytes; i++)
		buffer_puts(text, "x");
}

static void
add_short_body(struct buffer *text, const char *path)
{
	add_head(text, "POST", path);
	buffer_printf(text, "Content-Length: %d\r\n\r\n", LEGAL_BODY_BYTES);
	add_filler(text, LEGAL_BODY_BYTES - 1);
}

static void
add_chunked_body(struct buffer *text, const char *path)
{
	add_head(text, "POST", path);
	buffer_puts(text, "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t sent = CHUNK_BYTES; sent < LEGAL_BODY_BYTES;
	     sent += CHUNK_BYTES) {
		buffer_printf(text, "%x\r\n", CHUNK_BYTES);
		add_filler(text, CHUNK_BYTES);
		buffer_puts(text, "\r\n");
	}
}

static void
add_long_body(struct buffer *text, const char *path)
{
	add_head(text, "POST", path);
	buffer_printf(text, "Content-Length: %d\r\n\r\n", LONG_BODY_BYTES);
	add_filler(text, LONG_SENT_BYTES);
}

/* A whole body of legal size: steps without fields. */
static void
add_short_fields(struct buffer *text, const char *path)
{
	CLEANUP(buffer_free) struct buffer body = {0};

	buffer_puts(&body, "{\"Spec\":\"x\",\"Steps\":[{}");
	while (body.length + 5 < LEGAL_BODY_BYTES)
		buffer_puts(&body, ",{}");
	buffer_puts(&body, "]}");
	add_head(text, "POST", path);
	buffer_printf(text, "Content-Length: %zu\r\n\r\n%s", body.length,
	    buffer_string(&body));
}

static void
add_request(struct buffer *text, const char *path)
{
	add_head(text, "GET", path);
	buffer_puts(text, "\r\n");
}

/* Appends what each member of the crowd sends. */
static void
add_all(struct buffer *text, enum crowd_kind kind, const char *path)
{
	switch (kind) {
	case CROWD_BODIES_WHOLE:
	case CROWD_BODIES_PIECES:
		add_short_body(text, path);
		break;
	case CROWD_BODIES_CHUNKED:
		add_chunked_body(text, path);
		break;
	case CROWD_BODIES_TOO_LONG:
		add_long_body(text, path);
		break;
	case CROWD_SHORT_FIELDS:
		add_short_fields(text, path);
		break;
	case CROWD_SENT_AHEAD:
		for (int i = 0; i < REQUESTS_AHEAD; i++)
			add_request(text, path);
		break;
	case CROWD_HALF_HEADERS:
		add_head(text, "GET", path);
		break;
	case CROWD_SLOW_READERS:
		add_request(text, path);
		break;
	case CROWD_KINDS:
		break;
	}
}

/* Sends at most limit bytes from an offset on. Returns the new offset, the end
 * of the text if the connection is closed. */
static size_t
send_some(int fd, const struct buffer *text, size_t offset, size_t limit)
{
	size_t left = text->length - offset;
	ssize_t sent;

	if (left == 0)
		return offset;
	sent = send(fd, text->data + offset, left < limit ? left : limit,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent >= 0)
		return offset + (size_t)sent;
	return errno == EAGAIN ? offset : text->length;
}

/* Sends the text on all connections by turns, until all of it is sent or the
 * server takes no more. */
static void
send_by_turns(
    const struct crowd *crowd, const struct buffer *text, size_t piece_bytes)
{
	size_t *offsets = mem_calloc(crowd->count, sizeof(*offsets));
	int pauses = 0;
	bool open = true;

	while (open && pauses < MAX_PAUSES) {
		bool progress = false;

		open = false;
		for (size_t i = 0; i < crowd->count; i++) {
			size_t before = offsets[i];

			if (crowd->connections[i] < 0)
				continue;
			offsets[i] = send_some(
			    crowd->connections[i], text, before, piece_bytes);
			progress |= offsets[i] > before;
			open |= offsets[i] < text->length;
		}
		if (progress)
			continue;
		process_sleep(PAUSE_MS);
		pauses++;
	}
	mem_free(offsets);
}

void
crowd_open(struct crowd *crowd, enum crowd_kind kind, size_t count,
    const char *address, const char *path)
{
	CLEANUP(buffer_free) struct buffer text = {0};

	crowd->connections = mem_calloc(count, sizeof(int));
	crowd->count = count;
	for (size_t i = 0; i < count; i++)
		crowd->connections[i] = http_connect(address);
	add_all(&text, kind, path);
	send_by_turns(
	    crowd, &text, kind == CROWD_BODIES_PIECES ? PIECE_BYTES : SIZE_MAX);
}

void
crowd_close(struct crowd *crowd)
{
	for (size_t i = 0; i < crowd->count; i++) {
		if (crowd->connections[i] >= 0)
			(void)close(crowd->connections[i]);
	}
	mem_free(crowd->connections);
	*crowd = (struct crowd){0};
}

/* Returns a process's highest resident memory so far; 0 when it has ended. */
static int64_t
peak_kib_of(pid_t pid)
{
	char path[64];
	char line[256];
	long long kib = 0;
	FILE *file;

	(void)snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "re");
	if (file == NULL)
		return 0;
	while (fgets(line, sizeof(line), file) != NULL) {
		if (strncmp(line, "VmHWM:", 6) == 0)
			kib = strtoll(line + 6, NULL, 10);
	}
	(void)fclose(file);
	return kib;
}

static size_t
count_descriptors(pid_t pid)
{
	char path[64];
	const struct dirent *entry;
	size_t count = 0;
	DIR *folder;

	(void)snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
	folder = opendir(path);
	if (folder == NULL)
		return 0;
	while ((entry = readdir(folder)) != NULL)
		count += entry->d_name[0] != '.';
	(void)closedir(folder);
	return count;
}

void
crowd_expect_within(const struct process *process,
    const struct crowd_limits *limits, enum crowd_kind kind, const char *path)
{
	int64_t peak_kib = peak_kib_of(process->pid);
	size_t descriptors = count_descriptors(process->pid);
	bool within = peak_kib <= (int64_t)limits->memory_mb * KIB_PER_MB &&
	    descriptors <= limits->descriptors;

	if (!within)
		(void)fprintf(stderr,
		    "%s at %s: %lld KiB at the peak, %zu descriptors\n",
		    kind_names[kind], path, (long long)peak_kib, descriptors);
	CU_ASSERT_FALSE(process_has_ended(process));
	CU_ASSERT_TRUE(within);
}
