#include "state/resource.h"

#include <assert.h>
#include <string.h>

#include <xxhash.h>

static const char *const kind_names[RESOURCE_KIND_COUNT] = {
    [RESOURCE_SERVICE] = "service",
    [RESOURCE_TARGET] = "target",
    [RESOURCE_HOST] = "host",
    [RESOURCE_KEY_RING] = "key_ring",
};

static const char *const class_names[CLASS_COUNT] = {
    [CLASS_COMMAND] = "command",
    [CLASS_INTERACTIVE] = "interactive",
    [CLASS_DOWNLOAD] = "download",
    [CLASS_STREAM] = "stream",
};

const char *
resource_kind_name(enum resource_kind kind)
{
    assert(kind < RESOURCE_KIND_COUNT);
    return kind_names[kind];
}

bool
resource_kind_from_name(const char *name, enum resource_kind *kind)
{
    for (int i = 0; i < RESOURCE_KIND_COUNT; i++) {
        if (strcmp(name, kind_names[i]) == 0) {
            *kind = (enum resource_kind)i;
            return true;
        }
    }
    return false;
}

const char *
admin_state_name(enum admin_state state)
{
    return state == ADMIN_DRAINING ? "draining" : "active";
}

const char *traffic_class_name(enum traffic_class class)
{
    assert(class < CLASS_COUNT);
    return class_names[class];
}

uint64_t
id_hash(const char *id)
{
    return XXH64(id, strlen(id), 0);
}
