"""Tests of the host as a process, started as the platform starts it."""

import ctypes
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping

import pytest
from cluster import ADDRESS, ROOT, free_port
from gatewaycluster import AUTHORITY, KEY, configuration, wait_for
from platformendpoint import PlatformEndpoint
from platformstore import PlatformStore

HANGUP_PAIRS = 400
HANGUP_PAUSE_S = 0.002
HANGUP_STEPS = 12  # pairs are up to 1.2 ms apart
HANGUP_STEP_S = 0.0001
GRACE_S = 8
MAX_MEMORY_KB = 120_000


class HostProcess:
    """A host process with a store and one endpoint."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = PlatformStore()
        self.endpoint = PlatformEndpoint('i-1')
        self.store.put('keyed.op', 'config', configuration())
        self.store.put('keyed.servers', 'i-1', self.endpoint.record('engines'))
        ports = [free_port() for _ in range(4)]
        self.port, self.ready, self.control, self.metrics = ports
        self.log = folder / 'host.log'
        self.process = self.spawn()

    def settings(self, **changes: str) -> dict[str, str]:
        settings = {
            'NAME': 'h1',
            'DATA_CENTRE': 'z1',
            'ADDRESS': ADDRESS,
            'LISTEN': f'{ADDRESS}:{self.port}',
            'READY': f'{ADDRESS}:{self.ready}',
            'CONTROL': f'{ADDRESS}:{self.control}',
            'METRICS': f'{ADDRESS}:{self.metrics}',
            'MESH_PORT': str(free_port()),
            'SEEDS': '',
            'STORE': self.store.address,
            **changes,
        }
        return {f'TREFOILSPOOL_{name}': text for name, text in settings.items()}

    def spawn(self, **changes: str) -> 'subprocess.Popen[bytes]':
        with self.log.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, 'platform/run_host.py'],
                cwd=ROOT,
                env={**os.environ, **self.settings(**changes)},
                stdout=log,
                stderr=subprocess.PIPE,
            )

    def get(
        self,
        port: int,
        path: str,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(ADDRESS, port, timeout=10)
        try:
            connection.request('GET', path, headers=dict(headers or {}))
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def call(self, request_id: str) -> int:
        status, _ = self.get(
            self.port,
            '/look/1',
            {
                'Host': AUTHORITY,
                'Authorization': f'Bearer {KEY}',
                'Request-Id': request_id,
                'Deadline-Ms': '3000',
            },
        )
        return status

    def is_ready(self) -> bool:
        try:
            return self.get(self.ready, '/-/readyz')[0] == 200
        except OSError:
            return False

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.log.read_text().splitlines()]

    def close(self) -> None:
        self.process.kill()
        self.process.wait()
        self.endpoint.close()
        self.store.close()


@pytest.fixture
def running(tmp_path: pathlib.Path) -> Iterator[HostProcess]:
    running = HostProcess(tmp_path)
    wait_for(running.is_ready, 'the host to be ready')
    yield running
    running.close()


class TestProcess:
    def test_serves_logs_and_drains(self, running: HostProcess) -> None:
        assert running.call('q1') == 200
        status, metrics = running.get(running.ready, '/metrics')
        assert status == 200
        assert b'trefoilspool_requests_total{service="engines"' in metrics
        assert running.get(running.metrics, '/metrics')[0] == 200
        text = pathlib.Path(f'/proc/{running.process.pid}/status').read_text()
        peak = next(entry for entry in text.splitlines() if 'VmHWM' in entry)
        assert int(peak.split()[1]) < MAX_MEMORY_KB

        running.process.send_signal(signal.SIGHUP)
        started = time.monotonic()
        running.process.send_signal(signal.SIGTERM)
        wait_for(lambda: not running.is_ready(), 'the host to be unready')
        assert running.process.wait(GRACE_S) == 0
        assert time.monotonic() - started < GRACE_S

        # Every line is JSON and has the incarnation of this run.
        lines = running.lines()
        events = [line['event'] for line in lines]
        assert {'started', 'version_in_force', 'grant', 'settle'} < set(events)
        assert {'reload', 'draining', 'drained', 'stopped'} < set(events)
        assert len({line['incarnation'] for line in lines}) == 1

    def test_signal_delivered_to_another_thread_is_handled(
        self, running: HostProcess
    ) -> None:
        # The kernel delivers a signal to another thread while one is pending
        # for the main thread, as after two signals in quick succession.
        pid = running.process.pid
        threads = os.listdir(f'/proc/{pid}/task')
        other = next(int(thread) for thread in threads if int(thread) != pid)
        assert not ctypes.CDLL(None).tgkill(pid, other, int(signal.SIGTERM))
        assert running.process.wait(GRACE_S) == 0

    def test_hangups_in_quick_succession_do_not_stall_the_host(
        self, running: HostProcess
    ) -> None:
        # A handler that logs can interrupt itself within the log queue's lock.
        for number in range(HANGUP_PAIRS):
            running.process.send_signal(signal.SIGHUP)
            time.sleep(number % HANGUP_STEPS * HANGUP_STEP_S)
            running.process.send_signal(signal.SIGHUP)
            time.sleep(HANGUP_PAUSE_S)
        assert running.call('q3') == 200
        running.process.send_signal(signal.SIGTERM)
        assert running.process.wait(GRACE_S) == 0

    def test_requests_succeed_after_a_kill(self, running: HostProcess) -> None:
        running.process.kill()
        running.process.wait()
        running.process = running.spawn()
        wait_for(running.is_ready, 'the host to be ready again')
        assert running.call('q2') == 200

    @pytest.mark.parametrize(
        ('name', 'bad', 'allowed'),
        [
            ('LISTEN', 'nowhere', 'IP:PORT to listen on for callers'),
            ('MESH_PORT', '0', 'UDP port for datagrams'),
            ('STORE', '', 'IP:PORT of the store'),
        ],
    )
    def test_wrong_setting_is_named_and_the_process_exits(
        self, running: HostProcess, name: str, bad: str, allowed: str
    ) -> None:
        ended = running.spawn(**{name: bad})
        _, error = ended.communicate(timeout=20)
        assert ended.returncode == 2
        option = name.lower().replace('_', '-')
        assert f'--{option}: {bad!r} is not allowed' in error.decode()
        assert allowed in error.decode()


class TestStart:
    """Guards against SIGHUP ending a host that is still starting.

    Found by the fault soak, seed 4: the signal arrived during the imports,
    before the host had installed its handlers.
    """

    def test_hangup_during_the_imports_is_ignored(
        self, tmp_path: pathlib.Path
    ) -> None:
        script = ROOT / 'platform' / 'run_host.py'
        (tmp_path / script.name).write_text(script.read_text())
        (tmp_path / 'launch.py').write_text(
            'import os, signal\n'
            'os.kill(os.getpid(), signal.SIGHUP)\n'
            'def main(): print("alive")\n'
        )
        started = subprocess.run(
            [sys.executable, tmp_path / script.name],
            stdout=subprocess.PIPE,
            timeout=20,
            check=False,
        )
        assert started.stdout == b'alive\n'
