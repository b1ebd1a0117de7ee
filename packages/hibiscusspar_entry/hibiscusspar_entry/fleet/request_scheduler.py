"""Scheduler of the requests of one node, with the fleet state that it decides from."""

import random
import threading

from hibiscusspar.fleet.load_counts import current_load
from hibiscusspar.fleet.messages import NodeReport
from hibiscusspar.fleet.peers import decision_interval_s
from hibiscusspar.fleet.prompt_queue import PromptQueues
from hibiscusspar.fleet.residency_copy import ResidencyCopy
from hibiscusspar.fleet.routing import Candidate, ChoicePolicy, backlog_s
from hibiscusspar.fleet.software_history import SoftwareHistory
from hibiscusspar.fleet.stream_origins import can_be_continued, may_continue
from hibiscusspar.fleet.token_memory import TokenMemory
from hibiscusspar.fleet.waiting import Send, Wait, wait_for_open_target
from hibiscusspar.fleet.wants import group_wants
from hibiscusspar.outbox import Outbox
from hibiscusspar_entry.event_log import write_records
from hibiscusspar_entry.fleet.admission_exchange import AdmissionGate
from hibiscusspar_entry.fleet.own_loads import OwnLoads
from hibiscusspar_entry.fleet.placement import Placement, Ticket
from hibiscusspar_entry.fleet.rate_exchange import RateExchange
from hibiscusspar_entry.fleet.sent_reports import SentReports

__all__ = ["RequestScheduler"]

_CHOICE_POLICY = ChoicePolicy()
# Age of a view, in seconds, beyond which the directory's entries count as well.
_VIEW_STALE_S = 1.5
# Time in seconds for which a target gets no request for an adapter after it answered
# that the adapter is not resident.
_MISSING_ADAPTER_S = 0.15
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
    rates : RateExchange, optional
        What the engines of services can do.
    """

    def __init__(
        self,
        node,
        start,
        zone,
        clock,
        ejection,
        version_grace_s,
        gate,
        admission=None,
        rates=None,
    ):
        self.lock = threading.Lock()
        self.zone = zone
        self._node = node
        self._start = start
        self._clock = clock
        self._ejection = ejection
        self._version_grace_s = version_grace_s
        self._targets = {}
        self._has_engine = {}
        self._waiting = []
        self._loads = OwnLoads()
        self._residency = ResidencyCopy()
        self._view = None
        self._view_received_at = None
        self._acked_loads = {}
        self._newest_versions = {}
        self._missing_until = {}
        self._reports = SentReports()
        self._prompt_queues = PromptQueues(_CHOICE_POLICY.prompt_tokens_s)
        self._gate = gate
        self._admission = admission or AdmissionGate()
        self._rates = rates or RateExchange(clock)
        self._software_history = SoftwareHistory()
        self._rng = random.Random(f"{node}/{start}")
        self._next_decision_at = 0.0
        # Guarded by the lock as well.
        self.memory = TokenMemory()
        self.direct_peers = 0
        self.request_report = lambda: None
        # Returns whether this node has an idle connection to a target.
        self.is_connected = lambda target: True
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
        """Record which services run on engines."""
        with self.lock:
            self._has_engine = {
                service.name: service.engine is not None
                for service in ruleset.services.values()
            }

    def record_output(self, route, tokens):
        """Record the output of a request of a route that was answered whole."""
        with self.lock:
            self.memory.record_output(route, tokens)

    def reading_until(self, target_id):
        """Return the time until which a target reads the prompts known here."""
        return self._prompt_queues.done_at(target_id)

    def running(self, target_id):
        """Return the number of running requests of a target, of all nodes."""
        return self._load_of_all(target_id)[0]

    def set_targets(self, targets):
        """Replace the directory of targets and retry the waiting requests."""
        with self.lock:
            now = self._clock()
            self._software_history.record(now, self._targets)
            self._targets = targets
            self._prompt_queues.retain(targets)
            self._gate.retain(targets)
            self._ejection.retain(targets)
            self._retry_waiting(now)

    def software_versions(self, service):
        """Return the software versions that may have begun a stream of a service.

        These are the versions of its targets now and some time ago.
        """
        with self.lock:
            self._software_history.record(self._clock(), self._targets)
            return self._software_history.versions(service)

    def serves(self, origin, excluded=frozenset()):
        """Return whether a target remains that may continue a stream.

        Parameters
        ----------
        origin : StreamOrigin
        excluded : frozenset of str, optional
            Targets that must not continue it.
        """
        with self.lock:
            return can_be_continued(self._targets, origin, excluded)

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
            known, _ = self._newest_versions.get(key, (0, 0.0))
            if version > known:
                self._newest_versions[key] = (version, self._clock() - age_s)

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
            self._acked_loads, used = self._reports.answered(view, self._node)
            self._rates.apply_view(now, view)
            self._gate.apply_view(now, view)
            self._admission.apply_view(now, view, self._node)
            self._residency.apply_view(now, view)
            for target_id in view.loads:
                # Without queued prompts a report raises no backlog.
                if target_id in self._targets and self._load_of_all(target_id)[1]:
                    target = self._targets[target_id]
                    policy = self._rates.policy(target.service)
                    reported_s = backlog_s(policy, self._candidate(now, target, False))
                    self._prompt_queues.record_report(now, target_id, reported_s)
            return used

    def apply_notice(self, notice):
        """Apply what a notice tells of requests just sent, and of loads just begun."""
        with self.lock:
            now = self._clock()
            for target_id, tokens in notice.sends:
                if target_id in self._targets:
                    self._record_prompt(now, self._targets[target_id], tokens)
            for load in notice.loads:
                self._residency.apply_load(now, load)
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
            target_id = placement.target.target_id
            self._loads.record_first_byte(target_id, placement.prompt_tokens)

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
            if not first_byte:
                self._loads.record_first_byte(target_id, placement.prompt_tokens)
            self._loads.remove(target_id, placement.key)
            self._retry_waiting(self._clock())

    def record_missing_adapter(self, placement):
        """Record that an adapter is not resident at a target that should hold it."""
        with self.lock:
            row = (placement.target.target_id, placement.key)
            self._missing_until[row] = self._clock() + _MISSING_ADAPTER_S

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
            out = Outbox()
            for _ in range(_UNREACHABLE_FAILURES if unreachable else 1):
                self._ejection.failed(self._clock(), target_id, out)
        write_records(out.records)

    def tick(self):
        """Retry the waiting requests if a decision is due."""
        with self.lock:
            now = self._clock()
            self._missing_until = {
                row: at for row, at in self._missing_until.items() if at > now
            }
            self._retry_waiting(now)

    def report(self, used, duties=None):
        """Return this node's report to the coordinator."""
        with self.lock:
            now = self._clock()
            self._gate.retain(self._targets)
            loads = self._loads.loads()
            permit_demand = self._gate.take_demand(
                now,
                [ticket.job for ticket in self._waiting],
                lambda job: self._usable_versions(now, job),
            )
            report = NodeReport(
                node=self._node,
                start=self._start,
                zone=self.zone,
                number=self._reports.add(loads, dict(used)),
                loads=loads,
                in_use=self._loads.in_use(),
                wants=group_wants(
                    [ticket.job for ticket in self._waiting],
                    self.zone,
                    lambda job: bool(self._candidates(now, job)[0]),
                    lambda job: self._excluded_from_loads(now, job),
                ),
                used=dict(used),
                duties=duties or {},
                lacked_residency=self._residency.lacked[:_MAX_REQUESTED],
                limits=self._gate.report_rows(permit_demand),
                permit_demand=permit_demand,
            )
            self._admission.complete_report(now, report, self._busy_jobs)
        self._rates.complete_report(report)
        return report

    @property
    def has_waiting(self):
        """Whether requests wait for a target."""
        return bool(self._waiting)

    def status(self):
        """Return the numbers of waiting requests, targets and running requests."""
        with self.lock:
            return len(self._waiting), len(self._targets), self._loads.running

    @property
    def _busy_jobs(self):
        """Jobs that wait for room at a target."""
        return [t.job for t in self._waiting if t.waits_for == "busy"]

    @property
    def _fence(self):
        return self._view.fence if self._view else 0

    def _retry_waiting(self, now):
        """Retry the waiting requests if the interval between decisions has passed."""
        if self._waiting and now >= self._next_decision_at:
            interval_s = decision_interval_s(self.direct_peers, self._rng.random())
            self._next_decision_at = now + interval_s
            self._waiting.sort(key=lambda t: self._admission.sort_key(now, t.job))
            taken = set()
            self._waiting = [
                ticket
                for ticket in self._waiting
                if not self._decide(now, ticket, taken)
            ]

    def _decide(self, now, ticket, taken=None):
        """Try to decide a request and return whether it is decided.

        ``taken`` holds the targets that got a stream in this round of decisions. A
        target gets at most one stream a round, to bound what nodes that decide at the
        same moment send to it.
        """
        job = ticket.job
        candidates, versions = self._candidates(now, job)
        if taken and job.max_gap_s and self.direct_peers and now < job.give_up_at:
            remaining = [row for row in candidates if row.target_id not in taken]
            if candidates and not remaining:
                return False
            candidates = remaining
        refusal = None if candidates else self.refusal(job.service)
        policy = self._rates.policy(job.service)
        decision = refusal or self.memory.decide(
            now, job, candidates, self.zone, policy
        )
        # A request whose adapter no target holds waits, so that one loads it.
        if (
            isinstance(decision, Wait)
            and not candidates
            and not self._gate.is_idle
            and self._usable_versions(now, job)
        ):
            # Open targets can load the adapter.
            remaining = self._usable_targets(now, job)
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
        before = self._candidate(now, target, False)
        placement = Placement(
            target,
            job.key,
            versions[decision.target_id],
            job.prompt_tokens,
            decision.first_byte_s,
            self._gate.record_send(target.target_id),
            not (before.queued_prompt_tokens or before.queued_s),
            before.running,
        )
        self._loads.add(target.target_id, job.key, job.prompt_tokens)
        self.memory.record_send(job)
        if self._has_engine.get(target.service):
            self._record_prompt(now, target, job.prompt_tokens)
            self.on_sent(target, job.prompt_tokens)
        if taken is not None:
            taken.add(target.target_id)
        self._ejection.record_attempt(now, target.target_id, Outbox())
        ticket.resolve(decision, placement)
        return True

    def _candidates(self, now, job):
        """Return the targets that can run a job, and the version that each serves."""
        versions = self._usable_versions(now, job)
        if not self._gate.is_idle:
            open_targets = self._gate.open_targets(now, versions.keys())
            versions = {t: v for t, v in versions.items() if t in open_targets}
        newest = max(versions.values(), default=0)
        if job.key[1]:
            versions = {t: v for t, v in versions.items() if v == newest or not v}
        usable = versions.keys() - job.excluded or versions.keys()
        return [
            self._candidate(now, self._targets[target_id])
            for target_id in sorted(usable)
        ], versions

    def _usable_versions(self, now, job):
        """Return the version of a job's adapter by target, whatever their limits."""
        ejected = self._ejected(now, job.service)
        versions = {}
        for target in self._targets.values():
            if target.service != job.service or target.draining:
                continue
            if job.software is not None and not may_continue(target, job):
                continue
            version = self._usable_version(now, target, job.key)
            if version is not None and target.target_id not in ejected:
                versions[target.target_id] = version
        return versions

    def _ejected(self, now, service):
        """Return the targets of a service that are ejected now."""
        if self._ejection.is_empty:
            return frozenset()
        return self._ejection.excluded(now, sorted(self._service_targets(service)))

    def _service_targets(self, service):
        """Return the ids of the targets of a service that are not leaving."""
        return {
            target.target_id
            for target in self._targets.values()
            if target.service == service and not target.draining
        }

    def _usable_targets(self, now, job):
        """Return the ids of the targets that can be used for a job now."""
        ejected = self._ejected(now, job.service)
        return {
            target_id
            for target_id in self._service_targets(job.service) - ejected
            if job.software is None or may_continue(self._targets[target_id], job)
        }

    def _excluded_from_loads(self, now, job):
        """Return the targets at which no adapter should be loaded for a job."""
        usable = self._usable_targets(now, job)
        closed = self._gate.excluded_from_loads(now, usable)
        return sorted(self._service_targets(job.service) - usable | closed)

    def _candidate(self, now, target, for_choice=True):
        target_id = target.target_id
        running, queued = self._load_of_all(target_id)
        is_engine = self._has_engine.get(target.service)
        queue_slots = 0 if is_engine else _PLAIN_QUEUE_SLOTS
        return Candidate(
            target_id,
            target.zone,
            self._gate.usable_slots(target, queue_slots) if for_choice else 0,
            running,
            queued,
            self._prompt_queues.backlog_s(now, target_id),
            for_choice and self.is_connected(target),
            self.factor(target_id) if is_engine else 1.0,
        )

    def _record_prompt(self, now, target, tokens):
        """Record a prompt that this node or another one has sent to a target."""
        self._prompt_queues.record_send(
            now,
            target.target_id,
            tokens,
            self.factor(target.target_id),
            self._rates.policy(target.service).prompt_tokens_s,
        )

    def _load_of_all(self, target_id):
        """Return the running requests and queued prompt tokens of a target."""
        reported = self._view.loads.get(target_id) if self._view else None
        acked = self._acked_loads.get(target_id)
        return current_load(self._loads.get(target_id), reported, acked)

    def _usable_version(self, now, target, key):
        """Return the version that a target serves of a model or adapter.

        It is None if the target serves none, and 0 if the job names no model.
        """
        model, adapter = key
        if not model:
            return 0
        if not adapter:
            return target.models.get(model)
        if (target.target_id, key) in self._missing_until:
            return None
        copy = self._resident_copy(now, target, key)
        if copy is None or copy[1] > now:
            return None
        newest, announced_at = self._newest_versions.get(key, (0, 0.0))
        if copy[0] < newest and now > announced_at + self._version_grace_s:
            return None
        return copy[0]

    def _resident_copy(self, now, target, key):
        is_fresh = (
            self._view_received_at is not None
            and now < self._view_received_at + _VIEW_STALE_S
        )
        if self._residency.has_state(target.target_id):
            copy = self._residency.find(target.target_id, key)
            if copy is not None or is_fresh:
                return copy
        version = target.adapters.get(key)
        return None if version is None else (version, 0.0)
