#include <string.h>

#include "common/fake_server.h"
#include "common_cunit.h"
#include "connection/http_client.h"
#include "process/alloc.h"

#define TIMEOUT_MS 1000
/* A body that takes longer than twice this over the narrow link. */
#define SHORT_TIMEOUT_MS	200
#define PART_BYTES		1024
#define LARGE_BODY_BYTES	262144
#define NARROW_LINK_BYTES_PER_S 250000
#define TRICKLE_BYTES_PER_S	20000

struct server_state {
	uint32_t requests;    /* received so far */
	uint32_t cut_request; /* number of the request whose connection is
			       * closed without a response; 0: none */
};

static void
S_handle(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	struct server_state *state = context;

	state->requests++;
	reply->cut = state->requests == state->cut_request;
	reply->status = 412;
	reply->has_etag = true;
	reply->etag = 42;
	buffer_printf(&reply->body, "%s %s %s", request->method, request->path,
	    request->body);
}

static enum ibis_code
call(struct http_client *client, const char *method,
    struct http_response *response, struct ibis_status *status)
{
	struct http_request request = {
	    .method = method,
	    .path = "/x/y",
	    .body = "body",
	    .body_length = strcmp(method, "GET") == 0 ? 0 : 4,
	};

	return http_client_call(client, &request, response, status);
}

static void
test_answer(void)
{
	struct server_state state = {0};
	struct fake_server *server =
	    fake_server_start("127.0.0.1:0", S_handle, &state);
	struct http_client *client =
	    http_client_new(fake_server_address(server), TIMEOUT_MS);
	struct http_response response;

	for (int i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(call(client, "PUT", &response, NULL), IBIS_OK);
		CU_ASSERT_EQUAL(response.status, 412);
		CU_ASSERT_EQUAL(response.etag, 42);
		CU_ASSERT_STRING_EQUAL(
		    buffer_string(&response.body), "PUT /x/y body");
		buffer_free(&response.body);
	}
	CU_ASSERT_EQUAL(state.requests, 3);
	http_client_free(client);
	fake_server_stop(server);
}

/*
 * The server receives the second request and closes the connection without a
 * response. The client must report an unknown outcome and not resend it.
 */
static void
check_sent_once(const char *method)
{
	struct server_state state = {.cut_request = 2};
	struct fake_server *server =
	    fake_server_start("127.0.0.1:0", S_handle, &state);
	struct http_client *client =
	    http_client_new(fake_server_address(server), TIMEOUT_MS);
	struct http_response response;
	struct ibis_status status = {0};

	CU_ASSERT_EQUAL(call(client, method, &response, &status), IBIS_OK);
	buffer_free(&response.body);
	CU_ASSERT_EQUAL(call(client, method, &response, &status), IBIS_UNKNOWN);
	CU_ASSERT_EQUAL(state.requests, 2);
	CU_ASSERT_STRING_EQUAL(status.peer, fake_server_address(server));
	CU_ASSERT_EQUAL(call(client, method, &response, &status), IBIS_OK);
	CU_ASSERT_EQUAL(state.requests, 3);
	buffer_free(&response.body);
	http_client_free(client);
	fake_server_stop(server);
}

static void
test_cut_request_is_seen_once(void)
{
	check_sent_once("POST");
	check_sent_once("PUT");
	check_sent_once("GET");
}

static void
test_unreachable(void)
{
	struct fake_server *server =
	    fake_server_start("127.0.0.1:0", S_handle, NULL);
	struct http_response response;
	struct http_client *client;

	client = http_client_new(fake_server_address(server), TIMEOUT_MS);
	fake_server_stop(server);
	CU_ASSERT_EQUAL(
	    call(client, "POST", &response, NULL), IBIS_UNAVAILABLE);
	http_client_free(client);
}

static void
test_bad_address(void)
{
	static const char *const addresses[] = {
	    "", "127.0.0.1", "localhost:80", "127.0.0.1:0", "127.0.0.1:9x"};
	struct http_response response;

	for (size_t i = 0; i < COUNT_OF(addresses); i++) {
		struct http_client *client =
		    http_client_new(addresses[i], TIMEOUT_MS);

		CU_ASSERT_EQUAL(
		    call(client, "POST", &response, NULL), IBIS_UNAVAILABLE);
		http_client_free(client);
	}
}

/* A server that answers with LARGE_BODY_BYTES over a link. */
static void
S_handle_over_link(
    void *context, const struct fake_request *request, struct fake_reply *reply)
{
	static const char part[PART_BYTES];

	(void)request;
	reply->link = context;
	for (size_t i = 0; i < LARGE_BODY_BYTES / PART_BYTES; i++)
		buffer_append(&reply->body, part, sizeof(part));
}

static enum ibis_code
read_over_link(int64_t bytes_per_s)
{
	struct http_response response = {0};
	struct fake_link link;
	struct fake_server *server;
	struct http_client *client;
	enum ibis_code code;

	fake_link_init(&link);
	fake_link_set_rate(&link, bytes_per_s);
	server = fake_server_start("127.0.0.1:0", S_handle_over_link, &link);
	client = http_client_new(fake_server_address(server), SHORT_TIMEOUT_MS);
	code = call(client, "GET", &response, NULL);
	if (code == IBIS_OK)
		CU_ASSERT_EQUAL(response.body.length, LARGE_BODY_BYTES);
	buffer_free(&response.body);
	http_client_free(client);
	fake_server_stop(server);
	fake_link_destroy(&link);
	return code;
}

/* Guards against documents that are never read over a narrow link: a body that
 * kept arriving was given up after twice the timeout, and read again. */
static void
test_large_body_over_narrow_link(void)
{
	CU_ASSERT_EQUAL(read_over_link(NARROW_LINK_BYTES_PER_S), IBIS_OK);
}

/* A peer must not hold a thread by sending a little now and then. */
static void
test_trickling_body_ends_the_call(void)
{
	CU_ASSERT_EQUAL(read_over_link(TRICKLE_BYTES_PER_S), IBIS_UNKNOWN);
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"answer", test_answer},
	    {"a cut request is seen once", test_cut_request_is_seen_once},
	    {"unreachable", test_unreachable},
	    {"bad address", test_bad_address},
	    {"large body over a narrow link", test_large_body_over_narrow_link},
	    {"trickling body ends the call", test_trickling_body_ends_the_call},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("http_client", tests);
}
