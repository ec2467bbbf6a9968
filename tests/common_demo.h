/* The demonstration: gangs, an urgent job, a zone out and in, on one site. */
#ifndef IBIS_COMMON_DEMO_H
#define IBIS_COMMON_DEMO_H

#include <stdbool.h>

#include "common_deployment.h"

/* Plays it and prints one line of counts, from what the callers saw and what
 * the stand-ins logged. True when nothing was lost, wrong or run twice. */
bool demo_run(struct deployment *deployment);

#endif
