#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "process/alloc.h"
#include "process/event.h"
#include "process/race_check.h"

struct event_queue {
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	int wake_fd;
};

struct event_queue *
event_queue_new(void)
{
	struct event_queue *queue = mem_calloc(1, sizeof(*queue));

	cds_wfcq_init(&queue->head, &queue->tail);
	queue->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (queue->wake_fd < 0) {
		mem_free(queue);
		return NULL;
	}
	return queue;
}

void
event_queue_free(struct event_queue *queue)
{
	if (queue == NULL)
		return;
	(void)close(queue->wake_fd);
	cds_wfcq_destroy(&queue->head, &queue->tail);
	mem_free(queue);
}

void
event_queue_wake(struct event_queue *queue)
{
	uint64_t one = 1;

	/* The write fails if the counter is full; the receiver wakes anyway. */
	if (write(queue->wake_fd, &one, sizeof(one)) < 0)
		return;
}

void
event_queue_post(struct event_queue *queue, const struct event *event)
{
	struct event *copy = mem_calloc(1, sizeof(*copy));

	*copy = *event;
	cds_wfcq_node_init(&copy->node);
	TSAN_RELEASE(&copy->node);
	/* A queue that was not empty has woken the receiver already. */
	if (!cds_wfcq_enqueue(&queue->head, &queue->tail, &copy->node))
		event_queue_wake(queue);
}

static bool
dequeue(struct event_queue *queue, struct event *event)
{
	struct cds_wfcq_node *node;

	node = __cds_wfcq_dequeue_blocking(&queue->head, &queue->tail);
	if (node == NULL)
		return false;
	TSAN_ACQUIRE(node);
	*event = *caa_container_of(node, struct event, node);
	mem_free(caa_container_of(node, struct event, node));
	return true;
}

bool
event_queue_take(
    struct event_queue *queue, int32_t timeout_ms, struct event *event)
{
	struct pollfd wake = {.fd = queue->wake_fd, .events = POLLIN};
	uint64_t count;

	if (dequeue(queue, event))
		return true;
	if (poll(&wake, 1, timeout_ms) <= 0)
		return false;
	if (read(queue->wake_fd, &count, sizeof(count)) < 0)
		return false;
	return dequeue(queue, event);
}

int
event_queue_fd(const struct event_queue *queue)
{
	return queue->wake_fd;
}
