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

/* Copies the first part of a name, up to a slash or the end, to "out". Returns
 * the rest of the name after the slash ("" if there is no slash), or NULL if
 * the part is not a valid identifier. */
static const char *
parse_part(const char *text, char out[ID_SIZE])
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
    const char *rest = parse_part(name, kind);

    memset(r, 0, sizeof(*r));
    list_init(&r->link);
    if (rest == NULL || !resource_kind_from_name(kind, &r->kind)) {
        return false;
    }
    if (r->kind == RESOURCE_TARGET) {
        rest = parse_part(rest, r->target.service);
    }
    if (rest == NULL || strchr(rest, '/') != NULL) {
        return false;
    }
    return parse_part(rest, r->id) != NULL;
}
