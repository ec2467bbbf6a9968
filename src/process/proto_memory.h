/* Memory of protobuf messages, through the allocator vtable. */
#ifndef IBIS_PROTO_MEMORY_H
#define IBIS_PROTO_MEMORY_H

#include <stddef.h>
#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

#include "process/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The allocator to hand to unpack and free_unpacked functions. */
ProtobufCAllocator *proto_allocator(void);

/* Replaces a string field by a copy of value; NULL counts as "". */
void proto_set_string(char **field, const char *value);

/* Packs a message, appending it to a buffer. */
void proto_pack(const ProtobufCMessage *message, struct buffer *packed);

/* Unpacks a message of a type; NULL when it is malformed. */
ProtobufCMessage *proto_unpack(const ProtobufCMessageDescriptor *descriptor,
    const void *bytes, size_t length);

/* Returns a deep copy; free with proto_free. */
ProtobufCMessage *proto_copy(const ProtobufCMessage *message);

/* Frees a message whose fields all came from the vtable; NULL is allowed. */
void proto_free(ProtobufCMessage *message);

#ifdef __cplusplus
}
#endif

#endif
