#include "transport/reach-check.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOG_MODULE "reach"
#include "base/clock.h"
#include "base/log.h"

/* Attempts of a check, since one packet may be lost, and the time for each. It
 * exceeds the round trip between the hosts of a region many times. */
#define ATTEMPTS 2
#define ATTEMPT_TIMEOUT_US (60 * USEC_PER_MSEC)

struct reach_check {
    struct event_base *base;
    struct sockaddr_in to;
    struct event *connected[ATTEMPTS]; /* NULL: not started, or ended */
    unsigned started;                  /* attempts */
    /* Ends the time of an attempt, or reports the result on the next iteration
     * of the loop. */
    struct event *timer;
    enum reach_result result;
    reach_check_cb cb;
    void *ctx;
};

static const char *const result_names[] = {
    [REACH_ANSWERED] = "answered",
    [REACH_REFUSED] = "refused",
    [REACH_NO_ANSWER] = "no_answer",
    [REACH_NOT_CHECKED] = "not_checked",
};

const char *
reach_result_name(enum reach_result result)
{
    return result_names[result];
}

static void
end_attempts(struct reach_check *check)
{
    for (unsigned i = 0; i < ATTEMPTS; i++) {
        if (check->connected[i] != NULL) {
            close(event_get_fd(check->connected[i]));
            event_free(check->connected[i]);
            check->connected[i] = NULL;
        }
    }
}

static void
finish(struct reach_check *check, enum reach_result result)
{
    end_attempts(check);
    check->started = ATTEMPTS;
    check->result = result;
    event_del(check->timer);
    event_active(check->timer, EV_TIMEOUT, 0);
}

/* Finishes a check that this host cannot carry out. */
static void
finish_unchecked(struct reach_check *check, const char *step, int error)
{
    LOG_WARN("cannot check whether a host answers: %s: %s", step,
             strerror(error));
    finish(check, REACH_NOT_CHECKED);
}

/* An error of a connection other than a refusal may be one of the way, so
 * that the next attempt or the timeout decides. */
static void
on_connected(evutil_socket_t fd, short what, void *arg)
{
    struct reach_check *check = arg;
    int error = 0;
    socklen_t size = sizeof(error);

    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) < 0) {
        finish_unchecked(check, "getsockopt", errno);
    }
    else if (error == 0) {
        finish(check, REACH_ANSWERED);
    }
    else if (error == ECONNREFUSED) {
        finish(check, REACH_REFUSED);
    }
}

static void
start_attempt(struct reach_check *check)
{
    const struct timeval timeout = {.tv_usec = ATTEMPT_TIMEOUT_US};
    /* A closed connection leaves nothing behind on either host. */
    const struct linger no_linger = {.l_onoff = 1, .l_linger = 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    unsigned index = check->started;

    check->started++;
    if (fd < 0) {
        finish_unchecked(check, "socket", errno);
        return;
    }
    (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
    if (connect(fd, (const struct sockaddr *)&check->to, sizeof(check->to)) <
            0 &&
        errno != EINPROGRESS) {
        int error = errno;

        close(fd);
        if (error == ECONNREFUSED) {
            finish(check, REACH_REFUSED);
        }
        else {
            finish_unchecked(check, "connect", error);
        }
        return;
    }
    check->connected[index] =
        event_new(check->base, fd, EV_WRITE, on_connected, check);
    if (check->connected[index] == NULL) {
        close(fd);
        finish_unchecked(check, "event_new", ENOMEM);
        return;
    }
    event_add(check->connected[index], NULL);
    event_add(check->timer, &timeout);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    struct reach_check *check = arg;

    if (check->result != REACH_NO_ANSWER) {
        check->cb(check->ctx, check->result);
        return;
    }
    if (check->started < ATTEMPTS) {
        start_attempt(check);
        return;
    }
    end_attempts(check);
    check->cb(check->ctx, REACH_NO_ANSWER);
}

struct reach_check *
reach_check_new(struct event_base *base, const struct endpoint *to,
                reach_check_cb cb, void *ctx)
{
    struct reach_check *check = calloc(1, sizeof(*check));

    if (check == NULL) {
        return NULL;
    }
    check->base = base;
    check->to = (struct sockaddr_in){.sin_family = AF_INET,
                                     .sin_port = htons(to->port),
                                     .sin_addr.s_addr = htonl(to->addr)};
    check->result = REACH_NO_ANSWER;
    check->cb = cb;
    check->ctx = ctx;
    check->timer = event_new(base, -1, 0, on_timer, check);
    if (check->timer == NULL) {
        free(check);
        return NULL;
    }
    start_attempt(check);
    return check;
}

void
reach_check_destroy(struct reach_check *check)
{
    if (check == NULL) {
        return;
    }
    end_attempts(check);
    event_free(check->timer);
    free(check);
}
