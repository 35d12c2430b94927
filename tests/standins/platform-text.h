#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/* Writes settings files, and builds the configuration and the target entries
 * that the platform and its operator provide, so that test programs need not
 * contain the platform's own names. */

#define PLATFORM_TEXT_SETTINGS_VARIABLE "PIMENTOHAVEN_BOOT"
#define PLATFORM_TEXT_READY_PATH "/api/readiness"
#define PLATFORM_TEXT_CONFIG_KEY "op/config"

/* Contents of a host's settings file. Endpoints are "a.b.c.d:port". */
struct platform_text_host {
    const char *id;
    const char *domain;           /* failure domain */
    const char *packets_endpoint; /* endpoint that receives flow packets */
    const char *ready_endpoint;   /* endpoint of the readiness check */
    const char *store_endpoint;   /* endpoint of the platform's store */
    const char *const *seeds;     /* gossip endpoints of other hosts */
    size_t seed_count;
    uint16_t gossip_port; /* the settings file also has the port after it */
    unsigned config_apply_max_ms; /* maximum time to apply a configuration */
    unsigned drain_max_ms;        /* maximum time to drain */
    unsigned stop_timeout_s;      /* maximum time of a planned stop */
    unsigned flow_max_s;          /* maximum lifetime of a flow */
};

/* Contents of a target's entry in the store. */
struct platform_text_target {
    const char *service;
    const char *endpoint; /* "a.b.c.d:port" */
    const char *domain;
    unsigned slots;
    bool draining;
    unsigned sequence; /* number of this write of the target */
};

/* Writes a settings file. Returns false if it cannot be written. */
bool platform_text_write_settings(const char *path,
                                  const struct platform_text_host *host);
/* Each returns a new JSON object that the caller owns. platform_text_config()
 * takes ownership of the array "routes". */
json_t *platform_text_route(const char *host, uint16_t port,
                            const char *service);
json_t *platform_text_config(unsigned version, json_t *routes);
json_t *platform_text_target(const struct platform_text_target *target);
/* The store keys of a target's entry, and of the order to empty a failure
 * domain; the caller frees them with g_free(). */
char *platform_text_target_key(const char *id);
char *platform_text_order_key(const char *domain);
