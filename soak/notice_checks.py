"""The guarantees to endpoints that say something of themselves, checked by records."""

__all__ = ["find_notice_violations"]

# Time after which no host that has passed on a response of a leaving endpoint sends it
# a later request.
DRAIN_S = 2.0
# What is under way when an endpoint turns a host away may arrive within this time; and
# the number of requests that may arrive in the rest of its pause.
GRACE_S, PAUSED_MAX = 0.5, 2
# Faults of a host that end its process or hold it up.
_HOST_FAULTS = (
    "host_kill",
    "host_pause",
    "host_stop",
    "host_replace",
    "host_slow",
    "all_hosts_kill",
)
# Faults in which a response may be lost or late on its way to the host, or a request
# on its way to the endpoint.
_LINK_FAULTS = (
    "link_delay",
    "link_reset",
    "link_silent",
    "link_one_way",
    "all_links_silent",
    "host_links_cut",
    "host_links_partly_cut",
)
# Longest time for which the soak's own process may stand still in a pause.
STALLED_MAX_S = 0.2


def find_notice_violations(records, is_disturbed):
    """Return one line for each violation of what endpoints have said.

    Parameters
    ----------
    records : Records
        What callers and endpoints observed.
    is_disturbed : callable
        ``is_disturbed(records, host, began_s, ended_s, kinds)`` returns whether a host
        had a fault around a span of time.
    """
    arrivals = {}
    for arrival in records.instance_arrivals:
        host = records.hosts.get(arrival.request_id)
        arrivals.setdefault((arrival.endpoint, host), []).append(arrival)
    return _check_leaving(records, arrivals, is_disturbed) + _check_pauses(
        records, arrivals, is_disturbed
    )


def _check_leaving(records, arrivals, is_disturbed):
    """Return the requests that leaving endpoints got from hosts that knew it."""
    last = {a.request_id: a.endpoint for a in records.instance_arrivals}
    ended_s = {o.request_id: o.ended_s for o in records.outcomes if o.is_sealed}
    told_s = {}
    for notice in records.notices:
        request_id = notice.request_id
        is_passed_on = request_id in ended_s and last.get(request_id) == notice.instance
        if notice.pause_s is None and is_passed_on:
            key = (notice.instance, records.hosts.get(request_id))
            told_s[key] = min(ended_s[request_id], told_s.get(key, float("inf")))
    found = []
    for key, from_s in told_s.items():
        for arrival in arrivals[key]:
            _, sent_s = records.sent[arrival.request_id]
            if sent_s <= from_s + DRAIN_S:
                continue
            if not is_disturbed(records, key[1], from_s, arrival.at_s, _HOST_FAULTS):
                found.append(
                    f"request sent to an endpoint that had said at {from_s:.2f} s that"
                    f" it leaves: {arrival} from {key[1]}"
                )
    return found


def _check_pauses(records, arrivals, is_disturbed):
    """Return the pauses in which endpoints got too many requests from a host."""
    found = []
    for notice in records.notices:
        host = records.hosts.get(notice.request_id)
        if notice.pause_s is None or host is None:
            continue
        from_s, until_s = notice.at_s + GRACE_S, notice.at_s + notice.pause_s
        arrived = [
            arrival
            for arrival in arrivals[(notice.instance, host)]
            if from_s < arrival.at_s < until_s
        ]
        if len(arrived) <= PAUSED_MAX:
            continue
        kinds = _HOST_FAULTS + _LINK_FAULTS
        if is_disturbed(records, host, notice.at_s, until_s, kinds):
            continue
        if records.stalled_s(notice.at_s, until_s) > STALLED_MAX_S:
            continue
        found.append(
            f"{notice.instance} got {len(arrived)} requests from {host} in a pause of"
            f" {notice.pause_s} s from {notice.at_s:.2f} s on: {arrived[0]}"
        )
    return found
