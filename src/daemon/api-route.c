#include "daemon/api-route.h"

#include <stdio.h>
#include <string.h>

#include "base/identifier.h"

/* Maximum number of segments of a path, "v1" included. */
#define SEGMENTS_MAX 4
#define PATH_SIZE 256 /* maximum length of a path in bytes, with the NUL */

/* A path split at its slashes. */
struct segments {
    size_t count;
    const char *items[SEGMENTS_MAX]; /* point into "text" */
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
} fixed_routes[] = {
    {"/v1/status", ROUTE_STATUS},
    {"/v1/events", ROUTE_EVENTS},
    {"/metrics", ROUTE_METRICS},
};

/* Splits a path at its slashes. Returns false when it is too long or has too
 * many segments. Percent-encoding is not decoded, because identifiers never
 * need it. */
static bool
split_path(struct segments *s, const char *path)
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
set_resource_name(struct api_route *route)
{
    struct resource r = {.kind = route->resource};

    memcpy(r.id, route->id, sizeof(r.id));
    if (route->resource == RESOURCE_TARGET) {
        memcpy(r.target.service, route->service, sizeof(route->service));
    }
    resource_name(&r, route->name);
}

/* Parses the segments that follow the collection as the ids of one resource:
 * service and target, or a single id. */
static bool
parse_resource(struct api_route *route, const char *const *ids, size_t count)
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
    set_resource_name(route);
    return true;
}

/* Parses the segments that follow the collection as those of a list: none, or
 * the service whose targets are listed. */
static bool
parse_list(struct api_route *route, const char *const *ids, size_t count)
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
    /* The segments are "v1", the collection and up to two ids. */
    const char *const *ids = s->items + 2;
    size_t count = s->count - 2;

    for (size_t i = 0; i < sizeof(collections) / sizeof(*collections); i++) {
        if (strcmp(s->items[1], collections[i].segment) == 0) {
            route->resource = collections[i].kind;
            return parse_resource(route, ids, count) ||
                   parse_list(route, ids, count);
        }
    }
    return false;
}

/* Parses a path that begins with "/v1/" and is not one of fixed_routes. */
static bool
parse_v1_path(struct api_route *route, const char *path)
{
    struct segments s;

    if (strncmp(path, "/v1/", 4) != 0 || !split_path(&s, path + 1) ||
        s.count < 2) {
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
    for (size_t i = 0; i < sizeof(fixed_routes) / sizeof(*fixed_routes); i++) {
        if (strcmp(path, fixed_routes[i].path) == 0) {
            route->kind = fixed_routes[i].kind;
            return true;
        }
    }
    if (parse_v1_path(route, path)) {
        return true;
    }
    status_set(st, ERR_NOT_FOUND, "there is no such path");
    return false;
}
