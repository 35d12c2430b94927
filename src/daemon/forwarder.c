#include "daemon/forwarder.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <event2/event.h>
#include <zmq.h>

#define LOG_MODULE "forwarder"
#include "base/address.h"
#include "base/clock.h"
#include "base/log.h"
#include "coordination/own-delay.h"
#include "daemon/forward-metrics.h"
#include "daemon/forward-task.h"
#include "transport/http-server.h"

/* Time for which a stopping forwarder continues to forward packets. The
 * routers poll readiness twice a second and remove a balancer after two
 * failures; packets sent before that must still arrive. */
#define STOP_DELAY_US (1800 * USEC_PER_MSEC)
/* Maximum share of the stop timeout that STOP_DELAY_US may use. */
#define STOP_GRACE_SHARE 0.6
/* Interval between two checks of the settings file, which may change without a
 * SIGHUP. */
#define SETTINGS_CHECK_S 2
#define HTTP_BODY_MAX 1024    /* bytes */
#define HTTP_HEADERS_MAX 8192 /* bytes */
#define HTTP_TIMEOUT_S 10     /* an idle connection is closed after this */

struct forwarder {
    const struct forwarder_adapter *adapter;
    struct forward_settings settings;
    struct timespec settings_mtime; /* modification time when last read */
    struct event_base *base;
    void *zmq_ctx;
    struct own_delay own_delay;
    struct view_task *view;
    struct forward_task *forward;
    struct http_server *http;
    struct event *term;
    struct event *interrupt;
    struct event *hangup;
    struct event *settings_check;
    struct event *stopped; /* timer that ends the loop after a planned stop */
    bool ready;            /* a usable view has been received */
    bool stopping;         /* a planned stop has begun */
};

/* Becomes ready with the first view that has routes and targets, and stays
 * ready until the stop: the last view remains in use even when it becomes
 * outdated. */
static void
on_view_changed(void *ctx)
{
    struct forwarder *f = ctx;
    const struct forward_view *view = view_task_view(f->view);

    if (!f->ready && forward_view_usable(view)) {
        f->ready = true;
        if (f->forward != NULL) {
            forward_task_view_ready(f->forward);
        }
        LOG_INFO("ready with %zu routes and %zu targets",
                 forward_view_route_count(view),
                 forward_view_target_count(view));
    }
}

static void
on_unknown_target(void *ctx)
{
    struct forwarder *f = ctx;

    view_task_refresh(f->view);
}

static void
on_reported(void *ctx, uint32_t cookie, unsigned misses, uint64_t sent_at)
{
    struct forwarder *f = ctx;

    if (f->forward != NULL) {
        forward_task_reported(f->forward, cookie, misses, sent_at);
    }
}

static void
on_peer_slow_targets(void *ctx, const struct slow_target_record *records,
                     size_t count, bool relay)
{
    struct forwarder *f = ctx;

    if (f->forward != NULL) {
        forward_task_slow_targets(f->forward, records, count, relay);
    }
}

static void
on_peer_open_flows(void *ctx, const struct open_flow_record *records,
                   size_t count, bool relay)
{
    struct forwarder *f = ctx;

    if (f->forward != NULL) {
        forward_task_open_flows_told(f->forward, records, count, relay);
    }
}

static void
on_own_open_flows(void *ctx, const struct open_flow_record *records,
                  size_t count)
{
    struct forwarder *f = ctx;

    view_task_send_open_flows(f->view, records, count);
}

static void
on_own_slow_targets(void *ctx, const struct slow_target_record *records,
                    size_t count, bool wide)
{
    struct forwarder *f = ctx;

    view_task_send_slow_targets(f->view, records, count, wide);
}

static void
on_domain_peer_changed(void *ctx)
{
    struct forwarder *f = ctx;

    if (f->forward != NULL) {
        forward_task_routers_changed(f->forward);
    }
}

static void
on_target_observed(void *ctx, struct forward_target *target)
{
    struct forwarder *f = ctx;

    view_task_report_target(f->view, target);
}

static uint64_t
on_view_age(void *ctx)
{
    struct forwarder *f = ctx;

    return view_task_age_us(f->view);
}

static double
on_forwarder_count(void *ctx)
{
    struct forwarder *f = ctx;

    return view_task_forwarder_count(f->view);
}

static void
reply_metrics(struct forwarder *f, struct http_exchange *x)
{
    char *text = forward_metrics_text(f->forward, f->view);

    http_exchange_reply(x, text == NULL ? 503 : 200, "text/plain",
                        text == NULL ? "" : text,
                        text == NULL ? 0 : strlen(text));
    free(text);
}

static void
on_http(void *ctx, struct http_exchange *x)
{
    struct forwarder *f = ctx;
    const char *path = http_exchange_path(x);

    if (http_exchange_method(x) != EVHTTP_REQ_GET) {
        http_exchange_reply(x, 405, "text/plain", "", 0);
    }
    else if (strcmp(path, f->adapter->ready_path) == 0) {
        bool ready = f->ready && !f->stopping;

        http_exchange_reply(x, ready ? 200 : 503, "text/plain", "", 0);
    }
    else if (strcmp(path, f->adapter->metrics_path) == 0) {
        reply_metrics(f, x);
    }
    else {
        http_exchange_reply(x, 404, "text/plain", "", 0);
    }
}

static void
record_settings_time(struct forwarder *f)
{
    struct stat info;

    if (stat(f->adapter->settings_path, &info) == 0) {
        f->settings_mtime = info.st_mtim;
    }
}

static bool
load_settings(const struct forwarder_adapter *adapter,
              struct forward_settings *settings, struct status *st)
{
    if (!adapter->load_settings(adapter->settings_path, settings, st)) {
        return false;
    }
    if (adapter->gossip_public != NULL) {
        settings->gossip_public = *adapter->gossip_public;
    }
    return true;
}

/* Reloads the settings file. If it is missing or invalid, the settings in
 * effect are kept. */
static void
reload(struct forwarder *f)
{
    struct forward_settings settings;
    struct status st;

    record_settings_time(f);
    if (!load_settings(f->adapter, &settings, &st)) {
        LOG_WARN("settings file rejected, keeping the settings in effect: %s",
                 st.message);
        return;
    }
    LOG_INFO("settings reloaded");
    f->settings = settings;
    view_task_reload(f->view, &settings);
}

static void
on_hangup(evutil_socket_t fd, short what, void *ctx)
{
    reload(ctx);
}

static void
on_settings_check(evutil_socket_t fd, short what, void *ctx)
{
    struct forwarder *f = ctx;
    struct stat info;

    if (stat(f->adapter->settings_path, &info) == 0 &&
        memcmp(&info.st_mtim, &f->settings_mtime, sizeof(info.st_mtim)) != 0) {
        reload(f);
    }
}

static void
on_stop_finished(evutil_socket_t fd, short what, void *ctx)
{
    struct forwarder *f = ctx;

    event_base_loopbreak(f->base);
}

/* Begins a planned stop: reports not ready at once, but continues to forward
 * packets until the routers have noticed. */
static void
on_stop(evutil_socket_t fd, short what, void *ctx)
{
    struct forwarder *f = ctx;
    uint64_t stop_delay = STOP_DELAY_US;
    uint64_t stop_delay_max =
        (uint64_t)((double)f->settings.stop_timeout_us * STOP_GRACE_SHARE);
    struct timeval delay;

    if (f->stopping) {
        return;
    }
    f->stopping = true;
    stop_delay = stop_delay < stop_delay_max ? stop_delay : stop_delay_max;
    delay.tv_sec = (time_t)(stop_delay / USEC_PER_SEC);
    delay.tv_usec = (suseconds_t)(stop_delay % USEC_PER_SEC);
    LOG_INFO("planned stop begins");
    view_task_leave(f->view);
    forward_task_routers_changed(f->forward);
    event_add(f->stopped, &delay);
}

static bool
open_tasks(struct forwarder *f, struct status *st)
{
    const struct forward_callbacks cb = {.unknown_target = on_unknown_target,
                                         .view_age_us = on_view_age,
                                         .forwarder_count = on_forwarder_count,
                                         .target_observed = on_target_observed,
                                         .slow_targets = on_own_slow_targets,
                                         .open_flows = on_own_open_flows,
                                         .ctx = f};
    const struct view_task_callbacks view_cb = {
        .changed = on_view_changed,
        .reported = on_reported,
        .slow_targets = on_peer_slow_targets,
        .open_flows = on_peer_open_flows,
        .domain_peer_changed = on_domain_peer_changed,
        .ctx = f,
    };
    struct forward_parts parts;
    char address[ADDRESS_TEXT_SIZE];
    const struct http_server_options options = {
        .address = address,
        .port = f->settings.ready.port,
        .body_max = HTTP_BODY_MAX,
        .headers_max = HTTP_HEADERS_MAX,
        .timeout_s = HTTP_TIMEOUT_S,
    };

    address_format(f->settings.ready.addr, address);
    own_delay_init(&f->own_delay, f->settings.link_mbps, VIEW_TASK_TICK_US,
                   clock_monotonic_us());
    f->view =
        view_task_new(f->zmq_ctx, f->base, &f->settings,
                      &f->adapter->directory, &f->own_delay, &view_cb, st);
    if (f->view == NULL) {
        return false;
    }
    parts = (struct forward_parts){
        .view = view_task_view(f->view),
        .own_delay = &f->own_delay,
        .load = view_task_load(f->view),
        .cold_claims = view_task_cold_claims(f->view),
    };
    f->forward = forward_task_new(f->base, &f->settings, f->adapter->format,
                                  &parts, &cb, st);
    if (f->forward == NULL) {
        return false;
    }
    f->http = http_server_new(f->base, &options, on_http, f, st);
    return f->http != NULL;
}

static bool
open_events(struct forwarder *f, struct status *st)
{
    const struct timeval interval = {.tv_sec = SETTINGS_CHECK_S};

    f->term = evsignal_new(f->base, SIGTERM, on_stop, f);
    f->interrupt = evsignal_new(f->base, SIGINT, on_stop, f);
    f->hangup = evsignal_new(f->base, SIGHUP, on_hangup, f);
    f->settings_check =
        event_new(f->base, -1, EV_PERSIST, on_settings_check, f);
    f->stopped = event_new(f->base, -1, 0, on_stop_finished, f);
    if (f->term == NULL || f->interrupt == NULL || f->hangup == NULL ||
        f->settings_check == NULL || f->stopped == NULL) {
        status_set(st, ERR_NO_MEMORY, "forwarder: out of memory");
        return false;
    }
    event_add(f->term, NULL);
    event_add(f->interrupt, NULL);
    event_add(f->hangup, NULL);
    event_add(f->settings_check, &interval);
    return true;
}

static void
free_event(struct event *event)
{
    if (event != NULL) {
        event_free(event);
    }
}

static void
close_all(struct forwarder *f)
{
    http_server_destroy(f->http);
    forward_task_destroy(f->forward);
    view_task_destroy(f->view);
    free_event(f->term);
    free_event(f->interrupt);
    free_event(f->hangup);
    free_event(f->settings_check);
    free_event(f->stopped);
    if (f->base != NULL) {
        event_base_free(f->base);
    }
    if (f->zmq_ctx != NULL) {
        zmq_ctx_term(f->zmq_ctx);
    }
}

static bool
open_all(struct forwarder *f, struct status *st)
{
    signal(SIGPIPE, SIG_IGN);
    f->base = event_base_new();
    f->zmq_ctx = zmq_ctx_new();
    if (f->base == NULL || f->zmq_ctx == NULL) {
        status_set(
            st, ERR_SYSTEM,
            "forwarder: cannot create the event loop or the ZeroMQ context");
        return false;
    }
    return open_tasks(f, st) && open_events(f, st);
}

int
forwarder_run(const struct forwarder_adapter *adapter)
{
    struct forwarder f = {.adapter = adapter};
    struct status st;
    int result = EXIT_FAILURE;

    record_settings_time(&f);
    if (!load_settings(adapter, &f.settings, &st)) {
        fprintf(stderr, "pimentohaven forward: %s\n", st.message);
        return EXIT_FAILURE;
    }
    log_init(LOG_LEVEL_INFO, LOG_FORMAT_JSON);
    log_drop_when_blocked();
    if (open_all(&f, &st)) {
        LOG_INFO("host %s in failure domain %s is up", f.settings.host,
                 f.settings.domain);
        event_base_dispatch(f.base);
        LOG_INFO("stopped");
        result = EXIT_SUCCESS;
    }
    else {
        LOG_ERR("%s", st.message);
    }
    close_all(&f);
    return result;
}
