#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/* What the users' platform and its operator write: settings files, the
 * configuration, targets' entries. The only place of the tests' C programs
 * that has its names. */

#define PLATFORM_TEXT_SETTINGS_VARIABLE "PIMENTOHAVEN_BOOT"
#define PLATFORM_TEXT_READY_PATH "/api/readiness"
#define PLATFORM_TEXT_CONFIG_KEY "op/config"

/* Of a host's settings file. Endpoints are "a.b.c.d:port". */
struct platform_text_host {
    const char *id;
    const char *domain;
    const char *packets;
    const char *ready;
    const char *store;
    const char *const *seeds;
    size_t seed_count;
    uint16_t gossip_port;
    unsigned change_bound_ms;
    unsigned drain_bound_ms;
    unsigned grace_s;
    unsigned flow_max_s;
};

/* Of a target's entry. */
struct platform_text_target {
    const char *service;
    const char *endpoint;
    const char *domain;
    unsigned slots;
    bool draining;
};

/* Returns false when the file cannot be written. */
bool platform_text_write_settings(const char *path,
                                  const struct platform_text_host *host);
/* Each returns a new object. "routes" is taken. */
json_t *platform_text_route(const char *host, uint16_t port,
                            const char *service);
json_t *platform_text_config(unsigned version, json_t *routes);
json_t *platform_text_target(const struct platform_text_target *target);
/* The key of a target's entry; the caller frees it with g_free(). */
char *platform_text_target_key(const char *id);
