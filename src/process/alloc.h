/* Allocation helpers over the allocator vtable, and clean-up attributes. */
#ifndef IBIS_ALLOC_H
#define IBIS_ALLOC_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Runs function(&variable) when the variable goes out of scope. */
#define CLEANUP(function) __attribute__((cleanup(function)))

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* Returns count zeroed elements; never NULL. */
void *mem_calloc(size_t count, size_t bytes);

/* Resizes an allocation; never NULL unless bytes is 0. */
void *mem_realloc(void *memory, size_t bytes);

void mem_free(void *memory);

/* Returns a copy of a string; NULL gives NULL. Free with mem_free. */
char *mem_strdup(const char *string);

/* Returns a NUL-terminated copy of length bytes. */
char *mem_strndup(const char *bytes, size_t length);

/* Frees what a char * variable points at; for CLEANUP. */
void mem_free_string(char **string);

/*
 * Grows an array so that it holds at least needed elements of the given size.
 * capacity is updated. Returns the array, moved if need be.
 */
void *mem_grow(void *array, size_t *capacity, size_t needed, size_t bytes);

/* Copies a string into a fixed array, cut to fit and NUL-terminated. */
#define STRING_COPY(array, string) string_copy((array), sizeof(array), (string))
void string_copy(char *target, size_t bytes, const char *string);

#ifdef __cplusplus
}
#endif

#endif
