#pragma once

#include "client/call.h"
#include "client/client.h"

/* A flow: the requests of one caller to one service. Requests that may not
 * be repeated go under the flow's token (an Echo value, RFC 9175) with a
 * request id that rises (Request-Tag), which the flow's home delivers at most
 * once. The token is obtained when the first of them is sent, and given up
 * when its home is lost, takes no new work, or has long been idle. What was
 * sent under one token is never sent under another, unless it was refused as
 * not run. */
struct client_flow;

/* Requests under one token at a time; others wait. So many at most have an
 * unknown outcome when a home dies. */
#define CLIENT_FLOW_IN_FLIGHT_MAX 8

struct client_flow *client_flow_new(struct client *client);
/* Cancels the calls that are left. */
void client_flow_destroy(struct client_flow *flow);

/* Starts a call. Returns NULL, and "cb" is not called, when memory is short
 * or path and query do not fit a request; else "cb" is called exactly once,
 * never before this returns. */
struct call *client_flow_call(struct client_flow *flow,
                              const struct call_request *request, call_cb cb,
                              void *ctx);

/* For requests that need no home: adds the Echo received last, which lets a
 * server send an answer much longer than the request (RFC 9175 section 2.4).
 * A challenge brings a new one; forget it when a server stays silent. */
void client_flow_add_address_echo(const struct client_flow *flow,
                                  struct packet *request);
void client_flow_store_address_echo(struct client_flow *flow,
                                    const struct packet *answer);
void client_flow_forget_address_echo(struct client_flow *flow);

struct client *client_flow_client(const struct client_flow *flow);

/* Tokens obtained so far. */
unsigned client_flow_tokens(const struct client_flow *flow);
