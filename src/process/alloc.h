/*
 * Memory allocation through the allocator set by ibis_set_allocator, string
 * copies and the clean-up attribute. The allocator never returns NULL: the
 * default one aborts the process when memory runs out.
 */
#ifndef IBIS_ALLOC_H
#define IBIS_ALLOC_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Runs function(&variable) when the variable goes out of scope. */
#define CLEANUP(function) __attribute__((cleanup(function)))

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* Returns zeroed memory for count elements of the given size; never NULL, even
 * if count or bytes is 0. Free with mem_free. */
void *mem_calloc(size_t count, size_t bytes);

/* Resizes an allocation; never NULL unless bytes is 0. Memory added at the end
 * is not zeroed. */
void *mem_realloc(void *memory, size_t bytes);

/* Frees an allocation; NULL is allowed. */
void mem_free(void *memory);

/* Returns a copy of a string, or NULL if string is NULL. Free with mem_free. */
char *mem_strdup(const char *string);

/* Returns a NUL-terminated copy of length bytes. Free with mem_free. */
char *mem_strndup(const char *bytes, size_t length);

/* Frees the string that a char * variable points at and sets the variable to
 * NULL; for CLEANUP. */
void mem_free_string(char **string);

/*
 * Grows an array so that it holds at least needed elements of the given size,
 * zeroes the added elements and updates *capacity. Returns the array, which may
 * have moved.
 */
void *mem_grow(void *array, size_t *capacity, size_t needed, size_t bytes);

/* Copies a whole string into a fixed array of at least one byte. Returns false,
 * and leaves the array empty, when it doesn't fit: a part of a name is another
 * name. A NULL string counts as "". */
#define STRING_COPY(array, string) string_copy((array), sizeof(array), (string))
bool string_copy(char *target, size_t bytes, const char *string);

/* Does the same for the first length bytes of a string, or all of a shorter
 * one. */
bool string_copy_part(
    char *target, size_t bytes, const char *string, size_t length);

/* Copies as much of a string as fits, for texts that people read. */
#define STRING_SHORTEN(array, string) \
	string_shorten((array), sizeof(array), (string))
void string_shorten(char *target, size_t bytes, const char *string);

/* Returns whether a string fits into a fixed array. */
#define STRING_FITS(array, string) (strlen(string) < sizeof(array))

#ifdef __cplusplus
}
#endif

#endif
