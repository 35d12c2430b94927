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

/* Limits that users set for a balancer: the memory of all control functions,
 * and the descriptor limit of the smallest hosts minus the descriptors that
 * are reserved for files. */
#define MEMORY_MAX_KB (64 * 1024)
#define DESCRIPTORS_MAX 3900
/* Maximum average size of a log per second. Each kind of line about flows and
 * packets has a rate limit (daemon/forward-log.c), together 190 lines per
 * second of about 200 bytes; faults add lines about peers and targets. */
#define LOG_BYTES_PER_SECOND_MAX (64 * 1024)

/* Passes each complete line of output to "on_line". */
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
on_output_end(struct bufferevent *bev, short what, void *ctx)
{
    struct child *child = ctx;

    bufferevent_free(bev);
    child->output = NULL;
}

static void
read_output(struct child *child, int fd)
{
    evutil_make_socket_nonblocking(fd);
    child->output =
        bufferevent_socket_new(child->soak->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(child->output, on_readable, NULL, on_output_end, child);
    bufferevent_enable(child->output, EV_READ);
}

/* Opens the descriptor for the output of a program, which the caller closes:
 * the write end of a pipe, whose two ends are stored in "pipes", if the lines
 * of the output are read, else the log file. */
static int
open_output(struct soak *soak, struct child *child, int pipes[2])
{
    char path[SOAK_PATH_SIZE + 64];

    if (child->on_line != NULL) {
        if (pipe2(pipes, O_CLOEXEC) < 0) {
            perror("pipe");
            exit(2);
        }
        return pipes[1];
    }
    snprintf(path, sizeof(path), "%s/%s.log", soak->work_dir, child->name);
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
    child->stop_requested_ms = 0;
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
        read_output(child, pipes[0]);
    }
    soak_log(soak, "%s starts with pid %d", child->name, (int)child->pid);
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
    child->stop_requested_ms = soak_now_ms();
    child_signal(child, SIGTERM);
    soak_log(child->soak, "%s is told to stop", child->name);
}

void
child_kill(struct child *child)
{
    child->stopping = true;
    child->stop_requested_ms = 0;
    child_signal(child, SIGKILL);
    soak_log(child->soak, "%s is killed", child->name);
}

/* Checks that a child that ended was told to end or was killed, and that a
 * planned stop succeeded within its time limit. */
static void
check_exit(struct soak *soak, const struct child *child, int status)
{
    uint64_t took = soak_now_ms() - child->stop_requested_ms;
    char text[SOAK_TEXT_SIZE];

    if (!child->stopping) {
        snprintf(text, sizeof(text),
                 "%s ended by itself with wait status 0x%x", child->name,
                 (unsigned)status);
        checker_report_broken(soak->checker, PROMISE_ALIVE, text, child->name);
        return;
    }
    if (child->stop_requested_ms != 0 &&
        (took > STOP_GRACE_S * 1000 + TIMING_SLACK_MS || status != 0)) {
        snprintf(text, sizeof(text),
                 "%s took %lu ms to stop, wait status 0x%x", child->name, took,
                 (unsigned)status);
        checker_report_broken(soak->checker, PROMISE_GRACE, text, child->name);
    }
}

static void
handle_exit(struct soak *soak, struct child *child, int status)
{
    soak_log(soak, "%s ended with wait status 0x%x", child->name,
             (unsigned)status);
    check_exit(soak, child, status);
    child->pid = 0;
    g_ptr_array_remove_fast(soak->children, child);
    if (child->output != NULL) {
        on_readable(child->output, child);
        bufferevent_free(child->output);
        child->output = NULL;
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
            handle_exit(soak, child, status);
        }
    }
}

void
children_kill(struct soak *soak)
{
    for (guint i = 0; i < soak->children->len; i++) {
        struct child *child = g_ptr_array_index(soak->children, i);

        child->stopping = true;
        child->stop_requested_ms = 0;
        child->on_exit = NULL;
        child_signal(child, SIGKILL);
        waitpid(child->pid, NULL, 0);
        if (child->output != NULL) {
            bufferevent_free(child->output);
        }
    }
    g_ptr_array_set_size(soak->children, 0);
}

/* Resident memory of a process; 0 if it cannot be read. */
static long
resident_kb(pid_t pid)
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

/* Number of open descriptors of a process, plus 2 for the entries "." and
 * ".."; 0 if the directory cannot be read. */
static unsigned
count_descriptors(pid_t pid)
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
child_check_limits(struct soak *soak, const struct child *child)
{
    char path[SOAK_PATH_SIZE + 64];
    char text[SOAK_TEXT_SIZE];
    long kb = resident_kb(child->pid);
    unsigned fds = count_descriptors(child->pid);
    uint64_t seconds = (soak_now_ms() - soak->started_ms) / 1000 + 1;
    struct stat log = {0};

    snprintf(path, sizeof(path), "%s/%s.log", soak->work_dir, child->name);
    (void)stat(path, &log);
    if (kb > MEMORY_MAX_KB || fds > DESCRIPTORS_MAX ||
        (uint64_t)log.st_size > seconds * LOG_BYTES_PER_SECOND_MAX) {
        snprintf(text, sizeof(text),
                 "%s: %ld KB of memory, %u descriptors, %ld bytes of log",
                 child->name, kb, fds, (long)log.st_size);
        checker_report_broken(soak->checker, PROMISE_BOUNDED, text,
                              child->name);
    }
}
