/* A growable byte buffer. */
#ifndef IBIS_BUFFER_H
#define IBIS_BUFFER_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A zero-initialised buffer is empty. data is NULL until the first append, then
 * NUL-terminated; length does not count the NUL. Release with buffer_free. */
struct buffer {
	char *data;
	size_t length;
	size_t capacity;
};

void buffer_append(struct buffer *buffer, const void *bytes, size_t length);

/* Appends a string without its NUL. */
void buffer_puts(struct buffer *buffer, const char *string);

/* Appends formatted text; nothing if the format is invalid. */
void buffer_printf(struct buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes the first length bytes, or all if there are fewer. */
void buffer_consume(struct buffer *buffer, size_t length);

/* Empties the buffer but retains its memory. */
void buffer_clear(struct buffer *buffer);

/* Returns the content as a string, "" if empty. The buffer owns it; it is valid
 * until the buffer changes. */
const char *buffer_string(const struct buffer *buffer);

/* Empties the buffer and returns its content as a string, which the caller
 * frees with mem_free; never NULL. */
char *buffer_detach(struct buffer *buffer);

/* Frees the content and empties the buffer; also for CLEANUP. */
void buffer_free(struct buffer *buffer);

#ifdef __cplusplus
}
#endif

#endif
