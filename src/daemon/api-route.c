#include "daemon/api-route.h"

#include <stdio.h>
#include <string.h>

#include "base/identifier.h"

#define SEGMENTS_MAX 4
#define PATH_SIZE 256

struct segments {
    size_t count;
    const char *items[SEGMENTS_MAX];
    char text[PATH_SIZE];
};

static const struct {
    const char *segment;
    enum resource_kind kind;
} collections[] = {
    {"services", RESOURCE_SERVICE},
    {"targets", RESOURCE_TARGET},
    {"hosts", RESOURCE_HOST},
    {"key-rings", RESOURCE_KEY_RING},
};

static const struct {
    const char *path;
    enum api_route_kind kind;
} fixed[] = {
    {"/v1/status", ROUTE_STATUS},
    {"/v1/events", ROUTE_EVENTS},
    {"/metrics", ROUTE_METRICS},
};

/* Splits a path at its slashes. Identifiers need no percent-encoding, so none
 * is decoded. */
static bool
split(struct segments *s, const char *path)
{
    char *rest = s->text;
    char *segment;

    s->count = 0;
    if (strlen(path) >= sizeof(s->text)) {
        return false;
    }
    snprintf(s->text, sizeof(s->text), "%s", path);
    while ((segment = strsep(&rest, "/")) != NULL) {
        if (s->count == SEGMENTS_MAX) {
            return false;
        }
        s->items[s->count] = segment;
        s->count++;
    }
    return true;
}

static bool
copy_id(char out[ID_SIZE], const char *text)
{
    if (!identifier_is_valid(text)) {
        return false;
    }
    snprintf(out, ID_SIZE, "%s", text);
    return true;
}

static void
set_name(struct api_route *route)
{
    struct resource r = {.kind = route->resource};

    memcpy(r.id, route->id, sizeof(r.id));
    if (route->resource == RESOURCE_TARGET) {
        memcpy(r.target.service, route->service, sizeof(route->service));
    }
    resource_name(&r, route->name);
}

/* Fills in a resource from the segments behind its collection's. */
static bool
set_resource(struct api_route *route, const char *const *ids, size_t count)
{
    bool is_target = route->resource == RESOURCE_TARGET;

    if (count != (is_target ? 2 : 1) || !copy_id(route->id, ids[count - 1]) ||
        (is_target && !copy_id(route->service, ids[0]))) {
        return false;
    }
    if (route->resource == RESOURCE_KEY_RING &&
        strcmp(route->id, KEY_RING_ID) != 0) {
        return false;
    }
    route->kind = ROUTE_RESOURCE;
    set_name(route);
    return true;
}

static bool
set_list(struct api_route *route, const char *const *ids, size_t count)
{
    route->kind = ROUTE_LIST;
    if (count == 0) {
        return true;
    }
    if (count != 1 || route->resource != RESOURCE_TARGET ||
        !copy_id(route->service, ids[0])) {
        return false;
    }
    snprintf(route->name, sizeof(route->name), "target/%s/", route->service);
    return true;
}

static bool
parse_collection(struct api_route *route, const struct segments *s)
{
    /* "v1", the collection, and up to two ids. */
    const char *const *ids = s->items + 2;
    size_t count = s->count - 2;

    for (size_t i = 0; i < sizeof(collections) / sizeof(*collections); i++) {
        if (strcmp(s->items[1], collections[i].segment) == 0) {
            route->resource = collections[i].kind;
            return set_resource(route, ids, count) ||
                   set_list(route, ids, count);
        }
    }
    return false;
}

/* Reads what stands behind "/v1/". */
static bool
parse_versioned(struct api_route *route, const char *path)
{
    struct segments s;

    if (strncmp(path, "/v1/", 4) != 0 || !split(&s, path + 1) || s.count < 2) {
        return false;
    }
    if (strcmp(s.items[1], "writes") == 0) {
        route->kind = ROUTE_WRITE;
        return s.count == 3 && copy_id(route->id, s.items[2]);
    }
    return parse_collection(route, &s);
}

bool
api_route_parse(struct api_route *route, const char *path, struct status *st)
{
    memset(route, 0, sizeof(*route));
    for (size_t i = 0; i < sizeof(fixed) / sizeof(*fixed); i++) {
        if (strcmp(path, fixed[i].path) == 0) {
            route->kind = fixed[i].kind;
            return true;
        }
    }
    if (parse_versioned(route, path)) {
        return true;
    }
    status_set(st, ERR_NOT_FOUND, "there is no such path");
    return false;
}
