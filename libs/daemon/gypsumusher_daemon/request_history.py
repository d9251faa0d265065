"""The recent history of each request, for operators who ask what became of it."""

from collections import OrderedDict

__all__ = ["RequestsLog"]

# At 30 requests/s a host keeps about five minutes; an entry is a few hundred bytes.
REQUESTS_MAX = 10_000
EVENTS_MAX = 64


class RequestsLog:
    """What happened to the last requests, oldest forgotten first."""

    def __init__(self, limit=REQUESTS_MAX):
        self._events = OrderedDict()
        self._limit = limit

    def add(self, request_id, at_s, event, **fields):
        """Note one event of a request.

        Parameters
        ----------
        request_id : str
            The request.
        at_s : float
            Boot-time clock of this host.
        event : str
            What happened.
        **fields
            Small values, no payloads.
        """
        events = self._events.get(request_id)
        if events is None:
            events = self._events[request_id] = []
            if len(self._events) > self._limit:
                self._events.popitem(last=False)
        if len(events) < EVENTS_MAX:
            events.append({"at_s": at_s, "event": event, **fields})

    def find(self, request_id):
        """Return the events of a request, or None when it is not known here."""
        return self._events.get(request_id)
