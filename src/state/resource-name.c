#include "state/resource-name.h"

#include <stdio.h>
#include <string.h>

#include "base/identifier.h"

void
resource_name(const struct resource *r, char out[RESOURCE_NAME_SIZE])
{
    if (r->kind == RESOURCE_TARGET) {
        snprintf(out, RESOURCE_NAME_SIZE, "target/%s/%s", r->target.service,
                 r->id);
        return;
    }
    snprintf(out, RESOURCE_NAME_SIZE, "%s/%s", resource_kind_name(r->kind),
             r->id);
}

uint64_t
resource_name_hash(const struct resource *r)
{
    char name[RESOURCE_NAME_SIZE];

    resource_name(r, name);
    return id_hash(name);
}

/* Copies the part of a name up to a slash or the end. Returns what stands
 * behind the slash, "" at the end, or NULL when the part is no identifier. */
static const char *
take_part(const char *text, char out[ID_SIZE])
{
    size_t len = strcspn(text, "/");

    if (len >= ID_SIZE) {
        return NULL;
    }
    memcpy(out, text, len);
    out[len] = '\0';
    if (!identifier_is_valid(out)) {
        return NULL;
    }
    return text[len] == '/' ? text + len + 1 : text + len;
}

bool
resource_name_parse(struct resource *r, const char *name)
{
    char kind[ID_SIZE];
    const char *rest = take_part(name, kind);

    memset(r, 0, sizeof(*r));
    list_init(&r->link);
    if (rest == NULL || !resource_kind_from_name(kind, &r->kind)) {
        return false;
    }
    if (r->kind == RESOURCE_TARGET) {
        rest = take_part(rest, r->target.service);
    }
    if (rest == NULL || strchr(rest, '/') != NULL) {
        return false;
    }
    return take_part(rest, r->id) != NULL;
}
