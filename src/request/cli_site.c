/* Commands on zones, instances and endpoints, and status and report commands.
 */
#include "process/alloc.h"
#include "request/cli.h"

static int
run_zone_change(struct cli *cli)
{
	CLEANUP(buffer_free) struct buffer path = {0};
	/* Not repeatable: a second attempt could undo a change that another
	 * operator made in between. */
	struct client_call call = {.method = "POST", .repeatable = false};

	buffer_puts(&path, "/v1/availability-zones/");
	client_escape(&path, cli->arguments[0]);
	buffer_printf(&path, "/%s", cli->command->name);
	call.path = path.data;
	return cli_call(cli, &call);
}

const struct cli_command cli_site_commands[] = {
    {.group = "zone",
	.name = "out",
	.arguments = "NAME",
	.summary = "Takes an availability zone out of service.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_zone_change},
    {.group = "zone",
	.name = "in",
	.arguments = "NAME",
	.summary = "Returns an availability zone to service.",
	.min_arguments = 1,
	.max_arguments = 1,
	.run = run_zone_change},
    {.group = "zone",
	.name = "status",
	.arguments = "",
	.summary = "Shows the availability zones.",
	.run = cli_show,
	.path = "/v1/availability-zones"},
    {.group = "instance",
	.name = "list",
	.arguments = "",
	.summary = "Shows the instances.",
	.run = cli_show,
	.path = "/v1/instances"},
    {.group = "endpoint",
	.name = "list",
	.arguments = "",
	.summary = "Shows the endpoints.",
	.run = cli_show,
	.path = "/v1/endpoints"},
    {.group = "status",
	.arguments = "",
	.summary = "Shows the state of the instance asked.",
	.run = cli_show,
	.path = "/v1/status"},
    {.group = "report",
	.name = "slo-burn",
	.arguments = "",
	.summary = "Shows service-level burn by request class.",
	.run = cli_show,
	.path = "/v1/report/slo-burn"},
};
const size_t cli_site_commands_count = COUNT_OF(cli_site_commands);
