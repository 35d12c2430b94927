#pragma once

/* The subcommands of the program "pimentohaven". Each one receives its own
 * name as argv[0] and returns the exit status of the process. */

int cmd_serve(int argc, char **argv);
int cmd_call(int argc, char **argv);
int cmd_ctl(int argc, char **argv);
int cmd_check_config(int argc, char **argv);
int cmd_explain(int argc, char **argv);
