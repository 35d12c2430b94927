#include "base/store-position.h"

#include <inttypes.h>
#include <stdio.h>

struct store_position_text
store_position_format(struct store_position p)
{
    struct store_position_text out;
    uint64_t revision = p.revision;

    if (p.era == 0) {
        snprintf(out.text, sizeof(out.text), "%" PRIu64, revision);
    }
    else {
        snprintf(out.text, sizeof(out.text), "%u/%" PRIu64, (unsigned)p.era,
                 revision);
    }
    return out;
}
