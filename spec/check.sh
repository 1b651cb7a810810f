#!/usr/bin/env bash
# Checks every specification in this directory with spin (make model).
#
# Each specification lists its checks in comments of these forms, one per line.
# The words after the colon are passed as -D switches:
#
#   /* check holds: PART_A */          the search must be complete and find no
#                                      error
#   /* check fails: PART_A NO_MARK */  the switch removes a mechanism, and
#                                      the checker must find a counterexample
#
# Every file needs at least one line of each form. spec/check.sh FILE... checks
# only those files.
set -euo pipefail
cd "$(dirname "$0")"

max_depth=2000000   # steps of one run
memory_mb=2000      # of one checker
jobs=3              # checkers at once

command -v spin >/dev/null || { echo "spec: spin is not installed (Debian package spin)"; exit 1; }
command -v gcc >/dev/null || { echo "spec: gcc is not installed"; exit 1; }

check_one() {
	file=$1 want=$2
	shift 2
	dir=$(mktemp -d)
	trap 'rm -rf "$dir"' EXIT
	flags=()
	for s in "$@"; do flags+=("-D$s"); done
	cp "$file" "$dir/"
	(cd "$dir" && spin "${flags[@]}" -a "$file" >spin.txt 2>&1) || { echo "RED   $file $*: spin failed"; head -5 "$dir/spin.txt"; exit 1; }
	(cd "$dir" && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c && ./pan -m$max_depth >pan.txt 2>&1) || true
	out=$dir/pan.txt
	errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out" | tail -1)
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out" | tail -1)
	depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$out" | tail -1)
	# Only a failed assertion is a counterexample, not a deadlock in the model.
	found=$(grep -c 'assertion violated' "$out" || true)
	complete=yes
	if grep -qE 'search depth too small|out of memory|Search not completed|memory limit' "$out"; then complete=no; fi
	line="$file $*: ${states:-?} states, depth ${depth:-?}"
	case "$want" in
	holds)
		if [ "${errors:-x}" = 0 ] && [ $complete = yes ]; then echo "ok    $line, no error, search complete"; exit 0; fi
		echo "RED   $line, errors ${errors:-?}, complete $complete"
		grep -m1 -E 'pan:[0-9]+:' "$out" || true
		exit 1
		;;
	fails)
		if [ "${errors:-0}" != 0 ] && [ "$found" != 0 ]; then echo "ok    $line, counterexample found: $(sed -n 's/.*assertion violated \(.*\) (at depth.*/\1/p' "$out" | head -1)"; exit 0; fi
		echo "RED   $line, the mechanism is out and no counterexample was found (errors ${errors:-?})"
		grep -m1 -E 'pan:[0-9]+:' "$out" || true
		exit 1
		;;
	esac
}

if [ "${1:-}" = --one ]; then
	shift
	check_one "$@"
	exit
fi

files=("$@")
[ ${#files[@]} -gt 0 ] || files=(*.pml)
rows=$(mktemp)
trap 'rm -f "$rows"' EXIT
for f in "${files[@]}"; do
	f=$(basename "$f")
	sed -n 's#^/\* check \(holds\|fails\): *\(.*[^ ]\) *\*/ *$#\1 \2#p' "$f" | sed "s#^#$f #" >>"$rows"
	for form in holds fails; do
		grep -q "^$f $form" "$rows" || { echo "RED   $f: no line \"check $form: ...\""; exit 1; }
	done
done
start=$SECONDS
status=0
xargs -P "$jobs" -L 1 ./check.sh --one <"$rows" || status=1
echo "spec: $(wc -l <"$rows") checks in $((SECONDS - start)) s"
exit $status
