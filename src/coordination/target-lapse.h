#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Decides whether a target whose entry has vanished from the store is gone, or
 * whether the entry only expired because the store was unavailable. In the
 * second case the target registers again soon after the store has recovered,
 * and stays in use until then. */
struct target_lapse {
    uint64_t gap_us; /* a longer time between two answers of the store
                      * means that it was unavailable */
    uint64_t store_recovered_at; /* first answer after the store was last
                                  * unavailable, us; 0: it never was */
};

void target_lapse_init(struct target_lapse *lapse, uint64_t gap_us);
/* Records an answer of the store that came "age_us" after its previous answer;
 * UINT64_MAX: there was none. To be called before target_lapse_keep_until()
 * for the entries that are missing from this answer. */
void target_lapse_store_answered(struct target_lapse *lapse, uint64_t age_us,
                                 uint64_t now);
/* The store was restored from a copy, which lacks the entries of targets that
 * registered after it. They register again like after an outage. */
void target_lapse_store_restored(struct target_lapse *lapse, uint64_t now);
/* Returns the time, in microseconds, until which a target whose entry vanished
 * at "now" stays in use; 0: the target is gone. */
uint64_t target_lapse_keep_until(const struct target_lapse *lapse,
                                 bool draining, uint64_t now);
