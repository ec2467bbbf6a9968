/* Runs every platform decoder on the same arbitrary bytes: none may crash. */
#include "platform.h"
#include "process/proto_memory.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length);

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length)
{
	const char *text = (const char *)bytes;
	struct ibis_status status = {0};
	struct platform_settings settings;
	struct fleet_worker_entry entry;
	Ibis__StepJob *job = platform_job_parse(text, length, &status);

	if (job != NULL)
		ibis__step_job__free_unpacked(job, proto_allocator());
	routes_free(platform_config_parse(text, length, &status));
	platform_report_free(platform_report_parse(text, length, &status));
	platform_store_reply_free(platform_store_reply_parse(text, length));
	if (platform_worker_parse("i-1", text, length, &entry, &status))
		fleet_free_worker_entry(&entry);
	(void)platform_settings_parse(text, length, &settings, &status);
	return 0;
}
