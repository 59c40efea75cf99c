"""applerampd refuses a wrong command line or wrong settings in one line, and does not start."""
import pathlib
import subprocess
import tempfile

BIN = pathlib.Path(__file__).resolve().parents[2] / "build" / "bin"

VALID = """[process]
role = entry
instance = entry-a
availability_zone = zone-a
[listen]
callers = 127.0.0.1:0
operations = 127.0.0.1:0
links = 127.0.0.1:0
[platform]
table_url = http://127.0.0.1:9
objects_url = http://127.0.0.1:9
instances_url = http://127.0.0.1:9
"""


def run(*arguments):
    return subprocess.run([BIN / "applerampd", *arguments], capture_output=True, text=True, timeout=20)


def assert_refused(result, exit_code, *parts):
    assert result.returncode == exit_code, result
    assert result.stdout == "" and result.stderr.count("\n") == 1, result
    for part in parts:
        assert part in result.stderr, (part, result.stderr)


def main():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entry.ini"

        def with_settings(text, *flags):
            path.write_text(text)
            return run("--settings", str(path), *flags)

        valid = with_settings(VALID, "--check-settings")
        assert valid.returncode == 0 and valid.stderr == "", valid
        for flags in ([], ["--check-settings"]):
            assert_refused(with_settings(VALID + "table = x\n", *flags), 1, str(path), "[platform] table", "unknown key")
            assert_refused(with_settings(VALID.replace("zone-a", "a zone"), *flags), 1,
                           "[process] availability_zone", "is not a name")
            assert_refused(with_settings(VALID.replace("role = entry\n", ""), *flags), 1, "[process] role", "missing")
        several = with_settings(VALID.replace("zone-a", "a zone").replace("callers = 127.0.0.1:0", "callers = here") + "table = x\n", "--check-settings")
        assert several.returncode == 1 and several.stdout == "" and several.stderr.count("\n") == 3, several
        for part in ("[platform] table", "[process] availability_zone", "[listen] callers"):
            assert part in several.stderr, (part, several.stderr)
        assert_refused(run("--settings", str(path) + ".none"), 1, "can't be opened")
        assert_refused(run("--setting", str(path)), 2, "unknown flag '--setting'")
        assert_refused(run(), 2, "name a settings file")
    print("applerampd refuses wrong flags and settings in one line")


if __name__ == "__main__":
    main()
