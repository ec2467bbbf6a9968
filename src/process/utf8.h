/* Conversion of untrusted text to valid UTF-8. */
#ifndef IBIS_UTF8_H
#define IBIS_UTF8_H

#include "process/buffer.h"

/* Appends a string, with '?' in place of each byte that is not part of a valid
 * UTF-8 sequence. */
void utf8_append(struct buffer *buffer, const char *text);

#endif
