"""What this host knows of the endpoints, and what it tells the schedulers of them."""

from typing import NamedTuple

from gypsumusher_coordination import ENDPOINT_SOURCE, PLATFORM_SOURCE
from gypsumusher_policy import Endpoint

__all__ = ["EndpointEntry", "EndpointTable"]

# Polls in a row without an answer after which an endpoint gets no new work. One lost
# poll is common under load; three take 1.5 s at the default interval.
SILENT_POLLS_MAX = 3


class EndpointEntry(NamedTuple):
    """One endpoint of the platform's list.

    Attributes
    ----------
    name, kind, group, address, zone, region : str
        As listed; ``group`` is the deployment or service.
    listed_leaving : bool
        Whether the list says that it leaves.
    """

    name: str
    kind: str
    group: str
    address: str
    zone: str
    region: str
    listed_leaving: bool


class EndpointTable:
    """The endpoints, from the platform's list, their own reports, and peers.

    An endpoint that leaves is learned from whichever says so first: the list, its own
    report or refusal, or a peer that heard one of them.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gets the engines of each deployment.
    clock, log : callable
        Boot-time clock and structured log.
    """

    def __init__(self, dispatcher, clock, log):
        self.entries = {}
        self.roles = {}
        self.models = {}
        self.reports = {}
        self.silent_polls = {}
        self.draining = {}
        self.crashed_s = {}
        self.silence_listeners = {}
        self.crash_listeners = []
        self._membership = None
        self._dispatcher = dispatcher
        self._clock = clock
        self._log = log
        self._drained = set()
        self._told = {}

    def set_membership(self, membership):
        """Share what is seen here of leaving endpoints with the cell.

        Parameters
        ----------
        membership : Membership
            Takes what the list and the endpoints say, and what peers heard.
        """
        self._membership = membership

    def set_listed(self, listed):
        """Take over the platform's list.

        Parameters
        ----------
        listed : list of ListedHost
            Endpoints; entry hosts in it are passed over.
        """
        entries = {}
        for item in listed:
            if item.kind not in ("engine", "service"):
                continue
            leaving = item.state != "live"
            entries[item.name] = EndpointEntry(*item[:6], leaving)
        for name, entry in entries.items():
            old = self.entries.get(name)
            if old is None or old.address != entry.address:
                # A replaced endpoint begins anew: what was seen of the one before it
                # under this name says nothing of this one.
                self._forget(name)
        for name in list(self.entries):
            if name not in entries:
                self._forget(name)
        self.entries = entries
        now_s = self._clock()
        for name, entry in entries.items():
            self._membership.on_source_report(
                now_s, name, PLATFORM_SOURCE, entry.listed_leaving
            )
        self.publish()

    def set_drained(self, document):
        """Take over the endpoints that the configuration drains.

        Parameters
        ----------
        document : dict
            The configuration document.
        """
        drained = set()
        for section in ("deployments", "services"):
            for group, settings in document.get(section, {}).items():
                for name in settings.get("drain", ()):
                    drained.add((group, name))
        self._drained = drained
        self.publish()

    def on_report(self, report, models):
        """Take over an engine's load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        models : list of (str, str)
            Models it has loaded, with versions.
        """
        name = report.endpoint
        changed = self.silent_polls.get(name, 0) >= SILENT_POLLS_MAX
        changed |= self.draining.get(name, False) != report.draining
        changed |= self.roles.get(name) != report.role
        self.silent_polls[name] = 0
        self.draining[name] = report.draining
        self._membership.on_source_report(
            self._clock(), name, ENDPOINT_SOURCE, report.draining
        )
        self.roles[name] = report.role
        self.models[name] = models
        self.reports[name] = report
        if changed:
            self.publish()
        entry = self.entries.get(name)
        if entry is not None:
            self._dispatcher.apply(entry.group, "on_report", report)

    def on_draining(self, name):
        """Note that an engine refused work because it is draining."""
        self.draining[name] = True
        self._membership.on_source_report(self._clock(), name, ENDPOINT_SOURCE, True)
        self.publish()

    def on_silence(self, name):
        """Note that an engine didn't answer a poll."""
        count = self.silent_polls.get(name, 0) + 1
        self.silent_polls[name] = count
        if count == SILENT_POLLS_MAX:
            self._log("warning", "endpoint_silent", endpoint=name, polls=count)
            for listener in list(self.silence_listeners.get(name, ())):
                listener()
            self.publish()

    def on_crash(self, name, started_s):
        """Note that an engine refuses connections after it had taken them.

        Parameters
        ----------
        name : str
            The engine.
        started_s : float
            When the attempt began that met the crash. Every attempt on a crashed
            engine notices it, some of them late: one that began before a crash that
            is known already tells of that same crash. Counted again, it would blame
            the work that the restarted engine has taken since.
        """
        if self.crashed_s.get(name, float("-inf")) >= started_s:
            return
        self.crashed_s[name] = self._clock()
        self._log("warning", "endpoint_crashed", endpoint=name)
        self.silent_polls[name] = SILENT_POLLS_MAX
        for listener in self.crash_listeners:
            listener(name)
        self.publish()

    def listen_for_silence(self, name, listener):
        """Have a function called when an engine falls silent.

        Parameters
        ----------
        name : str
            The engine.
        listener : callable
            Without arguments.

        Returns
        -------
        callable
            Takes the listener back.
        """
        listeners = self.silence_listeners.setdefault(name, set())
        listeners.add(listener)

        def take_back():
            listeners.discard(listener)
            if not listeners and self.silence_listeners.get(name) is listeners:
                del self.silence_listeners[name]

        return take_back

    def find(self, name):
        """Return an endpoint's entry, or None."""
        return self.entries.get(name)

    def group(self, kind, group):
        """Return the endpoints of a deployment or service.

        Parameters
        ----------
        kind : {"engine", "service"}
            Which of the two.
        group : str
            Its name.
        """
        found = []
        for entry in self.entries.values():
            if entry.kind == kind and entry.group == group:
                found.append(entry)
        return found

    def is_leaving(self, entry):
        """Return whether an endpoint must get no new work."""
        return (
            entry.listed_leaving
            or (entry.group, entry.name) in self._drained
            or self.draining.get(entry.name, False)
            or self._membership.is_endpoint_leaving(entry.name)
        )

    def is_silent(self, name):
        """Return whether an endpoint has stopped answering."""
        return self.silent_polls.get(name, 0) >= SILENT_POLLS_MAX

    def publish(self):
        """Tell each scheduler its engines, where that has changed."""
        engines = {name: [] for name in self._dispatcher.schedulers}
        for entry in self.entries.values():
            if entry.kind != "engine" or entry.group not in engines:
                continue
            if entry.name not in self.roles:
                # Until its first report nobody knows its role; the poll that brings
                # it is at most one interval away.
                continue
            leaving = self.is_leaving(entry) or self.is_silent(entry.name)
            role = self.roles[entry.name]
            engines[entry.group].append(Endpoint(entry.name, entry.zone, role, leaving))
        for group, endpoints in engines.items():
            if self._told.get(group) == endpoints:
                continue
            self._told[group] = endpoints
            self._dispatcher.apply(group, "set_endpoints", endpoints)

    def _forget(self, name):
        """Drop what was learned of an endpoint."""
        for table in (
            self.roles,
            self.models,
            self.reports,
            self.silent_polls,
            self.draining,
            self.crashed_s,
        ):
            table.pop(name, None)
        self._membership.remove_endpoints({name})
