"""Limits that endpoints state on the rate of requests from all hosts together.

Each host has an equal part of every limit, by the number of hosts that share. Parts too
small to send with would be wasted, so of each limit only a few hosts, the senders, use
their parts. The others lend them theirs for some seconds at a time. A loan is a lease:
it is counted from a message of the borrower, so that it ends at the borrower before its
lender may use the part again, however late messages arrive.

The senders of a limit follow from the hosts' names. A host that may exist and isn't
heard keeps its place among them, so that hosts that are cut off from each other don't
all become senders.

All times are readings of a clock that also advances while the host is suspended.
"""

from typing import NamedTuple

from gypsumusher_routing.rendezvous import rendezvous_weight

__all__ = ["EndpointLimits", "LimitChange", "LimitReport", "LimitView", "LentPart"]

# Share of a limit that is used. Requests arrive some milliseconds after they were sent,
# and may fall into a later window.
USED_SHARE = 0.9
# Number of senders of a limit: this many, and one more for this many requests per
# second. Each may send one request at once.
SENDERS_MIN, LIMIT_PER_SENDER_PER_S = 4, 2.0
# Least rate that is used of a limit, in requests per second. Without any request the
# end of the limit would not show.
MIN_LIMIT_PER_S = 0.1
# Duration of a loan. It is renewed several times before it ends.
LOAN_FOR_S = 6.0
# A host without news of a limit for this long, times the number of hosts, sends one
# request to see whether the limit still exists. All hosts together send one in this
# time.
PROBE_INTERVAL_S = 2.0
# How long the end of a limit is remembered, for reports that arrive late, and how long
# a host that the endpoint has answered reports it.
ENDED_FOR_S, END_REPORTED_FOR_S = 30.0, 3.5
# A limit that falls to this share of what it was is reported at once.
URGENT_SHARE = 0.5
# Longest wait that a refused caller is told, in seconds.
MAX_WAIT_S = 30.0
# Tolerance when a bucket counts as full.
FULL_TOLERANCE = 1e-6


class LimitView(NamedTuple):
    """What this host knows of the hosts that share limits.

    Attributes
    ----------
    part : float
        This host's part of every limit; 0 if it may use none.
    candidates : tuple of str
        Hosts that may serve callers: those known to do so, and those that may exist but
        aren't heard.
    live : frozenset of str
        Hosts that are heard, without this one.
    lends : bool
        Whether this host lends its part when it isn't a sender.
    """

    part: float
    candidates: tuple[str, ...]
    live: frozenset[str]
    lends: bool = True


class LimitReport(NamedTuple):
    """A limit, or the end of one, as a host knows it.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        Id and start time of the endpoint.
    limit_per_s : float or None
        The limit; None if it has ended.
    known_s : float
        When the endpoint's newest response that says so arrived, in seconds.
    """

    incarnation: tuple[str, int]
    limit_per_s: float | None
    known_s: float


class LimitChange(NamedTuple):
    """A change of what is known of a limit.

    Attributes
    ----------
    before_per_s, limit_per_s : float or None
        The limit before and now; None without a limit.
    """

    before_per_s: float | None
    limit_per_s: float | None

    @property
    def is_urgent(self) -> bool:
        """Whether the others have to know at once: it begins, ends, or falls a lot."""
        if self.before_per_s is None or self.limit_per_s is None:
            return True
        return self.limit_per_s <= URGENT_SHARE * self.before_per_s


class LentPart(NamedTuple):
    """A part of a limit that this host lends.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        Id and start time of the endpoint.
    part : float
        The part of the limit.
    """

    incarnation: tuple[str, int]
    part: float


class _Limit:
    """One limit, with a token bucket for the parts that this host may use."""

    def __init__(self, limit_per_s, known_s, now_s):
        self.limit_per_s = limit_per_s
        self.known_s = known_s
        self.tokens = 0.0
        # Requests that were taken from the bucket and are sent later. The bucket is no
        # fuller for them than without.
        self.reserved = 0
        self.updated_s = now_s
        self.probed_s = known_s
        # Time at which the caller that was refused last finds room.
        self.promised_s = float("-inf")
        self.lent_to, self.lent_until_s = None, float("-inf")
        # Part and end of each loan, by lender.
        self.loans = {}
        # Senders, and the view and the number that they were chosen by.
        self.senders = ()
        self.chosen_by = None

    @property
    def used_per_s(self):
        """Rate that all hosts together use."""
        return USED_SHARE * max(MIN_LIMIT_PER_S, self.limit_per_s)


class EndpointLimits:
    """The limits of all endpoints, and this host's use of them.

    Parameters
    ----------
    own_name : str
        Name of this host.
    started_s : float
        Start of this process, in seconds. What an earlier process has lent isn't used
        until it has ended.
    """

    def __init__(self, own_name: str, started_s: float):
        self._own_name = own_name
        self._usable_from_s = started_s + LOAN_FOR_S
        self._limits = {}
        self._ended_s = {}
        # Ends of limits that endpoints' responses to this host have shown.
        self._own_ends_s = {}

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint has a limit."""
        return bool(self._limits)

    @property
    def has_reports(self) -> bool:
        """Whether there may be limits or ends of limits to report."""
        return bool(self._limits or self._own_ends_s)

    def limit_of(self, incarnation) -> float | None:
        """Return the limit of an endpoint in requests per second, or None."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.limit_per_s

    def on_response(self, now_s: float, report: LimitReport) -> LimitChange | None:
        """Apply what a response of the endpoint to this host says; see `on_report`."""
        change = self.on_report(now_s, report)
        if change is not None and change.limit_per_s is None:
            self._own_ends_s[report.incarnation] = now_s
        return change

    def on_report(self, now_s: float, report: LimitReport) -> LimitChange | None:
        """Apply what another host reports.

        Returns
        -------
        LimitChange or None
            None when nothing has changed, or the report is older than what is known.
        """
        incarnation, limit_per_s, known_s = report
        limit = self._limits.get(incarnation)
        if limit is not None and known_s < limit.known_s:
            return None
        if known_s <= self._ended_s.get(incarnation, float("-inf")):
            return None
        if limit_per_s is None:
            if limit is None:
                return None
            del self._limits[incarnation]
            self._ended_s[incarnation] = known_s
            return LimitChange(limit.limit_per_s, None)
        if limit is None:
            self._ended_s.pop(incarnation, None)
            self._limits[incarnation] = _Limit(limit_per_s, known_s, now_s)
            return LimitChange(None, limit_per_s)
        before_per_s, before_used_per_s = limit.limit_per_s, limit.used_per_s
        limit.known_s, limit.limit_per_s = known_s, limit_per_s
        if before_per_s == limit_per_s:
            return None
        promised_for_s = max(0.0, limit.promised_s - now_s)
        # As many callers as before find room in this time.
        promised_for_s *= before_used_per_s / limit.used_per_s
        limit.promised_s = now_s + min(MAX_WAIT_S, promised_for_s)
        if limit_per_s < before_per_s:
            # What was saved up under a higher limit is too much under a lower one.
            limit.tokens *= limit_per_s / before_per_s
            limit.reserved = int(limit.reserved * limit_per_s / before_per_s)
        return LimitChange(before_per_s, limit_per_s)

    def drop_gone(self, now_s: float, is_gone) -> None:
        """Forget limits of endpoints that are gone, and old ends of limits.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        is_gone : callable
            ``is_gone(incarnation)``.
        """
        for incarnation in list(self._limits):
            if is_gone(incarnation):
                del self._limits[incarnation]
        for table, kept_s in (
            (self._ended_s, ENDED_FOR_S),
            (self._own_ends_s, END_REPORTED_FOR_S),
        ):
            for incarnation, ended_s in list(table.items()):
                if now_s - ended_s > kept_s:
                    del table[incarnation]

    def reports(self, view: LimitView) -> list[LimitReport]:
        """Return the limits that this host is the first live sender of."""
        found = []
        for incarnation, limit in self._limits.items():
            senders = self._senders(incarnation, limit, view)
            heard = [s for s in senders if s in view.live or s == self._own_name]
            if heard and heard[0] == self._own_name:
                found.append(LimitReport(incarnation, limit.limit_per_s, limit.known_s))
        return found

    def end_reports(self) -> list[LimitReport]:
        """Return the ends of limits that endpoints have lately shown to this host."""
        return [
            LimitReport(incarnation, None, ended_s)
            for incarnation, ended_s in self._own_ends_s.items()
            if incarnation not in self._limits
        ]

    def may_send(
        self, now_s: float, incarnation, view: LimitView, is_needed: bool = True
    ) -> bool:
        """Return whether a request may be sent to an endpoint now.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        incarnation : tuple of (str, int)
            Id and start time of the endpoint.
        view : LimitView
            The hosts that share the limit.
        is_needed : bool
            Whether no other endpoint can be used. Otherwise a request may be sent only
            if this host has saved up all that it may.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return True
        capacity = self._refill(now_s, incarnation, limit, view)
        if self._is_probe_due(now_s, limit, view):
            return True
        if is_needed:
            return limit.tokens >= 1.0
        return limit.tokens >= max(1.0, capacity - FULL_TOLERANCE)

    def reserve(self, now_s: float, incarnation, view: LimitView) -> bool:
        """Reserve a request that is sent later; return whether that is possible."""
        limit = self._limits.get(incarnation)
        if limit is None:
            return True
        self._refill(now_s, incarnation, limit, view)
        if limit.tokens < 1.0:
            return False
        limit.tokens -= 1.0
        limit.reserved += 1
        return True

    def release(self, incarnation) -> None:
        """Give back a reserved request that won't be sent."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.reserved:
            limit.reserved -= 1
            limit.tokens += 1.0

    def take(
        self, now_s: float, incarnation, view: LimitView, is_reserved: bool = False
    ) -> bool:
        """Use the limit for one request, and return whether it may be sent.

        Parameters
        ----------
        now_s, incarnation, view
            See `may_send`.
        is_reserved : bool
            Whether the request was reserved. A limit that has fallen or begun since
            holds fewer reserved requests than there were.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return True
        if is_reserved and limit.reserved:
            limit.reserved -= 1
            return True
        self._refill(now_s, incarnation, limit, view)
        if limit.tokens >= 1.0:
            limit.tokens -= 1.0
            return True
        if self._is_probe_due(now_s, limit, view):
            # What a sender sends ahead of its part, it saves up afterwards.
            limit.tokens -= 1.0
            limit.probed_s = now_s
            return True
        return False

    def give_back(self, incarnation) -> None:
        """Give back what was taken for a request that wasn't sent."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            limit.tokens += 1.0

    def wait_s(self, now_s: float, incarnation, view: LimitView) -> float:
        """Return the time until a request may be sent to an endpoint, in seconds.

        On a host that sends nothing to the endpoint this is the time in which all hosts
        together send it one request.
        """
        limit = self._limits.get(incarnation)
        if limit is None:
            return 0.0
        self._refill(now_s, incarnation, limit, view)
        rate_per_s = limit.used_per_s * self._part(now_s, incarnation, limit, view)
        if not rate_per_s:
            return min(MAX_WAIT_S, 1.0 / limit.used_per_s)
        return min(MAX_WAIT_S, max(0.0, 1.0 - limit.tokens) / rate_per_s)

    def promise_return_s(self, now_s: float, incarnations, view) -> float | None:
        """Return after which time a refused caller finds room at some endpoints.

        Each call takes one future send of one of the endpoints, so that callers that
        are refused together don't all come back for the same one.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        incarnations : list of (str, int)
            Ids and start times of the endpoints.
        view : LimitView
            The hosts that share the limits.

        Returns
        -------
        float or None
            Time in seconds; None when limits don't keep the caller's request from all
            of the endpoints.
        """
        known = []
        for incarnation in incarnations:
            if self.may_send(now_s, incarnation, view):
                return None
            limit = self._limits[incarnation]
            part = self._part(now_s, incarnation, limit, view)
            known.append((incarnation, limit, limit.used_per_s * part))
        # Endpoints that this host sends nothing to count only if it sends to none.
        known = [entry for entry in known if entry[2]] or [
            (incarnation, limit, limit.used_per_s) for incarnation, limit, _ in known
        ]
        first, first_s = None, float("inf")
        for incarnation, limit, rate_per_s in known:
            free_s = now_s + self.wait_s(now_s, incarnation, view)
            free_s = max(free_s, limit.promised_s + 1.0 / rate_per_s)
            if free_s < first_s:
                first, first_s = limit, free_s
        if first is None:
            return None
        first.promised_s = min(first_s, now_s + MAX_WAIT_S)
        return first.promised_s - now_s

    def lend(self, now_s: float, view: LimitView, heard_s) -> dict[str, list[LentPart]]:
        """Lend the parts that this host doesn't use; return them by borrower.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        view : LimitView
            The hosts that share limits.
        heard_s : dict of str to float
            When the newest message of each live host arrived, in seconds; a loan counts
            from that message.
        """
        lent = {}
        if not view.part or not view.lends or now_s < self._usable_from_s:
            return lent
        for incarnation, limit in self._limits.items():
            senders = self._senders(incarnation, limit, view)
            live = [sender for sender in senders if sender in heard_s]
            if self._own_name in senders or not live:
                continue
            key = f"{incarnation[0]}/{self._own_name}"
            borrower = max(live, key=lambda sender: rendezvous_weight(sender, key))
            if borrower != limit.lent_to and now_s < limit.lent_until_s:
                # The earlier borrower may still be using the part.
                continue
            limit.lent_to = borrower
            limit.lent_until_s = max(limit.lent_until_s, heard_s[borrower] + LOAN_FOR_S)
            lent.setdefault(borrower, []).append(LentPart(incarnation, view.part))
        return lent

    def on_loan(self, lender: str, lent: LentPart, asked_s: float) -> None:
        """Record a part that another host lends to this one.

        Parameters
        ----------
        lender : str
            Name of the other host.
        lent : LentPart
            What it lends.
        asked_s : float
            When this host sent the message from which the loan counts, in seconds.
        """
        limit = self._limits.get(lent.incarnation)
        if limit is not None:
            limit.loans[lender] = (lent.part, asked_s + LOAN_FOR_S)

    def part_of(self, now_s: float, incarnation, view: LimitView) -> float:
        """Return the part of an endpoint's limit that this host may use now."""
        limit = self._limits.get(incarnation)
        return 1.0 if limit is None else self._part(now_s, incarnation, limit, view)

    def _part(self, now_s, incarnation, limit, view):
        """Return the part of a limit that this host may use; 0 if it is no sender."""
        if self._own_name not in self._senders(incarnation, limit, view):
            return 0.0
        part = 0.0
        if now_s >= max(self._usable_from_s, limit.lent_until_s):
            part = view.part
        for lender, (lent, until_s) in list(limit.loans.items()):
            if now_s >= until_s:
                del limit.loans[lender]
                continue
            part += lent
        return min(1.0, part)

    def _senders(self, incarnation, limit, view):
        """Return the senders of a limit, the same on all hosts with the same view."""
        count = SENDERS_MIN + int(limit.limit_per_s / LIMIT_PER_SENDER_PER_S)
        if limit.chosen_by != (view.candidates, count):
            limit.chosen_by = (view.candidates, count)
            ranked = sorted(
                view.candidates,
                key=lambda name: rendezvous_weight(name, incarnation[0]),
            )
            limit.senders = tuple(ranked[:count])
        return limit.senders

    def _refill(self, now_s, incarnation, limit, view):
        """Add what has accrued since the last update; return the most that fits in.

        What is reserved takes a place in the bucket until it is sent.
        """
        part = self._part(now_s, incarnation, limit, view)
        capacity = 1.0 + limit.limit_per_s * part if part else 0.0
        capacity = max(0.0, capacity - limit.reserved)
        passed_s = max(0.0, now_s - limit.updated_s)
        limit.tokens = min(capacity, limit.tokens + limit.used_per_s * part * passed_s)
        limit.updated_s = now_s
        return capacity

    def _is_probe_due(self, now_s, limit, view):
        """Return whether this host is to see whether a limit still exists."""
        if not view.part:
            return False
        since_s = max(limit.known_s, limit.probed_s)
        return now_s - since_s > max(LOAN_FOR_S, PROBE_INTERVAL_S / view.part)
