"""Pages: generated references and the examples that readers run."""

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
    with cluster(hosts=2, engines=1) as made:
        yield made


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
        ended = subprocess.run(
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
        assert ended.returncode == 0, ended.stdout + ended.stderr

    def test_quickstart(self) -> None:
        ended = subprocess.run(
            ['sh', 'scripts/quickstart.sh'],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert ended.returncode == 0, ended.stderr
        assert ended.stdout.count(' completed') == 4

    def test_links_lead_somewhere(self) -> None:
        pages = [*ROOT.glob('*.md'), *ROOT.glob('docs/**/*.md')]
        for page in pages:
            for target in re.findall(r'\]\(([^)#:]+)\)', page.read_text()):
                assert (page.parent / target).exists(), (page, target)
