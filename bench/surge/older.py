"""Balance as an older balancer does."""

from __future__ import annotations

import asyncio

from bench.surge import fleet, players, views, workload
from tamarackthread.policy import routing
from tamarackthread.shared import errors


class OlderBalancer(players.Player):
    """Send each call at once; a full target's refusal is tried once more.

    It knows no deadline and no organisation.  The bounded queues are the
    targets' own.
    """

    def __init__(
        self,
        own_fleet: fleet.Fleet,
        policies: list[routing.RoutingPolicy],
    ) -> None:
        """Use one policy for each entry and service."""
        super().__init__(own_fleet)
        self._policies = policies
        self._views = [views.build_views(own_fleet) for _ in workload.ZONES]

    def receivers(self) -> list[fleet.Receive]:
        """Return one receiver for each entry."""
        return [views.Receiver(known) for known in self._views]

    async def answer(self, call: workload.Offered, deadline: float) -> None:
        """Try two targets."""
        tried: set[str] = set()
        for _ in range(2):
            target = self._choose(call, deadline, frozenset(tried))
            transfer = await self._send(call, target)
            if transfer is not None:
                await self._wait(transfer)
                return
            tried.add(target)
        raise errors.CodedError('full', retry_after=1)

    def _choose(
        self,
        call: workload.Offered,
        deadline: float,
        tried: frozenset[str],
    ) -> str:
        index = 2 * call.entry + (call.service == workload.PLAIN)
        view = self._policies[index].choose(
            views.facts(call, deadline, tried),
            self._views[call.entry][call.service],
            asyncio.get_running_loop().time(),
        )
        if view is None:
            raise errors.CodedError('no target')
        return view.name
