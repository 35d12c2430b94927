#pragma once

#include <stdint.h>

#include "base/store-position.h"

/* Interprets the eras of the store's answers: which can be used, and when a
 * store that announces none has been restored. */

enum store_era_result {
    STORE_ERA_USABLE,
    STORE_ERA_MALFORMED,
    STORE_ERA_EARLIER, /* than the known one: the answer was delayed */
};

/* Determines the era of an answer from its announcement "text"; NULL: it has
 * none, and its era is the known one. "era" is valid unless the announcement
 * is malformed. */
enum store_era_result
store_era_read(const char *text, struct store_position known, uint64_t *era);
/* Text for the status of a call whose answer cannot be used. */
const char *store_era_error(enum store_era_result result);

/* Returns the position of a current answer without an announced era, to a call
 * that began after the store had reported "known". Its revision cannot be
 * lower unless the store was restored; then a new era begins. */
struct store_position store_era_infer(struct store_position known,
                                      uint64_t era, uint64_t revision);
