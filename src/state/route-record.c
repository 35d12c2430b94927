#include "state/route-record.h"

#include <assert.h>

struct route_record
route_record_copy(const struct route_record *record)
{
    struct route_record copy = *record;

    if (copy.shares != NULL) {
        g_array_ref(copy.shares);
    }
    return copy;
}

void
route_record_clear(struct route_record *record)
{
    if (record->shares != NULL) {
        g_array_unref(record->shares);
    }
    record->shares = NULL;
}

void
route_record_add_share(struct route_record *record,
                       const struct route_share *share)
{
    if (record->shares == NULL) {
        record->shares = g_array_new(FALSE, FALSE, sizeof(*share));
    }
    g_array_append_vals(record->shares, share, 1);
}

size_t
route_record_share_count(const struct route_record *record)
{
    return record->shares == NULL ? 0 : record->shares->len;
}

const struct route_share *
route_record_share(const struct route_record *record, size_t index)
{
    assert(index < route_record_share_count(record));
    return &g_array_index(record->shares, struct route_share, index);
}

bool
route_record_has_service(const struct route_record *record,
                         const char *service)
{
    for (size_t i = 0; i < route_record_share_count(record); i++) {
        if (route_record_share(record, i)->service == service) {
            return true;
        }
    }
    return false;
}

static bool
same_shares(const struct route_record *a, const struct route_record *b)
{
    if (a->shares == b->shares) {
        return true;
    }
    if (route_record_share_count(a) != route_record_share_count(b)) {
        return false;
    }
    for (size_t i = 0; i < route_record_share_count(a); i++) {
        const struct route_share *x = route_record_share(a, i);
        const struct route_share *y = route_record_share(b, i);

        if (x->service != y->service || x->weight != y->weight ||
            x->cold_limit != y->cold_limit) {
            return false;
        }
    }
    return true;
}

bool
route_record_equal(const struct route_record *a, const struct route_record *b)
{
    return a->addr == b->addr && a->port == b->port &&
           a->removed == b->removed && a->timeout_ms == b->timeout_ms &&
           a->latency_objective_ms == b->latency_objective_ms &&
           a->priority == b->priority && a->repeatable == b->repeatable &&
           a->regions == b->regions && same_shares(a, b);
}
