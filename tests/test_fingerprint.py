"""Ids of whole requests."""

import io

import pytest
from headers import PlatformDialect, prompt_prefixes

from trefoilspool.crashreports import MAX_PARTS, CrashReports
from trefoilspool.culprits import (
    MIN_RECURRENCE_S,
    Culprit,
    EndedProcess,
    likeliest,
)
from trefoilspool.departures import EndpointRun
from trefoilspool.dialect import CallerRequest
from trefoilspool.fingerprint import is_fingerprint, request_fingerprint
from trefoilspool.slotmessages import blamable_parts


@pytest.fixture
def request_of_caller() -> CallerRequest:
    environ = {
        'REQUEST_METHOD': 'POST',
        'REQUEST_URI': '/a?x=1',
        'wsgi.input': io.BytesIO(b'body'),
        'HTTP_HOST': 'A.example:80',
    }
    return PlatformDialect().decode_request(environ)


class TestFingerprint:
    def test_retry_has_the_same(self, request_of_caller: CallerRequest) -> None:
        retry = request_of_caller._replace(request_id='other', remaining_s=0.1)
        assert request_fingerprint(retry, 'w') == request_fingerprint(
            request_of_caller, 'w'
        )

    @pytest.mark.parametrize(
        ('name', 'other'),
        [
            ('body', b'other'),
            ('body', b''),
            ('target', '/other'),
            ('authority', 'other'),
            ('method', 'PUT'),
            ('prompt_prefixes', ('aa', 'aa/bb')),
        ],
    )
    def test_other_requests_have_others(
        self, request_of_caller: CallerRequest, name: str, other: object
    ) -> None:
        changed = request_of_caller._replace(**{name: other})
        assert request_fingerprint(changed, 'w') != request_fingerprint(
            request_of_caller, 'w'
        )

    def test_last_part_of_the_prompt_may_differ(
        self, request_of_caller: CallerRequest
    ) -> None:
        first, second = (
            request_of_caller._replace(prompt_prefixes=('aa', f'aa/{last}'))
            for last in ('bb', 'cc')
        )
        assert request_fingerprint(first, 'w') == request_fingerprint(
            second, 'w'
        )

    def test_other_callers_have_others(
        self, request_of_caller: CallerRequest
    ) -> None:
        assert request_fingerprint(
            request_of_caller, 'w'
        ) != request_fingerprint(request_of_caller, 'v')

    def test_no_prompt_part_looks_like_one(self) -> None:
        for prefix in prompt_prefixes(':aa,:bb:3, :cc'):
            assert not any(map(is_fingerprint, prefix.split('/')))

    def test_it_comes_after_the_prompt(self) -> None:
        prefixes = prompt_prefixes('aa:10,bb:20,cc:5')
        assert blamable_parts(prefixes, ':f') == ('aa', 'bb', ':f')
        assert blamable_parts((), ':f') == (':f',)
        assert blamable_parts((), '') == ()

    def test_report_of_a_long_prompt_keeps_it(self) -> None:
        parts = (*(f'p{number}' for number in range(40)), ':f')
        report = CrashReports().add(EndpointRun('a', 1), parts, 7, 0)
        assert report.parts[0] == 'p0'
        assert report.parts[-1] == ':f'
        assert len(report.parts) == MAX_PARTS


class TestLikeliest:
    """A whole request and a part of its prompt, with about as many runs."""

    def culprit(self, part: str, *ended_at: float) -> Culprit:
        ends = {
            EndedProcess(EndpointRun(f'e{at}', 1), at): at for at in ended_at
        }
        depth = 1 if is_fingerprint(part) else 0
        return Culprit(part, ends, -1, False, True, depth)

    def test_request_that_all_ended_under_is_taken(self) -> None:
        times = (0, 0.1, MIN_RECURRENCE_S)
        found = likeliest(
            [self.culprit(':f', *times), self.culprit('p', *times)]
        )
        assert found is not None
        assert found.part == ':f'

    def test_part_of_one_run_more_is_taken(self) -> None:
        found = likeliest(
            [self.culprit(':f', 0, 2, 4), self.culprit('p', 0, 2, 4, 5)]
        )
        assert found is not None
        assert found.part == 'p'

    def test_request_is_not_blamed_for_ends_at_one_time(self) -> None:
        assert likeliest([self.culprit(':f', 0, 0.1, 0.2, 0.3)]) is None
