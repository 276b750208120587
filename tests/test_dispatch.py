"""Outcomes of single attempts at a fake endpoint."""

import time
from collections.abc import Callable, Iterator

import pytest
from returns.result import Success
from test_cell import make_ask
from test_tools import make_job

from trefoilspool import events
from trefoilspool.broker import BrokerTask
from trefoilspool.endpoint import (
    CacheUpdate,
    Endpoint,
    EndpointRequest,
    EndpointStream,
    Load,
    Token,
)
from trefoilspool.errors import (
    ConnectFailedError,
    SendFailedError,
)
from trefoilspool.filter import ClaimedJob, PermittedJob
from trefoilspool.filters.claim import time_since_boot
from trefoilspool.filters.dispatch import Dispatch
from trefoilspool.filters.settle import final_outcome
from trefoilspool.outcome import Outcome
from trefoilspool.permit import Permit
from trefoilspool.problems import Problem
from trefoilspool.responses import correct_outcome
from trefoilspool.watch import WatchTask


class FakeStream(EndpointStream):
    def __init__(self, status: int, not_run: bool) -> None:
        self.status = status
        self.not_run = not_run
        self.attempt = ''
        self.cached_tokens = 0
        self.resumed_at = 0
        self.content_type = ''

    def body(self) -> bytes:
        return b''

    def tokens(self) -> Iterator[Token]:
        return iter(())

    def close(self) -> None:
        """Nothing is open."""


class FakeEndpoint(Endpoint):
    """Plays a script with one entry for each attempt."""

    def __init__(self, *script: str) -> None:
        self.script = list(script)
        self.opened = 0

    def open(
        self,
        request: EndpointRequest,
        timeout_s: float,
        connected: Callable[[Callable[[], None]], None],
    ) -> FakeStream:
        step = self.script.pop(0)
        if step == 'refuse':
            raise ConnectFailedError('refused')
        self.opened += 1
        connected(lambda: None)
        if step == 'cut':
            raise SendFailedError('cut')
        statuses = {'ok': 200, 'error': 500, 'not_run': 503}
        return FakeStream(statuses[step], step == 'not_run')

    def load(self) -> Load:
        return Load(0, 0, leaving=False)

    def cache_update(self, after: int) -> CacheUpdate:
        return CacheUpdate((), after, gap=False)


class DispatchHarness:
    def __init__(self, *script: str) -> None:
        job = make_job(1, 0, events.VictimClass.resumable)
        ask = job.ask._replace(deadline=time.monotonic() + 60)
        self.job = job._replace(ask=ask)
        self.claimed = ClaimedJob(self.job, None, '', time_since_boot())
        self.endpoint = FakeEndpoint(*script)
        self.dispatch = Dispatch(
            lambda _: self.endpoint,
            BrokerTask('h', lambda *_: None),
            WatchTask(),
        )

    def attempt(self, permit: Permit | None = None) -> object:
        if permit is None:
            permit = Permit(self.job.ask, 'e', time.monotonic() + 5)
        return self.dispatch.apply(PermittedJob(self.claimed, permit))

    def reported_outcome(self, result: object) -> Outcome:
        """Return the caller's outcome if this attempt is the last."""
        if isinstance(result, Success):
            return final_outcome(self.job)
        problem = result.failure()  # type: ignore[attr-defined]
        assert isinstance(problem, Problem)
        return correct_outcome(problem, self.claimed).outcome


class TestOutcomes:
    @pytest.mark.parametrize(
        ('script', 'expected'),
        [
            (['refuse'], Outcome.not_run),
            (['not_run'], Outcome.not_run),
            (['cut'], Outcome.may_have_run),
            (['error'], Outcome.failed),
            (['cut', 'refuse'], Outcome.may_have_run),
            (['cut', 'not_run'], Outcome.may_have_run),
            (['not_run', 'cut'], Outcome.may_have_run),
        ],
    )
    def test_outcome_after_last_attempt(
        self, script: list[str], expected: Outcome
    ) -> None:
        harness = DispatchHarness(*script)
        for _ in script:
            result = harness.attempt()
        assert harness.reported_outcome(result) is expected


class TestPermits:
    def test_revoked_permit_is_never_used(self) -> None:
        harness = DispatchHarness('ok')
        permit = Permit(harness.job.ask, 'e', time.monotonic() + 5)
        permit.revoke()
        assert (
            harness.reported_outcome(harness.attempt(permit)) is Outcome.not_run
        )
        assert not harness.endpoint.opened

    def test_expired_permit_is_never_used(self) -> None:
        harness = DispatchHarness('ok')
        permit = Permit(harness.job.ask, 'e', time.monotonic())
        assert (
            harness.reported_outcome(harness.attempt(permit)) is Outcome.not_run
        )
        assert not harness.endpoint.opened

    def test_revoking_permit_in_use_aborts_attempt(self) -> None:
        permit = Permit(make_ask(1), 'e', time.monotonic() + 5)
        aborted: list[bool] = []
        assert permit.use()
        permit.abort = lambda: aborted.append(True)
        permit.revoke()
        assert aborted
        assert permit.revoked

    def test_key_older_than_its_lifetime_is_not_dispatched(self) -> None:
        harness = DispatchHarness('ok')
        settings = harness.job.place.settings
        job = harness.job._replace(at_most_once=True)
        old = time_since_boot() - settings.key_lifetime_s
        harness.claimed = ClaimedJob(job, None, 'k', old)
        assert harness.reported_outcome(harness.attempt()) is Outcome.not_run
        assert not harness.endpoint.opened
