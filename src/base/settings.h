#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/log.h"
#include "base/status.h"

/* Settings of one balancer, read from a YAML file and checked whole before
 * any socket is opened. */

struct settings_endpoint {
    char *address; /* dotted IPv4 */
    uint16_t port;
};

struct settings {
    struct {
        char *id;
        char *domain;
        char *address; /* dotted IPv4 that all sockets are bound to */
    } host;
    struct {
        uint16_t relay;  /* UDP, default 7401 */
        uint16_t gossip; /* ZeroMQ over TCP, default 7402 */
        uint16_t api;    /* HTTP, default 7403 */
    } ports;
    struct {
        struct settings_endpoint *endpoints;
        unsigned endpoints_count;
    } platform;
    struct settings_endpoint *seeds; /* gossip addresses of some peers */
    unsigned seeds_count;
    struct {
        char *level;  /* debug, info, warn, error */
        char *format; /* text, json */
    } log;
    struct {
        uint32_t flows;            /* flow slots, default 300000 */
        uint32_t queue;            /* requests waiting per class */
        uint32_t answer_bytes;     /* largest answer body, bytes */
        uint32_t drain_timeout_ms; /* planned stop, at most */
    } limits;
};

/* Loads and checks a file. On failure returns NULL with a message that names
 * file, line where known, key path and reason. */
struct settings *settings_load(const char *path, struct status *st);
void settings_destroy(struct settings *settings);
