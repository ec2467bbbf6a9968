#include "process/alloc.h"
#include "process/proto_memory.h"

static void *
S_alloc(void *data, size_t bytes)
{
	(void)data;
	return mem_calloc(1, bytes);
}

static void
S_free(void *data, void *memory)
{
	(void)data;
	mem_free(memory);
}

static ProtobufCAllocator allocator = {
    .alloc = S_alloc,
    .free = S_free,
};

ProtobufCAllocator *
proto_allocator(void)
{
	return &allocator;
}

void
proto_set_string(char **field, const char *value)
{
	char *old = *field;

	*field = mem_strdup(value == NULL ? "" : value);
	if (old != protobuf_c_empty_string)
		mem_free(old);
}

void
proto_pack(const ProtobufCMessage *message, struct buffer *packed)
{
	size_t length = protobuf_c_message_get_packed_size(message);

	packed->data = mem_grow(
	    packed->data, &packed->capacity, packed->length + length + 1, 1);
	(void)protobuf_c_message_pack(
	    message, (uint8_t *)packed->data + packed->length);
	packed->length += length;
	packed->data[packed->length] = '\0';
}

ProtobufCMessage *
proto_unpack(const ProtobufCMessageDescriptor *descriptor, const void *bytes,
    size_t length)
{
	return protobuf_c_message_unpack(descriptor, &allocator, length, bytes);
}

ProtobufCMessage *
proto_copy(const ProtobufCMessage *message)
{
	CLEANUP(buffer_free) struct buffer packed = {0};

	proto_pack(message, &packed);
	return proto_unpack(message->descriptor, packed.data, packed.length);
}

void
proto_free(ProtobufCMessage *message)
{
	if (message != NULL)
		protobuf_c_message_free_unpacked(message, &allocator);
}
