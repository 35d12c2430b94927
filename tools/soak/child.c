#include "child.h"

#include <dirent.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "platform-text.h"

/* The users' limits of a balancer: memory of all control, and descriptors of
 * the smallest hosts less those kept for files. */
#define MEMORY_MAX_KB (64 * 1024)
#define DESCRIPTORS_MAX 3900
/* Log lines of each kind have budgets a second (daemon/forward-log.c), 190 in
 * all, and changes of belief come with faults; a line has some 200 bytes. */
#define LOG_BYTES_A_SECOND (64 * 1024)

static void
on_readable(struct bufferevent *bev, void *ctx)
{
    struct child *child = ctx;
    struct evbuffer *input = bufferevent_get_input(bev);
    char *line;

    while ((line = evbuffer_readln(input, NULL, EVBUFFER_EOL_LF)) != NULL) {
        child->on_line(child, line);
        free(line);
    }
}

static void
on_event(struct bufferevent *bev, short what, void *ctx)
{
    struct child *child = ctx;

    bufferevent_free(bev);
    child->lines = NULL;
}

static void
read_lines(struct child *child, int fd)
{
    evutil_make_socket_nonblocking(fd);
    child->lines =
        bufferevent_socket_new(child->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(child->lines, on_readable, NULL, on_event, child);
    bufferevent_enable(child->lines, EV_READ);
}

static int
open_output(struct soak *soak, struct child *child, int pipes[2])
{
    char path[SOAK_PATH + 64];

    if (child->on_line != NULL) {
        if (pipe2(pipes, O_CLOEXEC) < 0) {
            perror("pipe");
            exit(2);
        }
        return pipes[1];
    }
    snprintf(path, sizeof(path), "%s/%s.log", soak->work, child->name);
    return open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
}

void
child_start(struct soak *soak, struct child *child, char **argv,
            const char *settings)
{
    int pipes[2] = {-1, -1};
    int output = open_output(soak, child, pipes);
    char **env = g_get_environ();
    GError *error = NULL;

    if (settings != NULL) {
        env = g_environ_setenv(env, PLATFORM_TEXT_SETTINGS_VARIABLE, settings,
                               TRUE);
    }
    child->soak = soak;
    child->stopping = false;
    child->stop_at_ms = 0;
    if (!g_spawn_async_with_fds(NULL, argv, env, G_SPAWN_DO_NOT_REAP_CHILD,
                                NULL, NULL, &child->pid, -1, output, output,
                                &error)) {
        fprintf(stderr, "soak: %s\n", error->message);
        exit(2);
    }
    g_strfreev(env);
    close(output);
    g_ptr_array_add(soak->children, child);
    if (child->on_line != NULL) {
        read_lines(child, pipes[0]);
    }
    soak_note(soak, "%s starts, process %d", child->name, (int)child->pid);
}

void
child_signal(const struct child *child, int signal)
{
    if (child->pid > 0) {
        kill(child->pid, signal);
    }
}

void
child_stop(struct child *child)
{
    child->stopping = true;
    child->stop_at_ms = soak_now_ms();
    child_signal(child, SIGTERM);
    soak_note(child->soak, "%s is told to stop", child->name);
}

void
child_kill(struct child *child)
{
    child->stopping = true;
    child->stop_at_ms = 0;
    child_signal(child, SIGKILL);
    soak_note(child->soak, "%s is killed", child->name);
}

static void
check_end(struct soak *soak, const struct child *child, int status)
{
    uint64_t took = soak_now_ms() - child->stop_at_ms;
    char text[SOAK_TEXT];

    if (!child->stopping) {
        snprintf(text, sizeof(text), "%s has ended, status 0x%x", child->name,
                 (unsigned)status);
        checker_report(soak->checker, PROMISE_ALIVE, text, child->name);
        return;
    }
    if (child->stop_at_ms != 0 &&
        (took > GRACE_S * 1000 + SLACK_MS || status != 0)) {
        snprintf(text, sizeof(text), "%s took %lu ms to stop, status 0x%x",
                 child->name, took, (unsigned)status);
        checker_report(soak->checker, PROMISE_GRACE, text, child->name);
    }
}

static void
child_ended(struct soak *soak, struct child *child, int status)
{
    soak_note(soak, "%s has ended, status 0x%x", child->name,
              (unsigned)status);
    check_end(soak, child, status);
    child->pid = 0;
    g_ptr_array_remove_fast(soak->children, child);
    if (child->lines != NULL) {
        on_readable(child->lines, child);
        bufferevent_free(child->lines);
        child->lines = NULL;
    }
    if (child->on_exit != NULL) {
        child->on_exit(child);
    }
}

void
children_reap(struct soak *soak)
{
    for (guint i = soak->children->len; i > 0; i--) {
        struct child *child = g_ptr_array_index(soak->children, i - 1);
        int status;

        if (waitpid(child->pid, &status, WNOHANG) == child->pid) {
            child_ended(soak, child, status);
        }
    }
}

void
children_end(struct soak *soak)
{
    for (guint i = 0; i < soak->children->len; i++) {
        struct child *child = g_ptr_array_index(soak->children, i);

        child->stopping = true;
        child->stop_at_ms = 0;
        child->on_exit = NULL;
        child_signal(child, SIGKILL);
        waitpid(child->pid, NULL, 0);
        if (child->lines != NULL) {
            bufferevent_free(child->lines);
        }
    }
    g_ptr_array_set_size(soak->children, 0);
}

static long
memory_kb(pid_t pid)
{
    char path[64];
    char line[128];
    long kb = 0;
    FILE *in;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    in = fopen(path, "r");
    while (in != NULL && fgets(line, sizeof(line), in) != NULL) {
        if (sscanf(line, "VmRSS: %ld", &kb) == 1) {
            break;
        }
    }
    if (in != NULL) {
        fclose(in);
    }
    return kb;
}

static unsigned
descriptors(pid_t pid)
{
    char path[64];
    unsigned count = 0;
    DIR *dir;

    snprintf(path, sizeof(path), "/proc/%d/fd", (int)pid);
    dir = opendir(path);
    while (dir != NULL && readdir(dir) != NULL) {
        count++;
    }
    if (dir != NULL) {
        closedir(dir);
    }
    return count;
}

void
child_check_size(struct soak *soak, const struct child *child)
{
    char path[SOAK_PATH + 64];
    char text[SOAK_TEXT];
    long kb = memory_kb(child->pid);
    unsigned fds = descriptors(child->pid);
    uint64_t seconds = (soak_now_ms() - soak->started_ms) / 1000 + 1;
    struct stat log = {0};

    snprintf(path, sizeof(path), "%s/%s.log", soak->work, child->name);
    (void)stat(path, &log);
    if (kb > MEMORY_MAX_KB || fds > DESCRIPTORS_MAX ||
        (uint64_t)log.st_size > seconds * LOG_BYTES_A_SECOND) {
        snprintf(text, sizeof(text),
                 "%s: %ld KB of memory, %u descriptors, %ld bytes of log",
                 child->name, kb, fds, (long)log.st_size);
        checker_report(soak->checker, PROMISE_BOUNDED, text, child->name);
    }
}
