#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/log.h"
#include "base/status.h"

/* Settings of one balancer, read from a YAML file. The whole file is checked
 * before any socket is opened. */

struct settings_endpoint {
    char *address; /* dotted IPv4 */
    uint16_t port;
};

/* Nested structures and fields are named after the keys of the file. All texts
 * and arrays belong to the structure. */
struct settings {
    struct {
        char *id;      /* identifier of this balancer, see identifier.h */
        char *domain;  /* failure domain that it is in, an identifier too */
        char *address; /* dotted IPv4 that all sockets are bound to */
    } host;
    struct {
        uint16_t relay;  /* UDP, default 7401 */
        uint16_t gossip; /* ZeroMQ over TCP, default 7402 */
        uint16_t api;    /* HTTP, default 7403 */
    } ports;
    /* HTTP endpoints of the platform: key-value store and list of hosts. */
    struct {
        struct settings_endpoint *endpoints; /* at least one */
        unsigned endpoints_count;
    } platform;
    struct settings_endpoint *seeds; /* gossip endpoints of some peers */
    unsigned seeds_count;
    struct {
        char *level;  /* debug, info, warn or error; default info */
        char *format; /* text or json; default text */
    } log;
    /* Maximum values. */
    struct {
        uint32_t flows; /* flows at the same time, default 300000 */
        /* Waiting requests of each class of a service, default 256. */
        uint32_t queue;
        uint32_t answer_bytes; /* size of an answer's body, default 8 MiB */
        /* Duration of a planned stop, default 5 minutes. */
        uint32_t drain_timeout_ms;
    } limits;
};

/* Loads a file, fills in the defaults and checks the values. Returns NULL when
 * that fails, with "st" set to ERR_SETTINGS or ERR_NO_MEMORY. Its message
 * names the file, the line and the key path where they are known, and the
 * reason. The caller frees the result with settings_destroy(). */
struct settings *settings_load(const char *path, struct status *st);
/* Accepts NULL. */
void settings_destroy(struct settings *settings);
