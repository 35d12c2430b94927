#include "transport/store-era.h"

#include <stdbool.h>
#include <stddef.h>

static bool
parse(const char *text, uint64_t *era)
{
    *era = 0;
    for (const char *p = text; *p != '\0'; p++) {
        if (*p < '0' || *p > '9') {
            return false;
        }
        *era = *era * 10 + (uint64_t)(*p - '0');
        if (*era > STORE_ERA_MAX) {
            return false;
        }
    }
    return text[0] != '\0';
}

enum store_era_result
store_era_read(const char *text, struct store_position known, uint64_t *era)
{
    if (text == NULL) {
        *era = known.era;
        return STORE_ERA_USABLE;
    }
    if (!parse(text, era)) {
        return STORE_ERA_MALFORMED;
    }
    return *era < known.era ? STORE_ERA_EARLIER : STORE_ERA_USABLE;
}

const char *
store_era_error(enum store_era_result result)
{
    return result == STORE_ERA_MALFORMED ? "the era of an answer is malformed"
                                         : "an answer is of an earlier era";
}

struct store_position
store_era_infer(struct store_position known, uint64_t era, uint64_t revision)
{
    bool restored =
        era == known.era && revision < known.revision && era < STORE_ERA_MAX;

    return (struct store_position){.era = restored ? era + 1 : era,
                                   .revision = revision};
}
