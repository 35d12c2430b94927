#include <arpa/inet.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <zmq.h>

#include "daemon/view-task.h"

#define LOOPBACK 0x7f000001U

/* Listens at a free port of the loopback address, which it returns. */
static int
listen_at_free_port(uint16_t *port)
{
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(LOOPBACK)};
    socklen_t size = sizeof(addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    assert_true(fd >= 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&addr, size), 0);
    assert_int_equal(listen(fd, 1), 0);
    assert_int_equal(getsockname(fd, (struct sockaddr *)&addr, &size), 0);
    *port = ntohs(addr.sin_port);
    return fd;
}

/* Guards against a crash where another program has the internal port: the
 * start fails with an error that names it. */
static void
test_internal_port_is_taken(void **state)
{
    struct forward_settings settings = {.host = "host-1", .domain = "a"};
    const struct directory directory = {.dialect =
                                            &store_dialect_etcd_gateway};
    const struct view_task_callbacks cb = {.ctx = NULL};
    struct own_delay own_delay = {0};
    struct event_base *base = event_base_new();
    void *zmq_ctx = zmq_ctx_new();
    struct status st;
    int fd = listen_at_free_port(&settings.gossip.port);

    settings.gossip.addr = LOOPBACK;
    settings.gossip_public = settings.gossip;
    settings.store = (struct endpoint){LOOPBACK, 1};
    assert_null(view_task_new(zmq_ctx, base, &settings, &directory, &own_delay,
                              &cb, &st));
    assert_int_not_equal(st.kind, ERR_NONE);
    assert_non_null(strstr(st.message, "in use"));
    close(fd);
    zmq_ctx_term(zmq_ctx);
    event_base_free(base);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_internal_port_is_taken),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
