"""Guards against false findings of the soak: a supervisor that wakes up while the run ends its processes took them for crashed
and started them again, so that they outlived the run."""
import asyncio
import pathlib
import subprocess
import sys
import tempfile
import time

from fleet import Member
from soak import Soak

# Steps of the event loop between the moment at which the supervisors' waits have passed and the end of the run.
MOST_STEPS = 6


class IdleMember(Member):
    """A member whose process does nothing; notes each process that it started."""

    def __init__(self, name, folder):
        super().__init__(name, "za", "127.0.0.1:1", folder)
        self.started = []

    def start(self):
        (self.folder / f"{self.name}.log").touch()
        self.process = subprocess.Popen(["sleep", "60"])
        self.started.append(self.process)


class EndingSoak(Soak):
    """A run whose only event is its end, at a chosen step after the supervisors' waits have passed."""

    def __init__(self, folder, steps):
        super().__init__(1, folder)
        self.steps = steps

    async def run(self, seconds):
        self.agents = [IdleMember(f"agent{number}", self.folder) for number in range(4)]
        for member in self.agents:
            member.start()
        self.supervise()
        await asyncio.sleep(0)
        # Blocks the event loop, so that all waits pass at the same step.
        time.sleep(0.25)
        for _ in range(self.steps):
            await asyncio.sleep(0)


def problems(steps, folder):
    soak = EndingSoak(folder, steps)
    asyncio.run(soak.run_to_end(0))
    left = [process for member in soak.agents for process in member.started if process.poll() is None]
    for process in left:
        process.kill()
        process.wait()
    return soak.broken + [f"process {process.pid} outlived the run" for process in left]


def main():
    failed = 0
    for steps in range(MOST_STEPS):
        with tempfile.TemporaryDirectory() as folder:
            found = problems(steps, pathlib.Path(folder))
        failed += bool(found)
        for line in found:
            print(f"end after {steps} steps: {line}")
    print(f"{MOST_STEPS - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
