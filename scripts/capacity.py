#!/usr/bin/env python3
"""Recomputes the tables of docs/CAPACITY.md from docs/measurements/fleet.json and slopes.json.

Without arguments it writes the page; with --check it fails if the page differs from what the files give.
"""

import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
DAY = 86_400
NOT_MEASURED = "not measured"

# Assumptions of the arithmetic, not measurements. The page names them.
REPORTS_PER_SECOND = 1.0
REGISTRATION_GUESS = 300  # bytes of one registration in a list
POLL_GUESS = 588  # bytes of a load poll with its acknowledgements
ENTRIES_GUESS = 500  # bytes of an answer of /v1/entries
LEASE_SECONDS = 60
RENEWALS_PER_LEASE = 3
WATCH_SECONDS = 300
WATCHERS_PER_CELL = 2
NON_REPEATABLE_SHARE = 0.10
ENTRIES_KEEP_SECONDS = 30
PLACER_STANDBY_SECONDS = 60
PLACER_READ_SPACING_SECONDS = 0.2
CLAIM_DELETIONS_PER_TRANSACTION = 64


def load(name):
    return json.loads((ROOT / "docs" / "measurements" / name).read_text())


FLEET = load("fleet.json")
SLOPES = load("slopes.json")


def slope(name):
    """Value of a slope; None if it was not measured."""
    return SLOPES[name]["value"]


def number(value, digits=0):
    if value is None:
        return NOT_MEASURED
    return f"{value:,.{digits}f}"


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


class Line:
    """One mechanism of one role: what it costs a node."""

    def __init__(self, name, mechanism, standing, sent=0.0, received=0.0, core=0.0, memory=0.0):
        self.name = name
        self.mechanism = mechanism
        self.standing = standing
        self.sent = sent
        self.received = received
        self.core = core
        self.memory = memory

    def row(self):
        return [self.name, number(self.sent), number(self.received), number(self.core, 3), number(self.memory, 1), self.mechanism, self.standing]


def per_day(count, size):
    return count * size / DAY


def entry_lines():
    members = FLEET["nodes"] / FLEET["cells"]
    peers = members - 1
    replicas = FLEET["replicas"] / FLEET["cells"]
    changes = FLEET["changes_per_day"]
    churn = 2 * (FLEET["replacements_per_day"] + FLEET["failures_per_day"])
    report = slope("report_bytes_per_peer") * peers * REPORTS_PER_SECOND
    link = slope("link_bytes_per_peer") * peers
    change = per_day(changes, slope("change_bytes"))
    manifest_watch = slope("manifest_bytes") / WATCH_SECONDS
    members_list = FLEET["nodes"] * REGISTRATION_GUESS
    poll = replicas * POLL_GUESS / members / 2
    entries = min(FLEET["requests_per_second"], FLEET["workspaces"] / ENTRIES_KEEP_SECONDS) / FLEET["nodes"] * ENTRIES_GUESS / 2
    return [
        Line("reports to peers", "numbers of the document in force, all to all inside the cell, 1/s", "extrapolated from 8 to 8.25 members", report, report,
             slope("report_core_percent") * peers * REPORTS_PER_SECOND),
        Line("links, pings, membership gossip", "one link a peer of the cell, not of the fleet", "extrapolated", link, link, slope("link_core_percent") * peers,
             slope("link_megabytes") * peers),
        Line("members of the fleet", "the cell's watchers read the list once a change, the others hear it from peers", "bytes assumed (300 a registration)", 0,
             per_day(churn, members_list) + members_list / WATCH_SECONDS, per_day(churn, slope("cells_microseconds") / 1e6) * 100),
        Line("configuration", "content-addressed parts: manifest and one part a change", "measured", change, change + manifest_watch,
             per_day(changes, (slope("change_milliseconds") + slope("router_document_milliseconds")) / 1e3) * 100, slope("entry_megabytes")),
        Line("timers of an idle entry", "ticks of 10 and 20 ms in each task, whatever the fleet's size", "measured, alone in its cell", 0, 0,
             slope("entry_idle_core_percent")),
        Line("router's reports", "work only for busy workspaces", "measured at 1,000 busy workspaces", 0, 0,
             REPORTS_PER_SECOND * slope("router_report_microseconds") / 1e6 * 100),
        Line("load of backend servers", "one entry of the cell polls a backend server, 1/s", "bytes assumed (588 a poll)", poll, poll, None),
        Line("which address (/v1/entries)", "callers keep an answer 30 s", "bytes assumed (500 an answer)", entries, entries, None),
        Line("registration", "session of 60 s, renewed every 20 s", "bytes assumed (250)", 250 / (LEASE_SECONDS / RENEWALS_PER_LEASE),
             250 / (LEASE_SECONDS / RENEWALS_PER_LEASE)),
    ]


def placer_lines():
    reads = 1 / PLACER_READ_SPACING_SECONDS
    change = per_day(FLEET["changes_per_day"], slope("change_bytes"))
    return [
        Line("holder: reads of backend servers", "at most one a 0.2 s, however many there are", "bytes assumed (588)", reads * POLL_GUESS / 2, reads * POLL_GUESS / 2),
        Line("holder: decisions", "a pass after a change, else one a second", "measured with 600", 0, 0,
             (10 * slope("placer_tick_microseconds") + (1 + reads) * slope("placer_pass_microseconds")) / 1e6 * 100, slope("placer_state_megabytes")),
        Line("holder: configuration", "manifest and the part that changed", "measured", 0, change + slope("manifest_bytes") / 120,
             per_day(FLEET["changes_per_day"], slope("change_milliseconds") / 1e3) * 100, None),
        Line("holder: lease", "renewed and checked every 5 s", "bytes assumed (500)", 100, 100),
        Line("stands by", "reads the lock key every 60 s, no session, no watch", "bytes assumed (500)", 500 / PLACER_STANDBY_SECONDS / 2,
             500 / PLACER_STANDBY_SECONDS / 2),
    ]


def role_table(lines):
    header = ["line", "sent B/s", "received B/s", "% of a core", "MB", "mechanism", "standing"]
    total = Line("**sum**", "", "", sum(line.sent for line in lines), sum(line.received for line in lines), sum(line.core or 0 for line in lines),
                 sum(line.memory or 0 for line in lines))
    budget = ["budget", number(FLEET["budget_bytes_per_second"]), "", number(FLEET["budget_core_percent"], 1), number(FLEET["budget_megabytes"]), "", ""]
    return table(header, [line.row() for line in lines] + [total.row(), budget])


def platform_calls():
    nodes = FLEET["nodes"]
    cells = FLEET["cells"]
    watchers = cells * WATCHERS_PER_CELL
    changes = FLEET["changes_per_day"] / DAY
    churn = 2 * (FLEET["replacements_per_day"] + FLEET["failures_per_day"]) / DAY
    claims = FLEET["requests_per_second"] * NON_REPEATABLE_SHARE
    renewals = nodes * RENEWALS_PER_LEASE / LEASE_SECONDS
    return [
        ("`entries/*`: renewals", renewals, 0, 0, "a lease of 60 s: liveness is the peers' matter", "grows with the fleet"),
        ("`entries/*`: joins and leaves", churn * 2, 0, 0, "session and key, each once", "grows with churn"),
        ("`entries/*`: watches", 0, churn * watchers + watchers / WATCH_SECONDS, watchers, "2 watchers a cell, waits of 5 min", "grows with cells"),
        ("`manifest`, `parts/*`: submissions", changes * 2, changes, 0, "one part and the manifest", "grows with changes"),
        ("`manifest`, `parts/*`: watches and fetches", 0, changes * watchers * 2 + watchers / WATCH_SECONDS, watchers, "2 watchers a cell; the rest hear from peers",
         "grows with cells"),
        ("`claims/*`: non-repeatable calls", claims, 0, 0, "one claim a call; batches hardly form at 4.5 requests/s an entry", "grows with traffic"),
        ("`claims/*`: removal", claims / CLAIM_DELETIONS_PER_TRANSACTION, 0, 0, "64 a transaction", "grows with traffic"),
        ("`placer`: holder", 0.2, 0.2, 0, "renewal and a look at the key every 5 s", "constant"),
        ("`placer`: those that stand by", 0, nodes / PLACER_STANDBY_SECONDS, 0, "read before write", "grows with the fleet"),
        ("list of VMs", 0, nodes / WATCH_SECONDS, nodes, "one waiting call a node", "grows with the fleet"),
    ]


def platform_table():
    rows = platform_calls()
    cells = [[name, number(writes, 2), number(reads, 2), number(waiting), mechanism, growth] for name, writes, reads, waiting, mechanism, growth in rows]
    cells.append(["**sum**", number(sum(row[1] for row in rows), 1), number(sum(row[2] for row in rows), 1), number(sum(row[3] for row in rows)), "", ""])
    cells.append(["rate", f"several hundred ({FLEET['platform_writes_per_second']} taken)", number(FLEET["platform_reads_per_second"]), "", "", ""])
    return table(["keys", "writes/s", "reads/s", "waiting calls", "mechanism", "growth"], cells)


def day_table():
    nodes = FLEET["nodes"]
    watchers = FLEET["cells"] * WATCHERS_PER_CELL
    replacements = FLEET["replacements_per_day"] + FLEET["failures_per_day"]
    domain = nodes / FLEET["failure_domains"]
    domain_replicas = FLEET["replicas"] / FLEET["failure_domains"]
    document = slope("document_bytes") / 1e6
    inflight = FLEET["tokens_per_second"] * FLEET["seconds_between_tokens"]
    rack = FLEET["rack_nodes"]
    rows = [
        ["ordinary day", f"{FLEET['failures_per_day']} failures, {FLEET['replacements_per_day']} replacements",
         f"{replacements} new nodes fetch {number(document, 1)} MB each: {number(replacements * document / DAY * 1e3, 1)} KB/s for all, mostly from peers; "
         f"{number(2 * replacements * watchers / DAY, 2)} reads/s"],
        ["a rack", f"{rack} nodes assumed", f"{rack} deletions as sessions end; at most one list read a watcher and 5 s: {number(watchers / 5)} reads/s for a minute; "
         f"about {number(rack * inflight / nodes)} requests in flight at the lost entries break; engines resume for repeats"],
        ["a failure domain", f"{number(domain)} nodes, {number(domain_replicas)} replicas", f"{number(domain)} deletions; the same reads; each cell keeps members in other "
         f"failure domains (at least 2, measured); the placer's reads of {number(domain_replicas)} dead backend servers cost 16 at once, the rest goes on; "
         "no rollout while a fifth of a model's backend servers is gone"],
        ["regions apart for an hour", f"{number(FLEET['changes_per_day'] / 24)} changes meanwhile", "the side without the platform's service serves on with the document it has; "
         "claims there are refused as not run or go by tickets; no placer orders there; after it "
         f"{number(FLEET['changes_per_day'] / 24)} versions are fetched as one: at most {number(document, 1)} MB a node"],
    ]
    return table(["event", "size", "what it costs"], rows)


def settings_table():
    """What the page takes against what the code has today, where they differ."""
    nodes = FLEET["nodes"]
    peers = nodes / FLEET["cells"] - 1
    members_list = nodes * REGISTRATION_GUESS
    report = slope("report_bytes_per_peer") * peers

    def keep(seconds):
        return min(FLEET["requests_per_second"], FLEET["workspaces"] / seconds) / nodes * ENTRIES_GUESS / 2

    rows = [
        ["reports to peers", "1/s", "4/s (`publishInterval`)", f"{number(report)} B/s sent", f"{number(4 * report)} B/s sent: over the budget"],
        ["waits of watches", "5 min", "30 s (`SubscriptionOptions::wait`)", f"{number((members_list + slope('manifest_bytes')) / WATCH_SECONDS)} B/s a watcher",
         f"{number((members_list + slope('manifest_bytes')) / 30)} B/s a watcher"],
        ["lease of an entry", "60 s", "10 s (`platform.lease_ms`)", f"{number(nodes * RENEWALS_PER_LEASE / LEASE_SECONDS, 1)} writes/s",
         f"{number(nodes * RENEWALS_PER_LEASE / 10, 1)} writes/s"],
        ["answer of /v1/entries kept", "30 s", "5 s (`entriesKeep`)", f"{number(keep(ENTRIES_KEEP_SECONDS))} B/s sent", f"{number(keep(5))} B/s sent"],
        ["polls of load", "one entry a backend server, 1/s", "none", f"{number(FLEET['replicas'] / nodes * POLL_GUESS / 2)} B/s sent", "0"],
    ]
    return table(["mechanism", "this page", "code of 2026-12-02", "cost, this page", "cost, code"], rows)


def slope_table():
    rows = []
    for name, entry in SLOPES.items():
        measured = entry["value"] is not None
        rows.append([f"`{name}`", f"{entry['value']:g}" if measured else NOT_MEASURED, entry["unit"], f"`{entry['command']}`" if "command" in entry else "",
                     entry.get("date", ""), entry.get("machine", ""), entry.get("source", "")])
    return table(["slope", "value", "unit", "command", "date", "machine", "source"], rows)


def fleet_table():
    nodes = FLEET["nodes"]
    inflight = FLEET["tokens_per_second"] * FLEET["seconds_between_tokens"]
    core = FLEET["requests_per_second"] / nodes * slope("router_request_microseconds") / 1e6 * 100
    rows = [
        ["entries in a cell", number(nodes / FLEET["cells"], 2)],
        ["backend servers a cell", number(FLEET["replicas"] / FLEET["cells"], 1)],
        ["cells a model", number(FLEET["cells"] / FLEET["models"], 1)],
        ["workspaces a cell", number(FLEET["workspaces"] / FLEET["cells"])],
        ["requests a second an entry", number(FLEET["requests_per_second"] / nodes, 1)],
        ["requests in flight, all entries", number(inflight)],
        ["requests in flight an entry", number(inflight / nodes)],
        ["core's decisions, % of a core an entry (not control)", number(core, 3)],
    ]
    return table(["worked out", "value"], rows)


TABLES = {
    "fleet": fleet_table,
    "entry": lambda: role_table(entry_lines()),
    "placer": lambda: role_table(placer_lines()),
    "platform": platform_table,
    "events": day_table,
    "settings": settings_table,
    "slopes": slope_table,
}


def render(page):
    for name, make in TABLES.items():
        begin, end = f"<!-- table {name} -->\n", f"<!-- end {name} -->"
        head, rest = page.split(begin, 1)
        tail = rest.split(end, 1)[1]
        page = f"{head}{begin}{make()}\n{end}{tail}"
    return page


def main():
    page = PAGE.read_text()
    wanted = render(page)
    if sys.argv[1:] == ["--check"]:
        if page != wanted:
            sys.exit("docs/CAPACITY.md does not follow from docs/measurements: run scripts/capacity.py")
        return
    PAGE.write_text(wanted)


if __name__ == "__main__":
    main()
