"""The target's sizes, the bounds on a node, and the figures that are derived from slopes."""
import dataclasses

SECONDS_PER_DAY = 86_400

# The target.
ENTRIES = 480
ENGINES = 12_000
ZONES = 20
REQUESTS = 9_700
TOKENS = 4_000_000
TEAMS = 40_000
CHANGES = 54_000 / SECONDS_PER_DAY

# Bounds on one process for control work, and on the platform.
CONTROL_CPU_US = 14_000
MEMORY_KB = 64 * 1024
CONTROL_BYTES = 11 * 1024
TABLE_WRITES = 300
TABLE_READS = 2_000
CORE_US = 1_000_000

# Links in the design: an entry to every endpoint of its zone and to some in other zones.
LINKS_TO_OTHER_ZONES = 40
ENTRY_LINKS = ENGINES // ZONES + LINKS_TO_OTHER_ZONES
AGENT_LINKS = ENTRY_LINKS * ENTRIES / ENGINES

TOKENS_PER_ANSWER = TOKENS / REQUESTS
SECONDS_PER_ANSWER = 0.31 + TOKENS_PER_ANSWER * 0.060
ADDRESS_VALIDITY_SECONDS = 30
KEY_RETENTION_SECONDS = SECONDS_PER_DAY
POLLERS_PER_ZONE = 2
FALLBACK_POLL_SECONDS = 10


@dataclasses.dataclass
class Term:
    """Value of a slope at a size, times a rate."""
    slope: str
    size: float = 0
    rate: float = 1


@dataclasses.dataclass
class Figure:
    role: str
    what: str
    terms: list
    unit: str
    bound: float
    mechanism: str
    # What has to change where the bound fails.
    change: str = ""


ENTRY_REQUESTS = REQUESTS / ENTRIES
ENTRY_IN_FLIGHT = ENTRY_REQUESTS * SECONDS_PER_ANSWER
AGENT_REQUESTS = REQUESTS / ENGINES
AGENT_IN_FLIGHT = AGENT_REQUESTS * SECONDS_PER_ANSWER

ONLY_WHAT_CHANGED = ("an idle link's grants and demands are renewed less often: a longer lifetime, with changes sent at "
                     "once")
ONE_SENDER = ("an agent gets a change from one entry only (rendezvous among its links); versions on every frame close "
              "the gaps")
SUBSET = "links to a subset (DESIGN section 3) instead of to every agent"

FIGURES = [
    Figure("entry", "processor time for requests and their tokens",
           [Term("process_entry_cpu_by_tokens", TOKENS_PER_ANSWER, ENTRY_REQUESTS)], "us/s", CORE_US,
           "one core is the bound: this is callers' work, not control"),
    Figure("entry", "idle processor time, links to every agent (as built)",
           [Term("process_entry_idle_cpu_us_by_links", ENGINES)], "us/s", CONTROL_CPU_US, "none", SUBSET),
    Figure("entry", "idle processor time, subset of links",
           [Term("process_entry_idle_cpu_us_by_links", ENTRY_LINKS)], "us/s", CONTROL_CPU_US,
           "subset of links", ONLY_WHAT_CHANGED),
    Figure("entry", "bytes received from agents, links to every agent (as built)",
           [Term("process_agent_idle_bytes_by_links", 1, ENGINES)], "bytes/s", CONTROL_BYTES, "none", SUBSET),
    Figure("entry", "bytes received from agents, subset of links",
           [Term("process_agent_idle_bytes_by_links", 1, ENTRY_LINKS)], "bytes/s", CONTROL_BYTES,
           "subset of links", ONLY_WHAT_CHANGED),
    Figure("entry", "memory, links to every agent (as built)",
           [Term("process_entry_idle_rss_kb_by_links", ENGINES)], "kB", MEMORY_KB, "none", SUBSET),
    Figure("entry", "memory, subset of links and its requests in flight",
           [Term("process_entry_idle_rss_kb_by_links", ENTRY_LINKS),
            Term("entry_state_by_requests_in_flight", ENTRY_IN_FLIGHT, 1 / 1024)], "kB", MEMORY_KB,
           "subset of links; callers' threads are not in this figure"),
    Figure("entry", "bytes of the instance list, read whole each second",
           [Term("count:bytes_per_listed_instance", 0, ENTRIES + ENGINES)], "bytes/s", CONTROL_BYTES, "none",
           "few readers a zone; the others hear what has changed by links"),
    Figure("entry", "memory if every team had an exception",
           [Term("entry_state_by_exceptions", TEAMS, 1 / 1024)], "kB", MEMORY_KB,
           "only exceptions and active teams cost memory; the list is short"),
    Figure("entry", "processor time to choose endpoints",
           [Term("entry_request_by_endpoints", ENTRY_LINKS, ENTRY_REQUESTS)], "us/s", CONTROL_CPU_US,
           "candidates by service; each choice looks at every linked endpoint of the service"),
    Figure("entry", "processor time of ticks, requests in flight scanned 20 times a second",
           [Term("entry_tick_by_requests_in_flight", ENTRY_IN_FLIGHT, 20)], "us/s", CONTROL_CPU_US,
           "none needed at this size"),
    Figure("entry", "processor time of address answers",
           [Term("entry_addresses_by_entries", ENTRIES, TEAMS / ADDRESS_VALIDITY_SECONDS / ENTRIES)], "us/s",
           CONTROL_CPU_US, "callers hold an answer for 30 s; 40,000 teams with one caller each",
           "hash each entry once an answer, not at each comparison"),
    Figure("entry", "processor time of configuration changes",
           [Term("entry_change_by_endpoints", ENTRY_LINKS, CHANGES)], "us/s", CONTROL_CPU_US, "subset of links"),
    Figure("entry", "bytes of configuration changes, sent to each link (as built)",
           [Term("message:configuration_change", 0, CHANGES * ENTRY_LINKS)], "bytes/s", CONTROL_BYTES,
           "subset of links", ONE_SENDER),
    Figure("entry", "bytes of configuration changes, one sender an agent",
           [Term("message:configuration_change", 0, CHANGES * ENGINES / ENTRIES)], "bytes/s", CONTROL_BYTES,
           ONE_SENDER),
    Figure("agent", "processor time for requests and their tokens",
           [Term("process_agent_cpu_by_tokens", TOKENS_PER_ANSWER, AGENT_REQUESTS)], "us/s", CORE_US,
           "one core is the bound: this is callers' work, not control"),
    Figure("agent", "processor time of slots by demand, entries that all ask, subset of links",
           [Term("agent_request_by_entries", AGENT_LINKS, AGENT_REQUESTS)], "us/s", CONTROL_CPU_US,
           "subset of links; measured with 2048 slots, far more than an engine has"),
    Figure("agent", "idle processor time, links from every entry (as built)",
           [Term("process_agent_idle_cpu_us_by_links", ENTRIES)], "us/s", CONTROL_CPU_US, "none", SUBSET),
    Figure("agent", "idle processor time, subset of links",
           [Term("process_agent_idle_cpu_us_by_links", AGENT_LINKS)], "us/s", CONTROL_CPU_US, "subset of links"),
    Figure("agent", "bytes sent to entries, links from every entry (as built)",
           [Term("process_agent_idle_bytes_by_links", ENTRIES)], "bytes/s", CONTROL_BYTES, "none", SUBSET),
    Figure("agent", "bytes sent to entries, subset of links",
           [Term("process_agent_idle_bytes_by_links", AGENT_LINKS)], "bytes/s", CONTROL_BYTES, "subset of links"),
    Figure("agent", "memory, subset of links and its requests in flight",
           [Term("process_agent_idle_rss_kb_by_links", AGENT_LINKS),
            Term("agent_state_by_requests_in_flight", AGENT_IN_FLIGHT, 1 / 1024)], "kB", MEMORY_KB, "subset of links"),
    Figure("agent", "memory of keys kept for a day if every request had one",
           [Term("agent_state_by_keys", AGENT_REQUESTS * KEY_RETENTION_SECONDS, 1 / 1024)], "kB", MEMORY_KB,
           "keys end with their retention; the bound is met alone, not beside the idle process",
           "keep a hash of the key and the outcome, and no answer, after the answer's retention"),
    Figure("platform", "table writes if every request had a caller's key",
           [Term("count:writes_per_key", 0, REQUESTS)], "writes/s", TABLE_WRITES,
           "one conditional insert an order", "issued keys, which need no write (design/state.md): callers fetch a key first"),
    Figure("platform", "table writes of configuration changes",
           [Term("count:writes_per_change", 0, CHANGES)], "writes/s", TABLE_WRITES, "one conditional insert a change"),
    Figure("platform", "reads of configuration changes",
           [Term("count:reads_per_poll", 0, ZONES * POLLERS_PER_ZONE + ENTRIES / FALLBACK_POLL_SECONDS)], "reads/s",
           TABLE_READS, "two pollers a zone each second, the other entries every 10 s; versions on links close the gaps"),
    Figure("platform", "reads of the instance list, every entry each second",
           [Term("count:reads_per_poll", 0, ENTRIES)], "reads/s", TABLE_READS, "none needed to stay in the bound"),
]

# Counts that follow from the protocol and not from a measurement.
# A line of the instance list has 122 bytes of JSON with names of a few letters.
COUNTS = {"writes_per_key": 1, "writes_per_change": 1, "reads_per_poll": 1, "bytes_per_listed_instance": 122}
