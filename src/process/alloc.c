#include <stdint.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "ibistrestle.h"
#include "process/alloc.h"

static void
abort_out_of_memory(void)
{
	fputs("event=out_of_memory\n", stderr);
	abort();
}

static void *
S_calloc(size_t count, size_t bytes)
{
	void *memory = calloc(count, bytes);

	if (memory == NULL)
		abort_out_of_memory();
	return memory;
}

static void *
S_realloc(void *memory, size_t bytes)
{
	void *moved = realloc(memory, bytes);

	if (moved == NULL && bytes > 0)
		abort_out_of_memory();
	return moved;
}

static struct ibis_allocator current_allocator = {
    .calloc = S_calloc,
    .realloc = S_realloc,
    .free = free,
};

void
ibis_set_allocator(const struct ibis_allocator *allocator)
{
	current_allocator = *allocator;
}

const struct ibis_allocator *
ibis_allocator(void)
{
	return &current_allocator;
}

void *
mem_calloc(size_t count, size_t bytes)
{
	/* calloc may return NULL for a size of 0; mem_calloc never does. */
	return current_allocator.calloc(
	    count > 0 ? count : 1, bytes > 0 ? bytes : 1);
}

void *
mem_realloc(void *memory, size_t bytes)
{
	return current_allocator.realloc(memory, bytes);
}

void
mem_free(void *memory)
{
	current_allocator.free(memory);
}

char *
mem_strndup(const char *bytes, size_t length)
{
	char *copy = mem_calloc(length + 1, 1);

	if (length > 0)
		memcpy(copy, bytes, length);
	return copy;
}

char *
mem_strdup(const char *string)
{
	if (string == NULL)
		return NULL;
	return mem_strndup(string, strlen(string));
}

void
mem_free_string(char **string)
{
	mem_free(*string);
	*string = NULL;
}

void *
mem_grow(void *array, size_t *capacity, size_t needed, size_t bytes)
{
	size_t new_capacity = *capacity;

	if (needed <= new_capacity)
		return array;
	if (new_capacity == 0)
		new_capacity = 8;
	while (new_capacity < needed)
		new_capacity *= 2;
	array = mem_realloc(array, new_capacity * bytes);
	memset((char *)array + *capacity * bytes, 0,
	    (new_capacity - *capacity) * bytes);
	*capacity = new_capacity;
	return array;
}

bool
string_copy(char *target, size_t bytes, const char *string)
{
	return string_copy_part(target, bytes, string, SIZE_MAX);
}

bool
string_copy_part(char *target, size_t bytes, const char *string, size_t length)
{
	size_t available = string == NULL ? 0 : strnlen(string, length);

	target[0] = '\0';
	if (available >= bytes)
		return false;
	if (available > 0)
		memcpy(target, string, available);
	target[available] = '\0';
	return true;
}

void
string_shorten(char *target, size_t bytes, const char *string)
{
	(void)string_copy_part(target, bytes, string, bytes - 1);
}
