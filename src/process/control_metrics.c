#include "process/control.h"

void
control_metrics_request(struct control *control, const struct origin *origin,
    const Ibis__Request *request)
{
	(void)request;
	control_reply_json(control, origin, "");
}
