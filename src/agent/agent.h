/*
 * One instance on the users' platform: takes callers' jobs into the platform's
 * store, follows the store, and leads the fleet of workers while it holds the
 * lead's lease there. One control thread owns all of it.
 */
#ifndef IBIS_AGENT_H
#define IBIS_AGENT_H

#include "ibistrestle.h"

/* Runs with the platform's settings file, which its environment variable
 * names, until SIGTERM has been served. Returns 0, or 1 with status filled. */
int agent_run(struct ibis_status *status);

#endif
