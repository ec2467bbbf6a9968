#include <pthread.h>
#include <string.h>

#include "connection/frame.h"
#include "connection/peer_loop.h"
#include "process/alloc.h"
#include "process/log.h"

#define SEND_QUEUE_BYTES (8U << 20)

struct peer_links {
	struct peer_loop *loop;
	uint32_t max_frame_bytes;
	/* Guards targets. Senders and peer_links_set_peers take it; the link
	 * thread never does. */
	pthread_mutex_t lock;
	struct peer_target *targets;
	size_t targets_count;
};

void
peer_link_state_release(struct peer_link_state *link_state)
{
	if (atomic_fetch_sub(&link_state->references, 1) == 1)
		mem_free(link_state);
}

static struct peer_link_state *
link_state_acquire(struct peer_link_state *link_state)
{
	(void)atomic_fetch_add(&link_state->references, 1);
	return link_state;
}

static struct peer_link_state *
link_state_new(void)
{
	struct peer_link_state *link_state = mem_calloc(1, sizeof(*link_state));

	atomic_init(&link_state->references, 1);
	atomic_init(&link_state->up, false);
	atomic_init(&link_state->queued_bytes, 0);
	return link_state;
}

static struct peer_target *
find_target(const struct peer_links *links, const char *name)
{
	for (size_t i = 0; i < links->targets_count; i++) {
		if (strcmp(links->targets[i].address.name, name) == 0)
			return &links->targets[i];
	}
	return NULL;
}

struct peer_links *
peer_links_start(const struct peer_links_config *config,
    struct event_queue *events, struct ibis_status *status)
{
	struct peer_links *links = mem_calloc(1, sizeof(*links));

	links->max_frame_bytes = config->max_frame_bytes;
	links->loop = peer_loop_start(config, events, status);
	if (links->loop == NULL) {
		mem_free(links);
		return NULL;
	}
	(void)pthread_mutex_init(&links->lock, NULL);
	return links;
}

static void
free_targets(struct peer_target *targets, size_t count)
{
	for (size_t i = 0; i < count; i++)
		peer_link_state_release(targets[i].link_state);
	mem_free(targets);
}

void
peer_links_stop(struct peer_links *links)
{
	if (links == NULL)
		return;
	peer_loop_stop(links->loop);
	free_targets(links->targets, links->targets_count);
	(void)pthread_mutex_destroy(&links->lock);
	mem_free(links);
}

const char *
peer_links_address(const struct peer_links *links)
{
	return peer_loop_address(links->loop);
}

static struct peer_target *
copy_targets(const struct peer_target *targets, size_t count)
{
	struct peer_target *copy = mem_calloc(count, sizeof(*copy));

	for (size_t i = 0; i < count; i++) {
		copy[i] = targets[i];
		(void)link_state_acquire(copy[i].link_state);
	}
	return copy;
}

static bool
same_peers(const struct peer_links *links, const struct peer_address *peers,
    size_t count)
{
	if (count != links->targets_count)
		return false;
	for (size_t i = 0; i < count; i++) {
		const struct peer_target *target =
		    find_target(links, peers[i].name);

		if (target == NULL ||
		    strcmp(target->address.address, peers[i].address) != 0)
			return false;
	}
	return true;
}

/* Builds the new targets; a peer with the same address keeps its link state. */
static struct peer_target *
build_targets(const struct peer_links *links, const struct peer_address *peers,
    size_t count)
{
	struct peer_target *targets = mem_calloc(count, sizeof(*targets));

	for (size_t i = 0; i < count; i++) {
		const struct peer_target *old =
		    find_target(links, peers[i].name);

		targets[i].address = peers[i];
		if (old != NULL &&
		    strcmp(old->address.address, peers[i].address) == 0)
			targets[i].link_state =
			    link_state_acquire(old->link_state);
		else
			targets[i].link_state = link_state_new();
	}
	return targets;
}

void
peer_links_set_peers(
    struct peer_links *links, const struct peer_address *peers, size_t count)
{
	struct peer_command command = {.kind = COMMAND_SET_PEERS};
	struct peer_target *targets;

	(void)pthread_mutex_lock(&links->lock);
	if (!same_peers(links, peers, count)) {
		targets = build_targets(links, peers, count);
		free_targets(links->targets, links->targets_count);
		links->targets = targets;
		links->targets_count = count;
		command.targets = copy_targets(targets, count);
		command.targets_count = count;
		peer_loop_post(links->loop, &command);
	}
	(void)pthread_mutex_unlock(&links->lock);
}

static bool
queue_bytes(struct peer_links *links, const char *peer, struct buffer *bytes)
{
	struct peer_target *target = find_target(links, peer);
	struct peer_command command = {.kind = COMMAND_SEND};

	if (target == NULL || !atomic_load(&target->link_state->up))
		return false;
	if (atomic_load(&target->link_state->queued_bytes) + bytes->length >
	    SEND_QUEUE_BYTES)
		return false;
	(void)atomic_fetch_add(
	    &target->link_state->queued_bytes, bytes->length);
	command.link_state = link_state_acquire(target->link_state);
	command.bytes = *bytes;
	*bytes = (struct buffer){0};
	peer_loop_post(links->loop, &command);
	return true;
}

bool
peer_links_send(
    struct peer_links *links, const char *peer, const Ibis__Frame *frame)
{
	CLEANUP(buffer_free) struct buffer bytes = {0};
	struct ibis_status status;
	bool queued;

	if (frame_encode(frame, links->max_frame_bytes, &bytes, &status) !=
	    IBIS_OK) {
		log_event(LOG_ERROR, "frame_not_sent", "peer", peer, "message",
		    status.message, NULL);
		return false;
	}
	(void)pthread_mutex_lock(&links->lock);
	queued = queue_bytes(links, peer, &bytes);
	(void)pthread_mutex_unlock(&links->lock);
	return queued;
}

void
peer_links_traffic(const struct peer_links *links, uint64_t *sent_bytes,
    uint64_t *received_bytes)
{
	peer_loop_traffic(links->loop, sent_bytes, received_bytes);
}
