"""A stand-in for a model engine with continuous batching."""

import json
import queue
import threading
import time
import zlib
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Mapping
from typing import ClassVar

from trefoilspool.filters.classify import extract_prompt
from trefoilspool.options import StandinOptions
from trefoilspool.prefixhash import BLOCK_TOKENS, count_tokens, prefix_hashes
from trefoilspool.standin import (
    AbortResponseError,
    Request,
    Response,
)
from trefoilspool.standins.endpoint import EndpointStandin

__all__ = ['EngineStandin', 'token_text']

HTTP_OK = 200
IDLE_SLEEP_S = 0.002
MIN_SPEED = 0.000001  # of the full speed; avoids a division by zero
SLEEP_SLICE_S = 0.01  # so that a change of speed takes effect during a step
PREFILL_CHUNK_TOKENS = 512  # prompt tokens per step at most
BATCH_GAP_SHARE = 0.02  # of the idle gap, added by each further sequence
MIN_LENGTH_DIVISOR = 4  # completions have at least max_tokens / 4 tokens
MS_PER_S = 1000
DISCONNECT_POLL_S = 0.2
MAX_EVICTION_EVENTS = 1000
MAX_LOAD_REPORTS = 200
VOCABULARY_SIZE = 10_000


def token_text(prompt: str, index: int) -> str:
    """Return the token at an index of the completion of a prompt."""
    seed = zlib.crc32(prompt.encode())
    word = zlib.crc32(f'{seed}:{index}'.encode()) % VOCABULARY_SIZE
    return f' w{word}'


def answer_length(prompt: str, max_tokens: int) -> int:
    """Return the deterministic length of a completion, in tokens."""
    min_length = max(1, max_tokens // MIN_LENGTH_DIVISOR)
    length_count = max_tokens - min_length + 1
    return min_length + zlib.crc32(prompt.encode()) % length_count


class Sequence:
    """A request in the batch or in the waiting queue."""

    def __init__(self, prompt: str, max_tokens: int, start: int) -> None:
        self.prompt = prompt
        self.next_index = start
        self.end_index = answer_length(prompt, max_tokens)
        self.hashes = prefix_hashes(prompt)
        self.cached_tokens = 0
        self.prefill_left = count_tokens(prompt)
        self.cancelled = False
        self.tokens: queue.SimpleQueue[int] = queue.SimpleQueue()


class EngineStandin(EndpointStandin):
    """Generates deterministic completions with continuous batching.

    Faults: ``speed`` multiplies the speed; ``leaving`` refuses new requests;
    ``cut_after`` aborts a stream at this token index; ``repeat`` sends every
    token twice; ``wrong_attempt`` returns another attempt's id;
    ``drop_events`` drops cache eviction events; ``plain`` sends no event ids
    and no attempt headers, and ignores the resume offset.
    """

    fault_defaults: ClassVar[Mapping[str, float]] = {
        'speed': 1,
        'leaving': 0,
        'cut_after': 0,
        'repeat': 0,
        'wrong_attempt': 0,
        'drop_events': 0,
        'plain': 0,
    }

    def __init__(self, options: StandinOptions) -> None:
        super().__init__(options)
        self.stopped = False
        self.batch: list[Sequence] = []
        self.waiting: deque[Sequence] = deque()
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.evictions: deque[tuple[int, float, int]] = deque(
            maxlen=MAX_EVICTION_EVENTS
        )
        self.eviction_count = 0
        self.load_reports: deque[tuple[float, int, int]] = deque(
            maxlen=MAX_LOAD_REPORTS,
        )
        self.journal: list[dict[str, object]] = []
        threading.Thread(target=self.run_steps, daemon=True).start()

    def run_steps(self) -> None:
        """Admit waiting sequences and run batch steps until stopped."""
        while not self.stopped:
            with self.lock:
                while self.waiting and len(self.batch) < self.options.slots:
                    self.batch.append(self.waiting.popleft())
                batch = list(self.batch)
            if not batch:
                self.record_load()
                time.sleep(IDLE_SLEEP_S)
                continue
            self.simulate_work(self.step(batch))
            self.record_load()

    def simulate_work(self, seconds: float) -> None:
        """Sleep for the duration of work at the current ``speed``.

        Parameters
        ----------
        seconds : float
            Duration at speed 1.
        """
        while seconds > 0:
            speed = max(self.faults['speed'], MIN_SPEED)
            sleep_s = min(SLEEP_SLICE_S, seconds / speed)
            time.sleep(sleep_s)
            seconds -= sleep_s * speed

    def step(self, batch: list[Sequence]) -> float:
        """Advance all sequences by one step; return its duration in seconds."""
        prefilled_tokens = 0
        for sequence in batch:
            if sequence.prefill_left > 0:
                chunk_tokens = min(
                    sequence.prefill_left,
                    PREFILL_CHUNK_TOKENS - prefilled_tokens,
                )
                prefilled_tokens += chunk_tokens
                self.prefill(sequence, chunk_tokens)
            else:
                sequence.tokens.put(sequence.next_index)
                sequence.next_index += 1
        with self.lock:
            self.batch = [
                member
                for member in self.batch
                if member.next_index < member.end_index and not member.cancelled
            ]
        gap = self.options.gap_ms / MS_PER_S
        gap *= 1 + BATCH_GAP_SHARE * (len(batch) - 1)
        return gap + prefilled_tokens / self.options.prefill_rate

    def prefill(self, sequence: Sequence, chunk_tokens: int) -> None:
        """Prefill some tokens of a prompt; cache its prefixes at the end."""
        sequence.prefill_left -= chunk_tokens
        if sequence.prefill_left <= 0:
            self.cache_prefixes(sequence.hashes)

    def cache_prefixes(self, hashes: tuple[int, ...]) -> None:
        """Add prefixes to the cache and evict the least recently used."""
        for prefix_hash in hashes:
            self.cache.pop(prefix_hash, None)
            self.cache[prefix_hash] = None
        while len(self.cache) > self.options.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self.eviction_count += 1
            if not self.faults['drop_events']:
                event = (self.eviction_count, time.monotonic(), evicted)
                self.evictions.append(event)

    def record_load(self) -> None:
        """Record the load unless the last record is too recent."""
        now = time.monotonic()
        if (
            not self.load_reports
            or now - self.load_reports[-1][0] > IDLE_SLEEP_S * 10
        ):
            self.load_reports.append((now, len(self.batch), len(self.waiting)))

    def documents(self, request: Request) -> Mapping[str, Callable[[], object]]:
        """Return the load, journal and evictions by their paths."""
        return {
            '/load': self.lagged_load,
            '/journal': lambda: self.journal,
            '/cache-events': lambda: self.lagged_evictions(request),
        }

    def lagged_load(self) -> object:
        """Return the load of ``lag_s`` seconds ago."""
        visible_until = time.monotonic() - self.options.lag_s
        visible = [
            report
            for report in list(self.load_reports)
            if report[0] <= visible_until
        ]
        _, running, waiting = visible[-1] if visible else (0, 0, 0)
        return {
            'running': running,
            'waiting': waiting,
            'leaving': bool(self.faults['leaving']),
        }

    def lagged_evictions(self, request: Request) -> object:
        """Return evictions with numbers above ``from``.

        They must be at least ``lag_s`` seconds old. Dropped events leave gaps
        in the numbers.
        """
        after = int(request.query.get('from', 0))
        visible_until = time.monotonic() - self.options.lag_s
        return [
            (number, prefix_hash)
            for number, at, prefix_hash in list(self.evictions)
            if number > after and at <= visible_until
        ]

    def run(self, request: Request) -> Response:
        """Queue a sequence and return its stream of tokens."""
        body = json.loads(request.body)
        prompt = extract_prompt(body)
        plain = bool(self.faults['plain'])
        start = 0 if plain else int(request.header('X-Resume-Offset') or 0)
        sequence = Sequence(prompt, int(body['max_tokens']), start)
        for depth, prefix_hash in enumerate(sequence.hashes):
            if prefix_hash in self.cache:
                sequence.cached_tokens = min(
                    BLOCK_TOKENS << depth, sequence.prefill_left
                )
        sequence.prefill_left = max(
            1, sequence.prefill_left - sequence.cached_tokens
        )
        journal_entry: dict[str, object] = {
            'request': request.header('X-Request-Id'),
            'attempt': request.header('X-Attempt'),
            'prompt': prompt,
            'start': start,
            'time': time.time(),
            'end': 'running',
        }
        attempt = request.header('X-Attempt')
        if self.faults['wrong_attempt']:
            attempt = 'other'
        with self.lock:
            self.journal.append(journal_entry)
            if sequence.next_index < sequence.end_index:
                self.waiting.append(sequence)
        headers = {'Content-Type': 'text/event-stream'}
        if not plain:
            headers['X-Attempt'] = attempt
            headers['X-Cached-Tokens'] = str(sequence.cached_tokens)
            headers['X-Resume-Offset'] = str(start)
        chat = request.path.startswith('/v1/chat/')
        return Response(
            HTTP_OK,
            self.stream(request, sequence, journal_entry, chat),
            headers,
        )

    def stream(
        self,
        request: Request,
        sequence: Sequence,
        journal_entry: dict[str, object],
        chat: bool,
    ) -> Iterator[bytes]:
        """Yield the server-sent events of a sequence."""
        try:
            for index in range(sequence.next_index, sequence.end_index):
                wait_for_token(request, sequence)
                cut_after = self.faults['cut_after']
                if cut_after and index >= cut_after:
                    raise AbortResponseError
                yield from self.token_events(sequence.prompt, index, chat)
            journal_entry['end'] = 'completed'
            yield b'data: [DONE]\n\n'
        finally:
            sequence.cancelled = True
            if journal_entry['end'] == 'running':
                journal_entry['end'] = 'cancelled'

    def token_events(
        self,
        prompt: str,
        index: int,
        chat: bool,
    ) -> Iterator[bytes]:
        """Yield a token's event, twice with the ``repeat`` fault."""
        event = format_event(prompt, index, chat)
        if not self.faults['plain']:
            event = f'id: {index}\n'.encode() + event
        yield event
        if self.faults['repeat']:
            yield event


def wait_for_token(request: Request, sequence: Sequence) -> None:
    """Wait for the next token; abort if the client has disconnected."""
    while True:
        try:
            sequence.tokens.get(timeout=DISCONNECT_POLL_S)
        except queue.Empty:
            if request.client_disconnected():
                raise AbortResponseError from None
            continue
        return


def format_event(prompt: str, index: int, chat: bool) -> bytes:
    """Return a token's server-sent event in the OpenAI format."""
    text = token_text(prompt, index)
    choice: dict[str, object] = {'index': 0}
    if chat:
        choice['delta'] = {'content': text}
    else:
        choice['text'] = text
    payload = json.dumps({'choices': [choice]})
    return f'data: {payload}\n\n'.encode()
