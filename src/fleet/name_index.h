/* A sorted index from names to pointers. Names stay the owners'. */
#ifndef IBIS_NAME_INDEX_H
#define IBIS_NAME_INDEX_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct name_index_item {
	const char *name; /* lives inside the item */
	void *item;
};

/* Zero-initialised is empty. */
struct name_index {
	struct name_index_item *items;
	size_t count;
	size_t capacity;
};

/* Returns the item of a name, or NULL. */
void *name_index_get(const struct name_index *index, const char *name);

/* Adds an item; false when the name is there already. */
bool name_index_add(struct name_index *index, const char *name, void *item);

/* Removes a name and returns its item, or NULL. */
void *name_index_remove(struct name_index *index, const char *name);

/* Frees the index, not its items. */
void name_index_free(struct name_index *index);

#ifdef __cplusplus
}
#endif

#endif
