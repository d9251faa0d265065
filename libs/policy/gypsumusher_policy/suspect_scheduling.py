"""Scheduling of suspect requests: one at a time, on engines of their own.

Two suspects on one engine cannot be told apart if it crashes, and a harmless one could
be convicted. Several hosts hold suspects from the same crash, so each host uses a
different engine. If there are fewer engines than hosts, the hosts that share an engine
take turns.
"""

from collections.abc import Collection

# Delay between the hosts that share an engine for their suspects, in seconds. Within
# it, the earlier hosts have mostly found the request that crashes engines.
HOST_TURN_S = 5.0


class SuspectQueue:
    """Waiting suspect requests of one host, and the one that is being tried.

    Attributes
    ----------
    waiting : dict of str to InFlightRequest
        Waiting requests by id.
    ready_s : dict of str to float
        Time from which each of them may run, in seconds; 0 once it has passed.
    trial_id : str or None
        Id of the request that is in prefill now.
    """

    def __init__(self):
        self.waiting = {}
        self.ready_s = {}
        self.trial_id = None

    def __len__(self):
        return len(self.waiting)

    def push(self, in_flight, ready_s: float) -> None:
        """Add a request that may run from the time ``ready_s`` on."""
        request_id = in_flight.request.request_id
        self.waiting[request_id] = in_flight
        self.ready_s[request_id] = ready_s

    def remove(self, request_id: str) -> None:
        """Remove a request, whether it waits or is being tried."""
        self.waiting.pop(request_id, None)
        self.ready_s.pop(request_id, None)
        self.end_trial(request_id)

    def end_trial(self, request_id: str) -> None:
        """Let the next suspect start, if this request is the one being tried.

        Called when the request has passed its prefill or has ended: content that
        crashes engines does so in prefill.
        """
        if self.trial_id == request_id:
            self.trial_id = None

    def next_ready(self, now_s: float):
        """Return the request to try now, by rank and deadline, or None."""
        ready = []
        for request_id, in_flight in self.waiting.items():
            if self.ready_s[request_id] <= now_s:
                self.ready_s[request_id] = 0.0
                key = (in_flight.rank, in_flight.request.deadline_s, request_id)
                ready.append((key, in_flight))
        if self.trial_id is not None or not ready:
            return None
        return min(ready)[1]

    def start_trial(self, request_id: str) -> None:
        """Record that a request is being tried."""
        self.remove(request_id)
        self.trial_id = request_id

    def next_event_s(self) -> float | None:
        """Return when a waiting request becomes ready or misses its deadline, or None.

        A request that is already ready has no entry of its own: it starts on an
        event, not at a time.
        """
        times = [ready_s for ready_s in self.ready_s.values() if ready_s]
        times += [in_flight.request.deadline_s for in_flight in self.waiting.values()]
        return min(times, default=None)


def host_turn(host: str, peers: list[str], engines: int) -> tuple[int, float]:
    """Return the engine that a host uses for its suspects, and the delay of its turn.

    Parameters
    ----------
    host : str
        Name of this host.
    peers : list of str
        Names of the other hosts of the cell.
    engines : int
        Number of engines to choose from.

    Returns
    -------
    index : int
        Position of the engine among the engines.
    delay_s : float
        Delay before the host may use it, in seconds.
    """
    position = sorted([host, *peers]).index(host)
    return position % engines, position // engines * HOST_TURN_S


def choose_suspect_engine(
    host: str, peers: list[str], engines: list, usable: Collection[str]
) -> str | None:
    """Return the engine on which a host tries a suspect, or None.

    Each host gets its share of the list of all engines. The engines that are usable
    for one request would not do, as they differ between hosts, and two hosts could
    choose the same engine from different lists.

    Parameters
    ----------
    host, peers
        As for `host_turn`.
    engines : list of (bool, str)
        All engines in the order in which they are shared out; the second item is the
        name.
    usable : collection of str
        Names of the engines that may run the request now.
    """
    hosts = sorted([host, *peers])
    position = hosts.index(host)
    usable_names = [name for _, name in engines if name in usable]
    own_names = [name for _, name in engines[position :: len(hosts)] if name in usable]
    if own_names:
        return own_names[0]
    # Without a usable engine of its own, the host shares one with another host's
    # suspect rather than never try its own.
    return usable_names[position % len(usable_names)] if usable_names else None
