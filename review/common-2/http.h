/*
 * HTTP/1.1 for the stand-ins of this review: a server with a thread for each
 * connection, and a call that waits for its answer.
 */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	HTTP_ADDRESS_BYTES = 64,
	HTTP_TEXT_BYTES = 512
};

struct http_request {
	char method[16];
	char path[HTTP_TEXT_BYTES]; /* without the query */
	char query[HTTP_TEXT_BYTES];
	char expected_instance[HTTP_TEXT_BYTES]; /* Expect-Instance header */
	char *body;				 /* NUL-terminated */
	const atomic_bool *stopping;		 /* the server is to stop */
};

struct http_reply {
	int status;
	char *body; /* freed by the server; NULL: empty */
	bool cut;   /* close the connection without an answer */
};

typedef void http_handler(void *context, const struct http_request *request,
    struct http_reply *reply);

struct http_server;

/* Listens on an IP address; port 0 picks a free one. NULL: not possible. */
struct http_server *http_server_start(
    const char *ip, uint16_t port, http_handler *handler, void *context);

/* Closes the port and all connections, and waits for the handlers. */
void http_server_stop(struct http_server *server);

uint16_t http_server_port(const struct http_server *server);

/* Copies a parameter of the query, unescaped; empty if absent. */
void http_query(const struct http_request *request, const char *name,
    char *value, size_t bytes);

struct http_call {
	const char *address; /* IP:PORT */
	const char *method;
	const char *path;
	const char *host;
	const char *key;  /* bearer token; NULL: none */
	const char *body; /* NULL: none */
	int timeout_ms;
};

/* Returns the status; 0: no complete answer. The answer's body is copied, cut
 * to the buffer's size. */
int http_send(const struct http_call *call, char *answer, size_t bytes);

/* The steady clock. */
int64_t now_ms(void);

void sleep_ms(int64_t wait_ms);

#endif
