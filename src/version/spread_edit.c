/* Plans an operator's edit over the version in force. */
#include <inttypes.h>
#include <string.h>

#include "process/alloc.h"
#include "version/spread_parts.h"

static const struct spread_edit_section *
find_edited(const struct spread_op *op, const char *name)
{
	for (size_t i = 0; i < op->sections_count; i++) {
		if (strcmp(op->sections[i].name, name) == 0)
			return &op->sections[i];
	}
	return NULL;
}

static uint64_t
standing_revision(const struct spread *spread, const char *name)
{
	const struct head *head = spread->force.head;

	return head == NULL ? 0 : head_section_revision(head, name);
}

/* Tells whether a section stands already with the edit's text. */
static bool
is_standing(
    const struct spread *spread, const struct spread_edit_section *section)
{
	uint64_t revision = standing_revision(spread, section->name);
	const char *text =
	    spread_section_text(&spread->force, section->name, revision);

	return text != NULL && strcmp(text, section->text) == 0;
}

/* Tells whether the version in force has all of the edit. */
static bool
is_in_force(const struct spread *spread, const struct spread_op *op)
{
	const struct head *head = spread->force.head;

	if (head == NULL)
		return false;
	if (op->whole && head->sections_count != op->sections_count)
		return false;
	for (size_t i = 0; i < op->sections_count; i++) {
		if (!is_standing(spread, &op->sections[i]))
			return false;
	}
	return true;
}

static enum ibis_code
check_version(const struct spread *spread, const struct spread_op *op,
    struct ibis_status *status)
{
	const struct head *head = spread->force.head;
	uint64_t version = spread_version(spread);

	/* Versions that only changed zones are no conflict. */
	if (op->if_match <= version &&
	    op->if_match >= (head == NULL ? 0 : head->sections_version))
		return IBIS_OK;
	return ibis_status_set(status, IBIS_CONFLICT, SPREAD_STEP, NULL,
	    "version %" PRIu64 " stands; the edit is of version %" PRIu64,
	    version, op->if_match);
}

static enum ibis_code
check_section(const struct spread *spread, const struct spread_op *op,
    struct ibis_status *status)
{
	uint64_t standing = standing_revision(spread, op->sections[0].name);

	if (standing == op->if_match)
		return IBIS_OK;
	return ibis_status_set(status, IBIS_CONFLICT, SPREAD_STEP, NULL,
	    "section %s: revision %" PRIu64
	    " stands; the edit is of revision %" PRIu64,
	    op->sections[0].name, standing, op->if_match);
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

/* Returns the sections as they would be; the texts are borrowed. */
static struct document_source *
edited_sources(
    const struct spread *spread, const struct spread_op *op, size_t *count)
{
	const struct spread_version *force = &spread->force;
	struct document_source *sources = mem_calloc(
	    force->sections_count + op->sections_count, sizeof(*sources));

	*count = 0;
	for (size_t i = 0; i < force->sections_count && !op->whole; i++) {
		if (find_edited(op, force->sections[i].name) == NULL)
			append_source(sources, count, force->sections[i].name,
			    force->sections[i].text);
	}
	for (size_t i = 0; i < op->sections_count; i++)
		append_source(
		    sources, count, op->sections[i].name, op->sections[i].text);
	return sources;
}

/* Parses the document as it would be, and notes warnings and difference. */
static enum ibis_code
check_document(
    struct spread *spread, struct spread_op *op, struct ibis_status *status)
{
	const struct document none = {0};
	const struct document *present = spread->force.document;
	struct document_source *sources;
	struct document *document;
	size_t count;

	buffer_clear(&op->warnings);
	buffer_clear(&op->difference);
	sources = edited_sources(spread, op, &count);
	document = document_parse(sources, count, &op->warnings, status);
	mem_free(sources);
	if (document == NULL)
		return IBIS_INVALID;
	document_diff(
	    present != NULL ? present : &none, document, &op->difference);
	document_free(document);
	return IBIS_OK;
}

/* Finds a section that has to be stored under a key of its own. */
static bool
find_unstored(const struct spread *spread, struct spread_op *op, size_t *index)
{
	for (size_t i = 0; i < op->sections_count; i++) {
		struct spread_edit_section *section = &op->sections[i];

		if (section->stored || is_standing(spread, section))
			continue;
		if (section->own_revision == 0)
			section->own_revision = spread_version(spread) + 1;
		*index = i;
		return true;
	}
	return false;
}

static struct head *
next_head(const struct spread *spread, const struct spread_op *op)
{
	const struct head *head = spread->force.head;
	struct head *next =
	    head == NULL ? mem_calloc(1, sizeof(*next)) : head_copy(head);

	for (size_t i = 0;
	     head != NULL && op->whole && i < head->sections_count; i++) {
		const struct head_section *section = &head->sections[i];

		if (find_edited(op, section->name) == NULL)
			(void)head_set_section(
			    next, section->name, section->revision, 0, NULL);
	}
	for (size_t i = 0; i < op->sections_count; i++) {
		const struct spread_edit_section *section = &op->sections[i];

		if (!is_standing(spread, section))
			(void)head_set_section(next, section->name,
			    standing_revision(spread, section->name),
			    section->own_revision, NULL);
	}
	next->sections_version = next->version + 1;
	return next;
}

enum edit_plan
spread_plan_edit(struct spread *spread, struct spread_op *op, size_t *section,
    struct head **next, struct ibis_status *status)
{
	enum ibis_code code;

	/* After a swap without an answer, or a repeated request. */
	if (is_in_force(spread, op) && !op->dry_run)
		return EDIT_ACCEPTED;
	code = op->whole ? check_version(spread, op, status)
			 : check_section(spread, op, status);
	if (code == IBIS_OK)
		code = check_document(spread, op, status);
	if (code != IBIS_OK)
		return EDIT_REFUSED;
	if (op->dry_run)
		return EDIT_CHECKED;
	if (find_unstored(spread, op, section))
		return EDIT_SECTION;
	*next = next_head(spread, op);
	return EDIT_READY;
}
