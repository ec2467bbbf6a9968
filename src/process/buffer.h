/* A growable byte buffer. */
#ifndef IBIS_BUFFER_H
#define IBIS_BUFFER_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Zero-initialised is empty. data is NUL-terminated once it holds bytes. */
struct buffer {
	char *data;
	size_t length;
	size_t capacity;
};

void buffer_append(struct buffer *buffer, const void *bytes, size_t length);
void buffer_puts(struct buffer *buffer, const char *string);
void buffer_printf(struct buffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes length bytes from the front; at most all of them. */
void buffer_consume(struct buffer *buffer, size_t length);

/* Empties the buffer, keeping its memory. */
void buffer_clear(struct buffer *buffer);

/* Returns the content as a string, "" when empty; owned by the buffer. */
const char *buffer_string(const struct buffer *buffer);

/* Hands the content over to the caller, who frees it; empties the buffer. */
char *buffer_detach(struct buffer *buffer);

/* Frees the content; for CLEANUP too. */
void buffer_free(struct buffer *buffer);

#ifdef __cplusplus
}
#endif

#endif
