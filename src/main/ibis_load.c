/* Entry point of ibis_load, the load generator. */
#include "request/cli_load.h"

int
main(int argc, char **argv)
{
	return cli_run(&cli_load_command, argc, argv);
}
