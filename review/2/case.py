"""A server spoils one answer: a line of its head has a long run of blanks."""

import contextlib
import http.client
import itertools
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    AUTHORITY,
    KEY,
    Case,
    Host,
    ServedRequest,
    Server,
    in_thread,
    route,
)

BLANKS = 40_000
TIMEOUT_S = 2.5  # of the route
SLACK_S = 0.5
LEAST_REQUESTS = 8
CALLERS = 12  # at each host, each with a channel that it keeps
PAUSE_S = 0.3  # of a caller between an answer and its next request
BEFORE_S = 8.0
AFTER_S = 12.0
GIVE_UP_S = 30.0
numbers = itertools.count(1)


class Caller:
    """A caller that sends one request after the other on its channel."""

    def __init__(self, case: Case, host: Host) -> None:
        self.case = case
        self.host = host
        self.connection = http.client.HTTPConnection(
            host.address, host.port, timeout=GIVE_UP_S
        )
        self.taken: list[float] = []
        self.is_over = threading.Event()

    def run(self) -> None:
        """Send requests until the end; note how long each answer took."""
        while not self.is_over.wait(PAUSE_S):
            request_id = f'{next(numbers):016x}'
            began = time.monotonic()
            status, error = 0, ''
            try:
                self.connection.request(
                    'GET',
                    f'/look/{request_id}',
                    headers={
                        'Host': AUTHORITY,
                        'Authorization': f'Bearer {KEY}',
                        'Request-Id': request_id,
                        'Deadline-Ms': '4002',
                    },
                )
                response = self.connection.getresponse()
                response.read()
                status = response.status
            except (OSError, http.client.HTTPException) as failure:
                error = repr(failure)
                self.connection.close()
            taken_s = time.monotonic() - began
            self.taken.append(taken_s)
            self.case.note(
                'answer',
                id=request_id,
                host=self.host.name,
                status=status,
                after_s=round(taken_s, 3),
                error=error,
            )


def play(case: Case) -> bool:
    """Return whether requests get no answer at their route's time."""
    lock = threading.Lock()
    spoiling = threading.Event()

    def behaviour(server: Server) -> object:
        def answer(served: ServedRequest) -> None:
            time.sleep(0.05)
            with lock:
                is_spoiled = spoiling.is_set()
                spoiling.clear()
            if is_spoiled:
                blanks = ' ' * (BLANKS if case.has_trouble else 4)
                case.note(
                    'an answer is spoiled',
                    id=served.request.request_id,
                    server=server.name,
                    blanks=len(blanks),
                )
                served.extra_headers += (f'X-Note: a{blanks}b',)
            with contextlib.suppress(OSError):
                served.respond(200, b'x' * 800)

        return answer

    for number in range(1, 7):
        server = case.add_server(f'i-{number:04d}', capacity=6)
        server.behaviour = behaviour(server)
    case.configure(
        [route('look', 'idempotent', timeoutMs=int(TIMEOUT_S * 1000))]
    )
    case.start_hosts(3)
    callers = [
        Caller(case, host) for host in case.hosts for _ in range(CALLERS)
    ]
    threads = [in_thread(caller.run) for caller in callers]
    time.sleep(BEFORE_S)
    spoiling.set()
    time.sleep(AFTER_S)
    for caller in callers:
        caller.is_over.set()
    for thread in threads:
        thread.join()
    taken = [taken_s for caller in callers for taken_s in caller.taken]
    unanswered = [taken_s for taken_s in taken if taken_s >= TIMEOUT_S]
    late = [taken_s for taken_s in unanswered if taken_s > TIMEOUT_S + SLACK_S]
    case.note(
        'counts',
        requests=len(taken),
        unanswered_at_the_time=len(unanswered),
        unanswered_later=len(late),
        longest_s=round(max(taken), 3),
    )
    return len(late) >= LEAST_REQUESTS and 2 * len(late) > len(unanswered)


if __name__ == '__main__':
    case = Case(__file__)
    case.run(play)
