"""Sums a load's outcomes up per class: times, refusals, faults and goodput."""

import collections
import json
import pathlib
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from gypsumusher_cli.errors import InputError

FORMAT = "gypsumusher-load-report-1"
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 3
# Histograms count in steps of a microsecond: gaps between tokens are a few hundred.
STEPS_PER_S = 1_000_000
TIMES = ("first_token", "between_tokens", "whole_answer")
FAULTS = ("lost", "doubled", "incomplete", "crossed")
PERCENTILES = (50.0, 95.0, 99.0)


class ClassReport(NamedTuple):
    """One class of one deployment or service, summed up."""

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
    """A whole run, summed up."""

    duration_s: float
    seed: int
    classes: tuple[ClassReport, ...]
    role_changes: int | None

    def fault_count(self):
        """Return how many answers were lost, doubled, incomplete or crossed."""
        total = 0
        for item in self.classes:
            total += item.lost + item.doubled + item.incomplete + item.crossed
        return total


def new_histogram():
    """Return an empty histogram of microseconds up to an hour."""
    return HdrHistogram(1, HIGHEST_MS * 1000, SIGNIFICANT_DIGITS)


def record_s(histogram, seconds):
    """Count one time, in seconds, in a histogram."""
    histogram.record_value(max(1, round(seconds * STEPS_PER_S)))


def percentile_s(histogram, percentile):
    """Return a percentile in seconds, or None when nothing was counted."""
    if histogram.get_total_count() == 0:
        return None
    return histogram.get_value_at_percentile(percentile) / STEPS_PER_S


def mark_duplicate_runs(outcomes, runs):
    """Mark the non-idempotent requests that endpoints ran more than once.

    Parameters
    ----------
    outcomes : list of Outcome
        What the callers saw.
    runs : dict of str to int
        How often endpoints ran each prompt, by its fingerprint.

    Returns
    -------
    list of Outcome
        The outcomes, with ``result`` doubled where a prompt ran twice.
    """
    marked = []
    for outcome in outcomes:
        times_run = runs.get(outcome.fingerprint, 0)
        if outcome.non_idempotent and times_run > 1:
            reason = f"ran {times_run} times"
            outcome = outcome._replace(result="doubled", reason=reason, on_time=False)
        marked.append(outcome)
    return marked


def summarize(mix, outcomes, elapsed_s, role_changes=None):
    """Sum a run up.

    Parameters
    ----------
    mix : LoadSpec
        The load.
    outcomes : list of Outcome
        How each request ended.
    elapsed_s : float
        How long the run took, which goodput is counted over.
    role_changes : int, optional
        How often engines changed role, where that is known.

    Returns
    -------
    Report
        One line a class, in order of their names.
    """
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.target, outcome.class_name].append(outcome)
    classes = tuple(
        _summarize_class(target, class_name, groups[target, class_name], elapsed_s)
        for target, class_name in sorted(groups)
    )
    return Report(elapsed_s, mix.seed, classes, role_changes)


def _summarize_class(target, class_name, outcomes, elapsed_s):
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
        times=_histograms(outcomes),
    )


def _histograms(outcomes):
    times = {name: new_histogram() for name in TIMES}
    for outcome in outcomes:
        if outcome.result != "served":
            continue
        record_s(times["whole_answer"], outcome.whole_s)
        if outcome.first_token_s is not None:
            record_s(times["first_token"], outcome.first_token_s)
        for gap_s in outcome.gaps_s:
            record_s(times["between_tokens"], gap_s)
    return times


def save_report(report, path):
    """Write a report as JSON, with its whole histograms.

    Raises
    ------
    InputError
        If the file can't be written.
    """
    body = {
        "format": FORMAT,
        "duration_s": report.duration_s,
        "seed": report.seed,
        "role_changes": report.role_changes,
        "classes": [_class_to_json(item) for item in report.classes],
    }
    try:
        pathlib.Path(path).write_text(json.dumps(body, indent=1) + "\n")
    except OSError as error:
        raise InputError(
            f"report {path} can't be written ({error})", "name a writable place"
        ) from error


def _class_to_json(item):
    body = item._asdict()
    body["times"] = {
        name: {"histogram": _encoded(histogram), **_percentiles(histogram)}
        for name, histogram in item.times.items()
    }
    return body


def _encoded(histogram):
    encoded = histogram.encode()
    return encoded.decode() if isinstance(encoded, bytes) else encoded


def _percentiles(histogram):
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
        If the file is not such a report.
    """
    try:
        body = json.loads(pathlib.Path(path).read_text())
        if body["format"] != FORMAT:
            raise ValueError(f"its format is {body['format']!r}")
        classes = tuple(_class_from_json(item) for item in body["classes"])
        return Report(
            body["duration_s"], body["seed"], classes, body.get("role_changes")
        )
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise InputError(
            f"report {path} can't be used ({error!r})",
            "name a file that `gypsumusher load run --save` wrote",
        ) from error


def _class_from_json(item):
    times = {}
    for name in TIMES:
        encoded = item["times"][name]["histogram"].encode()
        times[name] = HdrHistogram.decode(encoded)
    return ClassReport(**{**item, "times": times})


def format_report(report):
    """Return the run's table as text: one line a class, then the sums.

    Parameters
    ----------
    report : Report
        The run.

    Returns
    -------
    str
        Lines without a last line end.
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
    rows = [head, *(_row(item) for item in report.classes)]
    lines = align(rows)
    for item in report.classes:
        for reason, count in item.refused.items():
            name = f"{item.target}/{item.class_name}"
            lines.append(f"refused {name}: {reason} {count}")
    lines.append(_sums(report))
    return "\n".join(lines)


def _row(item):
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
        _pair(item.times["first_token"], 1.0, 3),
        _pair(item.times["between_tokens"], 1000.0, 1),
        _pair(item.times["whole_answer"], 1.0, 3),
    )


def _pair(histogram, scale, digits):
    values = []
    for percentile in (50.0, 95.0):
        seconds = percentile_s(histogram, percentile)
        values.append("-" if seconds is None else f"{seconds * scale:.{digits}f}")
    return "/".join(values)


def _sums(report):
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


def align(rows):
    """Return rows of cells as lines with aligned columns."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return lines


def compare_reports(before, after):
    """Return a table of what changed from one report to another.

    Parameters
    ----------
    before, after : Report
        Two runs.

    Returns
    -------
    str
        One line a class that both hold, and one for each that only one holds.
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
        rows.append(_compare_row(name, old.get(name), new.get(name)))
    return "\n".join(align(rows))


def _compare_row(name, old, new):
    def change(value):
        return f"{_cell(old, value)} -> {_cell(new, value)}"

    return (
        *name,
        change(lambda item: f"{100.0 * item.on_time / max(1, item.sent):.1f}"),
        change(lambda item: str(sum(item.refused.values()))),
        change(lambda item: str(sum(getattr(item, fault) for fault in FAULTS))),
        change(lambda item: f"{item.goodput_per_s:.2f}"),
        change(lambda item: _p95(item.times["first_token"])),
        change(lambda item: _p95(item.times["whole_answer"])),
    )


def _cell(item, value):
    return "absent" if item is None else value(item)


def _p95(histogram):
    seconds = percentile_s(histogram, 95.0)
    return "-" if seconds is None else f"{seconds:.3f}"
