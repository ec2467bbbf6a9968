/* Checks an operator's edit against the version in force and decides its next
 * step. */
#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "version/replication_internal.h"

static const struct replication_edit_section *
find_edit_section(const struct replication_op *op, const char *name)
{
	for (size_t i = 0; i < op->sections_count; i++) {
		if (strcmp(op->sections[i].name, name) == 0)
			return &op->sections[i];
	}
	return NULL;
}

static uint64_t
current_revision(const struct replication *replication, const char *name)
{
	const struct head *head = replication->in_force.head;

	return head == NULL ? 0 : head_section_revision(head, name);
}

/* Returns whether the section in force already has the edit's text. */
static bool
has_current_text(const struct replication *replication,
    const struct replication_edit_section *section)
{
	uint64_t revision = current_revision(replication, section->name);
	const char *text = replication_section_text(
	    &replication->in_force, section->name, revision);

	return text != NULL && strcmp(text, section->text) == 0;
}

/* Returns whether the version in force already contains the whole edit. */
static bool
is_applied(
    const struct replication *replication, const struct replication_op *op)
{
	const struct head *head = replication->in_force.head;

	if (head == NULL)
		return false;
	if (op->replaces_all && head->sections_count != op->sections_count)
		return false;
	for (size_t i = 0; i < op->sections_count; i++) {
		if (!has_current_text(replication, &op->sections[i]))
			return false;
	}
	return true;
}

static enum ibis_code
check_version(const struct replication *replication,
    const struct replication_op *op, struct ibis_status *status)
{
	const struct head *head = replication->in_force.head;
	uint64_t version = replication_version(replication);

	/* Versions that changed only zones do not conflict with an edit. */
	if (op->if_match <= version &&
	    op->if_match >= (head == NULL ? 0 : head->sections_version))
		return IBIS_OK;
	return ibis_status_set(status, IBIS_CONFLICT, REPLICATION_STEP, NULL,
	    "the document is at version %" PRIu64
	    ", but the edit is based on version %" PRIu64,
	    version, op->if_match);
}

static enum ibis_code
check_section(const struct replication *replication,
    const struct replication_op *op, struct ibis_status *status)
{
	uint64_t current = current_revision(replication, op->sections[0].name);

	if (current == op->if_match)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_CONFLICT, REPLICATION_STEP, NULL,
	    "section %s is at revision %" PRIu64
	    ", but the edit is based on revision %" PRIu64,
	    op->sections[0].name, current, op->if_match);
}

static struct document_source *
append_source(struct document_source *sources, size_t *count, const char *name,
    char *text)
{
	sources[*count] = (struct document_source){.text = text};
	STRING_COPY(sources[*count].name, name);
	(*count)++;
	return sources;
}

/* Returns the sections as they are after the edit. The caller frees the array;
 * the texts belong to the version in force and the edit. */
static struct document_source *
edited_sources(const struct replication *replication,
    const struct replication_op *op, size_t *count)
{
	const struct loaded_version *in_force = &replication->in_force;
	struct document_source *sources = mem_calloc(
	    in_force->sections_count + op->sections_count, sizeof(*sources));

	*count = 0;
	for (size_t i = 0; i < in_force->sections_count && !op->replaces_all;
	     i++) {
		if (find_edit_section(op, in_force->sections[i].name) == NULL)
			append_source(sources, count,
			    in_force->sections[i].name,
			    in_force->sections[i].text);
	}
	for (size_t i = 0; i < op->sections_count; i++)
		append_source(
		    sources, count, op->sections[i].name, op->sections[i].text);
	return sources;
}

/* Parses the document as it is after the edit, and records in op the warnings
 * and the difference from the document in force. */
static enum ibis_code
check_document(struct replication *replication, struct replication_op *op,
    struct ibis_status *status)
{
	const struct document empty = {0};
	const struct document *current = replication->in_force.document;
	struct document_source *sources;
	struct document *document;
	size_t count;

	buffer_clear(&op->warnings);
	buffer_clear(&op->difference);
	sources = edited_sources(replication, op, &count);
	document = document_parse(sources, count, &op->warnings, status);
	mem_free(sources);
	if (document == NULL)
		return IBIS_INVALID;
	document_diff(
	    current != NULL ? current : &empty, document, &op->difference);
	document_free(document);
	return IBIS_OK;
}

/* Finds a changed section that is not stored yet, and chooses its revision. */
static bool
find_unstored(const struct replication *replication, struct replication_op *op,
    size_t *index)
{
	for (size_t i = 0; i < op->sections_count; i++) {
		struct replication_edit_section *section = &op->sections[i];

		if (section->stored || has_current_text(replication, section))
			continue;
		if (section->own_revision == 0)
			section->own_revision =
			    replication_version(replication) + 1;
		*index = i;
		return true;
	}
	return false;
}

static struct head *
build_next_head(
    const struct replication *replication, const struct replication_op *op)
{
	const struct head *head = replication->in_force.head;
	struct head *next =
	    head == NULL ? mem_calloc(1, sizeof(*next)) : head_copy(head);

	for (size_t i = 0;
	     head != NULL && op->replaces_all && i < head->sections_count;
	     i++) {
		const struct head_section *section = &head->sections[i];

		if (find_edit_section(op, section->name) == NULL)
			(void)head_set_section(
			    next, section->name, section->revision, 0, NULL);
	}
	for (size_t i = 0; i < op->sections_count; i++) {
		const struct replication_edit_section *section =
		    &op->sections[i];

		if (!has_current_text(replication, section))
			(void)head_set_section(next, section->name,
			    current_revision(replication, section->name),
			    section->own_revision, NULL);
	}
	next->sections_version = next->version + 1;
	return next;
}

enum replication_edit_plan
replication_plan_edit(struct replication *replication,
    struct replication_op *op, size_t *section, struct head **next,
    struct ibis_status *status)
{
	enum ibis_code code;

	/* An earlier swap of unknown outcome was accepted, or the request is a
	 * repetition. */
	if (is_applied(replication, op) && !op->dry_run)
		return EDIT_ACCEPTED;
	code = op->replaces_all ? check_version(replication, op, status)
				: check_section(replication, op, status);
	if (code == IBIS_OK)
		code = check_document(replication, op, status);
	if (code != IBIS_OK)
		return EDIT_REJECTED;
	if (op->dry_run)
		return EDIT_DRY_RUN_DONE;
	if (find_unstored(replication, op, section))
		return EDIT_STORE_SECTION;
	*next = build_next_head(replication, op);
	return EDIT_SWAP_HEAD;
}
