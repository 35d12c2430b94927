#include "protocol/resource-json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "base/address.h"
#include "base/identifier.h"

#define FIELD_PATH_SIZE 64  /* bytes of "domains[15]", final NUL included */
#define MEMBER_NAMES_MAX 16 /* members of a kind, final NULL included */
#define PORT_MAX 65535
#define KEY_ID_MAX 255
#define SECRET_BASE64_SIZE 64 /* bytes, enough for 32 bytes in base64 */

/* A JSON object being decoded. */
struct object_reader {
    const json_t *object;
    const char *path; /* path of the object in error texts, "" for the root */
    enum resource_json_form form;
    struct status *st; /* receives the error */
};

/* Sets the error of a member, or of the object itself when "field" is "".
 * Always returns false, so that a caller can write
 * "return reject_field(...)". */
static bool reject_field(const struct object_reader *rd, const char *field,
                         const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static bool
reject_field(const struct object_reader *rd, const char *field,
             const char *fmt, ...)
{
    char reason[160];
    va_list args;

    va_start(args, fmt);
    vsnprintf(reason, sizeof(reason), fmt, args);
    va_end(args);
    status_set(rd->st, ERR_INVALID, "%s%s%.40s: %s", rd->path,
               rd->path[0] == '\0' || field[0] == '\0' ? "" : ".", field,
               reason);
    return false;
}

/* Checks that "names", which ends with NULL, lists all members of the object.
 * Applies to the operators' form only. */
static bool
check_member_names(const struct object_reader *rd, const char *const *names)
{
    const char *key;
    json_t *value;

    if (rd->form == RESOURCE_JSON_STORE) {
        return true;
    }
    json_object_foreach((json_t *)rd->object, key, value)
    {
        const char *const *name = names;

        while (*name != NULL && strcmp(*name, key) != 0) {
            name++;
        }
        if (*name == NULL) {
            return reject_field(rd, key, "unknown field");
        }
    }
    return true;
}

/* Reads a string that must be a valid identifier; "json" is NULL when the
 * member is missing. */
static bool
read_identifier(const struct object_reader *rd, const char *field,
                const json_t *json, char out[ID_SIZE])
{
    const char *text = json_string_value(json);

    if (json == NULL) {
        return reject_field(rd, field, "required, but missing");
    }
    if (text == NULL) {
        return reject_field(rd, field, "not a string");
    }
    if (strlen(text) != json_string_length(json) ||
        !identifier_is_valid(text)) {
        return reject_field(
            rd, field,
            "expected 1 to %d letters, digits, \".\", \"_\" or "
            "\"-\", starting with a letter or digit",
            IDENTIFIER_LENGTH_MAX);
    }
    snprintf(out, ID_SIZE, "%s", text);
    return true;
}

static bool
get_identifier(const struct object_reader *rd, const char *field,
               char out[ID_SIZE])
{
    return read_identifier(rd, field, json_object_get(rd->object, field), out);
}

/* Checks that a member, if present, is the string "expected", which comes from
 * the store's key or the URL. */
static bool
check_expected(const struct object_reader *rd, const char *field,
               const char *expected)
{
    const json_t *json = json_object_get(rd->object, field);
    const char *text = json_string_value(json);

    if (json == NULL) {
        return true;
    }
    if (text == NULL || strcmp(text, expected) != 0) {
        return reject_field(rd, field, "expected \"%s\"", expected);
    }
    return true;
}

static bool
read_number(const struct object_reader *rd, const char *field,
            const json_t *json, json_int_t min, json_int_t max,
            json_int_t *out)
{
    if (!json_is_integer(json)) {
        return reject_field(rd, field, "not a whole number");
    }
    *out = json_integer_value(json);
    if (*out < min || *out > max) {
        return reject_field(rd, field, "%lld is outside %lld to %lld",
                            (long long)*out, (long long)min, (long long)max);
    }
    return true;
}

static bool
get_number(const struct object_reader *rd, const char *field, json_int_t min,
           json_int_t max, json_int_t *out)
{
    const json_t *json = json_object_get(rd->object, field);

    if (json == NULL) {
        return reject_field(rd, field, "required, but missing");
    }
    return read_number(rd, field, json, min, max, out);
}

/* Reads a number from 1 to "max". A missing member gives "default_value". */
static bool
get_u32_or_default(const struct object_reader *rd, const char *field,
                   uint32_t default_value, uint32_t max, uint32_t *out)
{
    json_int_t number = default_value;

    if (json_object_get(rd->object, field) != NULL &&
        !get_number(rd, field, 1, max, &number)) {
        return false;
    }
    *out = (uint32_t)number;
    return true;
}

static bool
get_port(const struct object_reader *rd, uint16_t *out)
{
    json_int_t number;

    if (!get_number(rd, "port", 1, PORT_MAX, &number)) {
        return false;
    }
    *out = (uint16_t)number;
    return true;
}

static bool
get_bool(const struct object_reader *rd, const char *field, bool *out)
{
    const json_t *json = json_object_get(rd->object, field);

    if (json != NULL && !json_is_boolean(json)) {
        return reject_field(rd, field, "not true or false");
    }
    *out = json_is_true(json);
    return true;
}

static bool
get_address(const struct object_reader *rd, uint32_t *out)
{
    const json_t *json = json_object_get(rd->object, "address");
    const char *text = json_string_value(json);

    if (json == NULL) {
        return reject_field(rd, "address", "required, but missing");
    }
    if (text == NULL || !address_parse(text, out)) {
        return reject_field(rd, "address", "not a dotted IPv4 address");
    }
    if (!address_is_unicast(*out)) {
        return reject_field(rd, "address", "%s is not the address of one host",
                            text);
    }
    return true;
}

static bool
get_state(const struct object_reader *rd, enum admin_state *out)
{
    const json_t *json = json_object_get(rd->object, "state");
    const char *text = json_string_value(json);

    *out = ADMIN_ACTIVE;
    if (json == NULL) {
        return true;
    }
    for (int state = ADMIN_ACTIVE; state <= ADMIN_DRAINING; state++) {
        if (text != NULL && strcmp(text, admin_state_name(state)) == 0) {
            *out = (enum admin_state)state;
            return true;
        }
    }
    return reject_field(rd, "state", "expected \"active\" or \"draining\"");
}

static bool
get_domain(const struct object_reader *rd, struct service *s, size_t index,
           const json_t *json)
{
    char path[FIELD_PATH_SIZE];

    snprintf(path, sizeof(path), "domains[%zu]", index);
    if (!read_identifier(rd, path, json, s->domains[index])) {
        return false;
    }
    for (size_t i = 0; i < index; i++) {
        if (strcmp(s->domains[i], s->domains[index]) == 0) {
            return reject_field(rd, path, "same as domains[%zu]", i);
        }
    }
    return true;
}

static bool
get_domains(const struct object_reader *rd, struct service *s)
{
    const json_t *array = json_object_get(rd->object, "domains");
    size_t count = json_array_size(array);

    if (array == NULL) {
        return reject_field(rd, "domains", "required, but missing");
    }
    if (!json_is_array(array)) {
        return reject_field(rd, "domains", "not a list");
    }
    if (count == 0 || count > SERVICE_DOMAINS_MAX) {
        return reject_field(rd, "domains", "%zu entries, expected 1 to %d",
                            count, SERVICE_DOMAINS_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        if (!get_domain(rd, s, i, json_array_get(array, i))) {
            return false;
        }
    }
    s->domain_count = count;
    return true;
}

static bool
parse_service(const struct object_reader *rd, struct service *s)
{
    return get_identifier(rd, "tenant", s->tenant) && get_port(rd, &s->port) &&
           get_domains(rd, s) &&
           get_u32_or_default(rd, "deadline_ms", SERVICE_DEADLINE_MS_DEFAULT,
                              SERVICE_DEADLINE_MS_MAX, &s->deadline_ms) &&
           get_u32_or_default(rd, "body_limit",
                              SERVICE_BODY_LIMIT_BYTES_DEFAULT,
                              SERVICE_BODY_LIMIT_BYTES_MAX, &s->body_limit) &&
           get_bool(rd, "tenant_in_path", &s->tenant_in_path);
}

static bool
parse_target(const struct object_reader *rd, struct target *t)
{
    /* "slots" and "connections" are required: a missing one gives the default
     * 0, which is then rejected. */
    return check_expected(rd, "service", t->service) &&
           get_identifier(rd, "domain", t->domain) &&
           get_address(rd, &t->addr) && get_port(rd, &t->port) &&
           get_u32_or_default(rd, "slots", 0, TARGET_SLOTS_MAX, &t->slots) &&
           (t->slots > 0 ||
            reject_field(rd, "slots", "required, but missing")) &&
           get_u32_or_default(rd, "connections", 0, TARGET_CONNECTIONS_MAX,
                              &t->connections) &&
           (t->connections > 0 ||
            reject_field(rd, "connections", "required, but missing")) &&
           get_state(rd, &t->state);
}

static bool
parse_host(const struct object_reader *rd, struct host *h)
{
    return get_identifier(rd, "domain", h->domain) &&
           get_address(rd, &h->addr) && get_state(rd, &h->state);
}

/* Reads the secret of a key, which only the store's form has. The error
 * message must not contain any part of the secret. */
static bool
get_secret(const struct object_reader *rd, struct key_ring_key *key)
{
    const char *text =
        json_string_value(json_object_get(rd->object, "secret"));
    size_t len = 0;

    if (rd->form == RESOURCE_JSON_OPERATOR) {
        return true;
    }
    if (text == NULL ||
        sodium_base642bin(key->secret, sizeof(key->secret), text, strlen(text),
                          NULL, &len, NULL,
                          sodium_base64_VARIANT_ORIGINAL) != 0 ||
        len != sizeof(key->secret)) {
        return reject_field(rd, "secret", "not %d bytes in base64",
                            KEY_SECRET_SIZE);
    }
    return true;
}

static bool
parse_key(const struct object_reader *ring_rd, struct key_ring *ring,
          size_t index, const json_t *json)
{
    static const char *const names[] = {"id", NULL};
    char path[FIELD_PATH_SIZE];
    struct object_reader rd = *ring_rd;
    struct key_ring_key *key = &ring->keys[index];
    json_int_t id;

    snprintf(path, sizeof(path), "keys[%zu]", index);
    rd.object = json;
    rd.path = path;
    if (!json_is_object(json)) {
        return reject_field(&rd, "", "not an object");
    }
    if (!check_member_names(&rd, names) ||
        !get_number(&rd, "id", 1, KEY_ID_MAX, &id) || !get_secret(&rd, key)) {
        return false;
    }
    key->id = (uint8_t)id;
    for (size_t i = 0; i < index; i++) {
        if (ring->keys[i].id == key->id) {
            return reject_field(&rd, "id", "same as keys[%zu].id", i);
        }
    }
    return true;
}

static bool
parse_key_ring(const struct object_reader *rd, struct key_ring *ring)
{
    const json_t *array = json_object_get(rd->object, "keys");
    size_t count = json_array_size(array);

    if (!json_is_array(array)) {
        return reject_field(rd, "keys", "required, a list");
    }
    if (count == 0 || count > KEY_RING_KEYS_MAX) {
        return reject_field(rd, "keys", "%zu entries, expected 1 to %d", count,
                            KEY_RING_KEYS_MAX);
    }
    for (size_t i = 0; i < count; i++) {
        if (!parse_key(rd, ring, i, json_array_get(array, i))) {
            return false;
        }
    }
    ring->count = count;
    return true;
}

/* Members that the operators' form accepts, a list ending with NULL for each
 * kind. */
static const char
    *const allowed_members[RESOURCE_KIND_COUNT][MEMBER_NAMES_MAX] = {
        [RESOURCE_SERVICE] = {"kind", "id", "version", "tenant", "port",
                              "domains", "deadline_ms", "body_limit",
                              "tenant_in_path", NULL},
        [RESOURCE_TARGET] = {"kind", "id", "version", "service", "domain",
                             "address", "port", "slots", "connections",
                             "state", NULL},
        [RESOURCE_HOST] = {"kind", "id", "version", "domain", "address",
                           "state", NULL},
        [RESOURCE_KEY_RING] = {"kind", "id", "version", "keys", NULL},
};

static bool
get_write_ids(const struct object_reader *rd, struct resource *r)
{
    const json_t *array = json_object_get(rd->object, "writes");

    r->write_count = 0;
    for (size_t i = 0; i < json_array_size(array); i++) {
        const char *text = json_string_value(json_array_get(array, i));

        if (text == NULL || strlen(text) >= WRITE_ID_SIZE) {
            return reject_field(rd, "writes", "not a list of write ids");
        }
        if (r->write_count < RECENT_WRITES_MAX) {
            snprintf(r->writes[r->write_count], WRITE_ID_SIZE, "%s", text);
            r->write_count++;
        }
    }
    return true;
}

/* Reads the version, the write ids and the tombstone flag. */
static bool
parse_metadata(const struct object_reader *rd, struct resource *r)
{
    json_int_t version = 0;

    r->deleted = false;
    if (rd->form == RESOURCE_JSON_OPERATOR) {
        /* The API shows "version" to operators, so a body may contain it, but
         * it has no effect. */
        return true;
    }
    if (!get_number(rd, "version", 1, INT64_MAX, &version)) {
        return false;
    }
    r->version = (uint64_t)version;
    return get_bool(rd, "deleted", &r->deleted) && get_write_ids(rd, r);
}

static bool
parse_kind_fields(const struct object_reader *rd, struct resource *r)
{
    switch (r->kind) {
    case RESOURCE_SERVICE:
        return parse_service(rd, &r->service);
    case RESOURCE_TARGET:
        return parse_target(rd, &r->target);
    case RESOURCE_HOST:
        return parse_host(rd, &r->host);
    case RESOURCE_KEY_RING:
        return parse_key_ring(rd, &r->key_ring);
    default:
        return reject_field(rd, "kind", "unknown");
    }
}

/* A required field of each kind. A tombstone that has this field has all the
 * fields of its kind; one without it has none of them. */
static const char *const kind_marker_fields[RESOURCE_KIND_COUNT] = {
    [RESOURCE_SERVICE] = "port",
    [RESOURCE_TARGET] = "address",
    [RESOURCE_HOST] = "address",
    [RESOURCE_KEY_RING] = "keys",
};

static bool
parse_object(const struct object_reader *rd, struct resource *r)
{
    if (!json_is_object(rd->object)) {
        return reject_field(rd, "", "not a JSON object");
    }
    if (!check_member_names(rd, allowed_members[r->kind]) ||
        !check_expected(rd, "kind", resource_kind_name(r->kind)) ||
        !check_expected(rd, "id", r->id) || !parse_metadata(rd, r)) {
        return false;
    }
    if (r->deleted &&
        json_object_get(rd->object, kind_marker_fields[r->kind]) == NULL) {
        return true;
    }
    return parse_kind_fields(rd, r);
}

bool
resource_json_parse(struct resource *r, enum resource_json_form form,
                    const char *text, size_t len, struct status *st)
{
    json_error_t error;
    json_t *json = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);
    struct object_reader rd = {
        .object = json, .path = "", .form = form, .st = st};
    bool valid;

    if (json == NULL) {
        status_set(st, ERR_INVALID, "line %d: %s", error.line, error.text);
        return false;
    }
    valid = parse_object(&rd, r);
    json_decref(json);
    if (valid) {
        status_set_ok(st);
    }
    return valid;
}

static void
set_address(json_t *json, uint32_t addr)
{
    char text[ADDRESS_TEXT_SIZE];

    address_format(addr, text);
    json_object_set_new(json, "address", json_string(text));
}

static void
build_service(json_t *json, const struct service *s)
{
    json_t *domains = json_array();

    for (size_t i = 0; i < s->domain_count; i++) {
        json_array_append_new(domains, json_string(s->domains[i]));
    }
    json_object_set_new(json, "tenant", json_string(s->tenant));
    json_object_set_new(json, "port", json_integer(s->port));
    json_object_set_new(json, "domains", domains);
    json_object_set_new(json, "deadline_ms", json_integer(s->deadline_ms));
    json_object_set_new(json, "body_limit", json_integer(s->body_limit));
    json_object_set_new(json, "tenant_in_path",
                        json_boolean(s->tenant_in_path));
}

static void
build_target(json_t *json, const struct target *t)
{
    json_object_set_new(json, "service", json_string(t->service));
    json_object_set_new(json, "domain", json_string(t->domain));
    set_address(json, t->addr);
    json_object_set_new(json, "port", json_integer(t->port));
    json_object_set_new(json, "slots", json_integer(t->slots));
    json_object_set_new(json, "connections", json_integer(t->connections));
    json_object_set_new(json, "state",
                        json_string(admin_state_name(t->state)));
}

static void
build_host(json_t *json, const struct host *h)
{
    json_object_set_new(json, "domain", json_string(h->domain));
    set_address(json, h->addr);
    json_object_set_new(json, "state",
                        json_string(admin_state_name(h->state)));
}

static void
build_key_ring(json_t *json, const struct key_ring *ring,
               enum resource_json_form form)
{
    json_t *keys = json_array();
    char secret[SECRET_BASE64_SIZE];

    for (size_t i = 0; i < ring->count; i++) {
        json_t *key = json_pack("{s:i}", "id", (int)ring->keys[i].id);

        if (form == RESOURCE_JSON_STORE) {
            sodium_bin2base64(secret, sizeof(secret), ring->keys[i].secret,
                              KEY_SECRET_SIZE, sodium_base64_VARIANT_ORIGINAL);
            json_object_set_new(key, "secret", json_string(secret));
        }
        json_array_append_new(keys, key);
    }
    json_object_set_new(json, "keys", keys);
}

static void
build_kind_fields(json_t *json, const struct resource *r,
                  enum resource_json_form form)
{
    switch (r->kind) {
    case RESOURCE_SERVICE:
        build_service(json, &r->service);
        break;
    case RESOURCE_TARGET:
        build_target(json, &r->target);
        break;
    case RESOURCE_HOST:
        build_host(json, &r->host);
        break;
    default:
        build_key_ring(json, &r->key_ring, form);
        break;
    }
}

static void
build_write_ids(json_t *json, const struct resource *r)
{
    json_t *writes = json_array();

    for (size_t i = 0; i < r->write_count; i++) {
        json_array_append_new(writes, json_string(r->writes[i]));
    }
    json_object_set_new(json, "writes", writes);
}

/* Returns true when a tombstone is stored with the fields of its kind. While a
 * balancer may still use the address of a deleted target, no other service may
 * have it, so the store must keep the address. A key ring's tombstone has no
 * fields, because secrets must not be kept. */
static bool
tombstone_has_fields(const struct resource *r)
{
    switch (r->kind) {
    case RESOURCE_SERVICE:
        return r->service.port != 0;
    case RESOURCE_TARGET:
        return r->target.addr != 0;
    case RESOURCE_HOST:
        return r->host.addr != 0;
    default:
        return false;
    }
}

char *
resource_json_build(const struct resource *r, enum resource_json_form form)
{
    json_t *json =
        json_pack("{s:s, s:s, s:I}", "kind", resource_kind_name(r->kind), "id",
                  r->id, "version", (json_int_t)r->version);
    char *text;

    if (json == NULL) {
        return NULL;
    }
    if (form == RESOURCE_JSON_STORE) {
        build_write_ids(json, r);
        json_object_set_new(json, "deleted", json_boolean(r->deleted));
    }
    if (!r->deleted ||
        (form == RESOURCE_JSON_STORE && tombstone_has_fields(r))) {
        build_kind_fields(json, r, form);
    }
    text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}
