#include <stdio.h>

int
main(int argc, char **argv)
{
    printf("pimentohaven %s\n", PIMENTOHAVEN_VERSION);
    return 0;
}
