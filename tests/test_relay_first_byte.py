"""What is checked and told just before the first byte of an attempt, however long its connection took."""

from relayrig import RelayRig
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from myrtlehub.http1.connection_pool import Dial

SLOW_CONNECT_S = 0.2  # under the connect timeout of the settings
CLIENT_TIME_MS = 1000
KEYED = {"Name": "keep", "Effect": "deduplicated", "DedupScope": "all", "WindowMs": 1000.0}


def slow_rig(engines: str = "w1", delay: float = SLOW_CONNECT_S, **settings: object) -> RelayRig:
    """Return a rig whose connections to engines take so long."""
    rig = RelayRig(engines, **settings)
    dialer = rig.net.dialer

    def slow_dialer(address: str, who: str = "client") -> Dial:
        dial = dialer(address, who)
        if address[0] not in "rw":
            return dial

        def dial_later(factory: Factory) -> Deferred:
            done = task.deferLater(rig.clock, delay, lambda: None)
            return done.addCallback(lambda none: dial(factory))

        return dial_later

    rig.net.dialer = slow_dialer
    return rig


def test_the_time_told_is_what_is_left_as_the_first_byte_leaves() -> None:
    rig = slow_rig()
    rig.request("a1", remaining_ms=CLIENT_TIME_MS)
    rig.run(0.5)
    told = int(rig.engines["w1"].chat_requests()[0].headers[b"x-remaining-ms"])
    left = CLIENT_TIME_MS - SLOW_CONNECT_S * 1000
    assert left - 60 <= told <= left
