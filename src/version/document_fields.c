/* Tables of the keys of a document's items, and the readers that use them. */
#include <stddef.h>

#include "process/alloc.h"
#include "version/document_check.h"
#include "version/document_fields.h"

#define MAX_WORKER_ACCELERATORS	  64
#define MAX_DURATION_MS		  604800000 /* one week */
#define MAX_QUEUED_JOBS		  1000000
#define MAX_QUOTA_ACCELERATORS	  1000000
#define MAX_JOBS_PER_S		  100000
#define MAX_PRECEDENCE		  1000
#define DEFAULT_LEAVE_DEADLINE_MS 30000
#define DEFAULT_MAX_QUEUED_JOBS	  1000
#define DEFAULT_BURST_JOBS	  100
#define DEFAULT_OBJECTIVE_TARGET  0.99

static const struct jsonc_field zone_fields[] = {
    {
	.key = "in_service",
	.type = JSONC_BOOL,
	.offset = offsetof(struct document_zone, in_service),
    },
    {
	.key = "leave_deadline_ms",
	.type = JSONC_INT32,
	.offset = offsetof(struct document_zone, leave_deadline_ms),
	.highest = MAX_DURATION_MS,
	.unit = "ms",
    },
};

static const struct jsonc_field rack_fields[] = {
    {
	.key = "availability_zone",
	.type = JSONC_NAME,
	.required = true,
	.offset = offsetof(struct rack_fields, zone),
	.bytes = JOB_NAME_BYTES,
    },
    {
	.key = "accelerators",
	.type = JSONC_UINT32,
	.required = true,
	.offset = offsetof(struct rack_fields, accelerators),
	.lowest = 1,
	.highest = MAX_WORKER_ACCELERATORS,
	.unit = "accelerators",
    },
    {.key = "workers", .type = JSONC_CUSTOM, .required = true},
};

static const struct jsonc_field guarantee_fields[] = {
    {
	.key = "availability_zone",
	.type = JSONC_NAME,
	.required = true,
	.offset = offsetof(struct guarantee_fields, zone),
	.bytes = JOB_NAME_BYTES,
    },
    {
	.key = "count",
	.type = JSONC_UINT32,
	.offset = offsetof(struct guarantee_fields, guarantee.count),
	.lowest = 1,
	.highest = DOCUMENT_MAX_RACK_PARTS,
	.unit = "shapes",
    },
    {
	.key = "racks",
	.type = JSONC_UINT32,
	.offset = offsetof(struct guarantee_fields, guarantee.racks),
	.lowest = 1,
	.highest = DOCUMENT_MAX_RACK_PARTS,
	.unit = "racks",
    },
    {
	.key = "workers_per_rack",
	.type = JSONC_UINT32,
	.required = true,
	.offset = offsetof(struct guarantee_fields, guarantee.workers_per_rack),
	.lowest = 1,
	.highest = DOCUMENT_MAX_RACK_WORKERS,
	.unit = "workers",
    },
    {
	.key = "accelerators_per_worker",
	.type = JSONC_UINT32,
	.required = true,
	.offset = offsetof(
	    struct guarantee_fields, guarantee.accelerators_per_worker),
	.lowest = 1,
	.highest = MAX_WORKER_ACCELERATORS,
	.unit = "accelerators",
    },
};

static const struct jsonc_field workspace_fields[] = {
    {.key = "guarantees", .type = JSONC_CUSTOM},
    {
	.key = "max_queued_jobs",
	.type = JSONC_UINT32,
	.offset = offsetof(struct document_workspace, max_queued_jobs),
	.lowest = 1,
	.highest = MAX_QUEUED_JOBS,
	.unit = "jobs",
    },
    {
	.key = "max_accelerators",
	.type = JSONC_UINT32,
	.offset = offsetof(struct document_workspace, max_accelerators),
	.highest = MAX_QUOTA_ACCELERATORS,
	.unit = "accelerators",
    },
    {
	.key = "max_jobs_per_s",
	.type = JSONC_DOUBLE,
	.offset = offsetof(struct document_workspace, max_jobs_per_s),
	.highest = MAX_JOBS_PER_S,
	.unit = "jobs per second",
    },
    {
	.key = "burst_jobs",
	.type = JSONC_UINT32,
	.offset = offsetof(struct document_workspace, burst_jobs),
	.lowest = 1,
	.highest = MAX_QUEUED_JOBS,
	.unit = "jobs",
    },
};

static const struct jsonc_field class_fields[] = {
    {
	.key = "precedence",
	.type = JSONC_UINT32,
	.required = true,
	.offset = offsetof(struct document_class, precedence),
	.highest = MAX_PRECEDENCE,
    },
    {
	.key = "urgent",
	.type = JSONC_BOOL,
	.offset = offsetof(struct document_class, urgent),
    },
    {
	.key = "start_within_ms",
	.type = JSONC_INT32,
	.offset = offsetof(struct document_class, start_within_ms),
	.highest = MAX_DURATION_MS,
	.unit = "ms",
    },
    {
	.key = "objective_ms",
	.type = JSONC_INT32,
	.required = true,
	.offset = offsetof(struct document_class, objective_ms),
	.lowest = 1,
	.highest = MAX_DURATION_MS,
	.unit = "ms",
    },
    {
	.key = "objective_target",
	.type = JSONC_DOUBLE,
	.offset = offsetof(struct document_class, objective_target),
	.lowest = 0.5,
	.highest = 0.99999,
    },
    {
	.key = "max_wait_ms",
	.type = JSONC_INT32,
	.offset = offsetof(struct document_class, max_wait_ms),
	.highest = MAX_DURATION_MS,
	.unit = "ms",
    },
    {
	.key = "max_queued_jobs",
	.type = JSONC_UINT32,
	.offset = offsetof(struct document_class, max_queued_jobs),
	.highest = MAX_QUEUED_JOBS,
	.unit = "jobs",
    },
};

enum ibis_code
document_read_zone(const struct jsonc_node *node, struct document_zone *zone,
    struct ibis_status *status)
{
	*zone = (struct document_zone){
	    .in_service = true,
	    .leave_deadline_ms = DEFAULT_LEAVE_DEADLINE_MS,
	};
	return jsonc_read_fields(
	    node, zone_fields, COUNT_OF(zone_fields), zone, status);
}

enum ibis_code
document_read_rack(const struct jsonc_node *node, struct rack_fields *rack,
    struct ibis_status *status)
{
	*rack = (struct rack_fields){0};
	return jsonc_read_fields(
	    node, rack_fields, COUNT_OF(rack_fields), rack, status);
}

enum ibis_code
document_read_guarantee(const struct jsonc_node *node,
    struct guarantee_fields *guarantee, struct ibis_status *status)
{
	*guarantee =
	    (struct guarantee_fields){.guarantee = {.count = 1, .racks = 1}};
	return jsonc_read_fields(node, guarantee_fields,
	    COUNT_OF(guarantee_fields), guarantee, status);
}

enum ibis_code
document_read_workspace(const struct jsonc_node *node,
    struct document_workspace *workspace, struct ibis_status *status)
{
	*workspace = (struct document_workspace){
	    .max_queued_jobs = DEFAULT_MAX_QUEUED_JOBS,
	    .burst_jobs = DEFAULT_BURST_JOBS,
	};
	return jsonc_read_fields(node, workspace_fields,
	    COUNT_OF(workspace_fields), workspace, status);
}

enum ibis_code
document_read_class(const struct jsonc_node *node,
    struct document_class *class_item, struct ibis_status *status)
{
	*class_item = (struct document_class){
	    .objective_target = DEFAULT_OBJECTIVE_TARGET};
	return jsonc_read_fields(
	    node, class_fields, COUNT_OF(class_fields), class_item, status);
}
