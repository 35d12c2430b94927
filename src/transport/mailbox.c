#include "transport/mailbox.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "transport/zmq-watch.h"

/* Maximum length of the send queue and of the receive queue of each end. */
#define MAILBOX_QUEUE_MESSAGES_MAX 65536

struct mailbox {
    void *socket;
    struct zmq_watch *watch;
    mailbox_cb cb;
    void *ctx;
};

/* Receives all queued messages; transport/zmq-watch.h says why none may be
 * left over. A message that is too short to hold a type is dropped. */
static void
receive_all(void *ctx)
{
    struct mailbox *mb = ctx;

    for (;;) {
        zmq_msg_t msg;
        uint32_t type;

        zmq_msg_init(&msg);
        if (zmq_msg_recv(&msg, mb->socket, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&msg);
            return;
        }
        if (zmq_msg_size(&msg) >= sizeof(type)) {
            const char *data = zmq_msg_data(&msg);

            memcpy(&type, data, sizeof(type));
            mb->cb(mb->ctx, type, data + sizeof(type),
                   zmq_msg_size(&msg) - sizeof(type));
        }
        zmq_msg_close(&msg);
    }
}

static int
open_socket(struct mailbox *mb, void *zmq_ctx, const char *name, bool bind)
{
    char endpoint[64];
    int queue_max = MAILBOX_QUEUE_MESSAGES_MAX;
    int linger = 0;

    mb->socket = zmq_socket(zmq_ctx, ZMQ_PAIR);
    if (mb->socket == NULL) {
        return -1;
    }
    zmq_setsockopt(mb->socket, ZMQ_SNDHWM, &queue_max, sizeof(queue_max));
    zmq_setsockopt(mb->socket, ZMQ_RCVHWM, &queue_max, sizeof(queue_max));
    zmq_setsockopt(mb->socket, ZMQ_LINGER, &linger, sizeof(linger));
    snprintf(endpoint, sizeof(endpoint), "inproc://%s", name);
    if (bind) {
        return zmq_bind(mb->socket, endpoint);
    }
    return zmq_connect(mb->socket, endpoint);
}

struct mailbox *
mailbox_new(void *zmq_ctx, struct event_base *base, const char *name,
            bool bind, mailbox_cb cb, void *ctx, struct status *st)
{
    struct mailbox *mb = calloc(1, sizeof(*mb));

    if (mb == NULL) {
        status_set(st, ERR_NO_MEMORY, "mailbox %s: out of memory", name);
        return NULL;
    }
    mb->cb = cb;
    mb->ctx = ctx;
    if (open_socket(mb, zmq_ctx, name, bind) < 0) {
        status_set(st, ERR_SYSTEM, "mailbox %s: cannot open its socket: %s",
                   name, zmq_strerror(errno));
        mailbox_destroy(mb);
        return NULL;
    }
    mb->watch = zmq_watch_new(base, mb->socket, receive_all, mb);
    if (mb->watch == NULL) {
        status_set(st, ERR_NO_MEMORY, "mailbox %s: out of memory", name);
        mailbox_destroy(mb);
        return NULL;
    }
    return mb;
}

void
mailbox_drain(struct mailbox *mb, mailbox_cb cb, void *ctx)
{
    if (mb == NULL) {
        return;
    }
    mb->cb = cb;
    mb->ctx = ctx;
    receive_all(mb);
}

void
mailbox_destroy(struct mailbox *mb)
{
    if (mb == NULL) {
        return;
    }
    zmq_watch_destroy(mb->watch);
    if (mb->socket != NULL) {
        zmq_close(mb->socket);
    }
    free(mb);
}

bool
mailbox_send(struct mailbox *mb, uint32_t type, const void *data, size_t size)
{
    zmq_msg_t msg;
    char *out;

    if (zmq_msg_init_size(&msg, sizeof(type) + size) < 0) {
        return false;
    }
    out = zmq_msg_data(&msg);
    memcpy(out, &type, sizeof(type));
    if (size > 0) {
        memcpy(out + sizeof(type), data, size);
    }
    if (zmq_msg_send(&msg, mb->socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&msg);
        return false;
    }
    zmq_watch_schedule_check(mb->watch);
    return true;
}
