/*
 * Scanner over JSON text that json-c has accepted: finds where values stand,
 * and keys that are repeated. Safe on any text.
 */
#ifndef IBIS_JSONC_SCAN_H
#define IBIS_JSONC_SCAN_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct jsonc_place {
	size_t line;   /* from 1 */
	size_t column; /* in bytes, from 1 */
};

/* Overwrites comments by spaces; line ends stay. Returns false, with *at the
 * start of the comment, when one has no end. */
bool jsonc_scan_blank(char *text, size_t *at);

struct jsonc_place jsonc_scan_place(const char *text, size_t offset);

/* Returns the offset of the first byte at or after offset that is no space. */
size_t jsonc_scan_space(const char *text, size_t offset);

/* Returns the offset behind the value at offset. */
size_t jsonc_scan_value(const char *text, size_t offset);

/* Finds a member of the object at offset. */
bool jsonc_scan_member(const char *text, size_t offset, const char *key,
    size_t *key_offset, size_t *value_offset);

/* Finds an element of the array at offset. */
bool jsonc_scan_element(
    const char *text, size_t offset, size_t index, size_t *value_offset);

enum jsonc_key_fault {
	JSONC_KEY_GOOD,
	JSONC_KEY_REPEATED,
	JSONC_KEY_ESCAPED
};

/* Looks for a bad key in the value at *offset and all below it. On a fault,
 * *offset is that of the key. */
enum jsonc_key_fault jsonc_scan_keys(const char *text, size_t *offset);

#ifdef __cplusplus
}
#endif

#endif
