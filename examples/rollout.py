"""Try a rollout: two emulated engines, three nodes, some traffic, and `hub-rollout run`.

The plan is examples/rolling-settings.yaml. Everything runs on loopback and ends by itself. Simulated.

    python examples/rollout.py
"""

import shutil
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from myrtlehub.client import ChatRequest, RejectedError, RetrySemantics
from myrtlehub.client.sync_client import Client

HERE = Path(__file__).parent
NODE = """
node: {{name: {name}, listen: "127.0.0.1:{port}", admin: "127.0.0.1:{admin}", index: {index}, nodes: 3,
  zone: north, max_wait: {wait}}}
traffic: [{{name: ask, repeats: repeatable, latency_slo: 2s, abandon_time: 5s}}]
kinds:
  - {{name: reader, reads: yes, memory: 200k tokens}}
  - {{name: writer, writes: yes, memory: 200k tokens}}
zones: [north]
rules:
  {{drain_grace: 250ms, let_go: 500ms, cold_share: 0.25, cold_time: 8s, fall_multiple: 2.5, fall_time: 1s}}
list:
  engines:
    - {{address: "127.0.0.1:7131", kind: reader, zone: north}}
    - {{address: "127.0.0.1:7132", kind: writer, zone: north}}
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
    """Exit code of hub-rollout."""
    with tempfile.TemporaryDirectory() as name:
        folder, processes = Path(name), []
        shutil.copy(HERE / "rolling-settings.yaml", folder / "plan.yaml")
        try:
            for port, does in ((7131, "reads"), (7132, "writes")):
                path = folder / f"{does}.yaml"
                path.write_text(f"{{name: {does}, listen: '127.0.0.1:{port}', {does}: yes, slots: 16}}\n")
                processes.append(start("myrtlehub.cli.emulator", path))
            for i in range(3):
                for which, wait in (("", "2s"), (".new", "1s")):
                    (folder / f"hub-{i + 1}{which}.yaml").write_text(
                        NODE.format(name=f"hub-{i + 1}", port=7121 + i, admin=7111 + i, index=i, wait=wait)
                    )
                processes.append(start("myrtlehub.cli.node", folder / f"hub-{i + 1}.yaml"))
            over = threading.Event()
            callers = [
                threading.Thread(target=ask, args=(f"127.0.0.1:{7121 + i % 3}", over)) for i in range(6)
            ]
            for caller in callers:
                caller.start()
            code = subprocess.run(
                [sys.executable, "-m", "myrtlehub.cli.rollout", "run", str(folder / "plan.yaml")]
            ).returncode
            over.set()
            for caller in callers:
                caller.join()
            return code
        finally:
            for process in processes:
                process.terminate()
                process.wait()


def ask(node: str, over: threading.Event) -> None:
    """Sequences, one after the other, until it is over."""
    with Client(node) as client:
        while not over.is_set():
            try:
                for _ in client.generate(
                    ChatRequest(
                        "ask",
                        prompt_tokens=300,
                        max_output_tokens=12,
                        retry_semantics=RetrySemantics.IDEMPOTENT,
                        timeout=10.0,
                    )
                ):
                    pass
            except RejectedError as error:
                over.wait(error.retry_after)


if __name__ == "__main__":
    sys.exit(main())
