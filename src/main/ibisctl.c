/* Entry point of ibisctl, the command-line client. */
#include "request/cli.h"

int
main(int argc, char **argv)
{
	return cli_main(argc, argv);
}
