/*
 * A TCP relay between two processes that can simulate lost connection state (as
 * in a restarted router) and network partitions: affected connections stay open
 * but forward no more data.
 */
#ifndef IBIS_COMMON_RELAY_H
#define IBIS_COMMON_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

/* Starts a thread that listens on a free port of 127.0.0.1 and relays each
 * connection to target (IP:PORT). NULL on failure; free with relay_stop. */
struct relay *relay_start(const char *target);

/* The listening address as IP:PORT; owned by the relay. */
const char *relay_address(const struct relay *relay);

/* Makes all connections that are open now stop forwarding for good. Later
 * connections work. */
void relay_stall_connections(struct relay *relay);

/* Starts or ends a network partition. While it lasts, no connection forwards
 * data, new ones included; these connections don't recover when it ends. */
void relay_set_partitioned(struct relay *relay, bool partitioned);

/* Number of connections accepted since the start. */
uint32_t relay_accepted_count(const struct relay *relay);

/* Closes all connections, ends the thread and frees the relay; NULL is
 * allowed. */
void relay_stop(struct relay *relay);

#endif
