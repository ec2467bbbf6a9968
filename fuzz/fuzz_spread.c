/* Hands an instance's spread arbitrary frames, store results and requests: its
 * version never falls. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "process/alloc.h"
#include "process/proto_memory.h"
#include "version/spread.h"

#define STEP_BYTES 512
#define KINDS	   4
#define HEAD                                                            \
	"{\"version\":3,\"sections_version\":2,\"sections\":{\"a\":2}," \
	"\"zones\":{}}"
#define SECTION "{\"availability_zones\":{\"north\":{}}}"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

struct run {
	struct spread *spread;
	struct store_call call; /* the newest that is not answered */
	uint64_t version;
	int64_t now_ms;
};

static void
check(struct run *run)
{
	struct spread_action action;

	while (spread_next(run->spread, &action)) {
		if (action.kind == SPREAD_STORE) {
			run->call = action.store;
			run->call.value = (struct buffer){0};
		}
		spread_action_free(&action);
	}
	if (spread_version(run->spread) < run->version)
		abort();
	run->version = spread_version(run->spread);
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
	spread_store(run->spread, &result, run->now_ms);
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
	spread_frame(run->spread, "e2", frame, run->now_ms);
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
	(void)spread_request(
	    run->spread, (uint64_t)run->now_ms, request, run->now_ms);
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
		spread_tick(run->spread, run->now_ms);
		check(run);
		length = 0;
		break;
	}
	return length + 1;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct spread_config config = {
	    .name = "e1",
	    .incarnation = 1,
	    .watch_ms = 400,
	};
	struct run run = {.now_ms = 1000};

	run.spread = spread_new(&config, run.now_ms);
	spread_tick(run.spread, run.now_ms);
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
	spread_free(run.spread);
	return 0;
}
