"""Simulation of one scenario under one policy, in virtual time."""

import collections
import heapq
import itertools
import random
import typing

from hdrh import histogram

from agatewing import _types
from agatewing import decisions
from agatewing import enginemodel
from agatewing.experiment import _policies
from agatewing.experiment import _scenarios
from agatewing.experiment import _state
from agatewing import fleet

#: Interval of an engine's load reports, in seconds.
REPORT_INTERVAL_S = 0.5
#: Interval at which instances retry to dispatch queued requests, in seconds.
DISPATCH_INTERVAL_S = 0.02
#: Interval of role plans, in seconds.
PLAN_INTERVAL_S = 2.0
#: Limit of an engine's steps that are computed as one event.
MAX_STEPS_AT_ONCE = 2
#: Duration of a role change, during which the engine accepts no requests,
#: in seconds.
ROLE_CHANGE_S = 4.0
#: Network latency between zones, in seconds; it delays only the refusals of
#: engines.
LINK_LATENCY_S = 0.0005

Request = _scenarios.Request


class Simulation:
    """Runs a scenario's requests through instances and engines.

    ``load`` is a factor on all request rates. ``role_plans`` holds the role
    plan of each phase for the clairvoyant policy.
    """

    def __init__(
        self,
        scenario: _scenarios.Scenario,
        deployment: _scenarios.Deployment,
        policy: _policies.Policy,
        seed: int,
        load: float = 1.0,
        role_plans: tuple[decisions.RoleCounts, ...] = (),
    ) -> None:
        self._scenario = scenario
        self._deployment = deployment
        self._policy = policy
        self._role_plans = role_plans
        self._rng = random.Random(f"sim {scenario.name} {seed}")
        #: Pending events: time, tie breaker, function and its arguments.
        self._events: list[
            tuple[float, int, typing.Any, tuple[typing.Any, ...]]
        ]
        self._events = []
        self._tie_breakers = itertools.count()
        self._now = 0.0
        self._spec = enginemodel.EngineSpec(role_change_s=ROLE_CHANGE_S)
        names = [f"engine-{n}" for n in range(deployment.engines)]
        roles = self._initial_roles(deployment.engines)
        self._engines = {
            name: _state.Engine(name, self._spec, role)
            for name, role in zip(names, roles, strict=True)
        }
        if scenario.slow_factor != 1.0:
            slow = self._engines[names[-1]]
            slow.model.slowdown = scenario.slow_factor
        self._instances = [
            _state.Instance(
                n, names, random.Random(f"{seed} {n}"), self._spec.max_batch
            )
            for n in range(_state.INSTANCES)
        ]
        self._planner = decisions.RolePlanner(self._role_policy())
        self._requests = _scenarios.generate_requests(
            scenario, deployment, seed, load
        )
        #: Number of answers completed in time, by caller.
        self._good: collections.Counter[str] = collections.Counter()
        #: Number of requests, by caller.
        self._requested: collections.Counter[str] = collections.Counter()
        self._good_by_phase = [0] * len(scenario.phases)
        self._refused = 0
        self._late = 0
        self.role_changes = 0
        # Times in the histograms are in microseconds.
        self._first_token_us = histogram.HdrHistogram(1, 600_000_000, 3)
        self._first_token_us_by_caller: dict[str, histogram.HdrHistogram] = {}
        self._between_tokens_us = histogram.HdrHistogram(1, 60_000_000, 3)

    def run(self) -> _state.Outcome:
        """Run the scenario and return its results."""
        for request in self._requests:
            self._schedule(request.at, self._arrive, request)
        for engine in self._engines.values():
            self._report(engine, initial=True)
        self._schedule(PLAN_INTERVAL_S, self._plan_roles)
        self._schedule(DISPATCH_INTERVAL_S, self._dispatch_all)
        if self._scenario.engine_lost_at is not None:
            self._schedule(self._scenario.engine_lost_at, self._lose_engine)
        self._schedule_role_plans()
        # Requests in progress have 20 s to complete after the last phase.
        end = self._scenario.seconds + 20.0
        while self._events and self._events[0][0] <= end:
            self._now, _, call, args = heapq.heappop(self._events)
            call(*args)
        return self._outcome()

    def _schedule(
        self, when: float, call: typing.Any, *args: typing.Any
    ) -> None:
        entry = (when, next(self._tie_breakers), call, args)
        heapq.heappush(self._events, entry)

    def _initial_roles(self, count: int) -> list[_types.Role]:
        if self._role_plans:
            return _roles_of(self._role_plans[0])
        prefill = round(self._policy.initial_prefill_share * count)
        rest = _types.Role.DECODE if prefill else _types.Role.MIXED
        return [_types.Role.PREFILL] * prefill + [rest] * (count - prefill)

    def _role_policy(self) -> decisions.RolePolicy:
        weight = self._deployment.goodput_weight
        if self._policy.roles is _policies.Roles.EAGER:
            weight = 1.0
        return decisions.RolePolicy(
            weight,
            self._deployment.role_floor,
            ignore_change_cost=self._policy.roles is _policies.Roles.EAGER,
        )

    def _schedule_role_plans(self) -> None:
        start = 0.0
        for phase, plan in zip(
            self._scenario.phases, self._role_plans, strict=False
        ):
            self._schedule(start, self._apply_role_plan, plan)
            start += phase.seconds

    def _apply_role_plan(self, plan: decisions.RoleCounts) -> None:
        """Change roles at once and at no cost; clairvoyant policy only."""
        engines = [e for e in self._engines.values() if not e.lost]
        missing_roles = collections.Counter(_roles_of(plan))
        to_change = []
        for engine in engines:
            if missing_roles[engine.model.role] > 0:
                missing_roles[engine.model.role] -= 1
            else:
                to_change.append(engine)
        roles = list(missing_roles.elements())
        for engine, role in zip(to_change, roles, strict=False):
            engine.model.role = role
            for instance in self._instances:
                instance.pool.engines[engine.name].load.role = role

    def _arrive(self, request: Request) -> None:
        self._requested[request.caller] += 1
        instance = self._instances[self._rng.randrange(_state.INSTANCES)]
        blocks = request.blocks
        expected_output = instance.lengths.expected(
            request.caller, request.max_tokens
        )
        cached = instance.pool.index.match(
            blocks, enginemodel.BLOCK_TOKENS, self._now
        )
        profile = decisions.RequestProfile(
            request.prompt_tokens, expected_output, "z", cached
        )
        hit_tokens = max(cached.values(), default=0)
        instance.pool.meter.add(
            request.prompt_tokens - hit_tokens, expected_output, self._now
        )
        speed = decisions.Speed()
        cost_s = (
            request.prompt_tokens - hit_tokens
        ) / speed.prefill_tokens_per_s + expected_output * speed.token_cost_s()
        job = _state.Job(request, instance, profile, cost_s)
        if not self._policy.admission:
            self._route_as_baseline(job)
        elif self._admit(job):
            rank = request.deadline - job.service_s
            instance.queue.push(request.caller, 1.0, cost_s, job, rank)
            self._dispatch(instance)

    def _admit(self, job: _state.Job) -> bool:
        instance, request = job.instance, job.request
        loads = instance.pool.loads()
        usable = [e for e in loads if e.routable]
        if not usable:
            self._refused += 1
            return False
        job.service_s = min(
            decisions.single_engine_s(job.profile, load) for load in usable
        )
        queue = instance.queue
        queue_state = decisions.QueueState(
            queue.backlog_of(request.caller),
            queue.backlog,
            queue.share_of(request.caller, 1.0),
            instance.rate.measured_rate(
                len(usable) / _state.INSTANCES, self._now
            ),
            len(queue),
            # Limit of queued requests.
            4_096,
            instance.calibration,
        )
        remaining_s = request.deadline - self._now
        decision = decisions.admit(queue_state, job.service_s, remaining_s)
        if isinstance(decision, decisions.Admit):
            return True
        self._refused += 1
        return False

    def _dispatch_all(self) -> None:
        for instance in self._instances:
            if len(instance.queue):
                self._dispatch(instance)
        self._schedule(self._now + DISPATCH_INTERVAL_S, self._dispatch_all)

    def _dispatch(self, instance: _state.Instance) -> None:
        while self._dispatch_one(instance):
            pass
        instance.rate.record_backlog(len(instance.queue) > 0, self._now)

    def _dispatch_one(self, instance: _state.Instance) -> bool:
        """Send or refuse one queued request; return whether there was one.

        The first request of each caller is considered: it is refused if it
        can no longer meet its deadline, and skipped if no engine has credits.
        """
        loads = instance.pool.loads()
        for entry in instance.queue.heads():
            job = entry.item
            remaining_s = job.request.deadline - self._now
            if not decisions.can_meet_deadline(job.service_s, remaining_s):
                instance.queue.remove_head(entry)
                self._refused += 1
                return True
            route = instance.pool.router.choose(job.profile, loads)
            if route is None:
                continue
            instance.queue.remove_head(entry)
            instance.rate.record_sent(entry.cost, self._now)
            self._send(job, route)
            return True
        return False

    def _route_as_baseline(self, job: _state.Job) -> None:
        """Route as the baselines do, without credits or queues."""
        instance = job.instance
        targets = [
            t for t in instance.pool.engines.values() if t.load.routable
        ]
        if not targets:
            self._refused += 1
            return
        if self._policy.routing is _policies.Routing.ROUND_ROBIN:
            instance.next_engine += 1
            target = targets[instance.next_engine % len(targets)]
        else:
            target = min(targets, key=lambda t: t.load.reported_sequences)
        self._send(job, decisions.Single(target.name, 1.0))

    def _send(self, job: _state.Job, route: decisions.Route) -> None:
        match route:
            case decisions.Single(engine=name):
                job.current_engine = name
                self._submit(job, name, job.request.output_tokens, False)
            case decisions.Split(prefill=prefill_engine, decode=decode_engine):
                job.current_engine = prefill_engine
                job.decode_engine = decode_engine
                self._submit(job, prefill_engine, 0, False)

    def _submit(
        self, job: _state.Job, name: str, output_tokens: int, imported: bool
    ) -> None:
        target = job.instance.pool.engines[name]
        hit_tokens = job.profile.cached.get(name, 0)
        prefill_tokens = (
            0 if imported else job.profile.prompt_tokens - hit_tokens
        )
        target.record_sent(max(0, prefill_tokens), self._now)
        job.target = target
        job.instance.pool.index.add(name, job.request.blocks, self._now)
        engine = self._engines[name]
        if engine.lost or engine.changing_role:
            self._schedule(self._now + LINK_LATENCY_S, self._resubmit, job)
            return
        sequence = enginemodel.Sequence(
            str(job.request.number),
            job.request.prompt_tokens,
            output_tokens,
            job.request.blocks,
            self._priority(prefill_tokens),
            imported,
        )
        engine.jobs[sequence.id] = job
        engine.model.submit(sequence)
        self._start_step(engine)

    def _priority(self, prefill_tokens: int) -> int:
        if self._policy.routing is not _policies.Routing.OURS:
            return 0
        return decisions.priority_class(prefill_tokens)

    def _resubmit(self, job: _state.Job) -> None:
        """Route a request again after its engine was lost or refused it."""
        if job.target is not None:
            job.target.record_ended()
            job.target.load.routable = False
            job.target = None
        job.decode_engine = ""
        if self._now > job.request.deadline:
            self._late += 1
            return
        if not self._policy.admission:
            self._route_as_baseline(job)
            return
        rank = job.request.deadline - job.service_s
        job.instance.queue.push(job.request.caller, 1.0, job.cost_s, job, rank)
        self._dispatch(job.instance)

    def _start_step(self, engine: _state.Engine) -> None:
        if engine.stepping or engine.lost or engine.changing_role:
            return
        step = engine.model.step(MAX_STEPS_AT_ONCE)
        if not step.duration_s:
            self._start_role_change_if_idle(engine)
            return
        engine.stepping = True
        self._schedule(
            self._now + step.duration_s, self._end_step, engine, step
        )

    def _end_step(
        self, engine: _state.Engine, step: enginemodel.StepResult
    ) -> None:
        engine.stepping = False
        if engine.lost:
            return
        for sequence, count in step.produced:
            job = engine.jobs.get(sequence.id)
            if job is not None:
                self._record_token_times(job, step.duration_s, count)
        for sequence in step.finished:
            job = engine.jobs.pop(sequence.id, None)
            if job is not None:
                self._finish_sequence(job)
        self._start_step(engine)

    def _record_token_times(
        self, job: _state.Job, duration_s: float, count: int
    ) -> None:
        if job.first_token_at is None:
            job.first_token_at = self._now
            first_token_us = max(1, int((self._now - job.request.at) * 1e6))
            self._first_token_us.record_value(first_token_us)
            caller_first_token_us = self._first_token_us_by_caller.setdefault(
                job.request.caller, histogram.HdrHistogram(1, 600_000_000, 3)
            )
            caller_first_token_us.record_value(first_token_us)
            return
        self._between_tokens_us.record_value(
            max(1, int(duration_s / count * 1e6)), count
        )

    def _finish_sequence(self, job: _state.Job) -> None:
        if job.target is not None:
            job.target.record_ended()
            job.target = None
        if job.decode_engine:
            name, job.decode_engine = job.decode_engine, ""
            job.current_engine = name
            transfer_s = (
                job.request.prompt_tokens / self._spec.import_tokens_per_s
            )
            self._schedule(
                self._now + transfer_s,
                self._submit,
                job,
                name,
                job.request.output_tokens,
                True,
            )
            return
        self._finish(job)

    def _finish(self, job: _state.Job) -> None:
        request, instance = job.request, job.instance
        if self._now <= request.deadline:
            self._good[request.caller] += 1
            self._good_by_phase[self._phase_at(request.at)] += 1
        else:
            self._late += 1
        instance.lengths.observe(
            request.caller, request.max_tokens, request.output_tokens
        )
        if self._policy.admission:
            excess_tokens = request.output_tokens - job.profile.output_tokens
            instance.queue.adjust_charge(
                request.caller,
                excess_tokens * decisions.Speed().token_cost_s(),
            )
            self._dispatch(instance)

    def _report(self, engine: _state.Engine, initial: bool = False) -> None:
        if not engine.lost:
            model = engine.model
            report = fleet.LoadReport(
                model.role,
                engine.changing_role or engine.pending_role is not None,
                False,
                len(model.running),
                model.queued,
                model.queued_tokens(),
                model.spec.max_batch,
                model.spec.prefill_tokens_per_s,
            )
            lag_s = 0.0 if initial else self._scenario.report_lag_s
            for instance in self._instances:
                if initial or self._rng.random() >= self._scenario.report_loss:
                    self._schedule(
                        self._now + lag_s,
                        self._deliver_report,
                        instance,
                        engine,
                        report,
                    )
        else:
            for instance in self._instances:
                instance.pool.engines[engine.name].record_unreachable()
        self._schedule(self._now + REPORT_INTERVAL_S, self._report, engine)

    def _deliver_report(
        self,
        instance: _state.Instance,
        engine: _state.Engine,
        report: fleet.LoadReport,
    ) -> None:
        target = instance.pool.engines[engine.name]
        target.handle_load_report(report, self._now)
        instance.pool.reduce_outlier_shares(self._now)

    def _plan_roles(self) -> None:
        self._schedule(self._now + PLAN_INTERVAL_S, self._plan_roles)
        if self._policy.roles not in (
            _policies.Roles.OURS,
            _policies.Roles.EAGER,
        ):
            return
        demands = [i.pool.meter.demand(self._now) for i in self._instances]
        total = decisions.TokenDemand(
            sum(d.prefill_tokens_per_s for d in demands),
            sum(d.decode_tokens_per_s for d in demands),
        )
        engines = [
            decisions.PlannedEngine(
                e.name,
                e.pending_role or e.model.role,
                tuple(_types.Role),
                not e.changing_role and e.pending_role is None,
                len(e.jobs),
            )
            for e in self._engines.values()
            if not e.lost
        ]
        decision = self._planner.plan(
            total, engines, decisions.Speed(), self._now
        )
        if isinstance(decision, decisions.ChangeRole):
            self._order_role_change(
                self._engines[decision.engine], decision.role
            )

    def _order_role_change(
        self, engine: _state.Engine, role: _types.Role
    ) -> None:
        self.role_changes += 1
        engine.pending_role = role
        for instance in self._instances:
            instance.pool.engines[engine.name].load.routable = False
        self._start_role_change_if_idle(engine)

    def _start_role_change_if_idle(self, engine: _state.Engine) -> None:
        if (
            engine.pending_role is None
            or engine.changing_role
            or engine.model.busy
        ):
            return
        engine.changing_role = True
        self._schedule(
            self._now + ROLE_CHANGE_S, self._end_role_change, engine
        )

    def _end_role_change(self, engine: _state.Engine) -> None:
        if engine.pending_role is not None:
            engine.model.role = engine.pending_role
        engine.pending_role = None
        engine.changing_role = False
        self._start_step(engine)

    def _lose_engine(self) -> None:
        engine = next(iter(self._engines.values()))
        engine.lost = True
        for job in list(engine.jobs.values()):
            # Instances detect the loss after 0.1 s.
            self._schedule(self._now + 0.1, self._resubmit, job)
        engine.jobs.clear()

    def _phase_at(self, when: float) -> int:
        """Return the index of the phase at a time; after the end, the last."""
        end = 0.0
        for number, phase in enumerate(self._scenario.phases):
            end += phase.seconds
            if when < end:
                return number
        return len(self._scenario.phases) - 1

    def _outcome(self) -> _state.Outcome:
        good = sum(self._good.values())
        shares = [
            self._good[c] / self._requested[c] for c in self._requested if c
        ]
        squares = sum(s * s for s in shares) or 1.0
        jain = sum(shares) ** 2 / (len(shares) * squares) if shares else 1.0
        requests = len(self._requests)
        return _state.Outcome(
            good / self._scenario.seconds,
            self.role_changes,
            requests,
            good,
            requests - good - self._refused,
            self._refused,
            _p95_s(self._first_token_us),
            _p95_s(self._between_tokens_us),
            jain,
            {
                c: _p95_s(h)
                for c, h in sorted(self._first_token_us_by_caller.items())
            },
            self._good_by_phase,
        )


def _p95_s(times: histogram.HdrHistogram) -> float:
    """Return the 95th percentile in seconds of times in microseconds."""
    return float(times.get_value_at_percentile(95)) / 1e6


def _roles_of(plan: decisions.RoleCounts) -> list[_types.Role]:
    """Return one role for each engine of a role plan."""
    return (
        [_types.Role.PREFILL] * plan.prefill
        + [_types.Role.DECODE] * plan.decode
        + [_types.Role.MIXED] * plan.mixed
    )
