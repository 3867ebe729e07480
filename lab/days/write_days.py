#!/usr/bin/env python3
"""Writes days of trouble for a deployment of the platform: one for each kind and variant that the operators'
bench lists, then pairs of kinds drawn by a seed, then days that join the kinds that strain control together.

The list of kinds is read from standard input as the bench prints it, so a kind that is added there is played
without a change here; of the site file only the length of a day and the class names are read.

    fleetbench kinds SITE | lab/days/write_days.py SITE --out /tmp/days --seed 1 --pairs 20
"""

import argparse
import dataclasses
import pathlib
import random
import re
import sys
import tomllib

KIND_LINE = re.compile(r"^([a-z][a-z_]*): (.*)$")
VARIANT_PART = re.compile(r"how:? ([^;:]*)")
NOT_A_KIND = {"closing"}
PLANNED = {"config_change", "config_race", "bad_config", "worker_drain", "roll_term", "seed_turnover", "hup"}
MACHINE_KINDS = {
    "node_kill", "node_freeze", "node_slow", "core_cut", "node_cut", "disk_slow", "disk_full", "disk_stall",
    "clock_step", "reset_conns",
}
TARGETS = ("leader", "reader", "seed")  # which machine; stated once for all machine kinds
CHANGES = ("meet", "race", "hard")  # when a change of the configuration is sent
ON_CORE = {"node_kill", "node_freeze", "node_slow", "herd_kill", "reset_conns", "node_cut"}
LONG_CUT_S = 20.0
REMOVED_SHARE = 0.2
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
# What strains control, by the point of the operators' letter that it belongs to.
JOINED = {
    "cut-off": [("core_cut", "one_way leader hard", LONG_CUT_S), ("seed_turnover", "", 5.0), ("node_cut", "", 8.0)],
    "one-content": [("config_race", "", 5.0), ("ack_lost", "", 12.0), ("after_ack_kill", "timed", 3.0),
                    ("bad_config", "same_version", 5.0), ("core_cut", "leader race", 5.0)],
    "replacements": [("replace_core", "", 5.0), ("replace_core", "planned", 5.0), ("replace_core", "", 5.0),
                     ("seed_turnover", "", 5.0)],
    "catch-up": [("node_kill", "power leader", 8.0), ("herd_kill", "power", 2.0), ("disk_full", "", 5.0),
                 ("after_ack_wipe", "", 3.0), ("disk_stall", "leader", 4.0)],
    "answers": [("reset_conns", "", 6.0), ("answer_lost", "", 6.0), ("garble", "extra", 6.0),
                ("node_freeze", "", 3.0), ("node_cut", "servers", 6.0), ("roll_term", "busy", 5.0)],
}


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of trouble and its variants as the bench names them; the empty one is the plain kind."""

    name: str
    variants: tuple[str, ...]


def variants_of(text: str) -> tuple[str, ...]:
    """The words after 'how' in the description of a kind, without what stands in brackets."""
    plain = re.sub(r"\([^()]*\)", "", text)
    words: list[str] = []
    for part in VARIANT_PART.findall(plain):
        for word in re.split(r"[\s,]+", part.strip()):
            if re.fullmatch(r"[a-z][a-z_]*", word) and word not in words:
                words.append(word)
    return tuple(words)


def read_kinds(text: str) -> list[Kind]:
    """The kinds in the bench's list, those that 'may come too' among them."""
    kinds: list[Kind] = []
    for line in text.splitlines():
        match = KIND_LINE.match(line)
        if not match or match[1] in NOT_A_KIND:
            continue
        listed = variants_of(match[2])
        plain = () if match[1] == "config_change" else ("",)
        kinds.append(Kind(match[1], plain + listed))
    return kinds


def all_variants(kind: Kind) -> list[str]:
    """The listed variants, and for machines which one is struck and when a change is sent to it."""
    variants = list(kind.variants)
    if kind.name in MACHINE_KINDS:
        variants += [target for target in TARGETS]
        variants += [f"leader {change}" for change in CHANGES]
        variants += [f"{listed} leader race" for listed in kind.variants if listed]
    return variants


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of a day. `at` and `for_s` are seconds from the start of traffic."""

    kind: str
    how: str
    at: float
    for_s: float
    on_core: bool = False
    burst_class: str = ""

    def line(self) -> str:
        fields = [f"at = {self.at:.2f}", f'kind = "{self.kind}"', f"for_s = {self.for_s:.1f}"]
        if self.how:
            fields.append(f'how = "{self.how}"')
        if self.on_core:
            fields += ['on = "core"', "count = 1"]
        if "remove" in self.how.split():  # who is removed doesn't come back: some machines must stay
            fields.append(f"share = {REMOVED_SHARE}")
        if self.kind == "burst":
            fields += [f'class = "{self.burst_class}"', "x = 2.0"]
        if self.kind in ("config_race", "bad_config"):
            fields += ["count = 3", "gap_s = 1.0"]
        return "  { " + ", ".join(fields) + " },"


@dataclasses.dataclass
class Day:
    """A day as a site file would hold it."""

    name: str
    seed: int
    entries: list[Entry]
    closing: str = ""

    def text(self) -> str:
        planned = sorted((e for e in self.entries if e.kind in PLANNED), key=lambda e: e.at)
        faults = sorted((e for e in self.entries if e.kind not in PLANNED), key=lambda e: e.at)
        lines = [f'name = "{self.name}"', f"seed = {self.seed}"]
        if self.closing:
            lines.append(f'closing = {{ kind = "{self.closing}", down_s = 1.0 }}')
        for field, entries in (("plan", planned), ("faults", faults)):
            lines += [f"{field} = [", *(e.line() for e in entries), "]"]
        return "\n".join(lines) + "\n"


class Writer:
    """Draws the days of one site."""

    def __init__(self, kinds: list[Kind], length_s: float, classes: list[str], seed: int) -> None:
        self.kinds = kinds
        self.length_s = length_s
        self.classes = classes
        self.seed = seed
        self.chance = random.Random(seed)

    def changes(self, every_s: float, until_s: float) -> list[Entry]:
        """Changes of the configuration, so that old state and lost acknowledgements show."""
        hows = next((k.variants for k in self.kinds if k.name == "config_change"), ("timeout",))
        count = int((until_s - 2.0) / every_s)
        return [Entry("config_change", hows[i % len(hows)], 2.0 + i * every_s, 1.0) for i in range(count)]

    def entry(self, kind: str, how: str, at: float, for_s: float) -> Entry:
        on_core = kind in ON_CORE and ("leader" in how or self.chance.random() < 0.3) and "servers" not in how
        return Entry(kind, how, at, for_s, on_core, self.chance.choice(self.classes))

    def day(self, name: str, entries: list[Entry], closing: str = "") -> Day:
        return Day(name, self.chance.randrange(1, 1 << 30), entries, closing)

    def single_days(self) -> list[Day]:
        """Each kind and variant by itself, twice in the day."""
        days = []
        for kind in self.kinds:
            for how in all_variants(kind):
                long_cut = kind.name == "core_cut" and self.length_s > LONG_CUT_S + 10.0
                for_s = LONG_CUT_S if long_cut else 4.0
                times = (8.0,) if long_cut else (8.0, 18.0)
                entries = [self.entry(kind.name, how, at, for_s) for at in times]
                name = "-".join(["one", kind.name, *how.split()])
                days.append(self.day(name, entries + self.changes(4.0, self.length_s - 2.0)))
        return days

    def pair_days(self, count: int) -> list[Day]:
        """Two kinds at overlapping times, some with a closing fault."""
        days = []
        for number in range(count):
            chosen = self.chance.sample(self.kinds, 2)
            entries = []
            for kind in chosen:
                how = self.chance.choice(all_variants(kind))
                for _ in range(2):
                    at = self.chance.uniform(5.0, self.length_s - 10.0)
                    entries.append(self.entry(kind.name, how, at, self.chance.uniform(2.0, 8.0)))
            closing = self.chance.choice(("", "") + CLOSINGS)
            name = f"pair-{self.seed}-{number}-{chosen[0].name}-{chosen[1].name}"
            days.append(self.day(name, entries + self.changes(2.2, self.length_s - 2.0), closing))
        return days

    def joined_days(self) -> list[Day]:
        """The kinds of each point of the letter together, and all points in one day."""
        known = {kind.name for kind in self.kinds}
        days = []
        everything: list[Entry] = []
        for name, members in JOINED.items():
            entries = []
            for number, (kind, how, for_s) in enumerate(m for m in members if m[0] in known):
                at = 6.0 + number * (self.length_s - 16.0) / max(1, len(members))
                entries.append(self.entry(kind, how, at, for_s))
            everything += [dataclasses.replace(e, for_s=min(e.for_s, 6.0)) for e in entries]
            for closing in ("",) + CLOSINGS:
                label = "-".join(filter(None, ["joined", name, closing]))
                days.append(self.day(label, entries + self.changes(2.2, self.length_s - 2.0), closing))
        days.append(self.day("joined-all", everything + self.changes(2.2, self.length_s - 2.0)))
        return days


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=pathlib.Path, help="the site file of the deployment")
    parser.add_argument("--out", type=pathlib.Path, required=True, help="the folder that the days go into")
    parser.add_argument("--seed", type=int, default=1, help="of what is drawn")
    parser.add_argument("--pairs", type=int, default=20, help="how many days of two kinds")
    parser.add_argument("--no-single", action="store_true", help="without the days of one kind")
    options = parser.parse_args()
    kinds = read_kinds(sys.stdin.read())
    if not kinds:
        print("write_days: no kinds on standard input", file=sys.stderr)
        return 2
    site = tomllib.loads(options.site.read_text())
    classes = [c["name"] for c in site.get("classes", [])]
    writer = Writer(kinds, float(site.get("length_s", 34.0)), classes or ["all"], options.seed)
    days = [] if options.no_single else writer.single_days()
    days += writer.pair_days(options.pairs) + writer.joined_days()
    options.out.mkdir(parents=True, exist_ok=True)
    for day in days:
        (options.out / f"{day.name}.toml").write_text(day.text())
    print(f"{len(days)} days of {len(kinds)} kinds in {options.out}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
