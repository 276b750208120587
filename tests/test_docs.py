"""Documentation: generated references, runnable examples and links."""

import os
import pathlib
import re
import subprocess
from collections.abc import Iterator

import pytest
from cluster import ADDRESS, Cluster, cluster

from trefoilspool.reference import options_page, settings_page

ROOT = pathlib.Path(__file__).parent.parent
CONTRACT = (ROOT / 'docs' / 'CONTRACT.md').read_text()
EXAMPLES = re.findall('```sh\n(.*?)```', CONTRACT, re.DOTALL)


@pytest.fixture(scope='module')
def system() -> Iterator[Cluster]:
    with cluster(hosts=2, engines=1) as started:
        yield started


class TestReferences:
    @pytest.mark.parametrize(
        ('name', 'page'),
        [('settings', settings_page), ('options', options_page)],
    )
    def test_page_is_current(self, name: str, page: object) -> None:
        stored = ROOT / 'docs' / 'operators' / f'{name}.md'
        assert stored.read_text() == page()  # type: ignore[operator]


class TestExamples:
    @pytest.mark.parametrize('number', range(len(EXAMPLES)))
    def test_contract(self, system: Cluster, number: int) -> None:
        result = subprocess.run(
            ['bash', '-e', '-o', 'pipefail', '-c', EXAMPLES[number]],
            capture_output=True,
            text=True,
            check=False,
            env={
                **os.environ,
                'HOST': f'{ADDRESS}:{system.ports["h0"]}',
                'TOKEN': 'token-montevideo',
            },
        )
        assert result.returncode == 0, result.stdout + result.stderr

    def test_quickstart(self) -> None:
        result = subprocess.run(
            ['sh', 'scripts/quickstart.sh'],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 0, result.stderr
        assert result.stdout.count(' completed') == 4

    def test_relative_links_exist(self) -> None:
        pages = [*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')]
        for page in pages:
            for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
                assert (page.parent / target).exists(), (page, target)
