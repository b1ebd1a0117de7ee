"""Scheduler of the requests of one node, with the fleet state that it decides from."""

import random
import threading

from hibiscusspar.fleet.dropped_services import DroppedServices
from hibiscusspar.fleet.load_counts import current_load, loads_of_others
from hibiscusspar.fleet.messages import NodeReport, TargetLoad
from hibiscusspar.fleet.peers import decision_interval_s
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.reported_queues import reported_backlogs
from hibiscusspar.fleet.routing import ChoicePolicy
from hibiscusspar.fleet.usable_targets import UsableTargets
from hibiscusspar.fleet.waiting import Send, Wait, wait_for_open_target
from hibiscusspar.fleet.wants import group_wants
from hibiscusspar.outbox import Outbox
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.adapters_in_use import AdaptersInUse
from hibiscusspar_entry.fleet.admission_exchange import AdmissionGate
from hibiscusspar_entry.fleet.call_times_exchange import CallTimesExchange
from hibiscusspar_entry.fleet.candidates import EVERY_TARGET, make_candidates
from hibiscusspar_entry.fleet.placement import Placement, Ticket
from hibiscusspar_entry.fleet.sent_reports import SentReports
from hibiscusspar_entry.fleet.software_versions import SoftwareVersions

__all__ = ["RequestScheduler"]

_CHOICE_POLICY = ChoicePolicy()
# Targets whose residency a node requests with one report.
_MAX_REQUESTED = 16
# Failures that a refused connection counts as: enough to eject the target.
_UNREACHABLE_FAILURES = 3
# Requests of all nodes that wait for an adapter and may all be sent once it is ready.
_FEW_WAITING = 3
# Requests beyond its slots that may queue at a target without an engine.
_PLAIN_QUEUE_SLOTS = 2


class RequestScheduler:
    """Scheduler that assigns the requests of one node to targets.

    One lock guards all its tables.

    Parameters
    ----------
    node, start, zone : str
    clock : callable
    ejection : EjectionTable
    version_grace_s : float
        Time for which an older version of an adapter may serve after a newer one was
        announced.
    gate : TargetGate
    admission : AdmissionGate, optional
        By default one for services with one priority each.
    """

    def __init__(
        self, node, start, zone, clock, ejection, version_grace_s, gate, admission=None
    ):
        self.lock = threading.Lock()
        self.zone = zone
        self._node = node
        self._start = start
        self._clock = clock
        self._ejection = ejection
        self._usable = UsableTargets(ejection, version_grace_s)
        self._targets = {}
        self._has_engine = {}
        self._dropped = DroppedServices()
        self._waiting = []
        self._loads = {}
        self._in_use = AdaptersInUse()
        self._view = None
        self._view_received_at = None
        self._loads_of_others = {}
        self._reports = SentReports()
        self._prompt_queues = PromptQueues(_CHOICE_POLICY.prompt_tokens_s)
        self._gate = gate
        self._admission = admission or AdmissionGate()
        self.calls = CallTimesExchange(clock)
        self.software = SoftwareVersions(clock)
        self._rng = random.Random(f"{node}/{start}")
        self._next_decision_at = 0.0
        self.direct_peers = 0
        self.request_report = lambda: None
        # Returns the ids and addresses of the targets to which this node has idle
        # connections.
        self.idle_targets = lambda: EVERY_TARGET
        self.on_sent = lambda target, tokens: None
        # Returns a refusal if no target of a service may be used, else None.
        self.refusal = lambda service: None
        # Returns the factor of a target on the usual times.
        self.factor = lambda target_id: 1.0

    @property
    def view_age_s(self):
        """Seconds since the last view of the coordinator, None before the first."""
        if self._view_received_at is None:
            return None
        return self._clock() - self._view_received_at

    @property
    def nodes(self):
        """Number of nodes in the last view, 1 before the first."""
        return max(1, self._view.nodes) if self._view else 1

    def configure(self, ruleset):
        """Record the services, and refuse requests that wait for a dropped one."""
        with self.lock:
            services = ruleset.services.values()
            self._has_engine = {s.name: s.engine is not None for s in services}
            self.calls.configure(s.name for s in services if s.engine is None)
            self._dropped.configure(self._has_engine)
            self._refuse_dropped(self._clock())

    def reading_until(self, target_id):
        """Return the time until which a target reads the prompts known here."""
        return self._prompt_queues.done_at(target_id)

    def set_targets(self, targets):
        """Replace the directory of targets and retry the waiting requests."""
        with self.lock:
            now = self._clock()
            self.software.set_targets(targets)
            self._targets = targets
            self._usable.set_targets(targets)
            self.calls.set_targets(targets)
            self._prompt_queues.retain(targets)
            self._gate.retain(targets)
            self._ejection.retain(targets)
            self._dropped.set_targets(targets)
            self._refuse_dropped(now)
            self._retry_waiting(now)

    def targets_listing_other(self, service, model, version):
        """Return the targets of a service that list another version of a model.

        Parameters
        ----------
        service, model : str
        version : int

        Returns
        -------
        set of str
        """
        with self.lock:
            return {
                target.target_id
                for target in self._targets.values()
                if target.service == service
                and target.models.get(model, version) != version
            }

    def serves(self, origin, excluded=frozenset()):
        """Return whether a target remains that may continue a stream.

        Parameters
        ----------
        origin : StreamOrigin
        excluded : frozenset of str, optional
            Targets that must not continue it.
        """
        service, software = origin
        with self.lock:
            return bool(software) and any(
                target.target_id not in excluded and target.software == software
                for target in self._usable.staying(service).values()
            )

    def is_current(self, target):
        """Return whether the directory still shows a target as it was."""
        with self.lock:
            known = self._targets.get(target.target_id)
            return known is not None and (
                (known.born, known.software) == (target.born, target.software)
            )

    def announce(self, key, version, age_s=0.0):
        """Record that a version of an adapter was announced ``age_s`` ago."""
        with self.lock:
            self._usable.announce(self._clock() - age_s, key, version)

    def apply_view(self, view):
        """Apply a view of the coordinator.

        Returns
        -------
        dict of str to float
            Tokens used by account in the report of this node that the view answers.
        """
        with self.lock:
            now = self._clock()
            self._view = view
            self._view_received_at = now
            acked_loads, used = self._reports.find(view.acked.get(self._node, 0))
            self._loads_of_others = loads_of_others(view.loads, acked_loads)
            self._gate.apply_view(now, view)
            self._admission.apply_view(now, view, self._node)
            self.calls.apply_view(now, view, self._loads_of_others)
            self._usable.apply_view(now, view)
            self._record_reported_queues(now)
            return used

    def apply_notice(self, notice):
        """Apply what a notice tells of requests just sent, and of loads just begun."""
        with self.lock:
            now = self._clock()
            self.calls.apply_sends(now, notice.sends)
            for target_id, tokens in notice.sends:
                if target_id in self._targets:
                    factor = self.factor(target_id)
                    self._prompt_queues.record_send(now, target_id, tokens, factor)
            for load in notice.loads:
                self._usable.apply_load(now, load)
                if load.waiting <= _FEW_WAITING:
                    ready_at = now + load.ready_in_s
                    self._next_decision_at = min(self._next_decision_at, ready_at)

    def submit(self, job):
        """Add a request and return its ticket, which may be decided already."""
        with self.lock:
            now = self._clock()
            ticket = Ticket(self._admission.enter(now, job))
            must_yield = self._admission.must_yield(now, job, self._busy_jobs)
            if must_yield or not self._decide(now, ticket):
                self._waiting.append(ticket)
        if not ticket.decided.is_set():
            self.request_report()
        return ticket

    def withdraw(self, ticket):
        """Remove a request, and release its target if one was just chosen."""
        with self.lock:
            if ticket in self._waiting:
                self._waiting.remove(ticket)
            placement = ticket.placement
        if placement is not None:
            self.release(placement, first_byte=False)

    def record_first_byte(self, placement):
        """Record that a target has read the prompt of a request."""
        with self.lock:
            load = self._load(placement.target.target_id)
            load.queued_prompt_tokens -= placement.prompt_tokens

    def release(self, placement, first_byte):
        """Release the target of a request that has ended.

        Parameters
        ----------
        placement : Placement
        first_byte : bool
            Whether the first byte of the answer was received.
        """
        with self.lock:
            target_id = placement.target.target_id
            load = self._load(target_id)
            load.running -= 1
            if not first_byte:
                load.queued_prompt_tokens -= placement.prompt_tokens
            self._in_use.remove(target_id, placement.key)
            self._retry_waiting(self._clock())

    def record_missing_adapter(self, placement):
        """Record that an adapter is not resident at a target that should hold it."""
        with self.lock:
            target_id = placement.target.target_id
            self._usable.record_missing(self._clock(), target_id, placement.key)

    def apply_permits(self, grant):
        """Add the permits that the coordinator has issued to this process."""
        with self.lock:
            now = self._clock()
            if grant.start != self._start or grant.fence < self._fence:
                return
            self._gate.add_permits(now, grant)
            self._next_decision_at = now
            self._retry_waiting(now)

    def record_success(self, target_id):
        """Record that a target answered."""
        with self.lock:
            out = Outbox()
            self._ejection.succeeded(target_id, out)
        write_records(out.records)

    def record_failure(self, target_id, unreachable=False):
        """Record that a target failed a request or can't be reached."""
        with self.lock:
            out, count = Outbox(), _UNREACHABLE_FAILURES if unreachable else 1
            for _ in range(count):
                self._ejection.failed(self._clock(), target_id, out)
        write_records(out.records)

    def tick(self):
        """Retry the waiting requests if a decision is due."""
        with self.lock:
            now = self._clock()
            self._usable.expire(now)
            self._retry_waiting(now)

    def report(self, used, duties=None):
        """Return this node's report to the coordinator."""
        with self.lock:
            now = self._clock()
            self._gate.retain(self._targets)
            loads = {
                target_id: TargetLoad(load.running, load.queued_prompt_tokens)
                for target_id, load in self._loads.items()
                if load.running or load.queued_prompt_tokens
            }
            number = self._reports.add(loads, dict(used))
            permit_demand = self._gate.take_demand(
                now,
                [ticket.job for ticket in self._waiting],
                lambda job: self._usable.versions(now, job),
            )
            report = NodeReport(
                node=self._node,
                start=self._start,
                zone=self.zone,
                number=number,
                loads=loads,
                in_use=self._in_use.rows(),
                wants=group_wants(
                    [ticket.job for ticket in self._waiting],
                    self.zone,
                    lambda job: bool(self._candidates(now, job)[0]),
                    lambda job: self._excluded_from_loads(now, job),
                ),
                used=dict(used),
                duties=duties or {},
                lacked_residency=self._usable.lacked_residency[:_MAX_REQUESTED],
                limits=self._gate.report_rows(permit_demand),
                permit_demand=permit_demand,
            )
            self._admission.complete_report(now, report, self._busy_jobs)
            self.calls.complete_report(now, report)
            return report

    @property
    def has_waiting(self):
        """Whether requests wait for a target."""
        return bool(self._waiting)

    def status(self):
        """Return the numbers of waiting requests, targets and running requests."""
        with self.lock:
            running = sum(load.running for load in self._loads.values())
            return len(self._waiting), len(self._targets), running

    @property
    def _busy_jobs(self):
        """Jobs that wait for room at a target."""
        return [t.job for t in self._waiting if t.waits_for == "busy"]

    @property
    def _fence(self):
        return self._view.fence if self._view else 0

    def _load(self, target_id):
        return self._loads.setdefault(target_id, TargetLoad(0, 0))

    def _retry_waiting(self, now):
        """Retry the waiting requests if the interval between decisions has passed."""
        if self._waiting and now >= self._next_decision_at:
            interval_s = decision_interval_s(self.direct_peers, self._rng.random())
            self._next_decision_at = now + interval_s
            self._waiting.sort(key=lambda t: self._admission.sort_key(now, t.job))
            taken, known = set(), {}
            self._waiting = [
                ticket
                for ticket in self._waiting
                if not self._decide(now, ticket, taken, known)
            ]

    def _refuse_dropped(self, now):
        """Refuse the requests that wait for a service that was dropped."""
        self._waiting = [
            ticket
            for ticket in self._waiting
            if self._dropped.refusal(ticket.job) is None
            or not self._decide(now, ticket)
        ]

    def _decide(self, now, ticket, taken=None, known=None):
        """Try to decide a request and return whether it is decided.

        ``taken`` holds the targets that got a stream in this round of decisions. A
        target gets at most one stream a round, to bound what nodes that decide at the
        same moment send to it. ``known`` holds the candidates of earlier requests of
        the round.
        """
        job = ticket.job
        known = {} if known is None else known
        group = (job.service, job.key, job.software, job.broken_at, job.excluded)
        if group not in known:
            known[group] = self._candidates(now, job)
        candidates, versions = known[group]
        if taken and job.max_gap_s and self.direct_peers and now < job.give_up_at:
            remaining = [row for row in candidates if row.target_id not in taken]
            if candidates and not remaining:
                return False
            candidates = remaining
        refusal = None
        if not candidates:
            refusal = self.refusal(job.service) or self._dropped.refusal(job)
        decision = refusal or self.calls.decide(now, job, candidates, self.zone)
        # A request whose adapter no target holds waits, so that one loads it.
        if (
            isinstance(decision, Wait)
            and not candidates
            and not self._gate.is_idle
            and self._usable.versions(now, job)
        ):
            # Open targets can load the adapter.
            remaining = self._usable.usable(now, job)
            wait_s = self._gate.wait_s(now, remaining)
            decision = wait_for_open_target(now, job, wait_s)
        decision = self._admission.review(now, job, decision)
        if isinstance(decision, Wait):
            ticket.waits_for = decision.reason
            return False
        self._admission.record(now, job, decision)
        if not isinstance(decision, Send):
            ticket.resolve(decision)
            return True
        target = self._targets[decision.target_id]
        placement = Placement(
            target,
            job.key,
            versions[decision.target_id],
            job.prompt_tokens,
            decision.first_byte_s,
            self._gate.record_send(target.target_id),
        )
        load = self._load(target.target_id)
        load.running += 1
        load.queued_prompt_tokens += job.prompt_tokens
        if job.key[0]:
            self._in_use.add(target.target_id, job.key)
        if self._has_engine.get(target.service):
            factor = self.factor(target.target_id)
            self._prompt_queues.record_send(
                now, target.target_id, job.prompt_tokens, factor
            )
            self.on_sent(target, job.prompt_tokens)
        elif self.calls.announces(now, target.service):
            self.on_sent(target, 0)
        if taken is not None:
            taken.add(target.target_id)
        # The request changes the load of its target.
        known.clear()
        self._ejection.record_attempt(now, target.target_id, Outbox())
        ticket.resolve(decision, placement)
        return True

    def _candidates(self, now, job):
        """Return the targets that can run a job, and the version that each serves."""
        versions = self._usable.versions(now, job)
        if not self._gate.is_idle:
            open_targets = self._gate.open_targets(now, versions.keys())
            versions = {t: v for t, v in versions.items() if t in open_targets}
        if job.key[1]:
            newest = max(versions.values(), default=0)
            versions = {t: v for t, v in versions.items() if v == newest or not v}
        usable = versions.keys() - job.excluded if job.excluded else versions
        targets = [self._targets[target_id] for target_id in sorted(usable or versions)]
        is_engine = self._has_engine.get(job.service)
        return make_candidates(
            targets,
            self._loads,
            self._loads_of_others,
            self._prompt_queues.backlogs(now),
            self.idle_targets(),
            self._gate.usable_slots if self._gate.has_brittle else None,
            0 if is_engine else _PLAIN_QUEUE_SLOTS,
            self.factor if is_engine else None,
        ), versions

    def _excluded_from_loads(self, now, job):
        """Return the targets at which no adapter should be loaded for a job."""
        usable = self._usable.usable(now, job)
        closed = self._gate.excluded_from_loads(now, usable)
        return sorted(self._usable.staying(job.service).keys() - usable | closed)

    def load_of_all(self, target_id):
        """Return the running requests and queued prompt tokens of a target."""
        others = self._loads_of_others.get(target_id)
        return current_load(self._loads.get(target_id), others, None)

    def _record_reported_queues(self, now):
        """Raise the prompt queues of targets to those that a view has shown."""
        loads, known = (self._loads_of_others, self._loads), self._prompt_queues.targets
        backlogs = reported_backlogs(_CHOICE_POLICY, *loads, known, self._factor_of)
        self._prompt_queues.record_reports(now, backlogs)

    def _factor_of(self, target_id):
        """Return the factor of a target, None if it isn't in the directory."""
        target = self._targets.get(target_id)
        if target is None:
            return None
        return self.factor(target_id) if self._has_engine.get(target.service) else 1.0
