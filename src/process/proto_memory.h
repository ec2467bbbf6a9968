/*
 * Allocates, copies, packs and frees protobuf messages. Their memory comes from
 * the allocator set by ibis_set_allocator.
 */
#ifndef IBIS_PROTO_MEMORY_H
#define IBIS_PROTO_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Returns the allocator for unpack and free_unpacked functions; it is static.
 */
ProtobufCAllocator *proto_allocator(void);

/* Frees a string field and sets it to a copy of value; NULL counts as "". */
void proto_set_string(char **field, const char *value);

/* Appends the serialised message to a buffer. */
void proto_pack(const ProtobufCMessage *message, struct buffer *packed);

/* Parses a message of the given type. Returns NULL if it is malformed. Free
 * with proto_free. */
ProtobufCMessage *proto_unpack(const ProtobufCMessageDescriptor *descriptor,
    const void *bytes, size_t length);

/* Returns a deep copy. Free with proto_free. */
ProtobufCMessage *proto_copy(const ProtobufCMessage *message);

/* Frees a message, all of whose fields were allocated with mem_* functions or
 * proto_allocator; NULL is allowed. */
void proto_free(ProtobufCMessage *message);

#ifdef __cplusplus
}
#endif

#endif
