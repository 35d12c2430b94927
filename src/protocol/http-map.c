#include "protocol/http-map.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "protocol/packet.h"

static const struct {
    uint8_t code;
    const char *method;
} methods[] = {
    {CODE_GET, "GET"},       {CODE_FETCH, "GET"},   {CODE_POST, "POST"},
    {CODE_PUT, "PUT"},       {CODE_PATCH, "PATCH"}, {CODE_IPATCH, "PATCH"},
    {CODE_DELETE, "DELETE"},
};

/* RFC 8075 section 7, table 2, in the direction from HTTP to CoAP. */
static const struct {
    int status;
    uint8_t code;
} statuses[] = {
    {201, CODE_CREATED},
    {304, CODE_VALID},
    {400, CODE_BAD_REQUEST},
    {401, CODE_FORBIDDEN}, /* 4.01 would ask the caller for an Echo option */
    {403, CODE_FORBIDDEN},
    {404, CODE_NOT_FOUND},
    {405, CODE_METHOD_NOT_ALLOWED},
    {409, CODE_CONFLICT},
    {412, CODE_PRECONDITION_FAILED},
    {413, CODE_TOO_LARGE},
    {429, CODE_TOO_MANY_REQUESTS},
    {500, CODE_INTERNAL_ERROR},
    {502, CODE_BAD_GATEWAY},
    {503, CODE_UNAVAILABLE},
    {504, CODE_GATEWAY_TIMEOUT},
};

static const struct {
    const char *media_type;
    int format;
} formats[] = {
    {"text/plain", 0},
    {"application/xml", 41},
    {"application/octet-stream", 42},
    {"application/json", 50},
    {"application/cbor", 60},
};

const char *
http_map_method(uint8_t code)
{
    for (size_t i = 0; i < sizeof(methods) / sizeof(*methods); i++) {
        if (methods[i].code == code) {
            return methods[i].method;
        }
    }
    return NULL;
}

static uint8_t
success_code(uint8_t method_code)
{
    switch (method_code) {
    case CODE_GET:
    case CODE_FETCH:
        return CODE_CONTENT;
    case CODE_DELETE:
        return CODE_DELETED;
    default:
        return CODE_CHANGED;
    }
}

uint8_t
http_map_status(int http_status, uint8_t method_code)
{
    for (size_t i = 0; i < sizeof(statuses) / sizeof(*statuses); i++) {
        if (statuses[i].status == http_status) {
            return statuses[i].code;
        }
    }
    if (http_status >= 200 && http_status < 300) {
        return success_code(method_code);
    }
    if (http_status >= 400 && http_status < 500) {
        return CODE_BAD_REQUEST;
    }
    return CODE_BAD_GATEWAY;
}

int
http_map_content_format(const char *media_type)
{
    size_t len = strcspn(media_type, "; ");

    for (size_t i = 0; i < sizeof(formats) / sizeof(*formats); i++) {
        if (strlen(formats[i].media_type) == len &&
            strncasecmp(formats[i].media_type, media_type, len) == 0) {
            return formats[i].format;
        }
    }
    return -1;
}

bool
http_map_parse_content_range(const char *value, struct content_range *range)
{
    char trailing;

    if (sscanf(value, "bytes %" SCNu64 "-%" SCNu64 "/%" SCNu64 "%c",
               &range->first, &range->last, &range->total, &trailing) != 3) {
        return false;
    }
    return range->first <= range->last && range->last < range->total;
}

bool
http_map_parse_load(const char *value, struct load_report *load)
{
    char trailing;

    return sscanf(value, "%" SCNu32 "/%" SCNu32 "/%" SCNu32 "%c",
                  &load->running, &load->slots, &load->queued, &trailing) == 3;
}

void
http_map_etag(const char *etag, const uint8_t *body, size_t body_len,
              uint8_t out[8])
{
    XXH64_canonical_t hash;

    if (etag != NULL) {
        XXH64_canonicalFromHash(&hash, XXH64(etag, strlen(etag), 0));
    }
    else {
        XXH64_canonicalFromHash(&hash, XXH64(body, body_len, 0));
    }
    memcpy(out, hash.digest, sizeof(hash.digest));
}
