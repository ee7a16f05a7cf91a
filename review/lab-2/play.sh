#!/bin/bash
# Plays a case: play.sh CASE FOLDER. Ends all processes that were started, by their ids.
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/amaranthwick-platform target/review-2/lab; do
    if [ ! -x "$program" ]; then
        echo "$program isn't built" >&2
        exit 2
    fi
done
work=$(mktemp -d) || exit 2
target/review-2/lab "$case_name" "$folder" "$work" &
lab=$!
trap 'kill "$lab" 2>/dev/null' TERM INT
wait "$lab"
code=$?
kill "$lab" 2>/dev/null
if [ -f "$work/pids" ]; then
    while read -r pid; do
        if grep -q amaranthwick-platform "/proc/$pid/cmdline" 2>/dev/null; then
            kill -KILL "$pid"
        fi
    done < "$work/pids"
fi
if [ -n "$KEEP_LOGS" ]; then
    echo "logs: $work"
else
    rm -r "$work"
fi
[ "$code" -le 2 ] || code=2
exit "$code"
