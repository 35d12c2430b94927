#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/yaml-json.h"
#include "protocol/resource-json.h"

/* Sets kind, id and (for a target) service from the document's members of
 * these names. */
static bool
init_from_document(struct resource *r, const json_t *json, struct status *st)
{
    const char *kind = json_string_value(json_object_get(json, "kind"));
    const char *id = json_string_value(json_object_get(json, "id"));
    const char *service = json_string_value(json_object_get(json, "service"));
    char name[RESOURCE_NAME_SIZE];

    if (kind == NULL || !resource_kind_from_name(kind, &r->kind)) {
        status_set(st, ERR_INVALID,
                   "kind: expected service, target, host or key_ring");
        return false;
    }
    if (id == NULL) {
        status_set(st, ERR_INVALID, "id: required, a string");
        return false;
    }
    if (r->kind == RESOURCE_TARGET && service == NULL) {
        status_set(st, ERR_INVALID, "service: required, a string");
        return false;
    }
    if (r->kind == RESOURCE_TARGET) {
        snprintf(name, sizeof(name), "%s/%.63s/%.63s", kind, service, id);
    }
    else {
        snprintf(name, sizeof(name), "%s/%.63s", kind, id);
    }
    if (!resource_name_parse(r, name)) {
        status_set(st, ERR_INVALID, "id: \"%.63s\" is not a valid identifier",
                   id);
        return false;
    }
    return true;
}

static bool
parse_document(struct resource *r, const json_t *json, struct status *st)
{
    char *text;
    bool valid;

    if (!init_from_document(r, json, st)) {
        return false;
    }
    text = json_dumps(json, JSON_COMPACT);
    if (text == NULL) {
        status_set(st, ERR_NO_MEMORY, "out of memory");
        return false;
    }
    valid =
        resource_json_parse(r, RESOURCE_JSON_OPERATOR, text, strlen(text), st);
    free(text);
    return valid;
}

static json_t *
resource_to_json(const struct resource *r)
{
    char *text = resource_json_build(r, RESOURCE_JSON_OPERATOR);
    json_t *json = text == NULL ? NULL : json_loads(text, 0, NULL);

    free(text);
    return json;
}

static void
print_value(const json_t *json)
{
    char *text = json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY);

    printf("%s", text == NULL ? "?" : text);
    free(text);
}

/* Prints each member of "after" whose value differs from that in "before",
 * except the version. Returns the number of members printed. */
static size_t
print_changes(const struct resource *before, const struct resource *after)
{
    json_t *old = resource_to_json(before);
    json_t *new = resource_to_json(after);
    const char *key;
    json_t *value;
    size_t changes = 0;

    json_object_foreach(new, key, value)
    {
        const json_t *was = json_object_get(old, key);

        if (strcmp(key, "version") == 0 || json_equal(was, value)) {
            continue;
        }
        printf("  %s: ", key);
        print_value(was);
        printf(" -> ");
        print_value(value);
        printf("\n");
        changes++;
    }
    json_decref(old);
    json_decref(new);
    return changes;
}

static bool
is_equal_except_version(const struct resource *a, const struct resource *b)
{
    json_t *x = resource_to_json(a);
    json_t *y = resource_to_json(b);
    bool equal;

    json_object_del(x, "version");
    json_object_del(y, "version");
    equal = json_equal(x, y) != 0;
    json_decref(x);
    json_decref(y);
    return equal;
}

static enum ctl_exit
apply_resource(struct ctl *ctl, const struct resource *wanted)
{
    char name[RESOURCE_NAME_SIZE];
    struct resource current = *wanted;
    bool exists = false;
    uint64_t version = 0;
    enum ctl_exit result = ctl_read(ctl, &current, &exists);

    resource_name(wanted, name);
    if (result != CTL_OK) {
        return result;
    }
    if (exists && is_equal_except_version(&current, wanted)) {
        printf("%s unchanged (version %" PRIu64 ")\n", name, current.version);
        return CTL_OK;
    }
    result = ctl_write(ctl, wanted, exists ? current.version : 0, &version);
    if (result != CTL_OK) {
        return result;
    }
    printf("%s %s (version %" PRIu64 ")\n", name,
           exists ? "changed" : "created", version);
    if (exists) {
        print_changes(&current, wanted);
    }
    return CTL_OK;
}

/* Parses all documents before any resource is written, so that an error in
 * one document leaves all resources unchanged. Prints the error and returns
 * NULL when a document is invalid. The caller frees the array. */
static struct resource *
parse_all(const struct yaml_documents *docs, const char *path)
{
    struct resource *resources = calloc(docs->count + 1, sizeof(*resources));
    struct status st;

    for (size_t i = 0; resources != NULL && i < docs->count; i++) {
        if (!parse_document(&resources[i], docs->items[i].json, &st)) {
            fprintf(stderr, "%s:%zu: %s\n", path, docs->items[i].line,
                    st.message);
            free(resources);
            return NULL;
        }
    }
    return resources;
}

enum ctl_exit
ctl_apply(struct ctl *ctl, const char *path)
{
    struct yaml_documents docs;
    struct resource *resources;
    struct status st;
    enum ctl_exit result = CTL_OK;

    if (!yaml_documents_load(&docs, path, &st)) {
        fprintf(stderr, "%s\n", st.message);
        return CTL_REFUSED;
    }
    resources = parse_all(&docs, path);
    if (resources == NULL) {
        result = CTL_REFUSED;
    }
    for (size_t i = 0; i < docs.count && result == CTL_OK; i++) {
        result = apply_resource(ctl, &resources[i]);
    }
    free(resources);
    yaml_documents_clear(&docs);
    return result;
}
