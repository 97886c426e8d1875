"""The controller of a rolling change as a process: looks at nodes, keeps the journal, carries out acts.

It decides nothing: `rollout.course` says what comes next, `rollout.judge` what the figures say. An act is
carried out only once the event that it follows from is on disk; a node that cannot be reached is left as it
is.
"""

import os
import shlex
import subprocess
import time
from collections.abc import Callable
from pathlib import Path
from uuid import uuid4

import psutil
import xxhash
from filelock import FileLock, Timeout
from twisted.internet.defer import Deferred, DeferredList, FirstError, maybeDeferred, succeed
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from myrtlehub.config.load import Faults, load
from myrtlehub.config.plans import PlanSheet, ProcessesGroup
from myrtlehub.config.sheets import NodeSheet
from myrtlehub.node import revision
from myrtlehub.node.admin import GENERATION, SERVICE
from myrtlehub.proto import admin_pb2 as pb
from myrtlehub.rollout import course, judge, tables
from myrtlehub.rollout.course import FLEET, IN_PLACE, REPLACE, Plan
from myrtlehub.rollout.journal import Entry, Head, JournalBroken, generations, pack, unpack
from myrtlehub.rollout.orders import FORMAT
from myrtlehub.rollout.seen import Blocks, Counted, Shown, Sums, due, event_of
from myrtlehub.rollout.stages import deal
from myrtlehub.rpc.channel import Channel
from myrtlehub.rpc.status import Code, RpcError

KEPT, UNDONE, WRONG, STUCK, NO_JOURNAL, TAKEN_OVER = 0, 1, 2, 3, 4, 5  # exit codes
ANSWER_WITHIN = 1.5  # seconds for a node's answer; one that is late counts as not reached at this look
CONFIRMED = (
    2  # looks in a row that find no process, until it counts as gone: one may be between two processes
)
ADOPT = (
    5.0  # seconds after a controller's start in which a process that its predecessor began may still come up
)
SIGNS = {"served": -1.0}  # all other figures are worse when higher


class CannotRoll(Exception):
    """The change cannot begin or go on; the text says why and what to do."""

    code = WRONG


class NoJournal(CannotRoll):
    """The journal cannot be written."""

    code = NO_JOURNAL


class TakenOver(CannotRoll):
    """Another controller has the fleet."""

    code = TAKEN_OVER


class Journal:
    """The journal's file. `step(name)` is called at each boundary of an act; tests end the process there."""

    def __init__(self, path: Path, step: Callable[[str], None] = lambda name: None) -> None:
        self.path, self.step = path, step
        self.entries: list[Entry] = []
        self._file = -1
        self._lock = FileLock(f"{path}.lock")

    def open(self, head: Head, again: bool) -> int:
        """Begin (`again` False) or go on; how many bytes of a torn tail were dropped. Raises CannotRoll."""
        try:
            self._lock.acquire(timeout=0)
        except Timeout as fault:
            raise CannotRoll(f"{self.path}: another controller is at work on it") from fault
        try:
            return self._open(head, again)
        except OSError as fault:
            self.close()
            raise NoJournal(f"{self.path}: {fault.strerror}; nothing was done") from fault
        except CannotRoll:
            self.close()
            raise

    def _open(self, head: Head, again: bool) -> int:
        data = self.path.read_bytes() if self.path.exists() else b""
        begun = b"\n" in data  # a first line that was not wholly written began nothing
        if again and not begun:
            raise CannotRoll(f"{self.path}: there is no such journal; begin with hub-roll run")
        if begun and not again:
            raise CannotRoll(f"{self.path}: is there already; hub-roll resume goes on with it")
        torn = self._read(head, data) if again else len(data)
        if torn:
            os.truncate(self.path, len(data) - torn)
        self._file = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        if not again:
            self._write(pack(head))
            folder = os.open(self.path.parent, os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        return torn

    def _read(self, head: Head, data: bytes) -> int:
        """The entries; how many bytes after them are a torn tail."""
        try:
            found, self.entries, whole = unpack(data)
        except JournalBroken as fault:
            raise CannotRoll(f"{self.path}: {fault}") from fault
        if found.nodes != head.nodes or found.plan != head.plan:
            raise CannotRoll(
                f"{self.path}: was written for another plan; give the plan that it was begun with"
            )
        return len(data) - whole

    def _write(self, data: bytes) -> None:
        """All of it, on disk, before this returns."""
        self.step("write")
        at = 0
        while at < len(data):
            at += os.write(self._file, data[at:])
        self.step("sync")
        os.fsync(self._file)
        self.step("synced")

    def put(self, entry: Entry) -> None:
        """One entry. OSError: it may be there or not, and no act may follow."""
        self._write(pack(entry))
        self.entries.append(entry)

    def close(self) -> None:
        """Let another controller have it."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        self._lock.release()


class Hands:
    """Processes of nodes on this machine: whether one is there, begun, killed."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.mine: dict[int, subprocess.Popen] = {}

    def born(self, pid: int) -> int:
        """Ticks from the machine's start to that of a process, which tell it from another one of its number;
        0: not known. Wall clocks are set meanwhile, and would tell a living process from itself.
        """
        try:
            return int(Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[19])
        except (OSError, ValueError, IndexError):
            return 0

    def alive(self, node: int, shown: Shown | None, born: int) -> bool:
        """Whether the process last seen there, or begun by us, still runs."""
        mine = self.mine.get(node)
        if mine is not None and mine.poll() is None:
            return True
        if shown is None or (mine is not None and mine.pid == shown.pid):
            return False
        try:
            # a number may be given to another process: ours was begun when the one that answered was
            same = not born or self.born(shown.pid) == born
            return same and psutil.Process(shown.pid).status() != psutil.STATUS_ZOMBIE
        except psutil.NoSuchProcess:
            return False

    def coming(self, node: int, shown: Shown | None) -> bool:
        """Whether the process that we began there runs and has not answered yet."""
        mine = self.mine.get(node)
        return mine is not None and mine.poll() is None and (shown is None or shown.pid != mine.pid)

    def quit(self, node: int) -> bool:
        """Whether the process that we began there has ended."""
        return node in self.mine and self.mine[node].poll() is not None

    def begin(self, node: int, name: str, command: str, generation: str) -> None:
        """Start a node that outlives us. OSError where there is no such program."""
        with (self.folder / f"{name}.log").open("ab") as log:
            self.mine[node] = subprocess.Popen(
                shlex.split(command),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, GENERATION: generation},
            )

    def kill(self, node: int, shown: Shown | None, born: int) -> None:
        """End it outright."""
        if self.alive(node, shown, born):
            mine = self.mine.get(node)
            (mine if mine is not None and mine.poll() is None else psutil.Process(shown.pid)).kill()


class Elsewhere(Hands):
    """Processes of nodes on other machines, by an operator's commands; `names` are the nodes'."""

    def __init__(self, folder: Path, names: list[str], commands: ProcessesGroup) -> None:
        super().__init__(folder)
        self.names, self.commands = names, commands

    def _run(self, command: str, node: int, shown: Shown) -> int:
        """Its exit code; -1 where it could not be run or did not end in time."""
        words = shlex.split(command.format(name=self.names[node], pid=shown.pid))
        try:
            done = subprocess.run(words, stdin=subprocess.DEVNULL, capture_output=True, timeout=5.0)
            return done.returncode
        except (OSError, subprocess.SubprocessError):
            return -1

    def born(self, pid: int) -> int:
        """Not known."""
        return 0

    def alive(self, node: int, shown: Shown | None, born: int) -> Deferred | bool:
        """Only a plain 1 says that none is there: where nobody knows, a node may be serving."""
        if shown is None or not shown.pid:
            return False
        return deferToThread(lambda: self._run(self.commands.alive, node, shown) != 1)

    def coming(self, node: int, shown: Shown | None) -> bool:
        """The command that begins a node there may end long before the node, and well."""
        return False

    def quit(self, node: int) -> bool:
        """Whether the command itself has failed."""
        mine = self.mine.get(node)
        return mine is not None and bool(mine.poll())

    def kill(self, node: int, shown: Shown | None, born: int) -> None:
        """End it outright."""
        if shown is not None and shown.pid:
            deferToThread(self._run, self.commands.kill, node, shown)


class Target:
    """What a controller knows of one node beside the course."""

    def __init__(self, channel: Channel) -> None:
        self.channel = channel
        self.shown: Shown | None = None
        self.born = 0  # of the process that answered last, as `Hands.born`
        self.counted: Counted | None = None
        self.lost = False  # it does not answer, and its process is there
        self.coming = False  # we began it, and it has not answered yet
        self.told = False  # the end of the process that we began last was taken note of
        self.missed = 0  # looks in a row without answer and without process
        self.since = 0.0  # when its state changed


class Roller:
    """One controller at work. `done` fires with the exit code."""

    def __init__(
        self,
        sheet: PlanSheet,
        text: str,
        base: Path,
        reactor: object,
        dial: Callable[[str], Callable],
        say: Callable[..., None],
        step: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.sheet, self.base, self.reactor, self.say = sheet, base, reactor, say
        change, nodes = sheet.change, sheet.nodes
        try:
            stages = deal([n.zone for n in nodes], [s.nodes or s.share for s in sheet.stages], sheet.one_zone)
        except ValueError as fault:
            raise CannotRoll(str(fault)) from fault
        self.plan = Plan(len(nodes), stages, REPLACE if change.program else IN_PLACE, sheet.most_away)
        self.standing = course.first(self.plan)
        self.dial = dial
        self.targets = [Target(self._channel(i)) for i in range(len(nodes))]
        names = [n.name for n in nodes]
        self.hands = Elsewhere(base, names, sheet.processes) if sheet.processes else Hands(base)
        self.journal = Journal(base / sheet.journal if sheet.journal else base / "roll.journal", step)
        self.step = step
        self.head = Head(FORMAT, xxhash.xxh3_64_hexdigest(text.encode()), [n.name for n in nodes])
        self.controller, self.generation = uuid4().hex[:12], 0
        self.old: list[tuple[str, str]] = []  # revisions by node
        self.new: tuple[str, str] = ("", "")
        self.blocks = Blocks(len(nodes))
        self.judge: judge.Judge | None = None
        self.verdict = judge.Verdict(judge.UNSURE, "nothing was watched yet")
        self.since = self.started = self.block_at = 0.0
        self.measured = 0
        self.reason = ""
        self.done: Deferred = Deferred()
        self._over = False

    # -- beginning --------------------------------------------------------------------------------

    def run(self, again: bool = False, undo: bool = False) -> Deferred:
        """Begin the change, or go on with it (`again`), or take it back."""
        torn = self.journal.open(self.head, again)
        if torn:
            self.say("torn", text=f"{torn} bytes of a last line that was not wholly written were dropped")
        for entry in self.journal.entries:
            self._replay(entry)
        if self.standing.change == "undone" or (self.standing.change == "kept" and not undo):
            self.journal.close()
            raise CannotRoll(f"the change is over: {self.standing.change}")
        self.started = self.since = self.block_at = self.now
        for target in self.targets:
            target.since = self.now
        self._look_all().addCallback(self._first, undo).addErrback(self._failed)
        return self.done

    def _replay(self, entry: Entry) -> None:
        if entry.event == "begin":
            self.old = [tuple(r) for r in entry.more["old"]]
            self.new = tuple(entry.more["new"])
            self.judge = self._judge(entry.more["traffic"])
        elif entry.event == "revision":
            self.new = tuple(entry.more["new"])
        elif entry.event == "process":
            # Guards against a node that the resumed controller cannot reach: its process is still known.
            self.targets[entry.who].shown = Shown(("", ""), entry.more["run"], entry.more["pid"])
            self.targets[entry.who].born = entry.more.get("born", 0)
        if entry.event not in ("controller", "revision", "process"):
            self.standing, _ = course.step(self.plan, self.standing, entry.who, entry.event)
        if "judged" in entry.more:
            self._recall(entry.more["judged"])

    def _recall(self, known: dict) -> None:
        """What the judge had learned when a stage was let pass; without it, bounds are wider."""
        try:
            self.judge.recall(known)
            self.blocks.slow = float(known["slow"])
        except (KeyError, TypeError, ValueError) as fault:
            self.say("unlearned", text=f"the journal's figures cannot be used: {fault}; bounds are wider")

    def _judged(self) -> dict:
        """What the next controller has to know of figures, should this one end."""
        return {"judged": {**self.judge.known(), "slow": self.blocks.slow}}

    @property
    def now(self) -> float:
        """Seconds that only advance."""
        return self.reactor.seconds()

    def _first(self, none: object, undo: bool) -> None:
        """All nodes were looked at once."""
        names = [n.name for n in self.sheet.nodes]
        away = [names[i] for i, t in enumerate(self.targets) if t.shown is None]
        if not self.old and away:
            raise CannotRoll(f"not all nodes answer: {', '.join(away)}; a change begins with a whole fleet")
        seen = max((t.shown.generation for t in self.targets if t.shown), default=0)
        self.generation = max(seen, generations(self.journal.entries)) + 1
        self.journal.put(
            Entry(
                time.time(), "controller", more={"generation": self.generation, "controller": self.controller}
            )
        )
        self.say("controller", generation=self.generation, controller=self.controller, of=len(names))
        for node in range(self.plan.nodes):
            self._order(node, "Obey", self._ordered())  # who is not reached hears it with its next order
        if not self.old:
            self._begin()
        if undo:
            self.event(FLEET, "undo", "the operator asked for it")
        else:
            self._doubt()
        self._again(None)

    def _begin(self) -> None:
        old = [t.shown.revision for t in self.targets]
        program, settings = old[0]
        if len({r for r in old}) > 1:
            raise CannotRoll(
                "the fleet has more than one revision already: "
                + ", ".join(sorted({f"program {p} settings {s}" for p, s in old}))
                + "; make it one first"
            )
        change = self.sheet.change
        new_settings = revision.settings(self._file(0, "now"))
        new = (program, new_settings) if change.settings else (change.program.revision, new_settings)
        if new == (program, settings):
            raise CannotRoll("the nodes have this revision already")
        traffic = sorted({t.name for t in self._file(0, "was").traffic})
        self.old, self.new, self.judge = old, new, self._judge(traffic)
        self.event(FLEET, "begin", more={"old": old, "new": new, "traffic": traffic})

    def _channel(self, node: int) -> Channel:
        admin = self.sheet.nodes[node].admin
        return Channel(self.reactor, self.dial(admin), admin, connect_timeout=1.0)

    def _judge(self, traffic: list[str]) -> judge.Judge:
        guards = []
        for g in self.sheet.guards:
            of = traffic if g.traffic == "each" else [g.traffic]
            guards += [judge.Guard(g.figure, g.worse, SIGNS.get(g.figure, 1.0), t) for t in of]
        s = self.sheet
        return judge.Judge(
            guards,
            [n.zone for n in s.nodes],
            max(3, round(s.watch / s.block)),
            s.alarm,
            s.most_lost / s.block,
        )

    def _path(self, node: int, which: str) -> Path:
        s, name = self.sheet, self.sheet.nodes[node].name
        pattern = getattr(s.change.settings, which) if s.change.settings else s.settings
        return self.base / pattern.format(name=name, settings="")

    def _file(self, node: int, which: str) -> NodeSheet:
        try:
            return load(self._path(node, which), NodeSheet)
        except Faults as fault:
            raise CannotRoll(str(fault)) from fault

    def _doubt(self) -> None:
        """A predecessor may have died between an event and its acts.

        What is seen of a node in motion brings its event once more, and with it the act. What was watched by
        another controller is watched anew.
        """
        if self.standing.change in ("watching", "holding"):
            self.judge.watch_anew()

    # -- looking ----------------------------------------------------------------------------------

    def _look_all(self) -> Deferred:
        def figures(ignored: object, node: int) -> Deferred | None:
            target = self.targets[node]
            heard = not (target.missed or target.lost or target.coming)
            return self._ask(node, "Figures", self._counted) if heard else None

        looks = [self._ask(i, "Show", self._showed).addCallback(figures, i) for i in range(self.plan.nodes)]
        return DeferredList(looks, fireOnOneErrback=True)

    def _ask(self, node: int, method: str, then: Callable[[int, bytes | None], None]) -> Deferred:
        done = self.targets[node].channel.unary(SERVICE + method, b"", timeout=ANSWER_WITHIN)
        return done.addCallbacks(lambda data: then(node, data), lambda failure: then(node, None))

    def _showed(self, node: int, data: bytes | None) -> Deferred | None:
        target = self.targets[node]
        if data is None:
            there = maybeDeferred(self.hands.alive, node, target.shown, target.born)
            return there.addCallback(self._missing, node)
        s, before = pb.NodeState.FromString(data), target.shown
        target.shown = Shown(
            (s.program, s.settings), s.run, s.pid, s.leaving, s.proven, s.generation, s.controller
        )
        if before is None or before.run != s.run:
            target.born = self.hands.born(s.pid)
            self._put(
                Entry(time.time(), "process", node, more={"run": s.run, "pid": s.pid, "born": target.born})
            )
        target.lost, target.missed, target.coming = False, 0, False
        return None

    def _missing(self, there: bool, node: int) -> None:
        """It did not answer; whether its process is there."""
        target = self.targets[node]
        target.coming = self.hands.coming(node, target.shown)
        target.lost, target.missed = there and not target.coming, 0 if there else target.missed + 1
        target.counted = None
        # a channel of its own for the next look: this one may be waiting to connect again
        target.channel.close()
        target.channel = self._channel(node)

    def _counted(self, node: int, data: bytes | None) -> None:
        target = self.targets[node]
        if data is None or target.lost or target.missed:
            target.counted = None
            return
        f = pb.NodeFigures.FromString(data)
        target.counted = Counted(
            f.run,
            {
                t.name: Sums(
                    t.asked,
                    t.utility,
                    t.served,
                    t.answers.get("rejected", 0),
                    t.answers.get("aborted", 0),
                    t.attempts,
                    t.begun,
                    t.first_log,
                    tuple(t.first.items()),
                )
                for t in f.traffic
            },
            f.memory,
            dict(f.engines),
        )

    def _again(self, none: object) -> None:
        if not self._over:
            self.reactor.callLater(self.sheet.look, self._look)

    def _look(self) -> None:
        if not self._over:
            self._look_all().addCallback(self._looked).addCallback(self._again).addErrback(self._failed)

    def _looked(self, none: object) -> None:
        self._taken_over()
        if (self.journal.path.parent / f"{self.journal.path.name}.undo").exists():
            os.unlink(f"{self.journal.path}.undo")
            self.event(FLEET, "undo", "the operator asked for it")
        for i in range(self.plan.nodes):
            event = self._seen(i)
            if event:
                self.event(i, event)
        self._clock()
        if self.now - self.block_at >= self.sheet.block and not self._over:
            self._block()

    def _taken_over(self) -> None:
        for t, n in zip(self.targets, self.sheet.nodes, strict=True):
            s = t.shown
            if s is not None and (
                s.generation > self.generation
                or (s.generation == self.generation and s.controller not in ("", self.controller))
            ):
                raise TakenOver(
                    f"{n.name} obeys controller {s.controller} of generation {s.generation}; this one, "
                    f"{self.controller} of {self.generation}, does nothing more"
                )

    def _seen(self, node: int) -> str:
        target, state = self.targets[node], self.standing.nodes[node]
        if target.lost or target.coming:
            return ""  # it may be serving: nothing is concluded, and nothing is done
        if not target.missed:
            if target.shown is None:
                return ""
            event = event_of(target.shown, self.old[node], self.new)
            if event in ("new", "proven") and "" in self.new:
                self.new = target.shown.revision
                self._put(Entry(time.time(), "revision", more={"new": self.new}))
            return event
        if target.missed < CONFIRMED:
            return ""
        if state in tables.SERVING and node in self.standing.absent:
            # it was begun anew for that end already: only the end of the new process is another one
            again = self.hands.quit(node) and not target.told
            target.told = target.told or again
            return "quit" if again else ""
        if state in ("starting", "returning"):
            if self.hands.quit(node):
                return "quit"
            if self.now - self.started < ADOPT or self.now - target.since < ADOPT:
                return ""
        return "gone"

    def _clock(self) -> None:
        s, sheet = self.standing, self.sheet
        for i, target in enumerate(self.targets):
            within = sheet.hold if target.lost else 0.0  # who cannot be reached is not hurried
            event = due(
                self.standing.nodes[i],
                target.since,
                self.now,
                i in s.absent,
                sheet.drain_within + within,
                sheet.start_within + within,
                sheet.warm,
            )
            if event:
                target.since = self.now  # an act that did not help is tried again after as long
                self.event(i, event)
        nodes = len(course.in_work(self.plan, self.standing))
        rounds = -(-nodes // self.plan.most_away)
        most = {
            "changing": rounds * (sheet.drain_within + sheet.start_within) + sheet.hold,
            "settling": sheet.warm + sheet.start_within + sheet.hold,
            "holding": sheet.hold,
            "measuring": sheet.measure + sheet.hold,
        }.get(self.standing.change)
        lost = any(self.targets[i].lost for i in course.in_work(self.plan, self.standing))
        if lost and self.standing.change == "holding":
            self.since = self.now  # nodes go on serving as they are, however long nobody reaches them
            return
        if most is not None and self.now - self.since > most:
            why = (
                f"trouble has lasted for {sheet.hold:g} s: {self.verdict.why}"
                if self.standing.change == "holding"
                else f"{self.standing.change} took longer than {most:g} s"
            )
            self.event(FLEET, "bound", why)

    def _block(self) -> None:
        """A block of time is over."""
        states, was = list(self.standing.nodes), self.standing.change
        seconds, self.block_at = self.now - self.block_at, self.now
        measuring = was == "measuring"
        block = self.blocks.block([t.counted for t in self.targets], states, seconds, measuring)
        self.judge.add(block)
        self.verdict = v = self.judge.verdict()
        if measuring:
            self.measured = 0 if self.judge.in_trouble else self.measured + 1
            if self.measured * self.sheet.block >= self.sheet.measure:
                self.event(FLEET, "measured", more=self._judged())
            return
        unheard = [self.sheet.nodes[i].name for i in self._unheard()]
        if v.says == judge.WORSE and was in ("changing", "settling", "watching", "holding"):
            self.event(FLEET, "worse", v.why)
        elif was == "holding" and not self.judge.in_trouble and not unheard:
            self.event(FLEET, "clear", "nothing of it was seen any more")
        elif was == "watching" and unheard:
            # Guards against a stage that passes as nothing is heard of it: what is not seen is not judged.
            self.event(FLEET, "trouble", f"no contact with {', '.join(unheard)}")
        elif was == "watching" and v.says == judge.TROUBLE:
            self.event(FLEET, "trouble", v.why)
        elif was == "watching" and v.says == judge.PASS:
            last = self.standing.stage == len(self.plan.stages) - 1
            self.event(FLEET, "last" if last else "pass", v.why, self._judged())

    def _unheard(self) -> list[int]:
        """Nodes of the stage in work of which nothing is heard."""
        stage = course.in_work(self.plan, self.standing)
        return [i for i in stage if self.targets[i].counted is None]

    # -- events and acts --------------------------------------------------------------------------

    def _put(self, entry: Entry) -> None:
        try:
            self.journal.put(entry)
        except OSError as fault:
            raise NoJournal(
                f"{self.journal.path}: {fault.strerror}; nothing more is done, and nodes go on as they "
                "are. Make room and use hub-roll resume"
            ) from fault

    def event(self, who: int, event: str, why: str = "", more: dict | None = None) -> None:
        """An event happened: onto the disk, then into the course, then what it asks for."""
        if self._over:
            return
        before = self.standing
        after, acts = course.step(self.plan, before, who, event)
        if after == before and not acts:
            return
        self._put(Entry(time.time(), event, who, why, more or {}))
        self.standing = after
        if who != FLEET and event in ("gone", "quit") and after.nodes[who] in tables.SERVING:
            self.targets[who].since = self.now  # it has as long to come back as any has to start
        self._moved(before, after, event, who, why)
        for verb, node in acts:
            self.step(f"act {verb}")
            if node == FLEET:
                self._fleet_act(verb)
            else:
                self._act(verb, node)
            self.step(f"acted {verb}")

    def _moved(self, before: course.Standing, after: course.Standing, event: str, who: int, why: str) -> None:
        names = [n.name for n in self.sheet.nodes]
        for i, (a, b) in enumerate(zip(before.nodes, after.nodes, strict=True)):
            if a != b:
                self.targets[i].since = self.now
                self.say("node", node=names[i], was=a, now=b, by=event)
        if before.change != after.change or before.stage != after.stage:
            self.since = self.now
            if after.change in ("undoing", "holding"):
                self.reason = why or self.reason or f"{event} {names[who] if who != FLEET else ''}".strip()
            self.say("change", was=before.change, now=after.change, stage=after.stage + 1, by=event, why=why)

    def _fleet_act(self, verb: str) -> None:
        if verb == tables.NEXT:
            self.judge.stage_begun()
        elif verb == tables.WATCH:
            self.judge.watch_anew()
        elif verb == tables.FINISH:
            self._end({"kept": KEPT, "undone": UNDONE}[self.standing.change])
        elif verb == tables.TELL:
            self._end(STUCK)

    def _act(self, verb: str, node: int) -> None:
        target, name = self.targets[node], self.sheet.nodes[node].name
        back = self.standing.nodes[node] in tables.UNDOING
        if verb == course.LEAVE:
            run = target.shown.run if target.shown else ""
            if run:
                self._order(node, "Leave", self._ordered(run))
        elif verb in (course.APPLY, course.UNAPPLY):
            self._stage(node, "was" if verb == course.UNAPPLY else "now")
        elif verb in (tables.BEGIN, tables.BEGIN_OLD):
            self._start(node, "was" if verb == tables.BEGIN_OLD or back else "now")
        elif verb == tables.KILL:
            self.say("kill", node=name, at=time.monotonic())
            self.hands.kill(node, target.shown, target.born)
        elif verb == tables.TELL:
            self.say("tell", node=name, state=self.standing.nodes[node], why=self.reason)

    def _ordered(self, run: str = "", settings: str = "") -> pb.Order:
        return pb.Order(
            format=FORMAT, generation=self.generation, controller=self.controller, run=run, settings=settings
        )

    def _order(self, node: int, method: str, message: object) -> Deferred:
        done = self.targets[node].channel.unary(SERVICE + method, message.SerializeToString(), timeout=5.0)
        return done.addErrback(self._refused, node, method)

    def _refused(self, failure: Failure, node: int, method: str) -> Failure | None:
        """An order that was not taken: in words by the node, or not heard, which the next look shows."""
        if failure.check(RpcError) and failure.value.status.code in (
            Code.FAILED_PRECONDITION,
            Code.INVALID_ARGUMENT,
        ):
            self.reason = (
                f"{self.sheet.nodes[node].name} refused {method.lower()}: {failure.value.status.message}"
            )
            self.say(
                "refused",
                node=self.sheet.nodes[node].name,
                order=method.lower(),
                why=failure.value.status.message,
            )
            try:
                self.event(node, "refused", self.reason)
            except Exception:
                self._failed(Failure())
        return None

    def _stage(self, node: int, which: str) -> None:
        text = self._path(node, which).read_text()
        staged = self._order(node, "Stage", pb.StagedSettings(order=self._ordered(), text=text))

        def apply(data: bytes | None) -> Deferred:
            if data is None:
                return succeed(None)
            digest = pb.OrderTaken.FromString(data).settings
            return self._order(node, "Apply", self._ordered(settings=digest))

        staged.addCallback(apply).addErrback(self._failed)

    def _start(self, node: int, which: str) -> None:
        sheet, name = self.sheet, self.sheet.nodes[node].name
        program = sheet.change.program
        command = (getattr(program, which) if program else sheet.start).format(
            name=name, settings=shlex.quote(str(self._path(node, which)))
        )
        try:
            target = self.targets[node]
            target.told = False
            self.hands.begin(node, name, command, f"{self.generation} {self.controller}")
        except OSError as fault:
            self.reason = f"{name}: {command}: {fault.strerror}"
            self.say("refused", node=name, order="begin", why=self.reason)
            self.reactor.callLater(0, self._late, node, "refused")

    def _late(self, node: int, event: str) -> None:
        try:
            self.event(node, event, self.reason)
        except Exception:
            self._failed(Failure())

    # -- ends -------------------------------------------------------------------------------------

    def _failed(self, failure: Failure) -> None:
        """What stops the controller: nodes are left as they are."""
        if failure.check(FirstError):
            failure = failure.value.subFailure
        code = getattr(failure.value, "code", None)
        if code is None:
            self.say("fault", text=failure.getTraceback())
            code = WRONG
        self.reason = str(failure.value)
        self._end(code)

    def _end(self, code: int) -> None:
        if self._over:
            return
        self._over = True
        self.say("end", change=self.standing.change, why=self.reason, code=code)
        for target in self.targets:
            target.channel.close()
        self.journal.close()
        self.reactor.callLater(0, self.done.callback, code)
