#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "process/alloc.h"
#include "process/buffer.h"

void
buffer_append(struct buffer *buffer, const void *bytes, size_t length)
{
	buffer->data = mem_grow(
	    buffer->data, &buffer->capacity, buffer->length + length + 1, 1);
	if (length > 0)
		memcpy(buffer->data + buffer->length, bytes, length);
	buffer->length += length;
	buffer->data[buffer->length] = '\0';
}

void
buffer_puts(struct buffer *buffer, const char *string)
{
	buffer_append(buffer, string, strlen(string));
}

void
buffer_printf(struct buffer *buffer, const char *format, ...)
{
	va_list arguments;
	int length;

	va_start(arguments, format);
	length = vsnprintf(NULL, 0, format, arguments);
	va_end(arguments);
	if (length < 0)
		return;
	buffer->data = mem_grow(buffer->data, &buffer->capacity,
	    buffer->length + (size_t)length + 1, 1);
	va_start(arguments, format);
	(void)vsnprintf(buffer->data + buffer->length, (size_t)length + 1,
	    format, arguments);
	va_end(arguments);
	buffer->length += (size_t)length;
}

void
buffer_consume(struct buffer *buffer, size_t length)
{
	if (length > buffer->length)
		length = buffer->length;
	if (length == 0)
		return;
	memmove(buffer->data, buffer->data + length, buffer->length - length);
	buffer->length -= length;
	buffer->data[buffer->length] = '\0';
}

void
buffer_clear(struct buffer *buffer)
{
	buffer->length = 0;
	if (buffer->data != NULL)
		buffer->data[0] = '\0';
}

const char *
buffer_string(const struct buffer *buffer)
{
	return buffer->data == NULL ? "" : buffer->data;
}

char *
buffer_detach(struct buffer *buffer)
{
	char *data = buffer->data;

	if (data == NULL)
		data = mem_calloc(1, 1);
	*buffer = (struct buffer){0};
	return data;
}

void
buffer_free(struct buffer *buffer)
{
	mem_free(buffer->data);
	*buffer = (struct buffer){0};
}
