#include "standin-common.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sodium.h>

/* Maximum size of a request body, bytes. */
#define BODY_SIZE_MAX (8 * 1024 * 1024)

bool
standin_endpoint_parse(const char *text, struct standin_endpoint *ep)
{
    const char *colon = strchr(text, ':');
    struct in_addr addr;
    size_t len;
    long port;

    if (colon == NULL || (size_t)(colon - text) >= sizeof(ep->address)) {
        return false;
    }
    len = (size_t)(colon - text);
    memcpy(ep->address, text, len);
    ep->address[len] = '\0';
    port = strtol(colon + 1, NULL, 10);
    if (port < 1 || port > UINT16_MAX) {
        return false;
    }
    ep->port = (uint16_t)port;
    return inet_pton(AF_INET, ep->address, &addr) == 1;
}

void
standin_endpoint_sockaddr(const struct standin_endpoint *ep,
                          struct sockaddr_in *sin)
{
    memset(sin, 0, sizeof(*sin));
    sin->sin_family = AF_INET;
    sin->sin_port = htons(ep->port);
    inet_pton(AF_INET, ep->address, &sin->sin_addr);
}

static void
on_stop_signal(evutil_socket_t signal_number, short what, void *ctx)
{
    event_base_loopbreak(ctx);
}

struct event_base *
standin_base_new(void)
{
    static const int stop_signals[] = {SIGTERM, SIGINT};
    struct event_base *base = event_base_new();

    if (base == NULL || sodium_init() < 0) {
        fprintf(stderr, "cannot set up the event loop\n");
        exit(EXIT_FAILURE);
    }
    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < sizeof(stop_signals) / sizeof(*stop_signals); i++) {
        event_add(evsignal_new(base, stop_signals[i], on_stop_signal, base),
                  NULL);
    }
    return base;
}

struct evhttp *
standin_http_new(struct event_base *base, const char *endpoint,
                 standin_request_cb cb, void *ctx)
{
    struct standin_endpoint ep;
    struct evhttp *http = evhttp_new(base);

    if (!standin_endpoint_parse(endpoint, &ep)) {
        fprintf(stderr, "%s: not an IPv4 address with a port (a.b.c.d:port)\n",
                endpoint);
        exit(EXIT_FAILURE);
    }
    if (http == NULL || evhttp_bind_socket(http, ep.address, ep.port) < 0) {
        fprintf(stderr, "%s: cannot listen: %s\n", endpoint, strerror(errno));
        exit(EXIT_FAILURE);
    }
    evhttp_set_max_body_size(http, BODY_SIZE_MAX);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                         EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
                                         EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    evhttp_set_gencb(http, cb, ctx);
    return http;
}

json_t *
standin_request_json(struct evhttp_request *req)
{
    struct evbuffer *in = evhttp_request_get_input_buffer(req);
    size_t size = evbuffer_get_length(in);

    return json_loadb((const char *)evbuffer_pullup(in, -1), size, 0, NULL);
}

void
standin_reply_json(struct evhttp_request *req, int code, json_t *body)
{
    struct evbuffer *out = evbuffer_new();
    char *text = json_dumps(body, JSON_COMPACT);

    json_decref(body);
    evbuffer_add_printf(out, "%s\n", text);
    free(text);
    evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                      "application/json");
    evhttp_send_reply(req, code, NULL, out);
    evbuffer_free(out);
}

void
standin_execute_command(struct evhttp_request *req, standin_command_cb member)
{
    json_t *command = standin_request_json(req);
    const char *name;
    json_t *value;
    bool ok = json_is_object(command);

    json_object_foreach(command, name, value)
    {
        ok = member(command, name, value) && ok;
    }
    json_decref(command);
    if (!ok) {
        evhttp_send_error(req, HTTP_BADREQUEST, "invalid control command");
        return;
    }
    standin_reply_json(req, HTTP_OK, json_pack("{s:b}", "ok", 1));
}

/* Only shuts the socket down. The event loop then sees the connection as
 * closed by the client and frees it when no code uses it any more. */
void
standin_request_abort(struct evhttp_request *req)
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);
    struct bufferevent *bev;

    if (conn == NULL) {
        evhttp_send_reply_end(req);
        return;
    }
    bev = evhttp_connection_get_bufferevent(conn);
    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
    bufferevent_enable(bev, EV_READ);
}

/* evhttp stops reading while a request is handled, so reading is enabled again
 * to detect that the client closes the connection. */
void
standin_request_watch_close(struct evhttp_request *req,
                            void (*cb)(struct evhttp_connection *, void *),
                            void *ctx)
{
    struct evhttp_connection *conn = evhttp_request_get_connection(req);

    evhttp_connection_set_closecb(conn, cb, ctx);
    bufferevent_enable(evhttp_connection_get_bufferevent(conn), EV_READ);
}

uint64_t
standin_random_next(struct standin_random *random)
{
    uint64_t z;

    random->state += 0x9e3779b97f4a7c15ULL;
    z = random->state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

double
standin_random_unit(struct standin_random *random)
{
    return (double)(standin_random_next(random) >> 11) / (double)(1ULL << 53);
}

double
standin_random_exp(struct standin_random *random, double mean)
{
    return -mean * log(1.0 - standin_random_unit(random));
}

char *
standin_base64_encode(const void *data, size_t size)
{
    size_t len =
        sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
    char *text = malloc(len);

    sodium_bin2base64(text, len, data, size, sodium_base64_VARIANT_ORIGINAL);
    return text;
}

void *
standin_base64_decode(const char *text, size_t *size)
{
    size_t len = strlen(text);
    unsigned char *data = malloc(len + 1);

    if (sodium_base642bin(data, len, text, len, NULL, size, NULL,
                          sodium_base64_VARIANT_ORIGINAL) < 0) {
        free(data);
        return NULL;
    }
    data[*size] = '\0';
    return data;
}
