/*
 * The order in which waiting work gets room when there is too little: what is
 * delayed is what costs its callers least. Internal to the fleet.
 *
 * Load: more work than fits, of jobs that differ in size, in what is left of
 * their objective, and in how much their workspaces use already.
 *
 * Priority comes first. Within one priority, each job has a time at which it
 * joins the queue, and those that joined earlier go first:
 * - A job that can no longer end within its objective joins again at the time
 *   from which that holds, and once more when its results are of no use.
 * - A job is passed by later ones that need less: it joins later by the time
 *   that the whole fleet would work on it, times PASS_FACTOR.
 * - A job of a workspace that uses more than its share joins later too.
 * All three are bounded, so that each job gets its turn.
 */
#ifndef IBIS_FLEET_RANK_H
#define IBIS_FLEET_RANK_H

#include "fleet/fleet_model.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Computes what the ranks of one round of placement have in common. */
void fleet_rank_begin_round(struct fleet *fleet);

/* Returns the time at which a step of an occurrence joins the queue of its
 * priority, as of the last round of placement; INT64_MIN and up, of the
 * fleet's clock in ms. */
int64_t fleet_rank_joins_ms(
    const struct fleet_occurrence *occurrence, uint32_t step, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
