#include <stdio.h>
#include <string.h>

#include "daemon/subcommands.h"
#include "platform/cmd-forward.h"

#define EXIT_USAGE 2

struct subcommand {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *summary;
};

static const struct subcommand subcommands[] = {
    {"forward", cmd_forward, "run a packet forwarder on the users' platform"},
    {"explain", cmd_explain,
     "show the history of a flow or a target from logs"},
    {"serve", cmd_serve, "run a balancer"},
    {"call", cmd_call, "send requests to a service as a caller"},
    {"check-config", cmd_check_config, "check a settings file"},
    {"ctl", cmd_ctl, "query and change a deployment"},
};

static void
print_usage(FILE *out)
{
    fprintf(out, "usage: pimentohaven COMMAND [ARGUMENT...]\n"
                 "       pimentohaven --help | --version\n\n"
                 "commands:\n");
    for (size_t i = 0; i < sizeof(subcommands) / sizeof(*subcommands); i++) {
        fprintf(out, "  %-14s%s\n", subcommands[i].name,
                subcommands[i].summary);
    }
    fprintf(out, "\n\"pimentohaven COMMAND --help\" describes a command.\n");
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_usage(stderr);
        return EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0) {
        print_usage(stdout);
        return 0;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("pimentohaven %s\n", PIMENTOHAVEN_VERSION);
        return 0;
    }
    for (size_t i = 0; i < sizeof(subcommands) / sizeof(*subcommands); i++) {
        if (strcmp(argv[1], subcommands[i].name) == 0) {
            return subcommands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr, "pimentohaven: unknown command \"%s\"\n", argv[1]);
    print_usage(stderr);
    return EXIT_USAGE;
}
