"""What processes use, by the kernel's own counts."""
import os
import pathlib
import re
import subprocess

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    """User and system time of a process so far."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def idle_cpu_seconds(pid):
    """Time on a processor of the threads that stand, by the nanosecond: for processes that do little."""
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        try:
            total += int((task / "schedstat").read_text().split()[0])
        except FileNotFoundError:
            continue
    return total / 1e9


def resident_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        kilobytes = re.search(r"VmRSS:\s+(\d+) kB", status.read()).group(1)
    return int(kilobytes) / 1024


def socket_bytes(pids):
    """Bytes sent on the open TCP connections of each process."""
    sent = {pid: 0 for pid in pids}
    listing = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    for line in listing.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        count = re.search(r"bytes_sent:(\d+)", line)
        if owner and count and int(owner.group(1)) in sent:
            sent[int(owner.group(1))] += int(count.group(1))
    return sent
