"""Real entry with few descriptors: more connections than it may have, idle or with half a request. Guards against a process that has no
descriptor left for sound callers, its endpoints and the store."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from hostile_callers import HostileCallers, head, open_descriptors  # noqa: E402

DESCRIPTORS = 256
# What is left for the endpoints, the store and files.
MIN_FREE_DESCRIPTORS = 32
CONNECTIONS = 400
BEGINNINGS = {"idle": b"", "half a head": head("half", "Content-Length: 2")[:40], "half a body": head("half", "Content-Length: 2") + b"{"}


def main():
    for what, begin in BEGINNINGS.items():
        for port in ("callers", "directory", "readiness", "operations"):
            with HostileCallers(descriptors=DESCRIPTORS) as crowd:
                for _ in range(CONNECTIONS):
                    crowd.connect(port).send(begin)
                crowd.check(f"{what} at the port of {port}")
                used = open_descriptors(crowd.process)
                assert used <= DESCRIPTORS - MIN_FREE_DESCRIPTORS, f"{what} at the port of {port}: {used} of {DESCRIPTORS} descriptors"


if __name__ == "__main__":
    main()
