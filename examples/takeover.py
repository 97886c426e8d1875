"""Try a takeover: two emulated engines and three nodes, one of them killed amid an answer.

Everything runs on loopback and ends by itself. Simulated.

    python examples/takeover.py
"""

import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from myrtlehub.client import ChatRequest
from myrtlehub.client.sync_client import Client

NODE = """
node: {{name: hub-{i}, listen: "127.0.0.1:{port}", index: {index}, nodes: 3, zone: north}}
traffic: [{{name: post, repeats: once-only, latency_slo: 2s, abandon_time: 6s}}]
kinds:
  - {{name: reader, reads: yes, memory: 200k tokens}}
  - {{name: writer, writes: yes, memory: 200k tokens}}
zones: [north]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 8s, fall_multiple: 2.5, fall_time: 1s}}
engines_may: {{claims: yes}}
takeover:
  listen: 127.0.0.1:{peer}
  peers:
    - {{name: hub-1, address: "127.0.0.1:7141", zone: north}}
    - {{name: hub-2, address: "127.0.0.1:7142", zone: north}}
    - {{name: hub-3, address: "127.0.0.1:7143", zone: north}}
list:
  engines:
    - {{address: "127.0.0.1:7151", kind: reader, zone: north}}
    - {{address: "127.0.0.1:7152", kind: writer, zone: north}}
"""


def start(module: str, path: Path) -> subprocess.Popen:
    """A program, once it says that it is ready."""
    process = subprocess.Popen([sys.executable, "-m", module, str(path)], stdout=subprocess.PIPE, text=True)
    for line in process.stdout:
        if '"ready"' in line:
            break
    threading.Thread(target=process.stdout.read, daemon=True).start()
    return process


def main() -> int:
    """0 if the whole answer came."""
    with tempfile.TemporaryDirectory() as name:
        folder, engines, nodes = Path(name), [], []
        try:
            for port, does in ((7151, "reads"), (7152, "writes")):
                path = folder / f"{does}.yaml"
                path.write_text(
                    f"{{name: {does}, listen: '127.0.0.1:{port}', {does}: yes, stream_bound: 5s}}\n"
                )
                engines.append(start("myrtlehub.cli.emulator", path))
            for i in range(3):
                path = folder / f"hub-{i + 1}.yaml"
                path.write_text(NODE.format(i=i + 1, index=i, port=7161 + i, peer=7141 + i))
                nodes.append(start("myrtlehub.cli.node", path))
            time.sleep(0.5)  # nodes have to have found one another
            with Client("127.0.0.1:7161", others=["127.0.0.1:7162", "127.0.0.1:7163"]) as client:
                stream = client.generate(
                    ChatRequest("post", prompt_tokens=900, max_output_tokens=200, first_token_timeout=5.0)
                )
                count, last = 0, time.monotonic()
                for ids in stream:
                    count += len(ids)
                    if time.monotonic() - last > 0.1:
                        print(f"{time.monotonic() - last:.2f} s without a token before number {count}")
                    last = time.monotonic()
                    if count == 20:
                        print(f"{count} tokens came; its node is killed")
                        nodes[0].kill()
            print(f"generated: {stream.answer.tokens} tokens at the writer, {count} here")
            return 0 if stream.answer.tokens == count else 1
        finally:
            for process in (*nodes, *engines):
                process.terminate()
                process.wait()


if __name__ == "__main__":
    sys.exit(main())
