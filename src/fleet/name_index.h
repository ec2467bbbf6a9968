/* Index from names to items, sorted by name. Owns neither. */
#ifndef IBIS_NAME_INDEX_H
#define IBIS_NAME_INDEX_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct name_index_item {
	const char *name; /* must stay valid while indexed */
	void *item;
};

/* A zero-initialised index is empty. */
struct name_index {
	struct name_index_item *items;
	size_t count;
	size_t capacity;
};

/* Returns the item with this name, or NULL. */
void *name_index_get(const struct name_index *index, const char *name);

/* Adds an item under a name, which is not copied. Returns false, and changes
 * nothing, when the name exists. */
bool name_index_add(struct name_index *index, const char *name, void *item);

/* Removes a name. Returns its item, or NULL when there is none. */
void *name_index_remove(struct name_index *index, const char *name);

/* Frees the index but not its items, and leaves it empty. */
void name_index_free(struct name_index *index);

#ifdef __cplusplus
}
#endif

#endif
