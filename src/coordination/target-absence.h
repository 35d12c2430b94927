#pragma once

#include <stdbool.h>
#include <stdint.h>

/* Whether a target whose entry went from the store is gone, or its entry only
 * ran out because the store was away: then the target puts it back soon after
 * the store's return. */
struct target_absence {
    uint64_t gap_us;      /* an answer later than this after the last one
                           * means that the store was away */
    uint64_t returned_at; /* first answer after it was away, us; 0: never */
};

void target_absence_init(struct target_absence *a, uint64_t gap_us);
/* The store has answered, "age_us" after its last answer before. To be told
 * before the entries that went are judged. */
void target_absence_answered(struct target_absence *a, uint64_t age_us,
                             uint64_t now);
/* Until when to go on using a target whose entry went at "now"; 0: it is
 * gone. */
uint64_t target_absence_hold_until(const struct target_absence *a,
                                   bool draining, uint64_t now);
