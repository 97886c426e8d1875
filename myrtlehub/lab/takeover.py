"""A day on which nodes are lost and others take over what they had in hand."""

import json
from collections import Counter
from statistics import quantiles

from myrtlehub.lab.day import Day, as_text
from myrtlehub.lab.fault_proxy import Direction, FaultProxy
from myrtlehub.lab.processes import HOST, free_ports
from myrtlehub.lab.scenario import FaultRow


class TakeoverDay(Day):
    """One day. Each node reaches each other one by a fault proxy; clients and engines do so directly."""

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)
        nodes = sorted(self.admin)
        self.peer_at = {n: f"{HOST}:{p}" for n, p in zip(nodes, free_ports(len(nodes)), strict=True)}
        self.proxies: dict[tuple[str, str], FaultProxy] = {}

    # -- files ------------------------------------------------------------------------------------

    def _node_file(self, name: str) -> dict:
        tree, t = super()._node_file(name), self.s.takeover
        if not t.on:
            return tree
        tree["node"]["drain_within"] = "5s"
        tree["engines_may"] = {"claims": t.claims}
        tree["takeover"] = {
            "listen": self.peer_at[name],
            "copies": t.copies,
            "comes_back": f"{t.comes_back}s",
            "peers": [
                {
                    "name": n,
                    "zone": "north",
                    "address": self.peer_at[n] if n == name else self._proxy(name, n).address,
                }
                for n in sorted(self.peer_at)
            ],
        }
        return tree

    def _engine_file(self, name: str, cold: bool) -> dict:
        tree, t = super()._engine_file(name, cold), self.s.takeover
        if t.on and t.claims:
            tree["stream_bound"] = f"{t.stream_bound}s"
        return tree

    def _proxy(self, one: str, other: str) -> FaultProxy:
        if (one, other) not in self.proxies:
            self.proxies[one, other] = FaultProxy(self.reactor, self.peer_at[other]).listen()
        return self.proxies[one, other]

    # -- faults -----------------------------------------------------------------------------------

    def _node_fault(self, row: FaultRow, name: str) -> None:
        if row.do not in ("cut off", "cut out"):
            super()._node_fault(row, name)
            return
        mine = [w for (one, other), w in self.proxies.items() if name in (one, other)]
        for (one, other), proxy in self.proxies.items():
            if row.do == "cut off" and name in (one, other):
                proxy.stall()
            elif row.do == "cut out" and name == one:
                proxy.stall(Direction.FORWARD)
            elif row.do == "cut out" and name == other:
                proxy.stall(Direction.BACKWARD)
        self.recorder.note("cut", who=name, how=row.do, lasts=row.lasts)
        for proxy in mine:
            self.clock.callLater(row.lasts, proxy.restore)

    def _ended(self, process: object) -> None:
        leaves = process.code == 0  # told to: its successor is another process
        if not leaves:
            super()._ended(process)

    # -- the verdict ------------------------------------------------------------------------------

    def verdict(self) -> dict:
        verdict = super().verdict()
        for proxy in self.proxies.values():
            proxy.close()
        verdict["takeover"] = {**self._clients_saw(), **self._nodes_said()}
        return verdict

    def _clients_saw(self) -> dict:
        lost: dict[str, dict[str, int]] = {}
        for (repeats, stood, answer), count in sorted(self.clients.lost.items()):
            lost.setdefault(f"{repeats}, {stood}", {})[answer] = count
        pauses = sorted(self.clients.pauses)
        cuts = quantiles(pauses, n=100) if len(pauses) > 1 else [0.0] * 99
        return {
            "lost": lost,
            "came_back": len(pauses),
            "pause": {"p50": round(cuts[49], 3), "p99": round(cuts[98], 3)},
        }

    def _nodes_said(self) -> dict:
        does: Counter[str] = Counter()
        asked, took = [], []
        for path in sorted(self.folder.glob("node-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if '"event":"takeover"' not in line:
                    continue
                said = json.loads(line)
                if "do" in said:
                    does[said["do"]] += 1
                    asked.append(said["asked"])
                    took.append(said["took"])

        def p99(values: list[float]) -> float:
            return round(quantiles(values, n=100)[98], 4) if len(values) > 1 else 0.0

        return {"does": dict(sorted(does.items())), "records_p99": p99(asked), "claimed_p99": p99(took)}


def takeover_as_text(verdict: dict) -> str:
    """The verdict for people, what became of lost work last."""
    t = verdict["takeover"]
    lines = [
        f"  {what}: " + ", ".join(f"{a} {n}" for a, n in sorted(answers.items()))
        for what, answers in t["lost"].items()
    ]
    return "\n".join(
        [
            as_text(verdict),
            f"work in hand at a loss, {t['came_back']} streams went on; the pause that clients saw: "
            f"p50 {t['pause']['p50']:.2f} s, p99 {t['pause']['p99']:.2f} s",
            *lines,
            "nodes that took over: " + ", ".join(f"{d} {n}" for d, n in t["does"].items()),
        ]
    )
