#include <stdio.h>
#include <stdlib.h>

#include "base/settings.h"
#include "daemon/subcommands.h"

/* Checks a settings file and prints the first error in it, if any. Exit
 * status: 0 when the file is valid, 1 when it is not, 2 for wrong usage. */
int
cmd_check_config(int argc, char **argv)
{
    struct settings *settings;
    struct status st;

    if (argc != 2) {
        fprintf(stderr, "usage: pimentohaven check-config FILE\n");
        return 2;
    }
    settings = settings_load(argv[1], &st);
    if (settings == NULL) {
        fprintf(stderr, "%s\n", st.message);
        return EXIT_FAILURE;
    }
    printf("%s: host %s in failure domain %s: settings are valid\n", argv[1],
           settings->host.id, settings->host.domain);
    settings_destroy(settings);
    return EXIT_SUCCESS;
}
