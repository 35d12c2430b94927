#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daemon/api.h"

static json_t *
build_error_json(const struct status *st)
{
    json_t *json = json_pack("{s:s, s:s}", "error", error_kind_name(st->kind),
                             "message", st->message);
    const char *colon = strstr(st->message, ": ");

    if (json != NULL && st->kind == ERR_INVALID && colon != NULL) {
        json_object_set_new(
            json, "field",
            json_stringn(st->message, (size_t)(colon - st->message)));
    }
    return json;
}

/* Releases "json", which may be NULL. */
static char *
dump_and_free(json_t *json)
{
    char *text = json == NULL ? NULL : json_dumps(json, JSON_COMPACT);

    json_decref(json);
    return text;
}

char *
api_error_json(const struct status *st)
{
    return dump_and_free(build_error_json(st));
}

char *
api_error_json_with_version(const struct status *st, uint64_t version)
{
    json_t *json = build_error_json(st);

    if (json != NULL) {
        json_object_set_new(json, "version",
                            json_integer((json_int_t)version));
    }
    return dump_and_free(json);
}

void
api_etag_format(uint64_t version, char out[API_ETAG_SIZE])
{
    snprintf(out, API_ETAG_SIZE, "\"%" PRIu64 "\"", version);
}

bool
api_etag_parse(const char *text, uint64_t *version)
{
    char *end;

    if (text[0] != '"' || text[1] < '0' || text[1] > '9') {
        return false;
    }
    *version = strtoull(text + 1, &end, 10);
    return strcmp(end, "\"") == 0;
}
