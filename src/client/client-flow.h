#pragma once

#include "client/call.h"
#include "client/client.h"

/* A flow is the sequence of requests of one caller to one service. The
 * balancer that issued the flow's token (an Echo value, RFC 9175) is the home
 * of the flow. Requests other than GET and FETCH are sent under the token,
 * with an increasing request id (Request-Tag), and the home delivers each id
 * at most once. The flow obtains a token when the first such request is sent.
 * It drops the token when the home is lost or refuses new requests, and when
 * the token is too old or was unused for too long. A request that may not be
 * repeated and was sent under one token is never sent under another one,
 * unless an answer says that it was not run. */
struct client_flow;

/* Maximum number of requests in progress under one token; further requests are
 * queued. This also limits how many requests have an unknown outcome when the
 * home dies. */
#define CLIENT_FLOW_IN_FLIGHT_MAX 8

/* The client must outlive the flow. Returns NULL when out of memory. */
struct client_flow *client_flow_new(struct client *client);
/* Finishes the remaining calls with CALL_CANCELLED and frees the flow. */
void client_flow_destroy(struct client_flow *flow);

/* Starts a call, which the flow owns. Returns NULL without calling "cb" when
 * out of memory or when path and query do not fit a request. Otherwise "cb" is
 * called exactly once, after this function has returned. */
struct call *client_flow_call(struct client_flow *flow,
                              const struct call_request *request, call_cb cb,
                              void *ctx);

/* Adds the Echo value received last to a request that needs no token. It
 * proves that the caller receives packets at its source address, so the server
 * may send an answer much longer than the request (RFC 9175 section 2.4). Adds
 * nothing when no value is stored or the value is too old. */
void client_flow_add_address_echo(const struct client_flow *flow,
                                  struct packet *request);
/* Stores the Echo value of an answer, such as a challenge. A flow without a
 * token also uses it as its token. */
void client_flow_store_address_echo(struct client_flow *flow,
                                    const struct packet *answer);
/* Discards the stored Echo value, for use when a server does not answer. */
void client_flow_forget_address_echo(struct client_flow *flow);

struct client *client_flow_client(const struct client_flow *flow);

/* Returns the number of tokens that the flow has received. */
unsigned client_flow_tokens(const struct client_flow *flow);
