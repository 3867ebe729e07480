#!/usr/bin/env bash
# The regression run against a stand-in for the kit whose programs print lines recorded from this project's journal.
set -uo pipefail
cd "$(dirname "$0")/../.."
kit=$(mktemp -d)
trap 'rm -rf "$kit"' EXIT
faults=0

day='herd+vast                  G 0.871  floor 0.641  top 0.941  memory 0 of 48 MB  descriptors 63 of 384  score 0.77'
late='join+vast                  G 0.915  floor 0.687  top 0.987  memory 0 of 48 MB  descriptors 67 of 384  score 0.76'
score='score of the real nodes 0.679 (the weighted mean of the days)'
gate='GATE passed (three of the six days)'

program() { # folder, what it prints with "earlier" in front for the earlier days, status
  mkdir -p "$kit/more/$1"
  printf '#!/bin/sh\ncase "$*" in *"panel later"*) echo earlier;; esac\ncat <<EOF\n%s\nEOF\nexit %s\n' "$2" "${3:-0}" \
    >"$kit/more/$1/lbreal"
  chmod +x "$kit/more/$1/lbreal"
}

all_hold() {
  rm -rf "$kit/more"
  mkdir -p "$kit/sites"
  touch "$kit/sites/dar-preorder.toml"
  program bin "$day"$'\n'"$score"
  program ops/bin "$day"$'\n'"$score"
  program mass/bin "$day"$'\n'"$score"$'\n'"$gate"
}

expect() { # what, status, words that the output must hold
  local out status
  out=$(KIT=$kit bash .ci/regression 2>&1)
  status=$?
  if [ $status -ne "$2" ] || ! grep -qF -- "$3" <<<"$out"; then
    echo "FAILED: $1: status $status, wanted $2 and \"$3\" in:"
    echo "$out"
    faults=$((faults + 1))
  fi
}

expect "no kit" 2 "regression: grown fleet: no kit at $kit"
all_hold
expect "all hold" 0 "regression: all panels hold"
all_hold && program bin "$late  BROKEN: lost"$'\n'"$score"
expect "a broken rule beside a score" 1 "regression: grown fleet failed: $late  BROKEN: lost"
all_hold && program ops/bin "$day"$'\n'"    node n0 crashed: exited with 1"$'\n'"$score"
expect "a crash" 1 "regression: operators' days failed:     node n0 crashed"
all_hold && program bin "$day"
expect "no score" 1 "regression: grown fleet failed: it ended with no score"
all_hold && program mass/bin "$day"$'\n'"$score"$'\n'"GATE failed: drain on herd+mass"
expect "a gate that failed" 1 "regression: fleet test failed: GATE failed: drain on herd+mass"
all_hold && program mass/bin "$day"$'\n'"$score"
expect "no word of the gate" 1 "regression: fleet test failed: its gate has not passed"
all_hold && program ops/bin "$day"$'\n'"$score" 3
expect "a bench that ends badly" 1 "regression: operators' days failed: the bench ended with status 3"
all_hold && rm -r "$kit/more/mass"
expect "a missing program" 2 "regression: fleet test: no kit at $kit"

panels=$(all_hold; KIT=$kit bash .ci/regression 2>&1 | grep -E '^(==|earlier)' | tr '\n' ' ')
if [ "$panels" != "== grown fleet == earlier days earlier == operators' days == fleet test " ]; then
  echo "FAILED: the panels and their order: $panels"
  faults=$((faults + 1))
fi
exit $((faults > 0))
