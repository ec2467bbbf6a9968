/*
 * Scanner over JSON text that json-c has accepted: blanks out comments, finds
 * the offsets of keys and values and checks the keys. Offsets count bytes from
 * the start of the text. On malformed text results may be wrong, but no
 * function reads past the terminating NUL.
 */
#ifndef IBIS_JSONC_SCAN_H
#define IBIS_JSONC_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct jsonc_position {
	size_t line;   /* from 1 */
	size_t column; /* in bytes, from 1 */
};

/* Overwrites comments with spaces and retains their line ends. Returns false,
 * with *at the start of the comment, if a block comment is not closed. */
bool jsonc_scan_blank_comments(char *text, size_t *at);

/* Converts an offset to a line and a column. */
struct jsonc_position jsonc_scan_position(const char *text, size_t offset);

/* Returns the offset of the first byte at or after offset that is not white
 * space. */
size_t jsonc_scan_skip_space(const char *text, size_t offset);

/* Returns the offset of the first byte after the value at offset. */
size_t jsonc_scan_skip_value(const char *text, size_t offset);

/* Finds a member of the object at offset. Returns false if there is none with
 * the key, or no object at offset. */
bool jsonc_scan_member(const char *text, size_t offset, const char *key,
    size_t *key_offset, size_t *value_offset);

/* Finds an element of the array at offset. Returns false if the array is
 * shorter, or no array is at offset. */
bool jsonc_scan_element(
    const char *text, size_t offset, size_t index, size_t *value_offset);

enum jsonc_key_error {
	JSONC_KEY_VALID,
	JSONC_KEY_REPEATED, /* in the same object */
	JSONC_KEY_ESCAPED   /* contains a backslash */
};

/* Checks all keys in the value at *offset, nested ones too. On an error,
 * *offset is set to the offset of the first invalid key. */
enum jsonc_key_error jsonc_scan_check_keys(const char *text, size_t *offset);

#ifdef __cplusplus
}
#endif

#endif
