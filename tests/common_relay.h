/*
 * A TCP relay between two processes that can lose track of its connections:
 * those open then stay open and carry nothing more; new ones work.
 */
#ifndef IBIS_COMMON_RELAY_H
#define IBIS_COMMON_RELAY_H

#include <stdbool.h>
#include <stdint.h>

struct relay;

/* Relays 127.0.0.1, any port, to IP:PORT; NULL on failure. */
struct relay *relay_start(const char *target);

/* The address listened on; owned by the relay. */
const char *relay_address(const struct relay *relay);

/* Loses track of all open connections. */
void relay_lose_connections(struct relay *relay);

/* Cuts the relay, or heals it: while it is cut, all connections carry nothing,
 * new ones too. Those cut stay so. */
void relay_cut(struct relay *relay, bool cut);

/* Connections accepted since the start. */
uint32_t relay_accepted(const struct relay *relay);

void relay_stop(struct relay *relay);

#endif
