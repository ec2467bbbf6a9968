#include <string.h>

#include "fleet/name_index.h"
#include "process/alloc.h"

/* Returns the position of a name, or the one to insert it at. */
static size_t
find_position(const struct name_index *index, const char *name, bool *found)
{
	size_t low = 0;
	size_t high = index->count;

	*found = false;
	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(index->items[middle].name, name);

		if (order == 0) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void *
name_index_get(const struct name_index *index, const char *name)
{
	bool found;
	size_t position = find_position(index, name, &found);

	return found ? index->items[position].item : NULL;
}

bool
name_index_add(struct name_index *index, const char *name, void *item)
{
	bool found;
	size_t position = find_position(index, name, &found);

	if (found)
		return false;
	index->items = mem_grow(index->items, &index->capacity,
	    index->count + 1, sizeof(*index->items));
	memmove(&index->items[position + 1], &index->items[position],
	    (index->count - position) * sizeof(*index->items));
	index->items[position] =
	    (struct name_index_item){.name = name, .item = item};
	index->count++;
	return true;
}

void *
name_index_remove(struct name_index *index, const char *name)
{
	bool found;
	size_t position = find_position(index, name, &found);
	void *item;

	if (!found)
		return NULL;
	item = index->items[position].item;
	index->count--;
	memmove(&index->items[position], &index->items[position + 1],
	    (index->count - position) * sizeof(*index->items));
	return item;
}

void
name_index_free(struct name_index *index)
{
	mem_free(index->items);
	*index = (struct name_index){0};
}
