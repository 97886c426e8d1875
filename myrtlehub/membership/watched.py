"""The list from watched files: told by inotify where there is one, looked at by a poll everywhere.

A file that is being written is told from a finished one by three things together: all parse, their bytes
are the same at two looks, and nothing was changed for the quiet time between.
"""

from collections.abc import Callable, Iterable
from pathlib import Path

from myrtlehub.membership import files
from myrtlehub.membership.judge import HOLD, REFUSE, SAME, TAKE, ListJudge, Verdict
from myrtlehub.membership.source import Taker
from myrtlehub.membership.store import StoreBroken, VersionStore
from myrtlehub.membership.version import Version

Log = Callable[..., None]
# Work that may block, done where it does not hold up the node, and what to do with its result afterwards.
Beside = Callable[[Callable[[], object], Callable[[object], None]], None]
Reader = Callable[[Iterable[str], Path, bool, Callable[[files.Reading], None]], None]


class WatchedList:
    """A list source. `notify(paths, changed)` asks the system to call `changed` when one of them does."""

    def __init__(
        self,
        patterns: Iterable[str],
        base: Path,
        judge: ListJudge,
        clock: object,
        poll: float,
        quiet: float,
        store: VersionStore | None = None,
        log: Log = lambda event, **more: None,
        notify: Callable[[list[str], Callable[[], None]], None] = lambda paths, changed: None,
        silent: Callable[[], frozenset[str]] = frozenset,
        reader: Reader | None = None,
        end_marked: bool = False,
        beside: Beside = lambda work, then: then(work()),
    ) -> None:
        self.patterns, self.base, self.judge, self.clock = tuple(patterns), base, judge, clock
        self.poll, self.quiet, self.store, self.log = poll, quiet, store, log
        self.end_marked = end_marked
        self.notify, self.silent = notify, silent
        # Reading a list of thousands takes seconds: a reader may do it where it does not hold up the node.
        self.reader = reader or (lambda names, base, marked, then: then(files.read(names, base, marked)))
        self.beside = beside
        self._busy = self._again = self._storing = False
        self._to_store: Version | None = None
        self._take: Taker = lambda rows, whole, number, digest: None
        self._stamp: tuple = ()
        self._digest = ""
        self._looking = self._polling = None
        self._seen_at = 0.0

    def follow(self, take: Taker) -> None:
        """Read now; where the files are absent or bad, begin with the stored version, marked old."""
        self._take = take
        stored = self._stored()
        if stored is not None:
            self.judge.number = stored[0]  # numbers go on over restarts
        reading = files.read(self.patterns, self.base, self.end_marked)
        self._stamp, self._digest = files.stamp(self.patterns, self.base), reading.digest
        self._act(self._verdict(reading, self.clock.seconds(), frozenset()))
        if self.judge.version is None and stored is not None:
            number, source, rows = stored
            self._act(
                self.judge.read(
                    self.clock.seconds(), rows, f"store, version {number} from {source}", old=True
                )
            )
        self.notify(self._paths(), self.changed)
        self._polling = self.clock.callLater(self.poll, self._poll)

    def reread(self) -> None:
        """Hand over the whole list again."""
        if self.judge.version is not None:
            version = self.judge.version
            self._take(list(version.engines.values()), True, version.number, version.digest)

    def rows(self, instead: object = None) -> list:
        """The list as it stands; files alone say what it is, so nothing takes its place."""
        return list(self.judge.version.engines.values()) if self.judge.version is not None else []

    def stop(self) -> None:
        """Look no more."""
        for timer in (self._looking, self._polling):
            if timer is not None and timer.active():
                timer.cancel()

    def changed(self) -> None:
        """Something about the files changed: look once they have been quiet."""
        now = self.clock.seconds()
        if self._looking is None:
            self._seen_at = now
        if self._looking is not None and self._looking.active():
            if now - self._seen_at > 20 * self.quiet:
                return  # guards against files that are never quiet: then a look comes all the same
            self._looking.cancel()
        self._looking = self.clock.callLater(self.quiet, self._look)

    def _poll(self) -> None:
        self._polling = self.clock.callLater(self.poll, self._poll)
        stamp = files.stamp(self.patterns, self.base)
        if stamp != self._stamp:
            self._stamp = stamp
            self.changed()

    def _look(self) -> None:
        self._looking = None
        if self._busy:
            self._again = True
            return
        self._busy = True
        self.reader(self.patterns, self.base, self.end_marked, self._looked)

    def _looked(self, reading: files.Reading) -> None:
        again, self._again, self._busy = self._again, False, False
        if reading.digest != self._digest:
            # Not the same as at the last look: it may be half-written. Look again after the quiet time.
            self._digest, again = reading.digest, True
        else:
            self._busy = True
            verdict = self._verdict(reading, self.clock.seconds(), self.silent())
            self.clock.callLater(0, self._judged, verdict)  # a turn of its own: long lists take long
        self._look_again(again)

    def _judged(self, verdict: Verdict) -> None:
        self._busy = False
        self._act(verdict)
        self.notify(self._paths(), self.changed)
        self._look_again(self._again)

    def _look_again(self, again: bool) -> None:
        if again and (self._looking is None or not self._looking.active()):
            self._looking = self.clock.callLater(self.quiet, self._look)

    def _paths(self) -> list[str]:
        """Directories to be told of: names come, go and are replaced in them."""
        named = {str(Path(name).parent) for name in files.expand(self.patterns, self.base)}
        named |= {str(self.base / p) for p in self.patterns if (self.base / p).is_dir()}
        return sorted(p for p in named if Path(p).is_dir())

    def _verdict(self, reading: files.Reading, now: float, silent: frozenset[str]) -> Verdict:
        source = "files"
        if reading.missing:
            return self.judge.lost(
                now,
                source,
                "; ".join(reading.faults)
                or f"no file is there for {', '.join(self.patterns)}; the last list stays",
            )
        if reading.faults:
            return self.judge.refuse(now, source, "; ".join(reading.faults))
        return self.judge.read(now, reading.rows, source, silent=silent, digest=reading.content)

    def _act(self, verdict: Verdict) -> None:
        if verdict.again_at < float("inf") and self._looking is None:
            wait = max(self.quiet, verdict.again_at - self.clock.seconds())
            self._looking = self.clock.callLater(wait, self._look)
        if verdict.do == SAME:
            return
        if verdict.do in (REFUSE, HOLD):
            self.log(
                "list " + {REFUSE: "refused", HOLD: "held back"}[verdict.do],
                why=verdict.why,
                version=self.judge.version.number if self.judge.version else 0,
            )
            return
        assert verdict.do == TAKE
        version = verdict.version
        self.log(
            "list taken",
            version=version.number,
            digest=version.digest,
            engines=len(version.engines),
            added=len(verdict.change.added),
            gone=len(verdict.change.gone),
            old=version.old,
        )
        if not verdict.change:
            self._take(list(version.engines.values()), True, version.number, version.digest)
        else:
            self._take(verdict.change.rows(), False, version.number, version.digest)
        if self.store is not None and not version.old:
            self._to_store = version
            self._store()

    def _store(self) -> None:
        """Beside the node's turn, one version at a time; of those that came meanwhile the newest will do."""
        if self._storing or self._to_store is None:
            return
        version, self._to_store, self._storing = self._to_store, None, True
        self.beside(lambda: self._kept(version), self._stored_it)

    def _kept(self, version: Version) -> str:
        try:
            self.store.keep(version)
        except StoreBroken as fault:
            return str(fault)
        return ""

    def _stored_it(self, why: str) -> None:
        self._storing = False
        if why:
            self.log("list not stored", why=why)
        self._store()

    def _stored(self) -> tuple | None:
        try:
            return self.store.last() if self.store is not None else None
        except StoreBroken as fault:
            self.log("store not used", why=str(fault))
            return None
