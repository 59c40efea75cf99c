"""Real entry before endpoints whose answers are none: a status that is no status, blanks, control bytes and folded lines in names of fields,
codings that nobody asked for, heads that name another request or no engine. A caller gets none of them as an answer, nor a body that is
framed otherwise than the endpoint meant it; sound answers of unusual form still reach it, whole."""
import concurrent.futures
import http.client
import itertools
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from direct_answers import event  # noqa: E402
from direct_entries import Entries, configuration  # noqa: E402
from fleet import call, wait_until  # noqa: E402
from raw_endpoint import RawEndpoint  # noqa: E402

ENDPOINTS = 6
CALLERS = 12
BOUNDS = {"repeat_constant": 100_000}
MAX_TRIES = 400
PAUSE_SECONDS = 0.05

BODY = event(1) + event(2)
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
IN_CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
# In place of these an endpoint puts its fields and the id of the request.
FIELDS = b"X-Attempt-Id: @ID@\r\nX-Response-Stamp: @STAMP@\r\n"


def head(line, fields=b"", framing=LENGTH, body=BODY):
    return line + b"\r\n" + FIELDS + fields + framing + b"\r\n" + body


def ok(fields=b"", framing=LENGTH, body=BODY):
    return head(b"HTTP/1.1 200 OK", fields, framing, body)


def odd_answers():
    """By a name that says what is odd: the bytes of an answer, after which the endpoint closes its connection."""
    odd = {}
    for status in (b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"2x0", b"-20", b"+20"):
        odd["status " + status.decode()] = head(b"HTTP/1.1 " + status + b" OK")
    for status in (100, 101, 102, 103, 199):
        odd[f"interim {status} only"] = head(b"HTTP/1.1 %d Wait" % status)
    odd["101 before a sound answer"] = b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok()
    odd["many interim heads"] = b"HTTP/1.1 102 Wait\r\n\r\n" * 50 + ok()
    odd["large interim heads"] = (b"HTTP/1.1 102 Wait\r\nX-A: " + b"a" * 30_000 + b"\r\n\r\n") * 4 + ok()
    for version in (b"HTTP/0.9", b"HTTP/2.0", b"HTTP/1,1", b"HTTP/11", b"http/1.1", b"HTTP 1.1", b"HTTP/1.1x"):
        odd["version " + version.decode()] = head(version + b" 200 OK")
    for byte in [*range(0x20), 0x7f, 0x80, 0xff, *b" \"(),/;<=>?@[\\]{}"]:
        if byte in (0x0a, 0x0d):
            continue
        odd[f"0x{byte:02x} inside a name"] = ok(b"X-%cA: b\r\n" % byte)
        odd[f"0x{byte:02x} before a colon"] = ok(b"X-A%c: b\r\n" % byte)
        odd[f"0x{byte:02x} before a name"] = ok(b"%cX-A: b\r\n" % byte)
        odd[f"0x{byte:02x} before the first name"] = b"HTTP/1.1 200 OK\r\n%c" % byte + FIELDS + LENGTH + b"\r\n" + BODY
        odd[f"0x{byte:02x} in the name of the length"] = ok(b"", b"Content%cLength: 4\r\n" % byte)
        odd[f"0x{byte:02x} before the colon of the length"] = ok(b"", b"Content-Length%c: 4\r\n" % byte)
        odd[f"0x{byte:02x} before the colon of the coding"] = ok(b"", b"Transfer-Encoding%c: chunked\r\n" % byte, IN_CHUNKS)
    for byte in [*range(0x20), 0x7f]:
        if byte not in (0x09, 0x0a, 0x0d):
            odd[f"0x{byte:02x} in a value"] = ok(b"X-A: b%cc\r\n" % byte)
    odd["an empty name"] = ok(b": b\r\n")
    odd["a line without a colon"] = ok(b"X-A\r\n")
    odd["a bare line feed"] = ok(b"X-A: b\nX-C: d\r\n")
    odd["a bare carriage return"] = ok(b"X-A: b\rX-C: d\r\n")
    odd["a folded value"] = ok(b"X-A: b\r\n c\r\n")
    odd["a folded length"] = ok(b"X-A: b\r\n Content-Length: 4\r\n", b"")
    odd["a folded stamp"] = ok(b"", b" X-A: a\r\n" + LENGTH)
    for coding in (b"gzip, chunked", b"chunked;q=1", b"chunked, chunked", b"chunked, gzip", b"identity", b"xchunked", b"gzip", b"\"chunked\"", b",chunked", b""):
        odd["coding " + coding.decode()] = ok(b"", b"Transfer-Encoding: " + coding + b"\r\n", IN_CHUNKS)
    odd["two codings"] = ok(b"Transfer-Encoding: chunked\r\n", b"Transfer-Encoding: chunked\r\n", IN_CHUNKS)
    odd["a coding before HTTP/1.1"] = head(b"HTTP/1.0 200 OK", b"", b"Transfer-Encoding: chunked\r\n", IN_CHUNKS)
    odd["a coding beside a length"] = ok(LENGTH, b"Transfer-Encoding: chunked\r\n", IN_CHUNKS)
    for length in (b"+4", b"-4", b"0x4", b"4 4", b"4, 5", b"", b"4x", b"99999999999999999999999"):
        odd["length " + length.decode()] = ok(b"", b"Content-Length: " + length + b"\r\n")
    odd["two lengths"] = ok(LENGTH, b"Content-Length: 4\r\n")
    odd["an encoded body"] = ok(b"Content-Encoding: gzip\r\n")
    odd["no stamp"] = ok().replace(b"X-Response-Stamp: @STAMP@\r\n", b"")
    odd["an empty stamp"] = ok().replace(b"@STAMP@", b"")
    odd["two stamps"] = ok(b"X-Response-Stamp: other\r\n")
    odd["no id"] = ok().replace(b"X-Attempt-Id: @ID@\r\n", b"")
    odd["another id"] = ok().replace(b"@ID@", b"other")
    odd["two ids"] = ok(b"X-Attempt-Id: other\r\n")
    return odd


def sound_answers():
    """By name: the bytes of an answer, and the status and body that the caller gets."""
    interim = b"HTTP/1.1 %d Wait\r\nX-Attempt-Id: other\r\n\r\n"
    return {
        "no reason": (head(b"HTTP/1.1 200 "), 200, BODY),
        "another reason": (head(b"HTTP/1.1 299 Fine \xfc by me"), 299, BODY),
        "eight bits in a value": (ok(b"X-A: \xc3\xbc \xff\r\n"), 200, BODY),
        "an empty value": (ok(b"X-A:\r\nX-B: \r\n"), 200, BODY),
        "a tab in a value": (ok(b"X-A: a\tb\r\n"), 200, BODY),
        "odd but valid names": (ok(b"!#$%&'*+-.^_`|~9: b\r\n"), 200, BODY),
        "equal stamps": (ok(b"X-Response-Stamp: @STAMP@\r\n"), 200, BODY),
        "chunks": (ok(b"", b"Transfer-Encoding: chunked\r\n", IN_CHUNKS), 200, BODY),
        "chunks in capitals": (ok(b"", b"transfer-encoding: CHUNKED\r\n", IN_CHUNKS), 200, BODY),
        "chunk extensions": (ok(b"", b"Transfer-Encoding: chunked\r\n", IN_CHUNKS.replace(b"\r\n", b";a=b\r\n", 1)), 200, BODY),
        "trailers": (ok(b"", b"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", IN_CHUNKS[:-2] + b"X-T: 1\r\n\r\n"), 200, BODY),
        "equal lengths": (ok(LENGTH), 200, BODY),
        "HTTP/1.0 with a length": (head(b"HTTP/1.0 200 OK"), 200, BODY),
        "HTTP/1.0 to the end of its connection": (head(b"HTTP/1.0 200 OK", b"", b""), 200, BODY),
        "HTTP/1.1 to the end of its connection": (ok(b"", b"Connection: close\r\n"), 200, BODY),
        "no content": (head(b"HTTP/1.1 204 No Content", b"", b"", b""), 204, b""),
        "not modified": (head(b"HTTP/1.1 304 Not Modified", b"", b"", b""), 304, b""),
        "a failure": (head(b"HTTP/1.1 500 Failed"), 500, BODY),
        "a failure without a stamp": (head(b"HTTP/1.1 400 Bad").replace(b"X-Response-Stamp: @STAMP@\r\n", b""), 400, BODY),
        "one interim head": (interim % 100 + ok(), 200, BODY),
        "interim heads": (interim % 102 + interim % 103 + interim % 199 + ok(), 200, BODY),
        "an interim head before chunks": (interim % 103 + ok(b"", b"Transfer-Encoding: chunked\r\n", IN_CHUNKS), 200, BODY),
        "a stamp that Connection names": (ok(b"Connection: X-Response-Stamp, close\r\n"), 200, BODY),
        "an id that Connection names": (ok(b"Connection: close, x-attempt-id\r\n"), 200, BODY),
    }


# By which the entry's metrics tell them apart.
DEFECTS = ("syntax", "status", "upgrade", "interim_responses", "folded_field", "transfer_coding", "other_request", "no_request_id", "signature", "encoded_body")
ODD = odd_answers()
SOUND = sound_answers()
NAMES = [*ODD, *SOUND]
BYTES = [*ODD.values(), *(each[0] for each in SOUND.values())]


class HeadEndpoint(RawEndpoint):
    """Sends the answer that the path names, whole or in two pieces: /ROUTE/ANSWER/NUMBER."""

    reached = set()
    lock = threading.Lock()

    def answer(self, connection, request):
        _, _, which, number = request.target.split("/")
        with self.lock:
            self.reached.add(request.name)
        answer = BYTES[int(which)].replace(b"@ID@", request.name.encode()).replace(b"@STAMP@", self.name.encode())
        pieces = [answer] if int(number) % 2 else [answer[:90], answer[90:]]
        for piece in pieces:
            connection.sendall(piece)
            time.sleep(0.002)
        # The entry uses the connection of a sound answer again, unless the answer ends with it.
        return "to the end" not in NAMES[int(which)] and int(which) >= len(ODD)


def ask(port, target, name):
    headers = {"Host": "a.example", "Authorization": "Token k1", "X-Attempt-Id": name, "X-Time-Budget-Ms": "3000"}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    try:
        connection.request("POST", target, b"{}", headers)
        response = connection.getresponse()
        fields = {field.lower(): value for field, value in response.getheaders()}
        return response.status, fields, response.read()
    except (OSError, http.client.HTTPException) as broken:
        return 0, {}, repr(broken).encode()
    finally:
        connection.close()


def main():
    with Entries(bounds=BOUNDS) as fleet:
        fleet.store.put("op", "config", configuration(1, ["k1"]))
        endpoints = [HeadEndpoint(f"e{number}") for number in range(ENDPOINTS)]
        for endpoint in endpoints:
            fleet.register(endpoint)
        ports = fleet.start("entry-1")
        wait_until("ready", lambda: call(ports["readiness"], "GET", "/v1/ready")[0] == 200)
        numbers = itertools.count()

        def ask_until_reached(question):
            """An endpoint that fails is avoided for a while, and the request is refused before it reaches one. Then it is asked again."""
            route, which = question
            for _ in range(MAX_TRIES):
                number = next(numbers)
                name = f"{route}-{which}-{number}"
                seen = ask(ports["callers"], f"/{route}/{which}/{number}", name)
                if name in HeadEndpoint.reached:
                    return seen
                time.sleep(PAUSE_SECONDS)
            raise AssertionError(f"{question}: reached no endpoint in {MAX_TRIES} tries, last {seen}")

        questions = [(route, which) for route in ("read", "stream") for which in range(len(BYTES)) for _ in range(2)]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            answers = list(pool.map(ask_until_reached, questions))
        stamps = {endpoint.name for endpoint in endpoints}
        passed, lost = {}, {}
        for (route, which), (status, fields, body) in zip(questions, answers):
            name = NAMES[which]
            if name in ODD:
                if status != 502 or "x-response-stamp" in fields or b"outcome_unknown" not in body:
                    passed[name] = (route, status, fields, body)
            elif (status, body) != SOUND[name][1:] or fields.get("x-response-stamp", "").split(",")[0] not in stamps | ({""} if status == 400 else set()):
                lost[name] = (route, status, fields, body)
        for found, what in ((passed, "answers that are none reached their callers"), (lost, "sound answers did not")):
            for name, seen in found.items():
                print(f"{what}: {name}: {seen}", file=sys.stderr)
        assert not passed and not lost, f"{len(passed)} of {len(ODD)} answers that are none were passed on, {len(lost)} of {len(SOUND)} sound ones were not"
        counted = call(ports["operations"], "GET", "/v1/metrics")[2]
        for defect in DEFECTS:
            assert f'appleramp_invalid_answers_total{{defect="{defect}"}}' in counted, (defect, counted)
    print(f"{len(ODD)} answers that are none, none of which reached a caller; {len(SOUND)} sound ones of unusual form did")


if __name__ == "__main__":
    main()
