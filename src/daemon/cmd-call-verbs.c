#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "client/call-action.h"
#include "client/call.h"
#include "client/download.h"
#include "client/watch.h"
#include "daemon/cmd-call-body.h"
#include "daemon/cmd-call.h"

/* CoAP content format of text/plain; charset=utf-8 (RFC 7252 section 12.3). */
#define CONTENT_FORMAT_TEXT 0
#define CODE_CLASS(code) ((code) >> 5)
#define CODE_DETAIL(code) ((code)&0x1f)

static void
end_run(struct call_run *run, int exit_status)
{
    run->exit_status = exit_status;
    event_base_loopbreak(run->base);
}

/* Prints on standard error how a failed request ended: its outcome and, if
 * there was an answer, its code and text. */
static void
print_failure(enum call_outcome outcome, uint8_t code, const uint8_t *text,
              size_t size)
{
    fprintf(stderr, "pimentohaven call: %s", call_outcome_name(outcome));
    if (code != CODE_EMPTY) {
        fprintf(stderr, ": %u.%02u", CODE_CLASS(code), CODE_DETAIL(code));
    }
    if (size > 0) {
        fprintf(stderr, ": %.*s", (int)size, (const char *)text);
    }
    fputc('\n', stderr);
}

/* Returns the exit status for an outcome. "succeeded" says that a complete
 * answer with a 2.xx code arrived and, for "post", was printed. "repeatable"
 * says that the request is a read, for which an answer "busy" means that it
 * did not run. */
static int
exit_status_of(enum call_outcome outcome, uint8_t code, bool succeeded,
               bool repeatable)
{
    switch (outcome) {
    case CALL_ANSWERED:
        if (succeeded) {
            return CALL_EXIT_OK;
        }
        return repeatable && call_code_is_busy(code) ? CALL_EXIT_NOT_RUN
                                                     : CALL_EXIT_BAD_ANSWER;
    case CALL_NOT_RUN:
        return CALL_EXIT_NOT_RUN;
    case CALL_TIMEOUT:
        return CALL_EXIT_TIMEOUT;
    case CALL_OUTCOME_UNKNOWN:
    case CALL_CANCELLED:
        break;
    }
    return CALL_EXIT_UNKNOWN;
}

/* The running request of "get" or "download". */
struct read_run {
    struct call_run *run;
    struct call_body *body;
};

static void
on_read_result(void *ctx, const struct download_result *result)
{
    struct read_run *read = ctx;
    bool succeeded = result->whole && result->code == CODE_CONTENT;
    int status =
        exit_status_of(result->outcome, result->code, succeeded, true);

    if (!succeeded && result->outcome != CALL_CANCELLED) {
        print_failure(result->outcome, result->code, result->payload,
                      result->payload_len);
    }
    if (result->outcome == CALL_CANCELLED ||
        (succeeded && !call_body_commit(read->body))) {
        /* The output failed; the cause was already printed. */
        status = CALL_EXIT_BAD_ANSWER;
    }
    call_body_destroy(read->body);
    end_run(read->run, status);
    g_free(read);
}

static bool
start_read(struct call_run *run, bool is_download)
{
    const struct download_request request = {
        .path = run->options.path,
        .query = run->options.query,
        .deadline_ms = run->options.deadline_ms,
        .interactive = !is_download,
    };
    struct call_body *body = call_body_new(
        run->options.output, is_download && isatty(STDERR_FILENO) != 0);
    struct download_sink sink;
    struct read_run *read;

    if (body == NULL) {
        return false;
    }
    sink = call_body_sink(body);
    read = g_new0(struct read_run, 1);
    read->run = run;
    read->body = body;
    if (download_start(run->flow, &request, &sink, on_read_result, read) ==
        NULL) {
        call_body_destroy(body);
        g_free(read);
        return false;
    }
    return true;
}

bool
call_get(struct call_run *run)
{
    return start_read(run, false);
}

bool
call_download(struct call_run *run)
{
    return start_read(run, true);
}

static void
on_post_result(void *ctx, const struct call_result *result)
{
    struct call_run *run = ctx;
    const struct packet *answer = result->answer;
    uint8_t code = answer == NULL ? CODE_EMPTY : answer->code;
    bool succeeded = result->whole && CODE_CLASS(code) == 2;

    if (succeeded) {
        succeeded = fwrite(answer->payload, 1, answer->payload_len, stdout) ==
                        answer->payload_len &&
                    fflush(stdout) == 0;
    }
    else {
        print_failure(result->outcome, code,
                      answer == NULL ? NULL : answer->payload,
                      answer == NULL ? 0 : answer->payload_len);
    }
    end_run(run, exit_status_of(result->outcome, code, succeeded, false));
}

bool
call_post(struct call_run *run)
{
    const char *body = run->options.body == NULL ? "" : run->options.body;
    const struct call_request request = {
        .method = CODE_POST,
        .path = run->options.path,
        .query = run->options.query,
        .body = (const uint8_t *)body,
        .body_len = strlen(body),
        .content_format = body[0] == '\0' ? -1 : CONTENT_FORMAT_TEXT,
        .deadline_ms = run->options.deadline_ms,
    };

    return client_flow_call(run->flow, &request, on_post_result, run) != NULL;
}

/* Returns the exit status for a stream that ended as requested. "complete"
 * says that the requested frames or, without a limit, any frames arrived. */
static int
stream_exit_status(const struct call_run *run, bool complete)
{
    if (run->gap) {
        return CALL_EXIT_BAD_ANSWER;
    }
    return complete ? CALL_EXIT_OK : CALL_EXIT_TIMEOUT;
}

static bool
print_frame(struct call_run *run, const struct watch_event *event)
{
    unsigned count = run->options.count;

    fwrite(event->data, 1, event->size, stdout);
    fputc('\n', stdout);
    run->frames++;
    if (fflush(stdout) != 0) {
        end_run(run, CALL_EXIT_BAD_ANSWER);
        return false;
    }
    if (count > 0 && run->frames == count) {
        end_run(run, stream_exit_status(run, true));
        return false;
    }
    return true;
}

static void
end_stream(struct call_run *run, const struct watch_event *event)
{
    if (event->outcome == CALL_TIMEOUT) {
        /* Without --count, the stream is complete when --timeout has passed
         * and at least one frame arrived. */
        bool complete = run->options.count == 0 && run->frames > 0;

        end_run(run, stream_exit_status(run, complete));
        return;
    }
    print_failure(event->outcome, event->code, event->data, event->size);
    end_run(run, exit_status_of(event->outcome, event->code, false, true));
}

static bool
on_watch_event(void *ctx, const struct watch_event *event)
{
    struct call_run *run = ctx;

    switch (event->kind) {
    case WATCH_FRAME:
        return print_frame(run, event);
    case WATCH_LOST:
        run->gap = true;
        fprintf(stderr,
                "pimentohaven call: frames %" PRIu64 " to %" PRIu64
                " are lost\n",
                event->id, event->last_id);
        return true;
    case WATCH_RESET:
        fprintf(stderr, "pimentohaven call: the stream restarted; its frame "
                        "numbers begin again\n");
        return true;
    case WATCH_ENDED:
        end_stream(run, event);
        return false;
    }
    return true;
}

bool
call_watch(struct call_run *run)
{
    const struct watch_request request = {
        .path = run->options.path,
        .query = run->options.query,
        .timeout_ms = run->options.timeout_ms,
    };

    return watch_start(run->flow, &request, on_watch_event, run) != NULL;
}
