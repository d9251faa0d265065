"""Reports of a load per class: latencies, refusals, faults and goodput."""

import collections
import json
import pathlib
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from gypsumusher_cli.errors import InputError

REPORT_FORMAT = "gypsumusher-load-report-1"
# Upper bound of the histograms, one hour; longer times are not recorded.
MAX_TIME_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
# Histograms count microseconds, since times between tokens are only a few hundred.
MICROSECONDS_PER_S = 1_000_000
# Latencies that a report has histograms of.
TIMES = ("first_token", "between_tokens", "whole_answer")
FAULTS = ("lost", "doubled", "incomplete", "crossed")
PERCENTILES = (50.0, 95.0, 99.0)


class ClassReport(NamedTuple):
    """Counts and times of one request class of one deployment or service.

    Attributes
    ----------
    target : str
        The deployment or service.
    class_name : str
        The request class.
    sent, served : int
        Requests sent, and those of them that were served correctly.
    on_time, on_time_tokens : int
        Requests that met their class's targets, and their output tokens.
    refused : dict of str to int
        Refused requests by code.
    lost, doubled, incomplete, crossed : int
        Faulty responses by fault.
    resumed : int
        Requests whose response was resumed at least once.
    goodput_per_s : float
        Requests on time per second of the run.
    times : dict of str to HdrHistogram
        Histograms of served requests, in microseconds; the keys are TIMES.
    """

    target: str
    class_name: str
    sent: int
    served: int
    on_time: int
    on_time_tokens: int
    refused: dict[str, int]
    lost: int
    doubled: int
    incomplete: int
    crossed: int
    resumed: int
    goodput_per_s: float
    times: dict[str, HdrHistogram]


class Report(NamedTuple):
    """Report of a whole run.

    ``role_changes`` tells how often engines changed role; None where that is unknown.
    """

    duration_s: float
    seed: int
    classes: tuple[ClassReport, ...]
    role_changes: int | None

    def fault_count(self):
        """Return how many responses were lost, doubled, incomplete or crossed."""
        total = 0
        for item in self.classes:
            total += item.lost + item.doubled + item.incomplete + item.crossed
        return total


def new_histogram():
    """Return an empty histogram of microseconds from 1 to MAX_TIME_MS."""
    return HdrHistogram(1, MAX_TIME_MS * 1000, SIGNIFICANT_DIGITS)


def record_s(histogram, seconds):
    """Record a time given in seconds; a time below 1 us counts as 1 us."""
    histogram.record_value(max(1, round(seconds * MICROSECONDS_PER_S)))


def percentile_s(histogram, percentile):
    """Return a percentile in seconds, or None when the histogram is empty."""
    if histogram.get_total_count() == 0:
        return None
    return histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S


def mark_duplicate_runs(outcomes, runs):
    """Mark non-idempotent requests that endpoints ran more than once as doubled.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes as the callers saw them.
    runs : dict of str to int
        How often endpoints ran each prompt, by the prompt's fingerprint.

    Returns
    -------
    list of Outcome
        The outcomes, with ``result`` doubled where a prompt ran more than once.
    """
    marked = []
    for outcome in outcomes:
        times_run = runs.get(outcome.fingerprint, 0)
        if outcome.non_idempotent and times_run > 1:
            reason = f"ran {times_run} times"
            outcome = outcome._replace(result="doubled", reason=reason, on_time=False)
        marked.append(outcome)
    return marked


def summarize(spec, outcomes, elapsed_s, role_changes=None):
    """Return the report of a run.

    Parameters
    ----------
    spec : LoadSpec
        The load.
    outcomes : list of Outcome
        The outcome of each request.
    elapsed_s : float
        Duration of the run, over which goodput is computed.
    role_changes : int, optional
        How often engines changed role, where that is known.

    Returns
    -------
    Report
        Classes in order of target and name.
    """
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.target, outcome.class_name].append(outcome)
    classes = tuple(
        _summarize_class(target, class_name, groups[target, class_name], elapsed_s)
        for target, class_name in sorted(groups)
    )
    return Report(elapsed_s, spec.seed, classes, role_changes)


def _summarize_class(target, class_name, outcomes, elapsed_s):
    """Return the report of one class of one target."""
    counts = collections.Counter(item.result for item in outcomes)
    refused = collections.Counter(
        item.reason for item in outcomes if item.result == "refused"
    )
    on_time = [item for item in outcomes if item.on_time]
    return ClassReport(
        target=target,
        class_name=class_name,
        sent=len(outcomes),
        served=counts["served"],
        on_time=len(on_time),
        on_time_tokens=sum(item.output_tokens for item in on_time),
        refused=dict(sorted(refused.items())),
        lost=counts["lost"],
        doubled=counts["doubled"],
        incomplete=counts["incomplete"],
        crossed=counts["crossed"],
        resumed=sum(1 for item in outcomes if item.resumes),
        goodput_per_s=len(on_time) / elapsed_s,
        times=_record_times(outcomes),
    )


def _record_times(outcomes):
    """Return the histograms of the served outcomes' times, by the names in TIMES."""
    times = {name: new_histogram() for name in TIMES}
    for outcome in outcomes:
        if outcome.result != "served":
            continue
        record_s(times["whole_answer"], outcome.total_s)
        if outcome.first_token_s is not None:
            record_s(times["first_token"], outcome.first_token_s)
        for gap_s in outcome.inter_token_s:
            record_s(times["between_tokens"], gap_s)
    return times


def save_report(report, path):
    """Write a report as JSON, with its complete histograms.

    Raises
    ------
    InputError
        If the file can't be written.
    """
    body = {
        "format": REPORT_FORMAT,
        "duration_s": report.duration_s,
        "seed": report.seed,
        "role_changes": report.role_changes,
        "classes": [_class_to_dict(item) for item in report.classes],
    }
    try:
        pathlib.Path(path).write_text(json.dumps(body, indent=1) + "\n")
    except OSError as error:
        raise InputError(
            f"report {path} can't be written ({error})", "name a writable path"
        ) from error


def _class_to_dict(item):
    body = item._asdict()
    body["times"] = {
        name: {
            "histogram": _encode_histogram(histogram),
            **_percentile_fields(histogram),
        }
        for name, histogram in item.times.items()
    }
    return body


def _encode_histogram(histogram):
    """Return a histogram in HdrHistogram's compressed base64 encoding."""
    encoded = histogram.encode()
    return encoded.decode() if isinstance(encoded, bytes) else encoded


def _percentile_fields(histogram):
    """Return the percentiles in seconds under their names in a saved report."""
    return {
        f"p{percentile:g}_s": percentile_s(histogram, percentile)
        for percentile in PERCENTILES
    }


def read_report(path):
    """Read a saved report.

    Parameters
    ----------
    path : str or pathlib.Path
        A file that `save_report` wrote.

    Returns
    -------
    Report
        The report.

    Raises
    ------
    InputError
        If the file can't be read or is not such a report.
    """
    try:
        body = json.loads(pathlib.Path(path).read_text())
        if body["format"] != REPORT_FORMAT:
            raise ValueError(f"its format is {body['format']!r}")
        classes = tuple(_class_from_dict(item) for item in body["classes"])
        return Report(
            body["duration_s"], body["seed"], classes, body.get("role_changes")
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise InputError(
            f"report {path} can't be used ({error!r})",
            "name a file that `gypsumusher load run --save` wrote",
        ) from error


def _class_from_dict(item):
    times = {}
    for name in TIMES:
        encoded = item["times"][name]["histogram"].encode()
        times[name] = HdrHistogram.decode(encoded)
    return ClassReport(**{**item, "times": times})


def format_report(report):
    """Return a report as text: a line per class, then refusals and totals.

    Parameters
    ----------
    report : Report
        The run.

    Returns
    -------
    str
        Lines without a trailing line end.
    """
    head = (
        "target",
        "class",
        "sent",
        "served",
        "on time",
        "refused",
        "faults",
        "goodput/s",
        "first p50/p95 s",
        "between p50/p95 ms",
        "whole p50/p95 s",
    )
    rows = [head, *(_format_row(item) for item in report.classes)]
    lines = align_columns(rows)
    for item in report.classes:
        for reason, count in item.refused.items():
            name = f"{item.target}/{item.class_name}"
            lines.append(f"refused {name}: {reason} {count}")
    lines.append(_format_totals(report))
    return "\n".join(lines)


def _format_row(item):
    faults = item.lost + item.doubled + item.incomplete + item.crossed
    return (
        item.target,
        item.class_name,
        str(item.sent),
        str(item.served),
        str(item.on_time),
        str(sum(item.refused.values())),
        str(faults),
        f"{item.goodput_per_s:.2f}",
        _format_percentiles(item.times["first_token"], 1.0, 3),
        _format_percentiles(item.times["between_tokens"], 1000.0, 1),
        _format_percentiles(item.times["whole_answer"], 1.0, 3),
    )


def _format_percentiles(histogram, scale, digits):
    """Return the 50th and 95th percentile as ``p50/p95``, in seconds times scale."""
    values = []
    for percentile in (50.0, 95.0):
        seconds = percentile_s(histogram, percentile)
        values.append("-" if seconds is None else f"{seconds * scale:.{digits}f}")
    return "/".join(values)


def _format_totals(report):
    """Return the line with the sums over all classes."""
    sums = collections.Counter()
    for item in report.classes:
        sums["sent"] += item.sent
        sums["served"] += item.served
        sums["on time"] += item.on_time
        sums["refused"] += sum(item.refused.values())
        for fault in FAULTS:
            sums[fault] += getattr(item, fault)
        sums["resumed"] += item.resumed
    parts = [f"{name} {count}" for name, count in sums.items()]
    goodput_per_s = sum(item.goodput_per_s for item in report.classes)
    parts.append(f"goodput {goodput_per_s:.2f}/s")
    parts.append(f"{report.duration_s:.1f} s")
    if report.role_changes is not None:
        parts.append(f"role changes {report.role_changes}")
    return "total: " + ", ".join(parts)


def align_columns(rows):
    """Return rows of cells as lines with aligned columns."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return lines


def compare_reports(before, after):
    """Return a table that compares two reports.

    Parameters
    ----------
    before, after : Report
        Reports of two runs.

    Returns
    -------
    str
        A line per class; a class that only one report has is ``absent`` in the other.
    """
    old = {(item.target, item.class_name): item for item in before.classes}
    new = {(item.target, item.class_name): item for item in after.classes}
    head = (
        "target",
        "class",
        "on time %",
        "refused",
        "faults",
        "goodput/s",
        "first p95 s",
        "whole p95 s",
    )
    rows = [head]
    for name in sorted(old.keys() | new.keys()):
        rows.append(_format_comparison_row(name, old.get(name), new.get(name)))
    return "\n".join(align_columns(rows))


def _format_comparison_row(name, old, new):
    """Return the cells of one class; None stands for a class that a report lacks."""

    def change(value):
        return f"{_format_cell(old, value)} -> {_format_cell(new, value)}"

    return (
        *name,
        change(lambda item: f"{100.0 * item.on_time / max(1, item.sent):.1f}"),
        change(lambda item: str(sum(item.refused.values()))),
        change(lambda item: str(sum(getattr(item, fault) for fault in FAULTS))),
        change(lambda item: f"{item.goodput_per_s:.2f}"),
        change(lambda item: _format_p95(item.times["first_token"])),
        change(lambda item: _format_p95(item.times["whole_answer"])),
    )


def _format_cell(item, value):
    return "absent" if item is None else value(item)


def _format_p95(histogram):
    seconds = percentile_s(histogram, 95.0)
    return "-" if seconds is None else f"{seconds:.3f}"
