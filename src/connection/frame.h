/*
 * Codec for the frames of a peer link: a 4-byte big-endian length followed by
 * that many bytes of a packed Ibis__Frame. Does no I/O and keeps no state.
 */
#ifndef IBIS_FRAME_H
#define IBIS_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include "ibistrestle.h"
#include "ibistrestle.pb-c.h"
#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

enum {
	FRAME_HEADER_BYTES = 4
};

/*
 * Appends an encoded frame to bytes. Returns IBIS_INVALID, fills status (which
 * may be NULL) and appends nothing when the body is empty or longer than
 * max_frame_bytes, which doesn't count the header.
 */
enum ibis_code frame_encode(const Ibis__Frame *frame, uint32_t max_frame_bytes,
    struct buffer *bytes, struct ibis_status *status);

/*
 * Decodes the first frame in a buffer of length bytes. On IBIS_OK, *frame is
 * the frame, which the caller frees with frame_free, and *consumed its size in
 * bytes with the header; if the buffer ends before the frame does, *frame is
 * NULL and *consumed is 0. Returns IBIS_INVALID and fills status when the
 * frame is malformed; the rest of the stream can't be decoded then.
 */
enum ibis_code frame_decode(const char *bytes, size_t length,
    uint32_t max_frame_bytes, Ibis__Frame **frame, size_t *consumed,
    struct ibis_status *status);

/* Frees a decoded frame; NULL is allowed. */
void frame_free(Ibis__Frame *frame);

#ifdef __cplusplus
}
#endif

#endif
