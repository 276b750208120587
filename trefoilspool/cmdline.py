"""The ``trefoilspool`` command line."""

import contextlib
import os
import pathlib
import sys
from collections.abc import Callable, Iterator
from typing import Any

import fire
import logbook

from trefoilspool.benchcommand import check_bounds, run_capacity
from trefoilspool.claimload import run_claims
from trefoilspool.claims import MAX_BATCH_CLAIMS
from trefoilspool.errors import (
    OptionError,
    SettingsError,
    TrefoilspoolError,
)
from trefoilspool.explaining.askhost import ask_host
from trefoilspool.explaining.losses import GROUPINGS, loss_rows, loss_table
from trefoilspool.explaining.why import explain, find_lines, read_all
from trefoilspool.operator import Operator, check_changes, load_tree_file
from trefoilspool.options import HostOptions, StandinOptions, load_options
from trefoilspool.pathload import PathLoad
from trefoilspool.platforms.http import HttpLog
from trefoilspool.recorder import record_trace
from trefoilspool.reference import options_page, settings_page
from trefoilspool.replaycommand import (
    check_policy,
    format_json,
    format_table,
    replay_file,
    write_plot,
)
from trefoilspool.smoke import try_kinds
from trefoilspool.telemetry import JsonHandler
from trefoilspool.trace import save_trace
from trefoilspool.workload import (
    CABRERA,
    SCENARIOS,
    make_engines,
    make_trace,
)

__all__ = ['main']

EXIT_USAGE = 2
EXIT_FAILED = 1


@contextlib.contextmanager
def log_to_stderr(name: str, level: str) -> Iterator[None]:
    """Write structured logs to standard error."""
    handler = JsonHandler(name, level)
    with handler.applicationbound():
        yield


class BenchCommands:
    """Measure speed, size and memory."""

    def capacity(self, folder: str, only: str = '') -> str:
        """Measure the unit costs in docs/CAPACITY.md; write to a folder."""
        return run_capacity(folder, only)

    def check(self) -> str:
        """Measure costs that have a bound; exit with 1 if one is exceeded."""
        return check_bounds()

    def claims(self, callers: int = 50, seconds: float = 10) -> str:
        """Measure claims with and without batching of appends."""
        return '\n'.join(
            run_claims(callers, seconds, batch)
            for batch in (1, MAX_BATCH_CLAIMS)
        )

    def path(
        self,
        port: int,
        token: str,
        engine_port: int = 0,
        streams: str = '1,10,50,100,200',
        seconds: float = 10,
        kind: str = 'stock',
    ) -> str:
        """Put load on a running host, and on its engine if a port is given."""
        counts = [int(count) for count in split(streams)]
        load = PathLoad(int(port), str(token), str(kind), float(seconds))
        return load.report(counts, int(engine_port))


class SettingsCommands:
    """Read and edit the settings tree."""

    def check(self, file: str) -> str:
        """Check a tree file without publishing it."""
        changes = load_tree_file(file)
        return f'{file}: {len(changes)} nodes, all values are allowed'

    def set(
        self,
        file: str = '',
        path: str = '',
        key: str = '',
        setting: Any = None,
        yes: bool = False,
        author: str = '',
        log_url: str = '',
    ) -> str:
        """Preview an edit, ask for confirmation and publish it.

        Give ``--file`` with a tree file, or ``--path``, ``--key`` and
        ``--setting`` for one value.
        """
        operator = make_operator(log_url)
        changes = {path: {key: setting}} if path else load_tree_file(file)
        check_changes(changes)
        previewed = operator.preview(changes)
        base = operator.fold.next_offset - 1
        for change in previewed:
            sys.stdout.write(
                f'{change.path} {change.key}: {change.before!r} -> '
                f'{change.after!r} ({len(change.kinds)} kinds)\n',
            )
        if not (yes or confirm()):
            return 'nothing was changed'
        verdict = operator.publish(changes, author, base)
        return f'accepted at offset {verdict.offset}'

    def show(self, log_url: str = '') -> str:
        """Show the tree as of the end of the log."""
        tree = make_operator(log_url).tree()
        lines = [f'version {tree.version}']
        for path in sorted(tree.nodes):
            settings = tree.nodes[path]
            pairs = ' '.join(f'{key}={settings[key]!r}' for key in settings)
            lines.append(f'{path} {pairs}')
        return '\n'.join(lines)

    def explain(self, path: str, log_url: str = '') -> str:
        """Show the effective values at a path and the node that sets each."""
        tree = make_operator(log_url).tree()
        sources = tree.explain(path)
        lines = []
        for key, setting in tree.settings(path).model_dump().items():
            origin = sources[key][1] if key in sources else 'default'
            lines.append(f'{key} = {setting!r}  ({origin})')
        return '\n'.join(lines)

    def history(self, log_url: str = '') -> str:
        """Show all edits with their authors and conflicts."""
        return '\n'.join(
            f'{entry.offset} {entry.author} {entry.edit} '
            f'{entry.conflict and f"conflict at {entry.conflict}" or "accepted"}'
            for entry in make_operator(log_url).history()
        )


def split(flag: Any) -> list[str]:
    """Return the items of a comma-separated flag.

    ``fire`` passes a list or tuple where it could parse the flag as one.
    """
    if isinstance(flag, (list, tuple)):
        return [str(part) for part in flag]
    return [part for part in str(flag).split(',') if part]


def confirm() -> bool:
    """Ask on the terminal whether to publish."""
    sys.stdout.write('Publish? [y/N] ')
    sys.stdout.flush()
    return sys.stdin.readline().strip().lower() == 'y'


def make_operator(log_url: str) -> Operator:
    """Return an operator for the log URL of the flag or the environment."""
    url = log_url or os.environ.get('TREFOILSPOOL_LOG_URL', '')
    if not url:
        raise OptionError('log-url', url, 'the log service URL')
    return Operator(HttpLog(url))


class Commands:
    """Request scheduler for heterogeneous model engines and plain services."""

    def __init__(self) -> None:
        self.settings = SettingsCommands()
        self.bench = BenchCommands()

    def host(self, **flags: Any) -> None:
        """Run the daemon of a host.

        Each flag can be given as a TREFOILSPOOL_ variable; see
        docs/operators/options.md.
        """
        from trefoilspool.hostdaemon import serve

        options = load_options(HostOptions, flags)
        with log_to_stderr(options.name, options.log_level):
            serve(options)

    def standin(self, kind: str, **flags: Any) -> None:
        """Run a stand-in: log, roster, engine, service or weights."""
        from trefoilspool.standins import STANDINS

        if kind not in STANDINS:
            raise OptionError('kind', kind, f'one of {", ".join(STANDINS)}')
        options = load_options(StandinOptions, flags)
        with log_to_stderr(options.name, options.log_level):
            STANDINS[kind](options).serve()

    def replay(
        self,
        trace: str,
        policy: str = 'tiered',
        against: str = '',
        as_json: bool = False,
        plot: str = '',
    ) -> str:
        """Replay a trace; --against names policies to compare with."""
        names = [policy, *split(against)]
        summaries = {
            name: replay_file(trace, name)[1]
            for name in map(check_policy, names)
        }
        if plot:
            write_plot(plot, summaries)
        return format_json(summaries) if as_json else format_table(summaries)

    def trace(self, scenario: str, file: str, seed: int = 7) -> str:
        """Generate the trace of a scenario from a seed."""
        if scenario not in SCENARIOS:
            known = ', '.join(SCENARIOS)
            raise OptionError('scenario', scenario, f'one of {known}')
        built = make_trace(scenario, seed)
        save_trace(pathlib.Path(file), built)
        return f'{file}: {len(built.requests)} requests'

    def reference(self, page: str) -> str:
        """Print a generated reference page: settings or options."""
        pages = {'settings': settings_page, 'options': options_page}
        if page not in pages:
            raise OptionError('page', page, 'settings or options')
        return pages[page]().rstrip()

    def record(self, file: str, logs: str) -> str:
        """Build a trace from decision logs, with the ``cabrera`` engines."""
        texts = [pathlib.Path(name).read_text('utf-8') for name in split(logs)]
        engines = make_engines(CABRERA)
        built = record_trace(pathlib.Path(file).stem, texts, engines)
        save_trace(pathlib.Path(file), built)
        return f'{file}: {len(built.requests)} requests'

    def why(self, request: str, *files: str, logs: str = '') -> str:
        """Explain the decisions on a request from decision logs."""
        lines = find_lines([*files, *split(logs)], str(request))
        return explain(lines, str(request))

    def losses(self, *files: str, by: str = 'route', logs: str = '') -> str:
        """Tell what became of the requests in decision logs, in a table.

        ``BY`` is one of route, second, workspace and endpoint.
        """
        if by not in GROUPINGS:
            raise OptionError('by', by, ', '.join(GROUPINGS))
        lines = read_all([*files, *split(logs)])
        return loss_table(loss_rows(lines, by))

    def explain(
        self,
        address: str,
        path: str,
        authority: str = '',
        workspace: str = '',
        prompt_tokens: int = 100,
        output_tokens: int = 100,
    ) -> str:
        """Explain where a request would go now, and why, without sending it.

        ``ADDRESS`` is the IP:PORT at which a host serves its metrics, or the
        one for other hosts. The answer names the home host, which decides.
        """
        return ask_host(
            str(address),
            {
                'path': path,
                'authority': authority,
                'workspace': workspace,
                'prompt_tokens': prompt_tokens,
                'output_tokens': output_tokens,
            },
        )

    def smoke(self, hosts: Any, token: str) -> str:
        """Send one request of each kind and print its outcome.

        ``--hosts`` lists HTTP ports on loopback.
        """
        ports = [int(port) for port in split(hosts)]
        operator = make_operator('')
        return try_kinds(operator.tree(), token, ports)


def main(argv: list[str] | None = None) -> None:
    """Run a command; exit with 2 on invalid settings, 1 on failure."""
    exit_on_error(lambda: fire.Fire(Commands(), argv, 'trefoilspool'))


def exit_on_error(step: Callable[[], object]) -> None:
    """Run a step; report an error of the package in one line and exit."""
    try:
        step()
    except (OptionError, SettingsError) as error:
        sys.stderr.write(f'trefoilspool: {error}\n')
        sys.exit(EXIT_USAGE)
    except TrefoilspoolError as error:
        sys.stderr.write(f'trefoilspool: {error}\n')
        sys.exit(EXIT_FAILED)
    except KeyboardInterrupt:
        logbook.Logger('cmdline').info('interrupted')
