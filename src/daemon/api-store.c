#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "api"
#include "base/log.h"
#include "daemon/api.h"
#include "daemon/store-reader.h"
#include "protocol/resource-json.h"

void
api_store_key(const char *name, char out[STORE_KEY_SIZE])
{
    snprintf(out, STORE_KEY_SIZE, "%s%s", STORE_PREFIX, name);
}

struct resource *
api_resource_from_entry(const struct store_entry *entry)
{
    struct resource *r = calloc(1, sizeof(*r));
    struct status st;

    if (r == NULL) {
        return NULL;
    }
    if (!resource_name_parse(r, entry->key + strlen(STORE_PREFIX))) {
        free(r);
        return NULL;
    }
    if (!resource_json_parse(r, RESOURCE_JSON_STORE, entry->value,
                             entry->value_len, &st)) {
        LOG_WARN("cannot read the resource stored at %s: %s", entry->key,
                 st.message);
        free(r);
        return NULL;
    }
    return r;
}
