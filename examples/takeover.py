"""Run a takeover: two emulated engines and three nodes, one of which is killed during an answer.

All programs run on loopback and end by themselves. Simulated.

    python examples/takeover.py
"""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

from local_programs import FLEET_SETTINGS, LocalPrograms, local_programs

from myrtlehub.client import ChatRequest
from myrtlehub.client.sync_client import Client

NODE_PORTS = (7161, 7162, 7163)
FIRST_PEER_PORT = 7141
READER_PORT, WRITER_PORT = 7151, 7152
DISCOVERY_S = 0.5  # in which the nodes connect to one another
TOKENS_BEFORE_KILL = 20
SHOWN_GAP_S = 0.1  # longer times between tokens are printed
NODE = (
    """
node: {{name: {name}, listen: "127.0.0.1:{port}", index: {index}, nodes: 3, zone: north}}
traffic: [{{name: post, repeats: once-only, latency_slo: 2s, abandon_time: 6s}}]
engines_may: {{claims: yes}}
takeover:
  listen: 127.0.0.1:{peer_port}
  peers:
    - {{name: hub-1, address: "127.0.0.1:7141", zone: north}}
    - {{name: hub-2, address: "127.0.0.1:7142", zone: north}}
    - {{name: hub-3, address: "127.0.0.1:7143", zone: north}}
"""
    + FLEET_SETTINGS
)


def start_programs(programs: LocalPrograms) -> list[subprocess.Popen[str]]:
    """Start engines and nodes; return the processes of the nodes."""
    programs.start_engine("reads", READER_PORT, "stream_bound: 5s")
    programs.start_engine("writes", WRITER_PORT, "stream_bound: 5s")
    return [
        programs.start_node(
            f"hub-{index + 1}",
            NODE.format(
                name=f"hub-{index + 1}",
                port=port,
                index=index,
                peer_port=FIRST_PEER_PORT + index,
                reader_port=READER_PORT,
                writer_port=WRITER_PORT,
            ),
        )
        for index, port in enumerate(NODE_PORTS)
    ]


def main() -> int:
    """Run the example; return 0 if the client received all tokens that the writer generated."""
    with tempfile.TemporaryDirectory() as name, local_programs(Path(name)) as programs:
        nodes = start_programs(programs)
        time.sleep(DISCOVERY_S)
        first, *others = [f"127.0.0.1:{port}" for port in NODE_PORTS]
        with Client(first, others=others) as client:
            stream = client.generate(
                ChatRequest("post", prompt_tokens=900, max_output_tokens=200, first_token_timeout=5.0)
            )
            count, last_at = 0, time.monotonic()
            for ids in stream:
                count += len(ids)
                gap = time.monotonic() - last_at
                if gap > SHOWN_GAP_S:
                    print(f"{gap:.2f} s without a token before number {count}")
                last_at = time.monotonic()
                if count == TOKENS_BEFORE_KILL:
                    print(f"{count} tokens came; its node is killed")
                    nodes[0].kill()
        print(f"generated: {stream.answer.tokens} tokens at the writer, {count} here")
        return 0 if stream.answer.tokens == count else 1


if __name__ == "__main__":
    sys.exit(main())
