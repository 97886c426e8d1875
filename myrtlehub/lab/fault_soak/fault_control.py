"""The control file, which says what system calls of a process fail.

It is written by `NodeProcess` and by tests, and read by `fault_launcher` in the process itself.
"""

from pathlib import Path

import msgspec

SHORT_CALL = "short"  # in place of an errno: `send` and `recv` transfer only a few bytes


class CallFaults(msgspec.Struct, frozen=True, omit_defaults=True):
    """The content of a control file; the field names are fixed.

    Attributes:
        connect: Name of the errno that `connect` fails with; likewise the other calls.
        accept: See `connect`.
        socket: See `connect`.
        send: See `connect`; or SHORT_CALL.
        recv: See `connect`; or SHORT_CALL.
        write: See `connect`; writes to standard output and standard error fail.
        share: Share of the calls that fail.
        clock_step_s: Seconds that are added to the wall clock.
        unreachable: Addresses, HOST:PORT, to which no connection is established.
        blackhole: Host and port with a full queue; connections to unreachable addresses are made to it.
    """

    connect: str | None = None
    accept: str | None = None
    socket: str | None = None
    send: str | None = None
    recv: str | None = None
    write: str | None = None
    share: float = 1.0
    clock_step_s: float = msgspec.field(default=0.0, name="clock")
    unreachable: tuple[str, ...] = ()
    blackhole: tuple[str, int] | None = None


def write_atomically(path: Path, content: object) -> None:
    """Replace a JSON file in one step, so that its reader never sees a part of it."""
    written = path.with_name(f"{path.name}.new")
    written.write_bytes(msgspec.json.encode(content))
    written.replace(path)
