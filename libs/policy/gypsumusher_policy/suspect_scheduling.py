"""The suspects of one host: one at a time, on the engine that is this host's for it.

Guards against innocent requests that are convicted together with the one that
crashes engines: two suspects on the engine that crashes next look the same. Several
hosts hold suspects of the same crash, so that each takes another engine, or waits for
its turn where there are fewer engines than hosts.
"""

from collections.abc import Collection

# Wait between the hosts that share an engine for their suspects, in seconds: in this
# time the hosts before have mostly found the one that crashes engines.
TURN_S = 5.0


class SuspectList:
    """Requests under suspicion that wait, and the one that runs."""

    def __init__(self):
        self.waiting = {}
        self.ready_s = {}
        self.probe = None

    def __len__(self):
        return len(self.waiting)

    def push(self, flight, ready_s: float) -> None:
        """Add a request, which may run from a time on."""
        request_id = flight.request.request_id
        self.waiting[request_id] = flight
        self.ready_s[request_id] = ready_s

    def remove(self, request_id: str) -> None:
        """Forget a request, whether it waits or runs."""
        self.waiting.pop(request_id, None)
        self.ready_s.pop(request_id, None)
        self.on_survived(request_id)

    def on_survived(self, request_id: str) -> None:
        """Note that the one that runs has got through its prompt, or has ended.

        Contents that crash engines do so at their prompt, so that the next may start.
        """
        if self.probe == request_id:
            self.probe = None

    def first(self, now_s: float):
        """Return the request to run next, or None: the most urgent one first."""
        ready = []
        for request_id, flight in self.waiting.items():
            if self.ready_s[request_id] <= now_s:
                self.ready_s[request_id] = 0.0
                key = (flight.rank, flight.request.deadline_s, request_id)
                ready.append((key, flight))
        if self.probe is not None or not ready:
            return None
        return min(ready)[1]

    def start(self, request_id: str) -> None:
        """Note that a request runs now."""
        self.remove(request_id)
        self.probe = request_id

    def next_s(self) -> float | None:
        """Return when the next request is ready or too late, or None."""
        # One whose turn has come waits for an event, not for a time.
        times = [ready_s for ready_s in self.ready_s.values() if ready_s]
        times += [flight.request.deadline_s for flight in self.waiting.values()]
        return min(times, default=None)


def host_turn(host: str, peers: list[str], engines: int) -> tuple[int, float]:
    """Return which engine is a host's for its suspects, and its wait in seconds.

    Parameters
    ----------
    host : str
        This host.
    peers : list of str
        The other hosts of the cell.
    engines : int
        Engines to choose from.
    """
    place = sorted([host, *peers]).index(host)
    return place % engines, place // engines * TURN_S


def own_engine(
    host: str, peers: list[str], engines: list, usable: Collection[str]
) -> str | None:
    """Return the engine on which a host tries its suspects, or None.

    The engines are dealt out by their place in the list of all of them, not of those
    that one request may use: that list differs between hosts, and two would take the
    same engine for different places.

    Parameters
    ----------
    host, peers
        As of `host_turn`.
    engines : list of (bool, str)
        All engines in order, the name last.
    usable : collection of str
        Names of those that may run the request now.
    """
    hosts = sorted([host, *peers])
    place = hosts.index(host)
    left = [name for _, name in engines if name in usable]
    own = [name for _, name in engines[place :: len(hosts)] if name in usable]
    if own:
        return own[0]
    # None of its own: together with another host's suspect is better than never.
    return left[place % len(left)] if left else None
