#include <stdlib.h>
#include <string.h>

#include "common_cunit.h"
#include "connection/frame.h"
#include "process/alloc.h"

#define MAX_FRAME_BYTES 1024

static void
encode_hello(struct buffer *bytes)
{
	Ibis__Hello hello = IBIS__HELLO__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	char name[] = "entry-1";

	hello.name = name;
	hello.incarnation = 7;
	frame.body_case = IBIS__FRAME__BODY_HELLO;
	frame.hello = &hello;
	CU_ASSERT_EQUAL(
	    frame_encode(&frame, MAX_FRAME_BYTES, bytes, NULL), IBIS_OK);
}

static void
test_two_frames_round_trip(void)
{
	CLEANUP(buffer_free) struct buffer bytes = {0};
	struct ibis_status status;
	Ibis__Frame *frame;
	size_t consumed;

	encode_hello(&bytes);
	encode_hello(&bytes);
	for (int i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(
		    frame_decode(bytes.data, bytes.length, MAX_FRAME_BYTES,
			&frame, &consumed, &status),
		    IBIS_OK);
		if (frame == NULL)
			abort();
		CU_ASSERT_EQUAL(frame->body_case, IBIS__FRAME__BODY_HELLO);
		CU_ASSERT_STRING_EQUAL(frame->hello->name, "entry-1");
		CU_ASSERT_EQUAL(frame->hello->incarnation, 7);
		frame_free(frame);
		buffer_consume(&bytes, consumed);
	}
	CU_ASSERT_EQUAL(bytes.length, 0);
}

static void
test_partial_frame_is_not_decoded(void)
{
	CLEANUP(buffer_free) struct buffer bytes = {0};
	struct ibis_status status;
	Ibis__Frame *frame;
	size_t consumed;

	encode_hello(&bytes);
	for (size_t length = 0; length < bytes.length; length++) {
		CU_ASSERT_EQUAL(
		    frame_decode(bytes.data, length, MAX_FRAME_BYTES, &frame,
			&consumed, &status),
		    IBIS_OK);
		CU_ASSERT_EQUAL(consumed, 0);
		CU_ASSERT_PTR_NULL(frame);
	}
}

static void
check_refused(const char *bytes, size_t length, const char *message)
{
	struct ibis_status status = {0};
	Ibis__Frame *frame;
	size_t consumed;

	CU_ASSERT_EQUAL(frame_decode(bytes, length, MAX_FRAME_BYTES, &frame,
			    &consumed, &status),
	    IBIS_INVALID);
	CU_ASSERT_PTR_NULL(frame);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, message));
}

static void
test_bad_frames_are_refused(void)
{
	check_refused("\0\0\0\0", 4, "frame length 0; expected 1 to 1024");
	check_refused("\xff\xff\xff\xff", 4, "frame length 4294967295");
	check_refused("\0\0\4\1", 4, "frame length 1025");
	check_refused(
	    "\0\0\0\2\xff\xff", 6, "2 bytes is not a valid protobuf message");
	/* Field 99, which Ibis__Frame doesn't define. */
	check_refused(
	    "\0\0\0\3\x98\x06\x01", 7, "frame body of an unknown type");
}

static void
test_long_frame_is_not_encoded(void)
{
	CLEANUP(buffer_free) struct buffer bytes = {0};
	Ibis__DocumentCopy copy = IBIS__DOCUMENT_COPY__INIT;
	Ibis__Frame frame = IBIS__FRAME__INIT;
	struct ibis_status status = {0};
	char head[MAX_FRAME_BYTES + 1];

	memset(head, 'x', MAX_FRAME_BYTES);
	head[MAX_FRAME_BYTES] = '\0';
	copy.head = head;
	frame.body_case = IBIS__FRAME__BODY_DOCUMENT_COPY;
	frame.document_copy = &copy;
	CU_ASSERT_EQUAL(frame_encode(&frame, MAX_FRAME_BYTES, &bytes, &status),
	    IBIS_INVALID);
	CU_ASSERT_EQUAL(bytes.length, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(status.message, "expected 1 to 1024"));
}

int
main(void)
{
	CU_TestInfo tests[] = {
	    {"two frames round trip", test_two_frames_round_trip},
	    {"partial frame is not decoded", test_partial_frame_is_not_decoded},
	    {"bad frames are refused", test_bad_frames_are_refused},
	    {"long frame is not encoded", test_long_frame_is_not_encoded},
	    CU_TEST_INFO_NULL,
	};

	return run_suite("frame", tests);
}
