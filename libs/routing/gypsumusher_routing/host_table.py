"""Which entry hosts are alive, from what they say of themselves.

Guards against callers that are sent to a dead host: a connection to a host without
power hangs for a second before the caller tries the next one.
"""

from typing import NamedTuple

__all__ = ["HostStatus", "HostTable", "host_capacity"]

# Silence after which a host isn't named to callers: so many of its periods, and not
# before the least time, in seconds, so that lost datagrams don't take a live host out.
SILENT_PERIODS = 2.6
SILENT_AFTER_S = 1.5
# Silence after which it is forgotten, in seconds: a host that froze or was cut off is
# back by then. One that comes later writes its record again.
FORGOTTEN_AFTER_S = 60.0


class HostStatus(NamedTuple):
    """What a host says of itself.

    Attributes
    ----------
    name : str
        The host.
    started_ms : int
        Unix time of its process's start; a newer one replaces an older.
    sequence : int
        Grows with each message of one process.
    ip, zone, callers_address, peers_address : str
        Where it is.
    is_ready : bool
        Whether it takes callers.
    configuration_version : int
        The configuration that it has in force.
    endpoints_revision : int
        Revision of the endpoints that it knows.
    capacity : float
        Work that it can do, in whole classes of hosts; see `host_capacity`.
    sees_store : bool
        Whether the store answers it.
    store_reachable_s : float
        For how long no call of its to the store has failed, in seconds.
    period_s : float
        After how long its next message comes at the latest, in seconds.
    hosts_recorded : int
        Hosts that it knows of, itself among them; 0 when it hasn't read their records.
    """

    name: str
    started_ms: int
    sequence: int
    ip: str
    zone: str
    callers_address: str
    peers_address: str
    is_ready: bool
    configuration_version: int
    endpoints_revision: int
    capacity: float
    sees_store: bool
    store_reachable_s: float
    period_s: float
    hosts_recorded: int


def host_capacity(cores: float, link_mbps: float) -> float:
    """Return how strong a host is, in steps, so that like hosts count alike.

    Parameters
    ----------
    cores : float
        Cores that its process may use.
    link_mbps : float
        Bandwidth of its link. A request carries tens of kB twice, so some ten
        requests a second take 5 Mbit/s.
    """
    return min(2.0, float(int(cores * 2)) / 2.0, float(int(link_mbps / 20.0)))


class HostTable:
    """The other hosts, by name.

    Parameters
    ----------
    own_name : str
        This host, which isn't in the table.
    """

    def __init__(self, own_name: str):
        self._own_name = own_name
        self._news = {}
        self._heard_s = {}
        self._known = {}
        # When the revision of the endpoints that a host knows last grew.
        self._grown_s = {}
        self._has_read_records = False

    def on_records_read(self) -> None:
        """Note that all records have been read."""
        self._has_read_records = True

    def recorded_count(self) -> int:
        """Return how many hosts it knows of by their records, itself among them.

        Returns
        -------
        int
            0 when the records haven't been read.
        """
        return len(self._known) + 1 if self._has_read_records else 0

    def existing_count(self) -> int:
        """Return how many hosts may exist, itself among them, alive or not.

        For what all hosts share without asking each other: the number doesn't shrink
        when this host hears of fewer.

        Returns
        -------
        int
            0 when neither this host nor one that it heard of has read the records.
        """
        told = max((news.hosts_recorded for news in self._news.values()), default=0)
        known = max(told, self.recorded_count())
        return max(known, len(self._known) + 1) if known else 0

    def on_record(self, now_s: float, name: str, ip: str) -> None:
        """Note that a host exists, from its record in the store."""
        if name == self._own_name:
            return
        self._known[name] = ip
        # One that is never heard of has been silent since its record was found.
        self._heard_s.setdefault(name, now_s)

    def on_status(self, now_s: float, news: HostStatus) -> bool:
        """Take in a message; say whether it is newer than what is known."""
        if news.name == self._own_name:
            return False
        known = self._news.get(news.name)
        if known is not None:
            is_older = (news.started_ms, news.sequence) <= (
                known.started_ms,
                known.sequence,
            )
            # After a jump of its clock back, a restarted host looks older than its
            # past; once that past has been silent for long it is taken at its word.
            if is_older and now_s - self._heard_s[news.name] < SILENT_AFTER_S:
                return False
        if known is not None and news.endpoints_revision > known.endpoints_revision:
            self._grown_s[news.name] = now_s
        self._news[news.name] = news
        self._heard_s[news.name] = now_s
        self._known[news.name] = news.ip
        return True

    def drop_silent(self, now_s: float, listening_since_s: float) -> list[str]:
        """Forget hosts that have been silent for long; return their names.

        Failure guarded against: hosts that were replaced stay known for ever; each of
        them costs a message a second from every host, and the callers' list grows
        with records that lead nowhere.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        listening_since_s : float
            Since when the others speak to this host, in seconds; silence before it
            says nothing.
        """
        dropped = []
        for name, heard_s in list(self._heard_s.items()):
            if now_s - max(heard_s, listening_since_s) > FORGOTTEN_AFTER_S:
                self._drop(name)
                dropped.append(name)
        return dropped

    def drop_unrecorded(self, now_s: float, recorded) -> list[str]:
        """Forget hosts without a record that have fallen silent; return their names.

        One that speaks has only just written its record, or is about to again.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        recorded : collection of str
            Names of the hosts that have a record.
        """
        live = {news.name for news in self.live(now_s)}
        dropped = [name for name in self._known if name not in live | set(recorded)]
        for name in dropped:
            self._drop(name)
        return dropped

    def _drop(self, name):
        """Forget a host."""
        for table in (self._heard_s, self._news, self._known, self._grown_s):
            table.pop(name, None)

    def addresses(self) -> dict[str, str]:
        """Return the IP of each host that may exist, by name."""
        return dict(self._known)

    def live(self, now_s: float) -> list[HostStatus]:
        """Return the hosts that were heard of late."""
        found = []
        for name, news in self._news.items():
            silent_s = max(SILENT_AFTER_S, SILENT_PERIODS * news.period_s)
            if now_s - self._heard_s[name] <= silent_s:
                found.append(news)
        return found

    def peer_saw_store_since(self, now_s: float, since_s: float) -> bool:
        """Say whether the store has answered another host all the while since a time.

        A host whose call hangs takes the store for well until the call fails, so its
        word alone is no sign; a revision that has grown meanwhile is.
        """
        for news in self.live(now_s):
            if not news.sees_store:
                continue
            if self._heard_s[news.name] - news.store_reachable_s > since_s:
                continue
            if self._grown_s.get(news.name, float("-inf")) > since_s:
                return True
        return False

    def newest_versions(self, now_s: float) -> tuple[int, int]:
        """Return the newest configuration and endpoints that a live host knows.

        Returns
        -------
        tuple of int
            A version of the configuration, and a revision of the endpoints.
        """
        versions, revisions = [0], [0]
        for news in self.live(now_s):
            versions.append(news.configuration_version)
            revisions.append(news.endpoints_revision)
        return max(versions), max(revisions)

    def hosts_ahead(
        self, now_s: float, version: int, revision: int
    ) -> list[HostStatus]:
        """Return the live hosts that know a newer configuration or newer endpoints."""
        found = []
        for news in self.live(now_s):
            if (
                news.configuration_version > version
                or news.endpoints_revision > revision
            ):
                found.append(news)
        return found
