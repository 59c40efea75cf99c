"""Runs clang-tidy over the given sources in parallel and remembers which were clean."""
import concurrent.futures
import hashlib
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "appleramp-tidy"
JOBS = int(os.environ.get("LINT_JOBS", os.cpu_count() or 1))
MAX_LINES = 150


def headers_by_source():
    """The repository's headers that each source includes, as the last build saw them."""
    listing = subprocess.run(["ninja", "-C", "build", "-t", "deps"], cwd=ROOT, capture_output=True, text=True).stdout
    result = {}
    dependencies = []
    for line in listing.splitlines() + [""]:
        if line.startswith("    "):
            path = (ROOT / "build" / line.strip()).resolve()
            if path.is_relative_to(ROOT) and path.is_file():
                dependencies.append(path)
        else:
            if dependencies:
                result[dependencies[0]] = sorted(dependencies)
            dependencies = []
    return result


def digest(paths):
    sum = hashlib.sha256()
    for path in paths:
        sum.update(str(path.relative_to(ROOT)).encode())
        sum.update(path.read_bytes())
    return sum.hexdigest()


def check(source, headers):
    """Empty if clean, else what clang-tidy says."""
    settings = [ROOT / ".clang-tidy", ROOT / "tests" / ".clang-tidy", ROOT / "cmake" / "appleramp.cmake"]
    stamp = CACHE / digest(settings + [source] + headers) if headers else None
    if stamp and stamp.exists():
        return ""
    run = subprocess.run(["clang-tidy", "--quiet", "-p", "build", str(source)], cwd=ROOT, capture_output=True, text=True)
    if run.returncode == 0 and stamp:
        stamp.touch()
    return "" if run.returncode == 0 else run.stdout + f"lint failed: {source.relative_to(ROOT)}\n"


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    sources = [pathlib.Path(name).resolve() for name in sys.argv[1:] if name.endswith(".cpp")]
    headers = headers_by_source()
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        findings = list(pool.map(lambda source: check(source, headers.get(source, [])), sources))
    # A header's warning comes once for each source that includes it.
    lines = list(dict.fromkeys("".join(findings).splitlines()))
    print("\n".join(lines[:MAX_LINES]), end="\n" if lines else "")
    return 1 if lines else 0


if __name__ == "__main__":
    sys.exit(main())
