"""Fair shares of the workspaces within a tier."""

from collections import Counter

from test_cell import make_ask

from trefoilspool.fairqueue import FairQueue, ask_cost


class TestFairQueue:
    def test_shares_follow_weights(self) -> None:
        queue = FairQueue()
        weights = {'a': 4, 'b': 2, 'c': 1}
        number = 0
        for workspace, weight in weights.items():
            for _ in range(400):
                number += 1
                queue.push(
                    make_ask(
                        number,
                        workspace=workspace,
                        weight=weight,
                        output_tokens=10 + number * 7 % 90,
                    )
                )
        served: Counter[str] = Counter()
        for _ in range(400):
            ask = queue.heads(1)[0]
            queue.take(ask)
            served[ask.workspace] += ask_cost(ask)  # type: ignore[assignment]
        total = sum(served.values())
        for workspace, weight in weights.items():
            share = total * weight / sum(weights.values())
            assert served[workspace] >= 0.9 * share

    def test_idle_workspace_accumulates_no_credit(self) -> None:
        queue = FairQueue()
        for number in range(20):
            queue.push(make_ask(number, workspace='busy'))
        for _ in range(10):
            queue.take(queue.heads(1)[0])
        for number in range(20, 40):
            queue.push(make_ask(number, workspace='late'))
        order = []
        for _ in range(8):
            order.append(queue.heads(1)[0].workspace)
            queue.take(queue.heads(1)[0])
        assert 3 <= order.count('late') <= 5

    def test_earliest_deadline_first(self) -> None:
        queue = FairQueue()
        for number, deadline in enumerate((9.0, 3.0, 6.0)):
            queue.push(make_ask(number, deadline=deadline))
        assert queue.heads(1)[0].deadline == 3
        later = queue.first_after(queue.heads(1)[0], 5.0)
        assert later is not None
        assert later.deadline == 6
