/* Hands an instance's replication arbitrary frames, store results and requests:
 * its version never falls. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/proto_memory.h"
#include "version/replication.h"

#define STEP_BYTES 512
#define KINDS	   4
#define HEAD                                                            \
	"{\"version\":3,\"sections_version\":2,\"sections\":{\"a\":2}," \
	"\"zones\":{}}"
#define SECTION "{\"availability_zones\":{\"north\":{}}}"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct run {
	struct replication *replication;
	struct store_call call; /* the newest that is not answered */
	uint64_t version;
	int64_t now_ms;
};

static void
check(struct run *run)
{
	struct replication_action action;

	while (replication_next_action(run->replication, &action)) {
		if (action.kind == REPLICATION_STORE_CALL) {
			run->call = action.store;
			run->call.value = (struct buffer){0};
		}
		replication_action_free(&action);
	}
	if (replication_version(run->replication) < run->version)
		abort();
	run->version = replication_version(run->replication);
}

static void
answer(struct run *run, enum ibis_code code, const char *value, size_t length)
{
	struct store_result result = {
	    .op = run->call.op,
	    .token = run->call.token,
	    .code = code,
	    .revision = (uint64_t)run->now_ms,
	    .sent_ms = run->now_ms,
	};

	STRING_COPY(result.key, run->call.key);
	buffer_append(&result.value, value, length);
	run->call.token = 0;
	replication_handle_store_result(run->replication, &result, run->now_ms);
	buffer_free(&result.value);
	check(run);
}

static void
take_frame(struct run *run, const uint8_t *data, size_t size)
{
	Ibis__Frame *frame =
	    (Ibis__Frame *)proto_unpack(&ibis__frame__descriptor, data, size);

	if (frame == NULL)
		return;
	replication_handle_frame(run->replication, "e2", frame, run->now_ms);
	proto_free(&frame->base);
	check(run);
}

static void
take_request(struct run *run, const uint8_t *data, size_t size)
{
	Ibis__Request *request = (Ibis__Request *)proto_unpack(
	    &ibis__request__descriptor, data, size);

	if (request == NULL)
		return;
	(void)replication_handle_request(
	    run->replication, (uint64_t)run->now_ms, request, run->now_ms);
	proto_free(&request->base);
	check(run);
}

/* The first byte tells what the rest is, and how long. */
static size_t
step(struct run *run, const uint8_t *data, size_t size)
{
	size_t length = size - 1;

	if (length > STEP_BYTES)
		length = STEP_BYTES;
	run->now_ms += data[0];
	switch (data[0] % KINDS) {
	case 0:
		take_frame(run, data + 1, length);
		break;
	case 1:
		answer(run, (enum ibis_code)(data[0] % (IBIS_UNKNOWN + 1)),
		    (const char *)data + 1, length);
		break;
	case 2:
		take_request(run, data + 1, length);
		break;
	default:
		replication_tick(run->replication, run->now_ms);
		check(run);
		length = 0;
		break;
	}
	return length + 1;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct replication_config config = {
	    .name = "e1",
	    .incarnation = 1,
	    .watch_timeout_ms = 400,
	};
	struct run run = {.now_ms = 1000};

	run.replication = replication_new(&config, run.now_ms);
	replication_tick(run.replication, run.now_ms);
	check(&run);
	answer(&run, IBIS_OK, HEAD, strlen(HEAD));
	answer(&run, IBIS_OK, SECTION, strlen(SECTION));
	if (run.version != 3)
		abort();
	while (size > 0) {
		size_t taken = step(&run, data, size);

		data += taken;
		size -= taken;
	}
	replication_free(run.replication);
	return 0;
}
