"""The guarantees on streams that callers take up, checked against a run's records."""

__all__ = ["find_stream_violations"]

# Time after a fault of a host from which on it is judged.
STABLE_S = 3.0
# Of this many streams or more that are taken up, the share that goes on is at least
# this part of the share of new streams that begin.
TAKEN_UP_MIN, TAKEN_UP_PART = 12, 0.5
# Endpoints of a version that have to be ready, and for how long they have been.
SERVING_MIN, SERVING_FOR_S = 2, 1.0
# Faults of a host, and of its links to others, after which it isn't judged for
# `STABLE_S`.
_HOST_FAULTS = (
    "host_kill",
    "host_pause",
    "host_stop",
    "all_hosts_kill",
    "hosts_apart",
)


def find_stream_violations(records, is_disturbed):
    """Return one line for each violation by streams.

    Parameters
    ----------
    records : Records
        What callers and endpoints observed.
    is_disturbed : callable
        ``is_disturbed(records, host, began_s, ended_s, kinds)`` returns whether a host
        had a fault around a span of time.
    """
    return _check_versions(records) + _check_taken_up(records, is_disturbed)


def _check_versions(records):
    """Return the streams with events of several software versions."""
    versions = {}
    for item in records.stream_tries:
        versions.setdefault(item.stream_id, []).append(item)
    found = []
    for stream_id, tries in versions.items():
        seen = {version for item in tries for version in item.versions}
        if len(seen) > 1:
            parts = " ".join(f"{t.request_id}:{','.join(t.versions)}" for t in tries)
            found.append(f"stream {stream_id} is of several versions: {parts}")
    return found


def _check_taken_up(records, is_disturbed):
    """Return whether far fewer streams go on than begin."""
    began_at = {}
    # Numbers of attempts that brought an event, and of all, to begin and to take up.
    served, asked = [0, 0], [0, 0]
    for item in sorted(records.stream_tries, key=lambda t: t.sent_s):
        if item.versions:
            began_at.setdefault(item.stream_id, item.versions[0])
        if is_disturbed(
            records, item.host, item.sent_s - STABLE_S, item.ended_s, _HOST_FAULTS
        ):
            continue
        is_taken_up = item.had_events > 0
        version = began_at.get(item.stream_id)
        if is_taken_up and _count_serving(records, version, item) < SERVING_MIN:
            continue
        asked[is_taken_up] += 1
        served[is_taken_up] += bool(item.versions)
    if asked[1] < TAKEN_UP_MIN or not asked[0]:
        return []
    if served[1] * asked[0] >= TAKEN_UP_PART * served[0] * asked[1]:
        return []
    return [
        f"of {asked[1]} streams that were taken up {served[1]} went on, while of"
        f" {asked[0]} new ones {served[0]} began"
    ]


def _count_serving(records, version, item):
    """Return how many endpoints of a version were ready during an attempt."""
    return sum(
        span.version == version
        and span.began_s <= item.sent_s - SERVING_FOR_S
        and (span.ended_s is None or span.ended_s >= item.ended_s)
        for span in records.serving
    )
