#include <stdio.h>
#include <stdlib.h>

#include "base/settings.h"
#include "daemon/commands.h"

/* Checks a settings file and says what is wrong with it. Exit status: 0 when
 * it can be used, 1 when not, 2 for wrong usage. */
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
    printf("%s: host %s in failure domain %s: no faults found\n", argv[1],
           settings->host.id, settings->host.domain);
    settings_destroy(settings);
    return EXIT_SUCCESS;
}
