#include <json-c/json.h>
#include <pthread.h>
#include <string.h>

#include "common/fake_json.h"
#include "common/fake_log.h"
#include "platform/directory.h"
#include "process/alloc.h"
#include "process/clock.h"

/* A change of one entry. Readers see the latest change of each entry that is at
 * least lag_ms old. */
struct change {
	enum directory_kind kind;
	char *name;
	struct json_object *entry; /* NULL: the entry was removed */
	int64_t changed_ms;
	bool superseded; /* by a later visible change of the same entry */
};

struct directory {
	pthread_mutex_t lock;
	int64_t lag_ms;
	struct change *changes;
	size_t count;
	size_t capacity;
};

struct directory *
directory_new(int64_t lag_ms)
{
	struct directory *directory = mem_calloc(1, sizeof(*directory));

	directory->lag_ms = lag_ms;
	(void)pthread_mutex_init(&directory->lock, NULL);
	return directory;
}

static void
free_change(struct change *change)
{
	mem_free(change->name);
	json_object_put(change->entry);
}

void
directory_free(struct directory *directory)
{
	for (size_t i = 0; i < directory->count; i++)
		free_change(&directory->changes[i]);
	mem_free(directory->changes);
	(void)pthread_mutex_destroy(&directory->lock);
	mem_free(directory);
}

bool
directory_put(struct directory *directory, enum directory_kind kind,
    const char *name, const char *json)
{
	struct json_object *entry = NULL;

	if (json != NULL) {
		entry = json_tokener_parse(json);
		if (!json_object_is_type(entry, json_type_object)) {
			json_object_put(entry);
			return false;
		}
		json_object_object_add(
		    entry, "name", json_object_new_string(name));
	}
	(void)pthread_mutex_lock(&directory->lock);
	directory->changes = mem_grow(directory->changes, &directory->capacity,
	    directory->count + 1, sizeof(*directory->changes));
	directory->changes[directory->count++] = (struct change){
	    .kind = kind,
	    .name = mem_strdup(name),
	    .entry = entry,
	    .changed_ms = clock_now_ms(),
	};
	fake_log("event=list kind=%s name=%s state=%s",
	    kind == DIRECTORY_WORKER ? "worker" : "instance", name,
	    entry == NULL ? "removed" : fake_json_text(entry, "state", ""));
	(void)pthread_mutex_unlock(&directory->lock);
	return true;
}

/* Removes changes that a later visible change of the same entry replaces. A
 * change is visible when it was made at visible_ms or before. */
static void
remove_superseded(struct directory *directory, int64_t visible_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < directory->count; i++) {
		struct change *change = &directory->changes[i];

		for (size_t j = 0; j < i; j++) {
			struct change *earlier = &directory->changes[j];

			if (change->changed_ms <= visible_ms &&
			    earlier->kind == change->kind &&
			    strcmp(earlier->name, change->name) == 0)
				earlier->superseded = true;
		}
	}
	for (size_t i = 0; i < directory->count; i++) {
		if (directory->changes[i].superseded)
			free_change(&directory->changes[i]);
		else
			directory->changes[kept++] = directory->changes[i];
	}
	directory->count = kept;
}

static struct json_object *
list_kind(const struct directory *directory, enum directory_kind kind,
    int64_t visible_ms)
{
	struct json_object *list = json_object_new_array();

	for (size_t i = 0; i < directory->count; i++) {
		const struct change *change = &directory->changes[i];

		if (change->kind == kind && change->entry != NULL &&
		    change->changed_ms <= visible_ms)
			json_object_array_add(
			    list, json_object_get(change->entry));
	}
	return list;
}

void
directory_list(struct directory *directory, struct buffer *body)
{
	struct json_object *root = json_object_new_object();
	int64_t visible_ms = clock_now_ms() - directory->lag_ms;

	(void)pthread_mutex_lock(&directory->lock);
	remove_superseded(directory, visible_ms);
	json_object_object_add(root, "instances",
	    list_kind(directory, DIRECTORY_INSTANCE, visible_ms));
	json_object_object_add(root, "workers",
	    list_kind(directory, DIRECTORY_WORKER, visible_ms));
	fake_json_append(body, root);
	(void)pthread_mutex_unlock(&directory->lock);
}
