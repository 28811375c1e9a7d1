"""Renders documents of the administration API as text."""

import time


def render_table(header, rows):
    """Render rows as a table with aligned columns.

    :param header: the names of the columns.
    :param rows: a list of tuples of values.
    :return: the lines as one text.
    """
    cells = [tuple(header), *[tuple(_format_cell(value) for value in row) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return "\n".join(_render_row(row, widths) for row in cells)


def render_plan(document):
    """Render a plan.

    :param document: the plan's document.
    :return: the lines as one text.
    """
    lines = [f"plan {document['plan']} on version {document['base']}"]
    lines.extend(f"  {sentence}" for sentence in document["effect"])
    confirmers = " and ".join(document["confirmers"])
    lines.append(f"nothing has changed yet; to be confirmed by {confirmers}:")
    lines.append(f"  camphorshelf confirm {document['plan']}")
    return "\n".join(lines)


def render_status(document):
    """Render the state of the targets.

    :param document: the node's status document.
    :return: the lines as one text.
    """
    rows = [
        (
            name,
            service["owner"] or "nobody",
            target["target"],
            target["state"],
            target["weight"],
            target.get("in_flight", ""),
            target.get("slots", ""),
            target.get("failure_domain", "unknown here"),
        )
        for name, service in document["services"].items()
        for target in service["targets"]
    ]
    header = ("SERVICE", "OWNER", "TARGET", "STATE", "WEIGHT", "BUSY", "SLOTS", "DOMAIN")
    state_text = "in force" if document["in_force"] else f"NOT IN FORCE: {document['reason']}"
    title = f"node {document['node']}: configuration {document['version']}, {state_text}"
    return f"{title}\n{render_table(header, rows)}"


def render_history(document):
    """Render the confirmed versions.

    :param document: the node's history document.
    :return: the lines as one text.
    """
    header = ("VERSION", "PLANNED", "BY", "SERVICE", "CHANGE", "BEFORE", "AFTER")
    rows = []
    for version in document["versions"]:
        prefix = (
            version["version"],
            _format_time(version["planned_at"]),
            version["planned_by"] or "-",
        )
        for change in version["changes"]:
            change_text = f"{change['field']} {change['name']}".strip()
            rows.append(
                (*prefix, change["service"], change_text, change["before"], change["after"])
            )
        if version["hidden_changes"]:
            hidden_text = f"{version['hidden_changes']} of other teams"
            rows.append((*prefix, "-", hidden_text, "", ""))
    return render_table(header, rows)


def render_explanation(document):
    """Render the decisions about a call.

    :param document: the node's explanation document.
    :return: the lines as one text.
    """
    lines = [f"call {document['call']} at node {document['node']}"]
    for decision in document["decisions"]:
        fields = {key: value for key, value in decision.items() if key not in ("at", "kind")}
        reasons = " ".join(f"{key}={value}" for key, value in fields.items())
        lines.append(f"  {_format_time(decision['at'])} {decision['kind']}: {reasons}")
    return "\n".join(lines)


def _format_time(seconds):
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(seconds))


def _format_cell(value):
    return "-" if value is None else str(value)


def _render_row(row, widths):
    cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
    return "  ".join(cells).rstrip()
