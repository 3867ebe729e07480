#!/usr/bin/env bash
# Plays all days of a folder on a deployment with the operators' bench and prints one line for each, then those that
# broke a rule. Usage: lab/days/play_days.sh BENCH SITE FOLDER WHY [AT_ONCE]
# Status: 0 nothing broken, 1 a rule broken or a day not played, 2 wrong call.
set -uo pipefail
if [ $# -lt 4 ]; then
  sed -n '2,4p' "$0" >&2
  exit 2
fi
bench=$1 site=$2 folder=$3 why=$4 at_once=${5:-3}
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
"$bench" build >"$results/build.log" 2>&1 || { tail -n 5 "$results/build.log" >&2; exit 2; }

play() { # bench, site, day's file, why, folder of results
  local name
  name=$(basename "$3" .toml)
  "$1" run "$2" "$3" --jobs 1 --why "$4" >"$5/$name.out" 2>&1
  awk -v day="$name" '$1 == day || (index(day, $1) == 1 && /GATE|BROKEN|prices/) { print; found = 1; exit }
    END { if (!found) print day " NOT PLAYED" }' "$5/$name.out" | tee -a "$5/lines"
  grep -E '^(rules broken|[A-Z]+ at )' "$5/$name.out" | sed 's/^/    /'
}
export -f play
find "$folder" -name '*.toml' -print0 | sort -z |
  xargs -0 -P "$at_once" -I{} bash -c 'play "$@"' _ "$bench" "$site" {} "$why" "$results"
played=$(wc -l <"$results/lines")
broken=$(grep -cE 'BROKEN|NOT PLAYED|FAULT' "$results/lines")
echo "$played days played, $broken with a broken rule or not played"
[ "$broken" -eq 0 ]
