"""The table of known endpoints, from which schedulers get their engines."""

from typing import NamedTuple

from gypsumusher_coordination import ENDPOINT_SOURCE, PLATFORM_SOURCE
from gypsumusher_policy import Endpoint

__all__ = ["EndpointEntry", "EndpointTable"]

# Consecutive polls without an answer after which an endpoint gets no new work. A
# single lost poll is common under load; three take 1.5 s at the default interval.
SILENT_POLLS_MAX = 3


class EndpointEntry(NamedTuple):
    """One endpoint of the platform's list.

    Attributes
    ----------
    name, kind, group, address, zone, region : str
        As listed; ``group`` is the deployment or service.
    listed_leaving : bool
        Whether the list gives a state other than live.
    """

    name: str
    kind: str
    group: str
    address: str
    zone: str
    region: str
    listed_leaving: bool


class EndpointTable:
    """State of the endpoints, from the platform's list, their reports and peers.

    An endpoint counts as leaving as soon as any source says so: the platform's list,
    the endpoint's own report or refusal, or a peer that received one of these.

    Parameters
    ----------
    dispatcher : Dispatcher
        Receives the usable engines of each deployment.
    clock, log : callable
        Boot-time clock and structured log.

    Attributes
    ----------
    entries : dict
        Listed endpoints by name, as `EndpointEntry`.
    roles, models, reports : dict
        By engine, the role, the loaded models and the load report that the engine
        last reported.
    silent_polls : dict
        By engine, number of polls in a row without an answer.
    draining : dict
        By engine, whether it last reported itself as draining.
    crashed_s : dict
        By engine, boot-time clock of its last crash.
    silence_listeners : dict
        By engine, functions called when it becomes silent.
    crash_listeners : list
        Functions called with the name of an engine that crashed.
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
        self._published = {}

    def set_membership(self, membership):
        """Set the membership through which peers share leaving endpoints.

        Parameters
        ----------
        membership : Membership
            Merges what the list, the endpoints and peers say of leaving endpoints.
        """
        self._membership = membership

    def set_listed(self, listed):
        """Replace the entries by those of the platform's list.

        Parameters
        ----------
        listed : list of ListedHost
            Listed processes; those other than engines and services are ignored.
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
                # A new address is a new endpoint: the state that its predecessor of
                # the same name left does not apply to it.
                self._drop_state(name)
        for name in list(self.entries):
            if name not in entries:
                self._drop_state(name)
        self.entries = entries
        now_s = self._clock()
        for name, entry in entries.items():
            self._membership.on_source_report(
                now_s, name, PLATFORM_SOURCE, entry.listed_leaving
            )
        self.publish()

    def set_drained(self, document):
        """Set the drained endpoints from the configuration.

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
        """Handle an engine's load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        models : list of (str, str)
            Name and version of each model loaded on the engine.
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
            self._dispatcher.call_scheduler(entry.group, "on_report", report)

    def on_draining(self, name):
        """Mark an engine that refused work because it is draining."""
        self.draining[name] = True
        self._membership.on_source_report(self._clock(), name, ENDPOINT_SOURCE, True)
        self.publish()

    def on_poll_failed(self, name):
        """Count a poll that an engine did not answer; log it as silent at the limit."""
        count = self.silent_polls.get(name, 0) + 1
        self.silent_polls[name] = count
        if count == SILENT_POLLS_MAX:
            self._log("warning", "endpoint_silent", endpoint=name, polls=count)
            for listener in list(self.silence_listeners.get(name, ())):
                listener()
            self.publish()

    def on_crash(self, name, started_s):
        """Handle the crash of an engine, which now refuses connections.

        Parameters
        ----------
        name : str
            The engine.
        started_s : float
            When the attempt that failed by the crash started. Every attempt on a
            crashed engine detects the crash, some of them late: one that started
            before a known crash reports that same crash. Counting it again would
            make the requests suspect that the restarted engine runs by now.
        """
        if self.crashed_s.get(name, float("-inf")) >= started_s:
            return
        self.crashed_s[name] = self._clock()
        self._log("warning", "endpoint_crashed", endpoint=name)
        self.silent_polls[name] = SILENT_POLLS_MAX
        for listener in self.crash_listeners:
            listener(name)
        self.publish()

    def add_silence_listener(self, name, listener):
        """Register a function to be called when an engine becomes silent.

        Parameters
        ----------
        name : str
            The engine.
        listener : callable
            Called without arguments.

        Returns
        -------
        callable
            Removes the listener; takes no arguments.
        """
        listeners = self.silence_listeners.setdefault(name, set())
        listeners.add(listener)

        def remove_listener():
            listeners.discard(listener)
            if not listeners and self.silence_listeners.get(name) is listeners:
                del self.silence_listeners[name]

        return remove_listener

    def find(self, name):
        """Return an endpoint's entry, or None."""
        return self.entries.get(name)

    def group(self, kind, group):
        """Return the endpoints of a deployment or service.

        Parameters
        ----------
        kind : {"engine", "service"}
            Kind of the endpoints: engines of a deployment or replicas of a service.
        group : str
            Name of the deployment or service.
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
        """Return whether an endpoint missed `SILENT_POLLS_MAX` polls in a row."""
        return self.silent_polls.get(name, 0) >= SILENT_POLLS_MAX

    def publish(self):
        """Pass each scheduler its engines if they have changed."""
        engines = {name: [] for name in self._dispatcher.schedulers}
        for entry in self.entries.values():
            if entry.kind != "engine" or entry.group not in engines:
                continue
            if entry.name not in self.roles:
                # The role is unknown before the first report, which arrives within
                # one poll interval.
                continue
            leaving = self.is_leaving(entry) or self.is_silent(entry.name)
            role = self.roles[entry.name]
            engines[entry.group].append(Endpoint(entry.name, entry.zone, role, leaving))
        for group, endpoints in engines.items():
            if self._published.get(group) == endpoints:
                continue
            self._published[group] = endpoints
            self._dispatcher.call_scheduler(group, "set_endpoints", endpoints)

    def _drop_state(self, name):
        """Drop the state of an endpoint."""
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
