"""Copies of the quarantined prompt parts on many hosts."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilspool.quarantine import (
    LIFTED_GOSSIP_S,
    LIFTED_RETENTION_S,
    MAX_ENTRIES,
    Quarantine,
    QuarantineEntry,
)

ENTRIES = st.lists(
    st.builds(
        QuarantineEntry,
        st.sampled_from(['a', 'b', 'c']),
        st.integers(1, 4),
        st.booleans(),
    ),
    max_size=8,
)


def merged(*lists: list[QuarantineEntry]) -> Quarantine:
    quarantine = Quarantine()
    for entries in lists:
        quarantine.merge(entries, 0)
    return quarantine


def state(quarantine: Quarantine) -> dict[str, tuple[QuarantineEntry, float]]:
    """Return the entries, and until when lifted ones are passed on."""
    return {
        part: (copy.entry, 0 if copy.entry.active else copy.told_until)
        for part, copy in quarantine.copies.items()
    }


class TestMerge:
    @given(ENTRIES, ENTRIES)
    def test_is_commutative(
        self, first: list[QuarantineEntry], second: list[QuarantineEntry]
    ) -> None:
        assert state(merged(first, second)) == state(merged(second, first))

    @given(ENTRIES)
    def test_is_idempotent(self, entries: list[QuarantineEntry]) -> None:
        quarantine = merged(entries)
        before = state(quarantine)
        assert not quarantine.merge(entries, 1)
        assert state(quarantine).keys() == before.keys()
        assert quarantine.active_parts == merged(entries).active_parts

    @given(ENTRIES, ENTRIES, ENTRIES)
    def test_is_associative(
        self,
        first: list[QuarantineEntry],
        second: list[QuarantineEntry],
        third: list[QuarantineEntry],
    ) -> None:
        """A host between passes on what it holds."""
        left = merged(merged(first, second).entries(), third)
        right = merged(first, merged(second, third).entries())
        assert left.active_parts == right.active_parts

    @given(ENTRIES)
    def test_hosts_agree_after_an_exchange(
        self, entries: list[QuarantineEntry]
    ) -> None:
        first, second = merged(entries[::2]), merged(entries[1::2])
        for _ in range(2):
            second.merge(first.entries(), 0)
            first.merge(second.entries(), 0)
        assert first.active_parts == second.active_parts

    def test_change_is_told(self) -> None:
        quarantine = Quarantine()
        entry = QuarantineEntry('a', 1, active=True)
        assert quarantine.merge([entry], 0)
        assert not quarantine.merge([entry], 1)
        assert quarantine.covered(['b', 'a']) == 'a'
        assert not quarantine.covered(['b'])


class TestLifted:
    @given(ENTRIES)
    def test_older_copies_do_not_bring_it_back(
        self, entries: list[QuarantineEntry]
    ) -> None:
        quarantine = merged(entries)
        quarantine.add('a', 0)
        older = quarantine.entries()
        quarantine.lift('a', 1)
        assert not quarantine.merge(older, 2)
        assert not quarantine.covered(['a'])

    def test_new_quarantine_wins_over_the_lifted_one(self) -> None:
        home, other = Quarantine(), Quarantine()
        home.add('a', 0)
        home.lift('a', 1)
        other.merge(home.entries(), 1)
        home.add('a', 2)
        other.merge(home.entries(), 2)
        assert other.covered(['a'])

    def test_it_is_passed_on_for_a_while_and_then_forgotten(self) -> None:
        quarantine = Quarantine()
        quarantine.add('a', 0)
        quarantine.lift('a', 0)
        quarantine.tick(LIFTED_GOSSIP_S - 1)
        assert quarantine.entries()
        quarantine.tick(LIFTED_GOSSIP_S)
        assert not quarantine.entries()
        assert quarantine.copies
        quarantine.tick(LIFTED_RETENTION_S)
        assert not quarantine.copies

    def test_hosts_do_not_keep_it_alive_for_each_other(self) -> None:
        """New hosts join all the time and hear of it from the last one."""
        hosts = [Quarantine()]
        hosts[0].add('a', 0)
        hosts[0].lift('a', 0)
        for step in range(1, 40):
            now = step * LIFTED_GOSSIP_S / 2
            hosts.append(Quarantine())
            for host in hosts:
                host.tick(now)
                hosts[-1].merge(host.entries(), now)
        assert not any(host.copies for host in hosts[10:])


class TestBounds:
    def test_active_entries_stay_when_there_are_too_many(self) -> None:
        quarantine = Quarantine()
        quarantine.add('active', 0)
        for number in range(MAX_ENTRIES * 2):
            quarantine.add(f'p{number}', number)
            quarantine.lift(f'p{number}', number)
        assert len(quarantine.copies) == MAX_ENTRIES
        assert quarantine.covered(['active'])

    def test_newest_entries_come_first(self) -> None:
        quarantine = Quarantine()
        for number in range(3):
            quarantine.add(f'p{number}', number)
        assert [entry.part for entry in quarantine.entries()] == [
            'p2',
            'p1',
            'p0',
        ]
