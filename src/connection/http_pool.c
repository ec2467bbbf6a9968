#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <curl/curl.h>
#include <urcu/list.h>

#include "connection/address.h"
#include "connection/http_pool.h"
#include "process/alloc.h"
#include "process/clock.h"
#include "process/log.h"

#define CONNECT_TIMEOUT_MS 400
/* Events are handled in rounds, until no more are there or MAX_ROUNDS. */
#define MAX_EVENTS_PER_ROUND   64
#define MAX_ROUNDS	       16
#define MAX_CACHED_CONNECTIONS 1024L
#define MAX_IDLE_TRANSFERS     128
#define URL_PREFIX	       "http://"
/* An HTTP status divided by STATUS_CLASS is its class. */
#define STATUS_CLASS	     100
#define STATUS_CLASS_SUCCESS 2
#define MAX_RESPONSE_BYTES   (8U << 20)
/* Limit that libcurl applies to a call. The pool's own timeouts end it before:
 * libcurl would drop a response that has arrived but was not read in time. */
#define MAX_CALL_MS 120000

/* One call. Its handle and buffers are reused for later calls. */
struct transfer {
	struct cds_list_head node;
	CURL *easy;
	struct curl_slist *headers;
	struct buffer body;
	char *request_body;
	http_callback *done;
	void *context;
	int64_t sent_ms;
	int64_t first_byte_ms;	 /* of the response's body; 0: none yet */
	int32_t timeout_ms;	 /* of the whole call */
	int32_t idle_timeout_ms; /* 0: none; else it replaces timeout_ms */
	/* When the call ends, unless it connects before or more arrives. */
	int64_t ends_ms;
	size_t max_response_bytes;
	bool too_long;
	bool safe;	/* its method changes nothing at the peer */
	uint32_t sends; /* begun; libcurl may send a request again */
};

struct http_pool {
	CURLM *multi;
	int epoll_fd;
	int64_t timer_ms; /* when libcurl's timer expires; INT64_MAX: unset */
	struct cds_list_head transfers;
	int64_t next_end_ms;	      /* no transfer's ends_ms is earlier */
	struct cds_list_head refused; /* to end as HTTP_NOT_SENT */
	struct transfer *idle[MAX_IDLE_TRANSFERS];
	size_t idle_count;
	int64_t waited_us; /* for events */
};

/*
 * Adds a descriptor to the epoll set or changes its events. libcurl doesn't
 * report every close, and the system may reuse a closed descriptor's number, so
 * `registered` can be wrong; the other operation is then tried.
 */
static void
watch_socket(struct http_pool *pool, curl_socket_t fd, bool registered,
    struct epoll_event *event)
{
	int first = registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
	int second = registered ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;

	if (epoll_ctl(pool->epoll_fd, first, fd, event) == 0 ||
	    (errno != EEXIST && errno != ENOENT))
		return;
	(void)epoll_ctl(pool->epoll_fd, second, fd, event);
}

static int
on_socket(
    CURL *easy, curl_socket_t fd, int what, void *context, void *socket_context)
{
	struct http_pool *pool = context;
	struct epoll_event event = {.data.fd = fd};
	static char registered; /* its address marks sockets in the epoll set */

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		(void)epoll_ctl(pool->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
		event.events |= EPOLLIN;
	if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
		event.events |= EPOLLOUT;
	watch_socket(pool, fd, socket_context != NULL, &event);
	(void)curl_multi_assign(pool->multi, fd, &registered);
	return 0;
}

static int
on_timer(CURLM *multi, long timeout_ms, void *context)
{
	struct http_pool *pool = context;

	(void)multi;
	/* When called before its timer expires, libcurl does nothing and
	 * doesn't set the timer again. clock_now_ms() rounds down, so wait
	 * 1 ms longer. */
	pool->timer_ms = timeout_ms < 0
	    ? INT64_MAX
	    : clock_now_ms() + timeout_ms + (timeout_ms > 0);
	return 0;
}

struct http_pool *
http_pool_new(struct ibis_status *status)
{
	struct http_pool *pool = mem_calloc(1, sizeof(*pool));

	CDS_INIT_LIST_HEAD(&pool->transfers);
	CDS_INIT_LIST_HEAD(&pool->refused);
	pool->timer_ms = INT64_MAX;
	pool->next_end_ms = INT64_MAX;
	pool->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	pool->multi = curl_multi_init();
	if (pool->epoll_fd < 0 || pool->multi == NULL) {
		(void)ibis_status_set(status, IBIS_INTERNAL, "start", NULL,
		    "no descriptor or memory for HTTP calls");
		http_pool_free(pool);
		return NULL;
	}
	(void)curl_multi_setopt(
	    pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	(void)curl_multi_setopt(pool->multi, CURLMOPT_SOCKETDATA, pool);
	(void)curl_multi_setopt(pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	(void)curl_multi_setopt(pool->multi, CURLMOPT_TIMERDATA, pool);
	(void)curl_multi_setopt(
	    pool->multi, CURLMOPT_MAXCONNECTS, MAX_CACHED_CONNECTIONS);
	return pool;
}

static void
free_transfer(struct transfer *transfer)
{
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	buffer_free(&transfer->body);
	mem_free(transfer->request_body);
	mem_free(transfer);
}

void
http_pool_free(struct http_pool *pool)
{
	struct transfer *transfer;
	struct transfer *next;

	if (pool == NULL)
		return;
	cds_list_for_each_entry_safe (transfer, next, &pool->transfers, node) {
		(void)curl_multi_remove_handle(pool->multi, transfer->easy);
		free_transfer(transfer);
	}
	cds_list_for_each_entry_safe (transfer, next, &pool->refused, node)
		free_transfer(transfer);
	for (size_t i = 0; i < pool->idle_count; i++)
		free_transfer(pool->idle[i]);
	if (pool->multi != NULL)
		(void)curl_multi_cleanup(pool->multi);
	if (pool->epoll_fd >= 0)
		(void)close(pool->epoll_fd);
	mem_free(pool);
}

void
http_pool_watch(struct http_pool *pool, int fd)
{
	struct epoll_event event = {.events = EPOLLIN, .data.fd = -1};

	(void)epoll_ctl(pool->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *context)
{
	struct transfer *transfer = context;

	if (transfer->body.length + size * count >
	    transfer->max_response_bytes) {
		transfer->too_long = true;
		return 0;
	}
	if (transfer->first_byte_ms == 0)
		transfer->first_byte_ms = clock_now_ms();
	if (transfer->idle_timeout_ms > 0)
		transfer->ends_ms = clock_now_ms() + transfer->idle_timeout_ms;
	buffer_append(&transfer->body, bytes, size * count);
	return size * count;
}

/* Called whenever libcurl is connected and about to send the request. */
static int
on_sending(
    void *context, char *peer_ip, char *local_ip, int peer_port, int local_port)
{
	struct transfer *transfer = context;

	(void)peer_ip;
	(void)local_ip;
	(void)peer_port;
	(void)local_port;
	if (transfer->sends++ == 0)
		transfer->ends_ms = transfer->sent_ms + transfer->timeout_ms;
	return CURL_PREREQFUNC_OK;
}

static struct transfer *
get_transfer(struct http_pool *pool)
{
	struct transfer *transfer;

	if (pool->idle_count > 0)
		return pool->idle[--pool->idle_count];
	transfer = mem_calloc(1, sizeof(*transfer));
	transfer->easy = curl_easy_init();
	return transfer;
}

static void
add_header(struct transfer *transfer, const char *header)
{
	struct curl_slist *extended =
	    curl_slist_append(transfer->headers, header);

	if (extended != NULL)
		transfer->headers = extended;
}

static void
set_body(struct transfer *transfer, const struct http_call *call)
{
	CURL *easy = transfer->easy;

	if (call->body != NULL) {
		transfer->request_body =
		    mem_strndup(call->body, call->body_length);
		(void)curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, transfer->request_body);
		(void)curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE, (long)call->body_length);
		add_header(transfer, "Content-Type: application/json");
		add_header(transfer, "Expect:");
	} else if (strcmp(call->method, "POST") == 0) {
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
	} else {
		(void)curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	}
	(void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void
set_options(struct transfer *transfer, const struct http_call *call)
{
	CLEANUP(buffer_free) struct buffer url = {0};
	CURL *easy = transfer->easy;

	buffer_printf(&url, URL_PREFIX "%s%s", call->address, call->path);
	(void)curl_easy_setopt(easy, CURLOPT_URL, buffer_string(&url));
	(void)curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	(void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)MAX_CALL_MS);
	(void)curl_easy_setopt(easy, CURLOPT_MAXFILESIZE_LARGE,
	    (curl_off_t)transfer->max_response_bytes);
	(void)curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)MAX_CALL_MS);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_sending);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	for (size_t i = 0; i < HTTP_POOL_HEADERS; i++) {
		if (call->headers[i] != NULL)
			add_header(transfer, call->headers[i]);
	}
	set_body(transfer, call);
	if (transfer->headers != NULL)
		(void)curl_easy_setopt(
		    easy, CURLOPT_HTTPHEADER, transfer->headers);
}

/* Host names are refused, since looking them up would block the thread. */
bool
http_pool_accepts(const char *address)
{
	return address_is_callable(address);
}

void
http_pool_call(struct http_pool *pool, const struct http_call *call,
    http_callback *done, void *context)
{
	struct transfer *transfer = get_transfer(pool);

	transfer->done = done;
	transfer->context = context;
	transfer->sent_ms = clock_now_ms();
	if (!http_pool_accepts(call->address)) {
		log_event(LOG_ERROR, "call_refused", "address", call->address,
		    "path", call->path, NULL);
		cds_list_add_tail(&transfer->node, &pool->refused);
		return;
	}
	transfer->safe = strcmp(call->method, "GET") == 0;
	transfer->max_response_bytes = call->max_response_bytes == 0
	    ? MAX_RESPONSE_BYTES
	    : call->max_response_bytes;
	transfer->timeout_ms = call->timeout_ms;
	transfer->idle_timeout_ms = call->idle_timeout_ms;
	transfer->ends_ms = transfer->sent_ms +
	    (call->timeout_ms < CONNECT_TIMEOUT_MS ? call->timeout_ms
						   : CONNECT_TIMEOUT_MS);
	if (transfer->ends_ms < pool->next_end_ms)
		pool->next_end_ms = transfer->ends_ms;
	set_options(transfer, call);
	cds_list_add_tail(&transfer->node, &pool->transfers);
	(void)curl_multi_add_handle(pool->multi, transfer->easy);
}

static void
recycle_transfer(struct http_pool *pool, struct transfer *transfer)
{
	if (pool->idle_count == MAX_IDLE_TRANSFERS) {
		free_transfer(transfer);
		return;
	}
	curl_easy_reset(transfer->easy);
	curl_slist_free_all(transfer->headers);
	transfer->headers = NULL;
	buffer_clear(&transfer->body);
	mem_free(transfer->request_body);
	transfer->request_body = NULL;
	transfer->sends = 0;
	transfer->first_byte_ms = 0;
	transfer->too_long = false;
	pool->idle[pool->idle_count++] = transfer;
}

/* Returns whether a response tells what the peer has done. The peer may have
 * executed the first copy of a request that was resent, even if it refuses the
 * second. */
static bool
is_conclusive(const struct transfer *transfer, long status)
{
	return transfer->sends <= 1 || transfer->safe ||
	    status / STATUS_CLASS == STATUS_CLASS_SUCCESS;
}

/* The code alone doesn't tell whether the request was sent: libcurl may fail to
 * connect when it resends one whose connection broke. */
static enum http_outcome
classify_outcome(CURLcode code, const struct transfer *transfer, long status)
{
	if (transfer->sends == 0)
		return HTTP_NOT_SENT;
	if (code == CURLE_OK && is_conclusive(transfer, status))
		return HTTP_RESPONDED;
	return HTTP_OUTCOME_UNKNOWN;
}

static void
finish_transfer(
    struct http_pool *pool, struct transfer *transfer, CURLcode code)
{
	long status = 0;
	struct http_result result = {
	    .body = buffer_string(&transfer->body),
	    .body_length = transfer->body.length,
	    .sent_ms = transfer->sent_ms,
	    .first_byte_ms = transfer->first_byte_ms,
	    .received_ms = clock_now_ms(),
	    .resent = transfer->sends > 1,
	    .too_long = transfer->too_long || code == CURLE_FILESIZE_EXCEEDED,
	};

	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	result.outcome = classify_outcome(code, transfer, status);
	result.status = (int32_t)status;
	(void)curl_multi_remove_handle(pool->multi, transfer->easy);
	cds_list_del(&transfer->node);
	transfer->done(transfer->context, &result);
	recycle_transfer(pool, transfer);
}

static void
finish_refused(struct http_pool *pool)
{
	while (!cds_list_empty(&pool->refused)) {
		struct transfer *transfer =
		    cds_list_first_entry(&pool->refused, struct transfer, node);
		struct http_result result = {
		    .outcome = HTTP_NOT_SENT,
		    .body = "",
		    .sent_ms = transfer->sent_ms,
		    .received_ms = clock_now_ms(),
		};

		cds_list_del(&transfer->node);
		transfer->done(transfer->context, &result);
		recycle_transfer(pool, transfer);
	}
}

static void
finish_completed(struct http_pool *pool)
{
	CURLMsg *message;
	int messages_left;

	while ((message = curl_multi_info_read(pool->multi, &messages_left)) !=
	    NULL) {
		char *transfer = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		finish_transfer(
		    pool, (struct transfer *)(void *)transfer, code);
	}
}

/* Ends the transfers whose time is over. To be called when all that has arrived
 * has been read. */
static void
end_late_transfers(struct http_pool *pool)
{
	int64_t now_ms = clock_now_ms();
	struct transfer *transfer;
	struct transfer *next;

	if (now_ms < pool->next_end_ms)
		return;
	/* The callbacks of ended calls may begin others. */
	pool->next_end_ms = INT64_MAX;
	cds_list_for_each_entry_safe (transfer, next, &pool->transfers, node) {
		if (now_ms >= transfer->ends_ms)
			finish_transfer(
			    pool, transfer, CURLE_OPERATION_TIMEDOUT);
		else if (transfer->ends_ms < pool->next_end_ms)
			pool->next_end_ms = transfer->ends_ms;
	}
}

/* Returns the time until a timer expires; INT64_MAX: no timer is set. */
static int64_t
timer_in_ms(const struct http_pool *pool)
{
	int64_t timer_ms = pool->timer_ms < pool->next_end_ms
	    ? pool->timer_ms
	    : pool->next_end_ms;

	return timer_ms == INT64_MAX ? INT64_MAX : timer_ms - clock_now_ms();
}

static void
handle_socket(struct http_pool *pool, const struct epoll_event *event)
{
	int running;
	int flags = 0;

	if (event->events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (event->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (event->events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	(void)curl_multi_socket_action(
	    pool->multi, event->data.fd, flags, &running);
}

/* Waits for a round of events and handles it. Returns whether there may be
 * more. */
static bool
handle_round(struct http_pool *pool, int64_t timeout_ms, int64_t *woken_ms)
{
	struct epoll_event events[MAX_EVENTS_PER_ROUND];
	int64_t begun_us = clock_now_us();
	int count = epoll_wait(
	    pool->epoll_fd, events, MAX_EVENTS_PER_ROUND, (int)timeout_ms);

	pool->waited_us += clock_now_us() - begun_us;
	if (*woken_ms == 0)
		*woken_ms = clock_now_ms();
	for (int i = 0; i < count; i++) {
		if (events[i].data.fd >= 0)
			handle_socket(pool, &events[i]);
	}
	return count == MAX_EVENTS_PER_ROUND;
}

int64_t
http_pool_waited_us(const struct http_pool *pool)
{
	return pool->waited_us;
}

int64_t
http_pool_wait(struct http_pool *pool, int64_t timeout_ms)
{
	int64_t timer_ms = timer_in_ms(pool);
	int64_t woken_ms = 0;
	bool more;
	int running;

	if (timer_ms < timeout_ms)
		timeout_ms = timer_ms;
	if (timeout_ms < 0 || !cds_list_empty(&pool->refused))
		timeout_ms = 0;
	more = handle_round(pool, timeout_ms, &woken_ms);
	for (int round = 1; more && round < MAX_ROUNDS; round++)
		more = handle_round(pool, 0, &woken_ms);
	if (clock_now_ms() >= pool->timer_ms) {
		pool->timer_ms = INT64_MAX;
		(void)curl_multi_socket_action(
		    pool->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	}
	finish_completed(pool);
	if (!more)
		end_late_transfers(pool);
	finish_refused(pool);
	return clock_now_ms() - woken_ms;
}
